package replicalist

import (
	"cmp"
	"slices"
	"time"
)

// ReregistrationTimeout is how long owners take to enter themselves again once the store is
// back; the platform says about two seconds.
const ReregistrationTimeout = 2200 * time.Millisecond

// Change is a difference between two lists, for the log.
type Change struct {
	Replica *Replica
	// Kind is one of the constants below.
	Kind string
}

// What a change may be.
const (
	// ChangeListed is a replica that is new, or has started again.
	ChangeListed = "listed"
	// ChangeUpdated is another address, other layers, or a replica that drains no more.
	ChangeUpdated  = "changed"
	ChangeDraining = "draining"
	// ChangeRetained is an entry that vanished over an absence of the store, and holds.
	ChangeRetained = "lapsed"
	ChangeRemoved  = "gone"
)

// Tracker makes lists of replicas from reads of the store.
//
// The failure that it answers: while the store is away replicas can't renew their
// entries, and when it is back the list is empty for a second or two. A node that
// took that for their end would have nowhere to send its requests, though every
// replica serves. So an entry that vanishes over an absence of the store holds until
// its owner has had time to come back; one that vanishes while the store is there is
// gone.
//
// It is not safe for concurrent use.
type Tracker struct {
	// OutageThreshold is the pause between two reads of the store after which entries may
	// have lapsed in it because their owners could not renew them: a usual pause and
	// the time of a read that failed.
	OutageThreshold time.Duration

	known    map[string]*Replica
	lastRead time.Time
	// back is when the store was last found back after an absence.
	back time.Time
}

// Update takes what one read has found and returns the replicas to use, by id, and
// what has changed. read is when the read began.
func (t *Tracker) Update(read time.Time, found []*Replica) ([]*Replica, []Change) {
	if !t.lastRead.IsZero() && read.Sub(t.lastRead) > t.OutageThreshold {
		t.back = read
	}
	t.lastRead = read
	now := make(map[string]*Replica, len(found))
	var changes []Change
	for _, r := range found {
		now[r.ID] = r
		if what := difference(t.known[r.ID], r); what != "" {
			changes = append(changes, Change{Replica: r, Kind: what})
		}
	}
	for id, r := range t.known {
		if now[id] != nil {
			continue
		}
		if t.RecoveredWithin(read, ReregistrationTimeout) && !r.Draining {
			now[id] = r
			changes = append(changes, Change{Replica: r, Kind: ChangeRetained})
			continue
		}
		changes = append(changes, Change{Replica: r, Kind: ChangeRemoved})
	}
	t.known = now
	return sorted(now), changes
}

// RecoveredWithin says whether the store was found back, after an absence, less than some time
// before a read.
func (t *Tracker) RecoveredWithin(read time.Time, within time.Duration) bool {
	return !t.back.IsZero() && read.Sub(t.back) < within
}

func difference(old, now *Replica) string {
	switch {
	case old == nil || old.Incarnation != now.Incarnation:
		return ChangeListed
	case now.Draining && !old.Draining:
		return ChangeDraining
	case old.Holds != now.Holds || old.Address != now.Address || old.Draining != now.Draining:
		return ChangeUpdated
	}
	return ""
}

func sorted(replicas map[string]*Replica) []*Replica {
	list := make([]*Replica, 0, len(replicas))
	for _, r := range replicas {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
