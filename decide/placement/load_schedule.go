package placement

import "time"

// maxBusyAhead is how far ahead the weight store's time may be given away. A node
// whose clock is hours fast books hours ahead, and all others would wait for it.
const maxBusyAhead = time.Hour

// LoadSchedule is the weight store's time, as far as it is given away to loads. One value
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
type LoadSchedule struct {
	// BusyUntil is when the last load that was given a time ends.
	BusyUntil time.Time
}

// Free reports whether a load could begin at once.
func (s LoadSchedule) Free(now time.Time) bool {
	return !s.BusyUntil.After(now) || s.BusyUntil.Sub(now) > maxBusyAhead
}

// Reserve gives each load the time behind the last one; takes are their lengths. A
// load of no length, an order for layers that the engine holds, waits for none.
func (s LoadSchedule) Reserve(now time.Time, durations []time.Duration) ([]time.Time, LoadSchedule) {
	if s.Free(now) {
		s.BusyUntil = now
	}
	starts := make([]time.Time, len(durations))
	for i, d := range durations {
		starts[i] = now
		if d > 0 {
			starts[i] = s.BusyUntil
			s.BusyUntil = s.BusyUntil.Add(d)
		}
	}
	return starts, s
}

// ReplicaState is how a replica stands to its plan.
type ReplicaState uint8

const (
	// Unknown replicas have not answered, in part or whole.
	Unknown ReplicaState = iota
	// Loading replicas are about to load what their plan says.
	Loading
	// Ready replicas hold what their plan says, and serve.
	Ready
)

// MayReload reports whether a replica that serves may be stopped for a better plan,
// by the states of the others that serve the same callers. One moves at a time,
// and only while at least half of the others are whole.
//
// The load pattern that it answers: one bad switch makes every replica's times
// worse, and all their plans change in the same second. Each stops serving for the
// seconds of its load, and callers find no replica at all.
func MayReload(others []ReplicaState) bool {
	ready := 0
	for _, s := range others {
		switch s {
		case Loading:
			return false
		case Ready:
			ready++
		}
	}
	return 2*ready >= len(others)
}
