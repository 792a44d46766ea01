// Package detour decides how a request goes on whose path has lost a part: around it,
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
// one transfer after another: 25 MB each way for a usual request, over 1.4 GB a second.
// Measured: pauses of 0.6 to 1.6 s for every stream of the domain.
//
// # Rules
//
//   - A way around that stays in the failure domains of the path is taken: one replica
//     reads again what the lost one had read.
//   - A way that crosses is taken while the links are free enough (Free); otherwise the
//     request goes on whole in another failure domain, where only its text is sent and
//     all replicas read it, some ten milliseconds each, one behind the other.
//   - Where neither another first replica nor a free link is to be had, it crosses and
//     waits its turn.
//   - A part that only leaves serves on for seconds: what must cross does so one at a
//     time (Idle), while the others stay.
//
// A node sees only its own transfers. What strikes one node's streams strikes those of
// all nodes of the domain alike, so it reckons with as many times its own.
package detour

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

// Free is the wait for the links between failure domains up to which crossing them is
// no slower than going on elsewhere: there a usual prompt is read in about 0.1 s, and
// the first event comes after that.
const Free = 120 * time.Millisecond

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
}

// Wait is how long the transfer would take, with what all nodes have under way.
func (l *Links) Wait(now time.Time, load Load) time.Duration {
	if load.PerSecond <= 0 {
		return 0
	}
	all := (l.left(now, load) + load.Bytes) * float64(max(1, load.Nodes))
	return time.Duration(all / load.PerSecond * float64(time.Second))
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
// one may go on.
func (l *Links) Decide(now time.Time, around bool, load Load, elsewhere bool) Way {
	switch {
	case around && (load.Bytes == 0 || l.Wait(now, load) <= Free):
		return Around
	case elsewhere:
		return Elsewhere
	case around:
		return Around
	}
	return Stay
}
