// Package storeoutage decides whether entries that disappeared from the platform's store
// expired during an outage of the store.
//
// # Load pattern
//
// Replicas and nodes keep entries in the store and must renew them every few seconds. The
// store is unavailable for some seconds, or a single node can't reach the store for some
// seconds. Replicas leave at any time.
//
// # Failure without this package
//
// After an outage of the store the entries of all replicas may be missing, because no
// replica could renew its entry. A node that trusts the list then has no replica to send
// requests to, although all replicas serve.
//
// A node that retains missing entries after every gap in its own reads makes the opposite
// mistake. If only this node was cut off, the store was available all the time, and a
// missing entry belongs to a replica that has left. The node would send requests to it for
// seconds after the other nodes have stopped.
//
// # Rule
//
// After a gap between two reads, compare the entries of both reads. If the store was
// available, most entries of the first read still stand. If entries expired, most of them
// are missing, or their owners registered them again, which the store shows by a later
// creation revision. Entries count as expired in an outage only if at most one of
// maxUnbrokenDivisor entries stands unbroken. An entry of a new or restarted owner counts
// as unbroken: a release that replaces many replicas during the gap is not an outage.
//
// # Grounds for the rule
//
// Retaining an entry is the exception that needs proof. A replica that is dropped too early
// returns with its next heartbeat, while a request that is sent to a replica which left
// breaks a promise to the operators.
package storeoutage

import "time"

// Registration is an entry as one read of the store found it.
type Registration struct {
	// Key identifies the owner of the entry.
	Key string
	// Incarnation changes when the owner restarts under the same key; 0 if the entry does
	// not tell.
	Incarnation int64
	// Created is the store's revision at which the entry was created; 0 if it is not known.
	// Later writes of the entry leave it unchanged.
	Created int64
}

// maxUnbrokenDivisor: at most one entry in so many stands unbroken after an outage in which
// entries expired. Some stand if the outage was hardly longer than their lifetime.
const maxUnbrokenDivisor = 4

// Detector watches the reads of one kind of entry. It is not safe for concurrent use.
type Detector struct {
	lastReadAt time.Time
	// gapEndedAt is the time of the first read after the last gap, and beforeGap holds the
	// entries of the read before it.
	gapEndedAt time.Time
	beforeGap  map[string]Registration
	expired    bool
}

// Observe records a read that began at readAt and found the entries found. known are the
// entries in use before this read. maxInterval is the longest time between two reads that
// is not a gap. The first reads after an outage may still show entries that expire a moment
// later, so each read within returnTime after a gap is compared.
func (d *Detector) Observe(readAt time.Time, maxInterval, returnTime time.Duration, known, found []Registration) {
	if !d.lastReadAt.IsZero() && readAt.Sub(d.lastReadAt) > maxInterval {
		d.gapEndedAt, d.expired = readAt, false
		d.beforeGap = byKey(known)
	}
	d.lastReadAt = readAt
	if d.expired || !d.gapEndedWithin(readAt, returnTime) {
		return
	}
	d.expired = mostAreBroken(d.beforeGap, found)
}

// ExpiredWithin reports whether entries expired in an outage whose end this node saw less
// than returnTime before readAt. Entries that are missing are then retained.
func (d *Detector) ExpiredWithin(readAt time.Time, returnTime time.Duration) bool {
	return d.expired && d.gapEndedWithin(readAt, returnTime)
}

func (d *Detector) gapEndedWithin(readAt time.Time, returnTime time.Duration) bool {
	return !d.gapEndedAt.IsZero() && readAt.Sub(d.gapEndedAt) < returnTime
}

// mostAreBroken reports whether nearly all entries of before are missing from found or were
// created anew.
func mostAreBroken(before map[string]Registration, found []Registration) bool {
	unbroken := 0
	for _, f := range found {
		if !registeredAgain(before, f) {
			unbroken++
		}
	}
	return len(before) > 0 && unbroken*maxUnbrokenDivisor <= len(before)
}

// registeredAgain reports whether the owner of an entry kept running while the entry
// expired, and registered again.
func registeredAgain(before map[string]Registration, f Registration) bool {
	b, known := before[f.Key]
	return known && b.Incarnation == f.Incarnation && b.Created > 0 && f.Created > b.Created
}

func byKey(list []Registration) map[string]Registration {
	m := make(map[string]Registration, len(list))
	for _, r := range list {
		m[r.Key] = r
	}
	return m
}
