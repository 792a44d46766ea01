// Package freshness decides whether a node may still serve requests on the configuration
// that it has.
//
// Use: keep one Lease per node. When a read of the store has confirmed that the node's
// configuration is the newest, call Renew with the time at which that read was started.
// Ask Fresh before sending a request that depends on a key.
//
// # Load pattern
//
// An operator revokes a key while some nodes can't reach the store, are stalled or have
// been suspended.
//
// # Failure without it
//
// Such a node accepts the key for as long as the outage lasts. After a suspension it
// serves the requests queued at its sockets before it reads the store.
//
// # Grounds
//
// All times are readings of one clock that continues while the machine is suspended. A
// monotonic clock that stops during suspension would make an old confirmation look
// recent. The age of a confirmation counts from the start of its read, because the store
// may have produced the answer at any time after that. So the age is never less than the
// time for which a newer configuration could have been in force unnoticed, whatever was
// delayed, and no agreement with other nodes is needed.
package freshness

import "time"

// Lease is a node's right to serve requests on its configuration. The zero value is not
// fresh. A Lease is not safe for concurrent use; the caller locks.
type Lease struct {
	// MaxAge is the age at which a confirmation expires.
	MaxAge      time.Duration
	confirmedAt time.Duration
	confirmed   bool
}

// Renew records that a read started at readStart has confirmed the configuration as
// current. Calls may come out of order.
func (l *Lease) Renew(readStart time.Duration) {
	if !l.confirmed || readStart > l.confirmedAt {
		l.confirmedAt, l.confirmed = readStart, true
	}
}

// Age returns the age of the newest confirmation; ok is false if there has been none.
func (l *Lease) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - l.confirmedAt, l.confirmed
}

// Fresh reports whether requests may be served on the configuration.
func (l *Lease) Fresh(now time.Duration) bool {
	age, ok := l.Age(now)
	return ok && age < l.MaxAge
}
