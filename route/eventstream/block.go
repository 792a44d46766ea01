package eventstream

import (
	"bytes"
	"iter"
)

// block is a block of an answer.
type block struct {
	span
	event bool
	id    int64
	// repeated is set for an event that the stream already has.
	repeated bool
	// normal is set for an event that was received in the form in which events are returned.
	normal bool
}

// fields are what the lines of a block say.
type fields struct {
	lines, ids, data int
	// dataEnded is set if another field follows the data. eventOnly is set if there are fields that
	// only an event has.
	dataEnded, eventOnly bool
	id                   int64
	// seen has a bit for each numeric field of the format.
	seen uint64
	// unusual is set if the block has not the form in which events are returned.
	unusual bool
}

// add adds a line.
func (f *fields) add(l *line, format *Format) *Violation {
	f.lines++
	f.unusual = f.unusual || l.kind.ignored()
	if l.kind != lineData && l.kind != lineComment {
		f.dataEnded = f.data > 0
		f.unusual = f.unusual || f.dataEnded
	}
	switch l.kind {
	case lineInvalid:
		return &Violation{Reason: ReasonLine}
	case lineData:
		return f.addData(l)
	case lineID:
		return f.addID(l)
	case lineNumeric:
		return f.addNumeric(l, format.NumericFields[l.field])
	case lineUnknown:
		f.eventOnly = true
	}
	return nil
}

func (f *fields) addData(l *line) *Violation {
	f.data++
	if f.dataEnded {
		return &Violation{Reason: ReasonData}
	}
	f.unusual = f.unusual || f.ids == 0 || !bytes.HasPrefix(l.text, []byte(prefixData))
	return nil
}

func (f *fields) addID(l *line) *Violation {
	id, ok := parseID(bytes.Trim(l.value, " "))
	if !ok {
		return &Violation{Reason: ReasonID}
	}
	f.ids++
	f.id = id
	f.unusual = f.unusual || !isNumberLine(l.text, prefixID, id)
	return nil
}

func (f *fields) addNumeric(l *line, name string) *Violation {
	bit := uint64(1) << l.field
	if f.seen&bit != 0 {
		return &Violation{Reason: ReasonField}
	}
	f.seen |= bit
	f.eventOnly = true
	f.unusual = f.unusual || f.ids > 0 || !isNumberLine(l.text, name+": ", l.number)
	return nil
}

// block returns the block that these fields make.
func (f *fields) block() (block, *Violation) {
	switch {
	case f.ids == 0 && f.data == 0 && !f.eventOnly:
		return block{}, nil
	case f.ids != 1:
		return block{}, &Violation{Reason: ReasonID}
	case f.data == 0:
		return block{}, &Violation{Reason: ReasonData}
	}
	return block{event: true, id: f.id, normal: !f.unusual}, nil
}

// appendNormal appends an event in the form in which events are returned: numeric fields, the id and
// the data, with lines that end with LF. raw is the event as received.
func (f Format) appendNormal(to, raw []byte, end lineEnd, id int64) []byte {
	for l := range f.linesOf(raw, end) {
		if l.kind == lineNumeric {
			to = appendNumber(to, f.NumericFields[l.field]+": ", l.number)
		}
	}
	to = appendNumber(to, prefixID, id)
	for l := range f.linesOf(raw, end) {
		if l.kind == lineData {
			to = append(append(append(to, prefixData...), l.value...), '\n')
		}
	}
	return append(to, '\n')
}

// linesOf returns the lines of a complete block that are not empty.
func (f Format) linesOf(raw []byte, end lineEnd) iter.Seq[line] {
	separator := byte('\n')
	if end == endCR {
		separator = '\r'
	}
	return func(yield func(line) bool) {
		for text := range bytes.SplitSeq(raw, []byte{separator}) {
			text = bytes.TrimSuffix(text, []byte("\r"))
			if len(text) > 0 && !yield(f.parse(text)) {
				return
			}
		}
	}
}
