// Package freshness decides whether a node may still serve requests by the configuration
// that it has read from the store. The configuration lists the API keys of callers. A
// confirmation is a read of the store which shows that the node has the newest
// configuration.
//
// Use: keep one Lease per node. When a read of the store has confirmed that the node's
// configuration is the newest, call Renew with the time at which that read was started.
// Call Fresh before a request that depends on an API key is sent to a back end.
//
// # Load pattern
//
// An operator revokes an API key. At that time some nodes can't reach the store, are
// stalled, or are suspended with their machine.
//
// # Failure without this package
//
// A node that can't reach the store accepts the revoked key for as long as the outage
// lasts. A node whose machine was suspended serves the requests queued at its sockets
// before it reads the store again.
//
// # Rule
//
// A node may serve requests only while the age of its newest confirmation is below a limit
// (Lease.MaxAge).
//
// # Grounds for the rule
//
// All times are readings of one clock that continues while the machine is suspended. With
// a monotonic clock that stops during suspension, an old confirmation would look recent.
//
// The age of a confirmation counts from the start of its read, because the store may have
// produced the answer at any time after the start. A newer configuration that the node
// doesn't know can't have been in force for longer than this age, however long the answer
// or the node was delayed. So each node can apply the rule by itself, without an agreement
// with other nodes.
package freshness

import "time"

// Lease is a node's right to serve requests by its configuration. A Lease without a
// confirmation is not fresh. A Lease is not safe for concurrent use; the caller locks.
type Lease struct {
	// MaxAge is the age at which a confirmation expires.
	MaxAge          time.Duration
	newestReadStart time.Duration // start of the read of the newest confirmation
	hasConfirmation bool          // whether there has been any confirmation
}

// Renew records a confirmation whose read was started at readStart. A confirmation whose read
// was started earlier than that of a recorded confirmation changes nothing.
func (l *Lease) Renew(readStart time.Duration) {
	if !l.hasConfirmation || readStart > l.newestReadStart {
		l.newestReadStart, l.hasConfirmation = readStart, true
	}
}

// Age returns the age of the newest confirmation; ok is false if there has been none.
func (l *Lease) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - l.newestReadStart, l.hasConfirmation
}

// Fresh reports whether the node may serve requests by its configuration at the time now.
func (l *Lease) Fresh(now time.Duration) bool {
	age, ok := l.Age(now)
	return ok && age < l.MaxAge
}
