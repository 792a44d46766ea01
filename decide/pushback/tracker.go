package pushback

import (
	"slices"
	"strings"
	"time"
)

// MaxDuration is the longest time that a replica is taken at its word for. Longer times count
// as MaxDuration, so that a replica with a fault is tried again some day.
const MaxDuration = 24 * time.Hour

// Pushback says that a replica wants no requests from this node.
type Pushback struct {
	Replica string
	// Remaining is the time from now on for which the replica wants none.
	Remaining time.Duration
}

// Tracker holds the pushbacks of the replicas of one service. It is not safe for concurrent
// use.
type Tracker struct {
	// until is the time before which each replica wants no requests.
	until map[string]time.Time
}

// New returns a Tracker without pushbacks.
func New() *Tracker { return &Tracker{until: map[string]time.Time{}} }

// Observe records that a replica wants no requests for a time from now on. It reports whether
// the replica wants none for longer than it was known to.
func (t *Tracker) Observe(now time.Time, replica string, duration time.Duration) bool {
	t.forget(now)
	until := now.Add(min(duration, MaxDuration))
	if !until.After(now) || !until.After(t.until[replica]) {
		return false
	}
	t.until[replica] = until
	return true
}

// forget drops the pushbacks that are over.
func (t *Tracker) forget(now time.Time) {
	for replica, until := range t.until {
		if !now.Before(until) {
			delete(t.until, replica)
		}
	}
}

// Until returns the time before which a replica wants no requests, or the zero time if it
// wants requests.
func (t *Tracker) Until(now time.Time, replica string) time.Time {
	until := t.until[replica]
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// Active returns the pushbacks that are not over, ordered by replica.
func (t *Tracker) Active(now time.Time) []Pushback {
	var list []Pushback
	for replica, until := range t.until {
		if now.Before(until) {
			list = append(list, Pushback{Replica: replica, Remaining: until.Sub(now)})
		}
	}
	slices.SortFunc(list, func(a, b Pushback) int { return strings.Compare(a.Replica, b.Replica) })
	return list
}
