// Package reroute decides how a request goes on whose path has lost a part: around it,
// or from its last event at another first replica.
//
// # Load pattern
//
// A replica dies whose layers nobody else in its failure domain holds. All streams of
// the domain run through it, dozens at once, and each must have its prompt and what has
// been generated read again by whoever takes the lost layers.
//
// # Without it
//
// All of them are led around through another failure domain. What passes between two
// layers is many times the text, and crosses twice, over links that all domains share,
// one transfer after another: 25 MB each way for a usual request, over 1.4 GB a second,
// and every stream of the domain pauses for up to a second and more.
//
// # Rules
//
//   - A way around is taken while the request can be on time on it: while the links that
//     it crosses are free enough, and the replica that takes over has not too much to read
//     of others that lost the same part.
//   - Otherwise the request goes on whole in another failure domain, where only its text is
//     sent and many replicas share the reading, if that is sooner.
//   - Where neither another first replica nor a free link is to be had, it crosses and
//     waits its turn.
//   - A part that only leaves serves on for seconds: what must cross does so one at a
//     time (Idle), while the others stay.
//
// A node sees only what it has sent itself. What strikes one node's streams strikes those of
// all nodes of the domain alike, so it reckons with as many times its own.
package reroute

import "time"

// Way is how a request goes on.
type Way uint8

const (
	// Stay leaves it where it is: there is no way now.
	Stay Way = iota
	// Around leads it around the lost part.
	Around
	// Elsewhere has another first replica go on after its last event.
	Elsewhere
)

// String names the way for log lines.
func (w Way) String() string {
	return [...]string{"stay", "around", "elsewhere"}[w]
}

// Links is what this node has sent over the links between failure domains. Not safe for
// concurrent use.
type Links struct {
	backlog float64 // bytes not yet transferred at a time
	at      time.Time
}

// Load describes a request that may cross.
type Load struct {
	// Bytes is what crosses, each added crossing counted; zero if no more crossings are
	// added.
	Bytes float64
	// PerSecond is what the links carry; zero for no bound.
	PerSecond float64
	// Nodes is how many nodes are in the same case.
	Nodes int
	// Reading is how long the slowest of the replicas that take over will read, and
	// Elsewhere the same of the way that begins at another first replica.
	Reading, Elsewhere time.Duration
	// Free is the wait up to which the request goes around without further ado: what is
	// left of the pause that is on time once the loss is known.
	Free time.Duration
}

// Wait is how long the transfer would take, with what all nodes have under way.
func (l *Links) Wait(now time.Time, load Load) time.Duration {
	if load.PerSecond <= 0 {
		return 0
	}
	all := (l.left(now, load) + load.Bytes) * float64(max(1, load.Nodes))
	return time.Duration(all / load.PerSecond * float64(time.Second))
}

// around is how long a way around takes until its next event can come.
func (l *Links) around(now time.Time, load Load) time.Duration {
	if load.Bytes == 0 {
		return load.Reading
	}
	return l.Wait(now, load) + load.Reading
}

// Idle says whether a request that has time may cross now: nothing of this node is under
// way over the links, so that its own transfer is all that it waits for.
func (l *Links) Idle(now time.Time, load Load) bool {
	return load.Bytes == 0 || l.left(now, load) == 0
}

// Crossed notes that the request was sent across.
func (l *Links) Crossed(now time.Time, load Load) {
	l.backlog, l.at = l.left(now, load)+load.Bytes, now
}

// left is this node's backlog now: of what the links carry it has an even part.
func (l *Links) left(now time.Time, load Load) float64 {
	part := load.PerSecond / float64(max(1, load.Nodes))
	return max(0, l.backlog-part*now.Sub(l.at).Seconds())
}

// Decide chooses between a way around, if there is one, and another first replica, if
// one may go on and has read the request no later.
func (l *Links) Decide(now time.Time, around bool, load Load, elsewhere bool) Way {
	switch {
	case around && l.around(now, load) <= load.Free:
		return Around
	case elsewhere && (!around || load.Elsewhere < l.around(now, load)):
		return Elsewhere
	case around:
		return Around
	}
	return Stay
}
