package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// EvidenceReplicas is the number of replicas to which connections must fail before a node
	// counts as cut off from a service with more replicas than that.
	EvidenceReplicas = 5
	// verifyAfter is the number of replicas to which connections must fail before a node
	// verifies whether it is cut off.
	verifyAfter = 2
	// RecheckReplicas is the number of replicas that a cut-off node probes at a time.
	RecheckReplicas = 2
	// failureTTL is how long a failed connection counts. A node that verifies or is cut off
	// makes several probes within this time.
	failureTTL = 2 * time.Second
)

// Tracker decides whether this node is cut off from one service. It is not safe for concurrent
// use.
type Tracker struct {
	random *rand.Rand
	// replicas are the listed replicas, sorted.
	replicas []string
	// failedAt has, by replica, the time of the last failed connection. It is empty after a
	// successful connection to any replica.
	failedAt map[string]time.Time
	// cutOffSince is zero if the node is not cut off.
	cutOffSince time.Time
	// inDoubt is set until enough replicas have been tried, if the node is cut off from another
	// service.
	inDoubt bool
}

// New returns a Tracker without replicas. Nodes with different seeds probe different replicas.
func New(seed uint64) *Tracker {
	return &Tracker{random: rand.New(rand.NewPCG(seed, seed)), failedAt: map[string]time.Time{}}
}

// SetReplicas replaces the list of the service's replicas.
func (t *Tracker) SetReplicas(ids []string) {
	t.replicas = slices.Sorted(slices.Values(ids))
	for id := range t.failedAt {
		if !t.listed(id) {
			delete(t.failedAt, id)
		}
	}
}

func (t *Tracker) listed(id string) bool {
	_, found := slices.BinarySearch(t.replicas, id)
	return found
}

// Connected records that a replica accepted a connection. It reports whether the node was cut
// off until now.
func (t *Tracker) Connected(id string) (changed bool) {
	if !t.listed(id) {
		return false
	}
	changed = !t.cutOffSince.IsZero()
	t.cutOffSince, t.inDoubt = time.Time{}, false
	clear(t.failedAt)
	return changed
}

// Failed records that no connection to a replica could be opened. It reports whether the node
// counts as cut off from now on.
func (t *Tracker) Failed(now time.Time, id string) (changed bool) {
	if !t.listed(id) {
		return false
	}
	t.forget(now)
	t.failedAt[id] = now
	if !t.cutOffSince.IsZero() || len(t.failedAt) < min(EvidenceReplicas, len(t.replicas)) {
		return false
	}
	t.cutOffSince, t.inDoubt = now, false
	return true
}

// Doubt makes the node verify whether it is cut off from the service, because it is cut off from
// another one.
func (t *Tracker) Doubt() {
	t.inDoubt = t.cutOffSince.IsZero()
}

func (t *Tracker) forget(now time.Time) {
	for id, at := range t.failedAt {
		if now.Sub(at) >= failureTTL {
			delete(t.failedAt, id)
		}
	}
}

// CutOffFor returns for how long the node has been cut off from the service, and false if it is
// not.
func (t *Tracker) CutOffFor(now time.Time) (time.Duration, bool) {
	if t.cutOffSince.IsZero() {
		return 0, false
	}
	return now.Sub(t.cutOffSince), true
}

// ToVerify returns the replicas to probe next in order to find out whether the node is cut off.
// It returns none if the node is known to be cut off, or if it has failed to connect to fewer than
// two replicas and there is no other doubt.
func (t *Tracker) ToVerify(now time.Time) []string {
	t.forget(now)
	if !t.cutOffSince.IsZero() || len(t.failedAt) < verifyAfter && !t.inDoubt {
		return nil
	}
	untried := slices.DeleteFunc(slices.Clone(t.replicas), func(id string) bool { return !t.failedAt[id].IsZero() })
	return t.sample(untried, min(EvidenceReplicas, len(t.replicas))-len(t.failedAt))
}

// ToRecheck returns the replicas to probe next in order to find out whether the node is still
// cut off. It returns none if the node is not cut off.
func (t *Tracker) ToRecheck() []string {
	if t.cutOffSince.IsZero() {
		return nil
	}
	return t.sample(slices.Clone(t.replicas), RecheckReplicas)
}

// sample returns up to n of the ids, chosen at random. It changes the order of the ids.
func (t *Tracker) sample(ids []string, n int) []string {
	t.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:max(0, min(n, len(ids)))]
}
