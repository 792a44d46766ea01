package eventstream

import (
	"bytes"
)

// lineEnd is how the lines of an answer end. The first line decides.
type lineEnd uint8

const (
	endUnknown lineEnd = iota
	// endLF also stands for CRLF.
	endLF
	endCR
)

// line returns the first line without its end, and its length with it; 0 if the line is not complete.
func (e *lineEnd) line(p []byte) (line []byte, length int, violation *Violation) {
	at := firstLineEnd(p)
	if at < 0 {
		return nil, 0, nil
	}
	end, length := endLF, at+1
	if p[at] == '\r' {
		last := at+1 == len(p)
		switch {
		case !last && p[at+1] == '\n':
			length++
		case last && *e != endCR:
			return nil, 0, nil // it may be the half of a CRLF
		default:
			end = endCR
		}
	}
	if *e == endUnknown {
		*e = end
	}
	if *e != end {
		return nil, 0, &Violation{Reason: ReasonLine}
	}
	return p[:at], length, nil
}

// firstLineEnd returns where the first LF or CR is, -1 if there is none.
func firstLineEnd(p []byte) int {
	lf := bytes.IndexByte(p, '\n')
	before := p
	if lf >= 0 {
		before = p[:lf]
	}
	if cr := bytes.IndexByte(before, '\r'); cr >= 0 {
		return cr
	}
	return lf
}

// byteOrderMark may precede the first line of an answer.
var byteOrderMark = []byte("\ufeff")

// block returns the first complete block; Data is empty if there is none yet. begun is set if a block
// of the answer came before.
func (e *lineEnd) block(p []byte, begun bool) (Block, *Violation) {
	var fields fields
	for offset := 0; ; {
		line, length, violation := e.line(p[offset:])
		if !begun && offset == 0 {
			line = bytes.TrimPrefix(line, byteOrderMark)
		}
		if violation == nil && length > 0 && len(line) > 0 {
			violation = fields.add(line)
		}
		if violation != nil || length == 0 {
			return Block{}, violation
		}
		offset += length
		if len(line) == 0 {
			return fields.block(p[:offset])
		}
	}
}

// fields are what the lines of a block say.
type fields struct {
	ids, data int
	// other is set if there are fields that only an event has.
	other bool
	id    int64
}

// Names of fields.
var (
	fieldData  = []byte("data")
	fieldID    = []byte("id")
	fieldEvent = []byte("event")
	fieldRetry = []byte("retry")
)

// add reads a line that is not empty.
func (f *fields) add(line []byte) *Violation {
	if line[0] == ':' {
		return nil
	}
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.Equal(name, fieldData):
		f.data++
	case bytes.Equal(name, fieldID):
		f.ids++
		id, ok := parseID(bytes.TrimSpace(value))
		if !ok {
			return &Violation{Reason: ReasonID}
		}
		f.id = id
	case bytes.Equal(name, fieldRetry):
	case bytes.Equal(name, fieldEvent), hasColon && isFieldName(name):
		f.other = true
	default:
		return &Violation{Reason: ReasonLine}
	}
	return nil
}

// isFieldName reports whether a name may be that of a field that the standard does not know.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return len(name) > 0
}

// block returns the block of these fields.
func (f *fields) block(data []byte) (Block, *Violation) {
	switch {
	case f.ids == 0 && f.data == 0 && !f.other:
		return Block{Data: data}, nil
	case f.ids != 1:
		return Block{}, &Violation{Reason: ReasonID}
	case f.data == 0:
		return Block{}, &Violation{Reason: ReasonNoData}
	}
	return Block{Data: data, Event: true, ID: f.id}, nil
}
