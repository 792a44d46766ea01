package readers

import "time"

// Starts admits nodes that start to a whole answer of this one, at the rate that its link
// bears, and names those that have had one to the others: they may ask there.
//
// # Load pattern
//
// All nodes of a failure domain are killed, or lose power, and start at the same moment.
// Each needs all that the store holds, some hundred kilobytes.
//
// # Without it
//
// All ask one reader. Its link carries their answers side by side, so that none is whole in
// the time for which an asker waits; then all read the store, whose link does the same, and
// try again later and later: the more nodes, the longer nobody serves.
//
// # Rules
//
//   - An answer takes its part of the link for as long as it needs there; whoever would
//     wait for longer than MostQueue is sent on at once.
//   - He is given a few of those that were admitted before, drawn anew for each. They have
//     what this one has, a little later, and do as this one does: the number of nodes that
//     can be asked doubles with each answer's time.
//
// A wrong name costs a question. The zero value admits all. It is not safe for concurrent
// use.
type Starts struct {
	// Link is what this node's VM may send, in bytes a second; 0 if that is not known.
	Link float64

	free     time.Time // when the answers admitted so far are through
	admitted []string
}

const (
	// MostQueue is for how long an answer may wait for the link behind others: a part of
	// the time for which an asker waits.
	MostQueue = 100 * time.Millisecond
	// linkPart of the link is for answers to nodes that start; callers need the rest.
	linkPart = 0.5
	// mostNamed and mostKept bound the nodes that one who is sent on is given, and those
	// that are remembered.
	mostNamed = 3
	mostKept  = 64
)

// Admit says whether an answer of a number of bytes may go to a node now. address is where
// that node is asked in turn, "" if it can't be.
func (s *Starts) Admit(now time.Time, address string, bytes int) bool {
	if s.Link > 0 {
		from := now
		if s.free.After(now) {
			from = s.free
		}
		if from.Sub(now) > MostQueue {
			return false
		}
		s.free = from.Add(time.Duration(float64(bytes) / (s.Link * linkPart) * float64(time.Second)))
	}
	if address != "" {
		s.admitted = append(s.admitted, address)
		s.admitted = s.admitted[max(0, len(s.admitted)-mostKept):]
	}
	return true
}

// Elsewhere names nodes that one who was not admitted may ask. random draws from the first
// n numbers.
func (s *Starts) Elsewhere(random func(n int) int) []string {
	var named []string
	if len(s.admitted) == 0 {
		return nil
	}
	first, step := random(len(s.admitted)), max(1, len(s.admitted)/mostNamed)
	for i := range min(mostNamed, len(s.admitted)) {
		named = append(named, s.admitted[(first+i*step)%len(s.admitted)])
	}
	return named
}
