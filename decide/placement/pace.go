package placement

import "time"

// maxAhead is how far ahead the weight store's time may be given away. A node
// whose clock is hours fast books hours ahead, and all others would wait for it.
const maxAhead = time.Hour

// Pace is the weight store's time, as far as it is given away to loads. One value
// is shared by all plans and all nodes.
//
// The load pattern that it answers: a rack comes back, or a document changes, and
// the engines of many replicas fetch their layers. Each plan paced for itself they
// all began at once, shared the store's rate and were all ready at the end. One
// after the other at the full rate, the first replica serves as soon as its own
// layers are there.
//
// It is a hint: a node with a wrong clock makes loads overlap or wait, and nothing
// else.
type Pace struct {
	// BusyUntil is when the last load that was given a time ends.
	BusyUntil time.Time
}

// Free reports whether a load could begin at once.
func (p Pace) Free(now time.Time) bool {
	return !p.BusyUntil.After(now) || p.BusyUntil.Sub(now) > maxAhead
}

// Book gives each load the time behind the last one; takes are their lengths. A
// load of no length, an order for layers that the engine holds, waits for none.
func (p Pace) Book(now time.Time, takes []time.Duration) ([]time.Time, Pace) {
	if p.Free(now) {
		p.BusyUntil = now
	}
	starts := make([]time.Time, len(takes))
	for i, take := range takes {
		starts[i] = now
		if take > 0 {
			starts[i] = p.BusyUntil
			p.BusyUntil = p.BusyUntil.Add(take)
		}
	}
	return starts, p
}

// State is how a replica stands to its plan.
type State uint8

const (
	// Unknown replicas have not answered, in part or whole.
	Unknown State = iota
	// Moving replicas are about to load what their plan says.
	Moving
	// Whole replicas hold what their plan says, and serve.
	Whole
)

// MayMove reports whether a replica that serves may be stopped for a better plan,
// by the states of the others that serve the same callers. One moves at a time,
// and only while at least half of the others are whole.
//
// The load pattern that it answers: one bad switch makes every replica's times
// worse, and all their plans change in the same second. Each stops serving for the
// seconds of its load, and callers find no replica at all.
func MayMove(others []State) bool {
	whole := 0
	for _, s := range others {
		switch s {
		case Moving:
			return false
		case Whole:
			whole++
		}
	}
	return 2*whole >= len(others)
}
