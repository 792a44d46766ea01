package drainmark

import (
	"slices"
	"time"
)

// absentFor is how long a mark is kept while its replica is not listed. Replicas register again
// within seconds after an outage of the store.
const absentFor = time.Minute

// mark is the mark of one replica.
type mark struct {
	incarnation int64
	// listedAt is when the replica was last listed, or when it was marked.
	listedAt time.Time
}

// Tracker holds the marks of the replicas of one service. It is not safe for concurrent use.
type Tracker struct {
	marks map[string]mark
}

// New returns a Tracker without marks.
func New() *Tracker { return &Tracker{marks: map[string]mark{}} }

// Mark records that an incarnation of a replica is leaving. It reports whether that is new.
func (t *Tracker) Mark(now time.Time, replica string, incarnation int64) bool {
	if t.Marked(replica, incarnation) {
		return false
	}
	t.marks[replica] = mark{incarnation: incarnation, listedAt: now}
	return true
}

// Marked reports whether an incarnation of a replica has said that it is leaving.
func (t *Tracker) Marked(replica string, incarnation int64) bool {
	m, ok := t.marks[replica]
	return ok && m.incarnation == incarnation
}

// SetListed records the listed replicas with their incarnations, and drops the marks of other
// incarnations and of replicas that have been absent for absentFor.
func (t *Tracker) SetListed(now time.Time, incarnations map[string]int64) {
	for replica, m := range t.marks {
		incarnation, listed := incarnations[replica]
		switch {
		case listed && incarnation == m.incarnation:
			t.marks[replica] = mark{incarnation: incarnation, listedAt: now}
		case listed, now.Sub(m.listedAt) >= absentFor:
			delete(t.marks, replica)
		}
	}
}

// Replicas returns the marked replicas, sorted.
func (t *Tracker) Replicas() []string {
	var ids []string
	for replica := range t.marks {
		ids = append(ids, replica)
	}
	slices.Sort(ids)
	return ids
}
