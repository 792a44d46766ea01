package relay

import (
	"bytes"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventSplitter cuts a stream of events into whole ones. An event ends with an empty
// line.
type eventSplitter struct {
	buffer []byte
	// consumed is how much of the buffer was given out.
	consumed int
}

// event is one whole event as it came, with its id; id is empty if it has none. Both are
// valid until the next add.
type event struct {
	data, id []byte
}

// add takes more bytes of the stream.
func (s *eventSplitter) add(p []byte) {
	if s.consumed > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.pending())]
		s.consumed = 0
	}
	s.buffer = append(s.buffer, p...)
}

// next returns the next whole event.
func (s *eventSplitter) next() (event, bool) {
	length := eventLength(s.pending())
	if length == 0 {
		return event{}, false
	}
	data := s.pending()[:length]
	s.consumed += length
	return event{data: data, id: idOf(data)}, true
}

func (s *eventSplitter) pending() []byte { return s.buffer[s.consumed:] }

// incompleteBytes is what has come of an event that is not whole.
func (s *eventSplitter) incompleteBytes() int { return len(bytes.TrimSpace(s.pending())) }

// eventLength is the length of the first whole event, 0 if there is none yet.
func eventLength(p []byte) int {
	for offset := 0; ; {
		end := bytes.IndexByte(p[offset:], '\n')
		if end < 0 {
			return 0
		}
		line := bytes.TrimSuffix(p[offset:offset+end], []byte("\r"))
		offset += end + 1
		if len(line) == 0 {
			return offset
		}
	}
}

var idField = []byte("id:")

func idOf(event []byte) []byte {
	for len(event) > 0 {
		line := event
		if end := bytes.IndexByte(event, '\n'); end >= 0 {
			line = event[:end]
		}
		event = event[min(len(event), len(line)+1):]
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return bytes.TrimSpace(value)
		}
	}
	return nil
}

// eventPosition is where a stream is: the id of its last event.
type eventPosition struct {
	id []byte
	// number is the id's, if it is one.
	number   int64
	isNumber bool
}

// String is the id as engines are told it.
func (p *eventPosition) String() string { return string(p.id) }

// set takes the id of an event that was passed on.
func (p *eventPosition) set(id []byte) {
	p.id = append(p.id[:0], id...)
	p.number, p.isNumber = parseNumber(id)
}

// precedes says whether an event comes after the place. One without an id, or with one that
// is no number, always does.
func (p *eventPosition) precedes(id []byte) bool {
	number, isNumber := parseNumber(id)
	return !p.isNumber || !isNumber || number > p.number
}

// parseNumber reads an id that is a whole number; it allocates nothing.
func parseNumber(id []byte) (int64, bool) {
	if len(id) == 0 || len(id) > maxDigits {
		return 0, false
	}
	number := int64(0)
	for _, c := range id {
		if c < '0' || c > '9' {
			return 0, false
		}
		number = 10*number + int64(c-'0')
	}
	return number, true
}

// maxDigits is as many as fit into an int64 whatever they are.
const maxDigits = 18
