package eventstream

import "strconv"

// MaxIDDigits is the largest number of decimal digits of an event's id. Such a number always fits into
// an int64.
const MaxIDDigits = 18

// Position is a position in a stream: the id of its last event. The zero value is the beginning.
type Position struct {
	id    int64
	known bool
	// largestStep is the largest difference between the ids of two events in succession. The first id
	// counts as a step from 0.
	largestStep int64
	// byOne is set if the ids of the stream rise by one as far as is known: the stream has begun with 0 or
	// 1, an id has followed another by one, or no more than the position is known. skips is set if an id
	// rose by more than one above another.
	byOne, skips bool
}

// ParsePosition returns the position after an event. It returns the beginning if the text is no id.
func ParsePosition(id string) Position {
	number, known := parseID([]byte(id))
	return Position{id: number, known: known, byOne: known}
}

// ID returns the id as it is sent to replicas, "" at the beginning.
func (p Position) ID() string {
	if !p.known {
		return ""
	}
	return strconv.FormatInt(p.id, 10)
}

// precedes reports whether the position is before the event with this id.
func (p Position) precedes(id int64) bool { return !p.known || id > p.id }

// Advance moves the position to an event after it.
func (p *Position) Advance(id int64) {
	step := id - p.id
	if p.known {
		p.skips = p.skips || step > 1
		p.byOne = !p.skips
	} else {
		p.byOne = step <= 1
	}
	p.largestStep = max(p.largestStep, step)
	p.id, p.known = id, true
}

// skipsTo reports whether an id leaves out others in a stream that has left out none.
func (p Position) skipsTo(id int64) bool { return p.byOne && id-p.id > 1 }

// jumpsTo reports whether an id rises by a larger step than one and than any before it.
func (p Position) jumpsTo(id int64) bool { return id-p.id > max(1, p.largestStep) }

// parseID parses an id. It allocates nothing.
func parseID(text []byte) (int64, bool) {
	if len(text) == 0 || len(text) > MaxIDDigits {
		return 0, false
	}
	number := int64(0)
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
		number = 10*number + int64(c-'0')
	}
	return number, true
}
