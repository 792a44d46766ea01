package eventstream

import (
	"bytes"
	"slices"
	"strconv"

	"github.com/cicadatack/cicadatack/route/internal/sse"
)

// lineKind says what a line of a block is.
type lineKind uint8

const (
	// lineInvalid is neither a field nor a comment.
	lineInvalid lineKind = iota
	// lineComment and lineRetry may also stand in blocks that are no event.
	lineComment
	lineRetry
	// lineUnknown is a field that is no part of what callers receive.
	lineUnknown
	lineID
	lineData
	lineNumeric
)

// ignored reports whether a line is no part of what callers receive.
func (k lineKind) ignored() bool { return k == lineComment || k == lineRetry || k == lineUnknown }

// line is a line of a block that is not empty.
type line struct {
	kind lineKind
	// text is the whole line without its end, value what follows the colon of a field, without the
	// space that may precede it.
	text, value []byte
	// field is the index of a numeric field in Format.NumericFields.
	field int
	// number is the value of a numeric field.
	number int64
}

// parse parses a line that is not empty.
func (f Format) parse(text []byte) line {
	if text[0] == ':' {
		return line{kind: lineComment, text: text}
	}
	name, value, hasColon := bytes.Cut(text, []byte(":"))
	l := line{text: text, value: bytes.TrimPrefix(value, []byte(" "))}
	switch {
	case bytes.Equal(name, sse.FieldData):
		l.kind = lineData
	case bytes.Equal(name, sse.FieldID):
		l.kind = lineID
	case bytes.Equal(name, sse.FieldRetry):
		l.kind = lineRetry
	case bytes.Equal(name, sse.FieldEvent), hasColon && sse.IsFieldName(name):
		f.parseOther(&l, name)
	}
	return l
}

// parseOther parses a field that the standard does not know, or the name of an event.
func (f Format) parseOther(l *line, name []byte) {
	l.kind = lineUnknown
	index := slices.IndexFunc(f.NumericFields, func(field string) bool { return field == string(name) })
	number, isNumber := parseID(bytes.Trim(l.value, " "))
	if index >= 0 && isNumber {
		l.kind, l.field, l.number = lineNumeric, index, number
	}
}

const (
	prefixID   = "id: "
	prefixData = "data: "
)

// appendNumber appends a line with a number in the form in which events are returned.
func appendNumber(to []byte, prefix string, number int64) []byte {
	return append(strconv.AppendInt(append(to, prefix...), number, 10), '\n')
}

// isNumberLine reports whether appendNumber would return the same line.
func isNumberLine(text []byte, prefix string, number int64) bool {
	digits, ok := bytes.CutPrefix(text, []byte(prefix))
	var normal [MaxIDDigits + 1]byte
	return ok && bytes.Equal(digits, strconv.AppendInt(normal[:0], number, 10))
}
