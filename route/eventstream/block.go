package eventstream

import (
	"bytes"

	"github.com/cicadatack/cicadatack/route/internal/sse"
)

// block is a block of an answer.
type block struct {
	span
	event bool
	id    int64
	// repeated is set for an event that the stream already has.
	repeated bool
}

// fields are what the lines of a block say.
type fields struct {
	ids, data int
	// dataEnded is set if another field follows the data. other is set if there are fields that only
	// an event has.
	dataEnded, other bool
	id               int64
}

// add reads a line that is not empty.
func (f *fields) add(line []byte) *Violation {
	if line[0] == ':' {
		return nil
	}
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if bytes.Equal(name, sse.FieldData) {
		return f.addData()
	}
	f.dataEnded = f.data > 0
	switch {
	case bytes.Equal(name, sse.FieldID):
		return f.addID(bytes.TrimSpace(value))
	case bytes.Equal(name, sse.FieldRetry):
	case bytes.Equal(name, sse.FieldEvent), hasColon && sse.IsFieldName(name):
		f.other = true
	default:
		return &Violation{Reason: ReasonLine}
	}
	return nil
}

func (f *fields) addData() *Violation {
	f.data++
	if f.dataEnded {
		return &Violation{Reason: ReasonData}
	}
	return nil
}

func (f *fields) addID(text []byte) *Violation {
	id, ok := parseID(text)
	if !ok {
		return &Violation{Reason: ReasonID}
	}
	f.ids++
	f.id = id
	return nil
}

// block returns the block that these fields make.
func (f *fields) block() (block, *Violation) {
	switch {
	case f.ids == 0 && f.data == 0 && !f.other:
		return block{}, nil
	case f.ids != 1:
		return block{}, &Violation{Reason: ReasonID}
	case f.data == 0:
		return block{}, &Violation{Reason: ReasonData}
	}
	return block{event: true, id: f.id}, nil
}
