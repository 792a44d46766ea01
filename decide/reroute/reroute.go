// Package reroute decides how a request continues when its path has lost a stage.
//
// # Terms
//
//   - The path of a request is the list of stages that the request runs through. A stage
//     is a replica with the layers that it runs.
//   - An event is one message of the answer that is streamed to the caller.
//   - A bypass is a path that keeps the first replica of the request and runs the lost
//     layers on other replicas. A request bypasses the lost replica if it takes this path.
//   - A request migrates if another first replica continues the request after the last
//     event that the caller has received.
//   - A request crosses if its path leads from one failure domain to another. A
//     transfer is the data of one request that crosses the links between failure
//     domains.
//
// # Load pattern
//
// A replica dies whose layers no other replica of its failure domain holds. All streams
// of the domain run through this replica, dozens at once. For each of them the replica
// that takes over the lost layers must prefill the prompt and the generated tokens again.
//
// # Failure without this package
//
// All streams bypass the lost replica through another failure domain. The data that passes
// between two layers is many times the size of the text. The data crosses twice, over links that
// all domains share, one transfer after another: 25 MB each way for a usual request, at 1.4
// GB a second. All streams of the domain pause, and the longest pauses exceed a second.
//
// # Rules
//
//   - If there is a bypass on which the next event of the request comes in time
//     (Estimate.MaxWait), the request takes the bypass. For this, earlier transfers on the
//     links must end soon enough, and the replica that takes over must not have too much
//     prefill for other streams that lost the same stage.
//   - Otherwise the request migrates to another failure domain, if it can migrate and if
//     its next event comes sooner there or there is no bypass. Only the text of the request
//     is sent to the other domain, and the many replicas of that domain share the prefill
//     of such requests.
//   - Otherwise the request takes the bypass, if there is one, and waits for its transfer
//     and its prefill.
//   - A request that can neither migrate nor take a bypass stays on its path for now.
//   - A replica that is only draining continues to serve for seconds. Requests that must
//     cross to leave this replica do so one at a time (Idle). Each of these requests stays
//     on its path until its turn.
//
// A node knows only its own transfers. A lost replica affects the streams of all nodes
// of the domain alike, so a node multiplies its own transfers by the number of nodes.
package reroute

import "time"

// Action says how a request continues.
type Action uint8

const (
	// Stay leaves the request on its path for now, because there is no bypass and the request
	// can't migrate. The request waits, and the caller calls Decide again later.
	Stay Action = iota
	// Bypass keeps the first replica of the request and runs the lost layers on other
	// replicas.
	Bypass
	// Migrate continues the request at another first replica, after its last event.
	Migrate
)

// String returns the action as log lines show it.
func (a Action) String() string {
	return [...]string{"stay", "around", "elsewhere"}[a]
}

// LinkBacklog tracks the transfers that rerouted requests of this node have begun on the links
// between failure domains. A LinkBacklog is not safe for concurrent use.
type LinkBacklog struct {
	pendingBytes float64 // not yet transferred at updatedAt
	updatedAt    time.Time
}

// Estimate holds the costs of rerouting a request.
type Estimate struct {
	// Bytes is the size of the request's transfer on the bypass. Bytes is zero if the
	// bypass crosses between failure domains no more often than the present path.
	Bytes float64
	// BytesPerSecond is the bandwidth that all nodes share on the links between failure
	// domains. Zero means that the bandwidth has no limit.
	BytesPerSecond float64
	// Nodes is the number of nodes whose streams are affected in the same way.
	Nodes int
	// BypassPrefill is the time until the slowest new stage of the bypass has prefilled the
	// request. MigratePrefill is the same time for the path from another first replica.
	BypassPrefill, MigratePrefill time.Duration
	// MaxWait is how long the request may wait for its next event on a bypass: the part of
	// the allowed pause that is left when the loss has been detected.
	MaxWait time.Duration
}

// TransferTime returns the time until the transfer of a request would end, behind the earlier
// transfers of all nodes.
func (l *LinkBacklog) TransferTime(now time.Time, e Estimate) time.Duration {
	if e.BytesPerSecond <= 0 {
		return 0
	}
	totalBytes := (l.remainingBytes(now, e) + e.Bytes) * float64(max(1, e.Nodes))
	return time.Duration(totalBytes / e.BytesPerSecond * float64(time.Second))
}

// bypassTime returns the time until the next event of the request on the bypass.
func (l *LinkBacklog) bypassTime(now time.Time, e Estimate) time.Duration {
	if e.Bytes == 0 {
		return e.BypassPrefill
	}
	return l.TransferTime(now, e) + e.BypassPrefill
}

// Idle reports whether a request that need not be rerouted at once may be rerouted now: either
// the request needs no transfer, or this node has no unfinished transfer on the links, so
// that the request waits only for its own transfer.
func (l *LinkBacklog) Idle(now time.Time, e Estimate) bool {
	return e.Bytes == 0 || l.remainingBytes(now, e) == 0
}

// AddTransfer records that the transfer of a request begins.
func (l *LinkBacklog) AddTransfer(now time.Time, e Estimate) {
	l.pendingBytes, l.updatedAt = l.remainingBytes(now, e)+e.Bytes, now
}

// remainingBytes returns how many bytes of this node's transfers are not transferred yet.
// The calculation assumes that each node gets an equal share of the bandwidth.
func (l *LinkBacklog) remainingBytes(now time.Time, e Estimate) float64 {
	bytesPerSecond := e.BytesPerSecond / float64(max(1, e.Nodes))
	return max(0, l.pendingBytes-bytesPerSecond*now.Sub(l.updatedAt).Seconds())
}

// Decide returns the action for a request by the rules of the package. canBypass says that
// there is a bypass. canMigrate says that the request can continue at another first replica.
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
