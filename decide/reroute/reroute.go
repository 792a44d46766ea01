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

// Action is how a request goes on.
type Action uint8

const (
	// Stay leaves it where it is: there is no way now.
	Stay Action = iota
	// Bypass leads it around the lost part.
	Bypass
	// Migrate has another first replica go on after its last event.
	Migrate
)

// String names the way for log lines.
func (a Action) String() string {
	return [...]string{"stay", "around", "elsewhere"}[a]
}

// LinkBacklog is what this node has sent over the links between failure domains. Not safe for
// concurrent use.
type LinkBacklog struct {
	bytes   float64 // bytes not yet transferred at a time
	updated time.Time
}

// Estimate describes a request that may cross.
type Estimate struct {
	// Bytes is what crosses, each added crossing counted; zero if no more crossings are
	// added.
	Bytes float64
	// BytesPerSecond is what the links carry; zero for no bound.
	BytesPerSecond float64
	// Nodes is how many nodes are in the same case.
	Nodes int
	// BypassPrefill is how long the slowest of the replicas that take over will read, and
	// MigratePrefill the same of the way that begins at another first replica.
	BypassPrefill, MigratePrefill time.Duration
	// MaxWait is the wait up to which the request goes around without further ado: what is
	// left of the pause that is on time once the loss is known.
	MaxWait time.Duration
}

// TransferTime is how long the transfer would take, with what all nodes have under way.
func (l *LinkBacklog) TransferTime(now time.Time, e Estimate) time.Duration {
	if e.BytesPerSecond <= 0 {
		return 0
	}
	total := (l.remaining(now, e) + e.Bytes) * float64(max(1, e.Nodes))
	return time.Duration(total / e.BytesPerSecond * float64(time.Second))
}

// bypassTime is how long a way bypassTime takes until its next event can come.
func (l *LinkBacklog) bypassTime(now time.Time, e Estimate) time.Duration {
	if e.Bytes == 0 {
		return e.BypassPrefill
	}
	return l.TransferTime(now, e) + e.BypassPrefill
}

// Idle says whether a request that has time may cross now: nothing of this node is under
// way over the links, so that its own transfer is all that it waits for.
func (l *LinkBacklog) Idle(now time.Time, e Estimate) bool {
	return e.Bytes == 0 || l.remaining(now, e) == 0
}

// AddTransfer notes that the request was sent across.
func (l *LinkBacklog) AddTransfer(now time.Time, e Estimate) {
	l.bytes, l.updated = l.remaining(now, e)+e.Bytes, now
}

// remaining is this node's backlog now: of what the links carry it has an even part.
func (l *LinkBacklog) remaining(now time.Time, e Estimate) float64 {
	rate := e.BytesPerSecond / float64(max(1, e.Nodes))
	return max(0, l.bytes-rate*now.Sub(l.updated).Seconds())
}

// Decide chooses between a way around, if there is one, and another first replica, if
// one may go on and has read the request no later.
func (l *LinkBacklog) Decide(now time.Time, canBypass bool, e Estimate, canMigrate bool) Action {
	switch {
	case canBypass && l.bypassTime(now, e) <= e.MaxWait:
		return Bypass
	case canMigrate && (!canBypass || e.MigratePrefill < l.bypassTime(now, e)):
		return Migrate
	case canBypass:
		return Bypass
	}
	return Stay
}
