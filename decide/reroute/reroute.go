// Package reroute decides how a request continues when its path has lost a stage: on a
// path that bypasses the lost replica, or, after its last event, at another first
// replica.
//
// # Load pattern
//
// A replica dies whose layers no other replica of its failure domain holds. All streams
// of the domain run through it, dozens at once. For each of them the replica that takes
// over the lost layers must prefill the prompt and the generated tokens again.
//
// # Failure without it
//
// All streams bypass the lost replica through another failure domain. The data between
// two layers is many times the text, and it crosses twice, over links that all domains
// share, one transfer after another: 25 MB each way for a usual request, at 1.4 GB a
// second. Every stream of the domain pauses for up to a second and more.
//
// # Rules
//
//   - A request bypasses the lost replica if it can be on time that way: the links
//     that the path crosses are free enough, and the replica that takes over doesn't
//     have too much prefill for other streams that lost the same stage.
//   - Otherwise the request migrates as a whole to another failure domain if that is
//     sooner. Only its text is sent there, and many replicas share the prefill.
//   - If neither another first replica nor a free link is available, the request crosses
//     and waits for its transfer.
//   - A replica that is only draining serves on for seconds. Requests that must cross
//     then do so one at a time (Idle), and the others stay.
//
// A node knows only its own transfers. A lost replica affects the streams of all nodes
// of the domain alike, so a node multiplies its own transfers by the number of nodes.
package reroute

import "time"

// Action says how a request continues.
type Action uint8

const (
	// Stay leaves the request on its path because there is no other way now.
	Stay Action = iota
	// Bypass keeps the first replica and routes the request around the lost one.
	Bypass
	// Migrate continues the request after its last event at another first replica.
	Migrate
)

// String names the action for log lines.
func (a Action) String() string {
	return [...]string{"stay", "around", "elsewhere"}[a]
}

// LinkBacklog tracks what this node has sent over the links between failure domains. It is
// not safe for concurrent use.
type LinkBacklog struct {
	pendingBytes float64 // not yet transferred at the last update
	updated      time.Time
}

// Estimate holds the costs of rerouting a request.
type Estimate struct {
	// Bytes is the data that the added crossings of the bypass transfer, zero if the
	// bypass adds no crossings.
	Bytes float64
	// BytesPerSecond is the bandwidth of the links; zero means no limit.
	BytesPerSecond float64
	// Nodes is the number of nodes whose streams are affected in the same way.
	Nodes int
	// BypassPrefill is the prefill time of the slowest replica that takes over on the
	// bypass, and MigratePrefill that of the slowest on the path from another first
	// replica.
	BypassPrefill, MigratePrefill time.Duration
	// MaxWait is the wait up to which a bypass is on time: the rest of the allowed pause
	// once the loss is known.
	MaxWait time.Duration
}

// TransferTime returns how long the transfer of a request would take behind the transfers
// of all nodes.
func (l *LinkBacklog) TransferTime(now time.Time, e Estimate) time.Duration {
	if e.BytesPerSecond <= 0 {
		return 0
	}
	totalBytes := (l.remaining(now, e) + e.Bytes) * float64(max(1, e.Nodes))
	return time.Duration(totalBytes / e.BytesPerSecond * float64(time.Second))
}

// bypassTime returns the time until the next event of the request on the bypass.
func (l *LinkBacklog) bypassTime(now time.Time, e Estimate) time.Duration {
	if e.Bytes == 0 {
		return e.BypassPrefill
	}
	return l.TransferTime(now, e) + e.BypassPrefill
}

// Idle reports whether a request that need not move at once may cross now: this node has no
// transfer on the links, so the request waits only for its own.
func (l *LinkBacklog) Idle(now time.Time, e Estimate) bool {
	return e.Bytes == 0 || l.remaining(now, e) == 0
}

// AddTransfer records the transfer of a request.
func (l *LinkBacklog) AddTransfer(now time.Time, e Estimate) {
	l.pendingBytes, l.updated = l.remaining(now, e)+e.Bytes, now
}

// remaining returns this node's backlog in bytes. It drains at the node's even share of the
// bandwidth.
func (l *LinkBacklog) remaining(now time.Time, e Estimate) float64 {
	bytesPerSecond := e.BytesPerSecond / float64(max(1, e.Nodes))
	return max(0, l.pendingBytes-bytesPerSecond*now.Sub(l.updated).Seconds())
}

// Decide chooses between a bypass, if there is one, and the migration to another first
// replica, if it is allowed and the prefill ends sooner there.
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
