package replicalist

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/storeoutage"
)

// ReregistrationTimeout is how long replicas have to register again after an outage of the
// store. The platform documents about 2 s.
const ReregistrationTimeout = 2200 * time.Millisecond

// Change is a difference between two lists, for the log.
type Change struct {
	Replica *Replica
	// Kind is one of the Change constants below. Its text appears in the log.
	Kind string
}

// Kinds of changes.
const (
	// ChangeListed is a new or restarted replica.
	ChangeListed = "listed"
	// ChangeUpdated is a replica that has a new address or new layers or has stopped
	// draining.
	ChangeUpdated  = "changed"
	ChangeDraining = "draining"
	// ChangeRetained is a replica that stays in the list although its entry disappeared
	// during an outage of the store.
	ChangeRetained = "lapsed"
	ChangeRemoved  = "gone"
)

// Tracker builds lists of replicas from reads of the store.
//
// During an outage of the store, replicas cannot renew their entries, so the entries
// expire. After the outage, the store is empty for a second or two. Without the Tracker, a
// node would remove all replicas from its list during that time. The node could then send
// its requests to no replica, although every replica still serves.
//
// The Tracker therefore retains entries that expired in an outage, which decide/storeoutage
// detects. Their replicas have ReregistrationTimeout to register again. Entries of draining
// replicas, and entries that disappear while the store is available, are removed at once.
//
// A Tracker is not safe for concurrent use.
type Tracker struct {
	// MaxReadInterval is the longest time between two reads of the store during which no
	// entry can have expired unseen. Set MaxReadInterval to the usual read interval plus the
	// timeout of a failed read.
	MaxReadInterval time.Duration

	replicas map[string]*Replica
	outage   storeoutage.Detector
}

// Update records the replicas that a read of the store found. readAt is the time at which
// the read began. Update returns the replicas to use, ordered by ID, and the changes since
// the previous call.
func (t *Tracker) Update(readAt time.Time, found []*Replica) ([]*Replica, []Change) {
	t.outage.Observe(readAt, t.MaxReadInterval, ReregistrationTimeout, registrations(maps.Values(t.replicas)), registrations(slices.Values(found)))
	retain := t.outage.ExpiredWithin(readAt, ReregistrationTimeout)
	current := make(map[string]*Replica, len(found))
	var changes []Change
	for _, r := range found {
		current[r.ID] = r
		if kind := changeKind(t.replicas[r.ID], r); kind != "" {
			changes = append(changes, Change{Replica: r, Kind: kind})
		}
	}
	for id, r := range t.replicas {
		if current[id] != nil {
			continue
		}
		if retain && !r.Draining {
			current[id] = r
			changes = append(changes, Change{Replica: r, Kind: ChangeRetained})
			continue
		}
		changes = append(changes, Change{Replica: r, Kind: ChangeRemoved})
	}
	t.replicas = current
	return sortedByID(current), changes
}

// registrations returns the entries of replicas, for the detection of an outage. Draining
// replicas are left out, because their entries are expected to disappear.
func registrations(replicas iter.Seq[*Replica]) []storeoutage.Registration {
	var list []storeoutage.Registration
	for r := range replicas {
		if !r.Draining {
			list = append(list, storeoutage.Registration{Key: r.ID, Incarnation: r.Incarnation, Created: r.Created})
		}
	}
	return list
}

// changeKind returns the kind of the change from previous to current, or "" if there is no
// change. previous is nil for a new replica.
func changeKind(previous, current *Replica) string {
	switch {
	case previous == nil || previous.Incarnation != current.Incarnation:
		return ChangeListed
	case current.Draining && !previous.Draining:
		return ChangeDraining
	case previous.Holds != current.Holds || previous.Address != current.Address || previous.Draining != current.Draining:
		return ChangeUpdated
	}
	return ""
}

func sortedByID(replicas map[string]*Replica) []*Replica {
	list := make([]*Replica, 0, len(replicas))
	for _, r := range replicas {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
