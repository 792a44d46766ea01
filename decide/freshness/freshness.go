// Package freshness decides whether a node may still serve on the configuration
// that it has.
//
// Use: keep one Lease a node. Call Prove with the moment at which a read of the
// configuration was begun, once that read has shown that the version in force here
// is the newest; ask Fresh before a request that depends on a key is sent.
//
// # Load pattern
//
// An operator takes a key away while some nodes can't reach the store, stand still
// or have been suspended.
//
// # Without it
//
// Such a node serves the key for as long as the outage lasts, and after a
// suspension it serves what had queued up at its sockets before it asks anybody.
//
// # Grounds
//
// All times are readings of one clock that goes on while the machine is suspended:
// a steady clock that stands still meanwhile makes an old proof look young. A proof
// counts from the beginning of its read, since the store's answer may have been
// given at any moment after that. So at any moment the age of the proof is at least
// the time that a change could have been in force unseen, whatever was delayed,
// and no agreement with other nodes is needed.
package freshness

import "time"

// Lease is a node's right to serve on its configuration. The zero value has none.
// It is not safe for concurrent use; the caller locks.
type Lease struct {
	// MaxAge is the greatest age of a proof with which requests are served.
	MaxAge      time.Duration
	confirmedAt time.Duration
	confirmed   bool
}

// Renew notes that a read begun at the given reading of the clock has shown the
// configuration to be current. Proofs that come out of order do no harm.
func (l *Lease) Renew(readStart time.Duration) {
	if !l.confirmed || readStart > l.confirmedAt {
		l.confirmedAt, l.confirmed = readStart, true
	}
}

// Age is the age of the newest proof; ok is false if there has been none.
func (l *Lease) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - l.confirmedAt, l.confirmed
}

// Fresh says whether the configuration may be served on.
func (l *Lease) Fresh(now time.Duration) bool {
	age, ok := l.Age(now)
	return ok && age < l.MaxAge
}
