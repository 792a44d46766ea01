package relay

import (
	"bytes"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// splitter cuts a stream of events into whole ones. An event ends with an empty
// line.
type splitter struct {
	pending []byte
}

// event is one whole event as it came, with its id; id is "" if it has none.
type event struct {
	data []byte
	id   string
}

// add takes more bytes of the stream.
func (s *splitter) add(p []byte) { s.pending = append(s.pending, p...) }

// next returns the next whole event. Its data is valid until the next add.
func (s *splitter) next() (event, bool) {
	length := eventLength(s.pending)
	if length == 0 {
		return event{}, false
	}
	data := s.pending[:length]
	s.pending = s.pending[length:]
	return event{data: data, id: idOf(data)}, true
}

// rest is what has come of an event that is not whole.
func (s *splitter) rest() int { return len(bytes.TrimSpace(s.pending)) }

// eventLength is the length of the first whole event, 0 if there is none yet.
func eventLength(p []byte) int {
	for at := 0; ; {
		end := bytes.IndexByte(p[at:], '\n')
		if end < 0 {
			return 0
		}
		line := bytes.TrimSuffix(p[at:at+end], []byte("\r"))
		at += end + 1
		if len(line) == 0 {
			return at
		}
	}
}

func idOf(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
