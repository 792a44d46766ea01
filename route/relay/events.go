package relay

import (
	"bytes"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventSplitter splits the bytes of a stream into complete events. An empty line ends an event.
type eventSplitter struct {
	buffer []byte
	// consumedBytes is the length of the buffer's prefix that next has returned.
	consumedBytes int
}

// event is one complete event as received. id is the event's id, empty if it has none. data and
// id are valid until the next call of add.
type event struct {
	data, id []byte
}

// add appends received bytes.
func (s *eventSplitter) add(p []byte) {
	if s.consumedBytes > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.pending())]
		s.consumedBytes = 0
	}
	s.buffer = append(s.buffer, p...)
}

// next returns the next complete event.
func (s *eventSplitter) next() (event, bool) {
	length := eventLength(s.pending())
	if length == 0 {
		return event{}, false
	}
	data := s.pending()[:length]
	s.consumedBytes += length
	return event{data: data, id: idOf(data)}, true
}

// hasEventAfter reports whether a complete event with data follows a position. It consumes nothing.
func (s *eventSplitter) hasEventAfter(p *eventPosition) bool {
	rest := s.pending()
	for length := eventLength(rest); length > 0; length = eventLength(rest) {
		event := rest[:length]
		rest = rest[length:]
		if hasData(event) && p.precedes(idOf(event)) {
			return true
		}
	}
	return false
}

// hasData reports whether an event has a line of data. Comments keep a connection open and have none.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, dataField) || bytes.Contains(event, append([]byte("\n"), dataField...))
}

var dataField = []byte("data:")

func (s *eventSplitter) pending() []byte { return s.buffer[s.consumedBytes:] }

// incompleteBytes is the length of the incomplete event at the end of the buffer, without white
// space around it.
func (s *eventSplitter) incompleteBytes() int { return len(bytes.TrimSpace(s.pending())) }

// eventLength is the length in bytes of the first complete event, 0 if there is none yet.
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

// eventPosition is a position in a stream: the id of the last event that was passed on.
type eventPosition struct {
	id []byte
	// numericID is the id as a number, if isNumeric is set.
	numericID int64
	isNumeric bool
}

// String returns the id as it is sent to engines.
func (p *eventPosition) String() string { return string(p.id) }

// set records the id of an event that was passed on.
func (p *eventPosition) set(id []byte) {
	p.id = append(p.id[:0], id...)
	p.numericID, p.isNumeric = parseNumericID(id)
}

// precedes reports whether the position is before the event with this id. The result is true if
// the event's id is missing, or if one of the two ids is not a number.
func (p *eventPosition) precedes(id []byte) bool {
	numericID, isNumeric := parseNumericID(id)
	return !p.isNumeric || !isNumeric || numericID > p.numericID
}

// parseNumericID parses an id that is a whole number. It allocates nothing.
func parseNumericID(id []byte) (int64, bool) {
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

// isNumericID reports whether an id is a whole number.
func isNumericID(id []byte) bool {
	_, isNumeric := parseNumericID(id)
	return isNumeric
}

// maxDigits is the number of decimal digits that always fit into an int64.
const maxDigits = 18
