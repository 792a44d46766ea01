package reach

import (
	"maps"
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
	// chosenReplicas is the number of replicas chosen by ToVerify to which connections must fail
	// before a node counts as cut off, unless connections to all replicas failed. Replicas that
	// are tried because they are in doubt often fail together although the link works.
	chosenReplicas = 3
	// RecheckReplicas is the number of replicas that a cut-off node probes at a time, over all
	// services.
	RecheckReplicas = 2
	// VerifyInterval is the shortest time from a verification that reached a replica to the next
	// verification.
	VerifyInterval = 400 * time.Millisecond
	// failureTTL is how long a failed connection counts. A node that verifies or is cut off
	// makes several probes within this time.
	failureTTL = 2 * time.Second
	// lostTTL is how long a replica counts as lost after the last failed connection. It is longer
	// than the interval at which nodes probe suspected replicas.
	lostTTL = 5 * time.Second
)

// Tracker decides whether this node is cut off from one service. It is not safe for concurrent
// use.
type Tracker struct {
	random *rand.Rand
	// replicas are the listed replicas, sorted.
	replicas []string
	// failedAt has, by replica, the time of the last failed connection. A successful connection
	// to any replica empties it.
	failedAt map[string]time.Time
	// lostAt has the time of the last failed connection of the replicas to which connections
	// failed while the node reached another replica.
	lostAt map[string]time.Time
	// chosen has the replicas that ToVerify returned since the last successful connection.
	chosen map[string]bool
	// verifiedAt is the time of the connection that ended the last verification.
	verifiedAt time.Time
	// cutOffSince is zero if the node is not cut off.
	cutOffSince time.Time
	// inDoubt is set until enough replicas have been tried, if the node is cut off from another
	// service.
	inDoubt bool
}

// New returns a Tracker without replicas. Nodes with different seeds probe different replicas.
func New(seed uint64) *Tracker {
	return &Tracker{
		random:   rand.New(rand.NewPCG(seed, seed)),
		failedAt: map[string]time.Time{}, lostAt: map[string]time.Time{}, chosen: map[string]bool{},
	}
}

// SetReplicas replaces the list of the service's replicas.
func (t *Tracker) SetReplicas(ids []string) {
	t.replicas = slices.Sorted(slices.Values(ids))
	unlisted := func(id string, _ time.Time) bool { return !t.listed(id) }
	maps.DeleteFunc(t.failedAt, unlisted)
	maps.DeleteFunc(t.lostAt, unlisted)
}

func (t *Tracker) listed(id string) bool {
	_, found := slices.BinarySearch(t.replicas, id)
	return found
}

// Connected records that a replica accepted a connection. It reports whether the node was cut
// off until now.
func (t *Tracker) Connected(now time.Time, id string) (changed bool) {
	if !t.listed(id) {
		return false
	}
	changed = !t.cutOffSince.IsZero()
	if len(t.chosen) > 0 {
		t.verifiedAt = now
	}
	if changed {
		// The failures during the cut say nothing about the replicas.
		clear(t.lostAt)
	} else {
		maps.Copy(t.lostAt, t.failedAt)
	}
	delete(t.lostAt, id)
	clear(t.failedAt)
	clear(t.chosen)
	t.cutOffSince, t.inDoubt = time.Time{}, false
	return changed
}

// Failed records that no connection to a replica could be opened. It reports whether the node
// counts as cut off from now on.
func (t *Tracker) Failed(now time.Time, id string) (changed bool) {
	if !t.listed(id) {
		return false
	}
	t.forget(now)
	if t.lostAt[id].IsZero() {
		t.failedAt[id] = now
	} else {
		t.lostAt[id] = now
	}
	if !t.cutOffSince.IsZero() || !t.enoughEvidence(now) {
		return false
	}
	t.cutOffSince, t.inDoubt = now, false
	return true
}

// enoughEvidence reports whether the failed connections show that the node is cut off.
func (t *Tracker) enoughEvidence(now time.Time) bool {
	if len(t.failedAt) >= EvidenceReplicas && t.chosenFailures() >= chosenReplicas {
		return true
	}
	return !slices.ContainsFunc(t.replicas, func(id string) bool { return !t.failedLately(now, id) })
}

// chosenFailures returns the number of failed replicas that ToVerify had chosen.
func (t *Tracker) chosenFailures() int {
	n := 0
	for id := range t.chosen {
		if !t.failedAt[id].IsZero() {
			n++
		}
	}
	return n
}

// failedLately reports whether a connection to a replica failed within failureTTL.
func (t *Tracker) failedLately(now time.Time, id string) bool {
	lostAt := t.lostAt[id]
	return !t.failedAt[id].IsZero() || !lostAt.IsZero() && now.Sub(lostAt) < failureTTL
}

// Doubt makes the node verify whether it is cut off from the service, because it is cut off from
// another one.
func (t *Tracker) Doubt() {
	t.inDoubt = t.cutOffSince.IsZero()
}

func (t *Tracker) forget(now time.Time) {
	maps.DeleteFunc(t.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= failureTTL })
	maps.DeleteFunc(t.lostAt, func(_ string, at time.Time) bool { return now.Sub(at) >= lostTTL })
}

// CutOffFor returns for how long the node has been cut off from the service, and false if it is
// not.
func (t *Tracker) CutOffFor(now time.Time) (time.Duration, bool) {
	if t.cutOffSince.IsZero() {
		return 0, false
	}
	return now.Sub(t.cutOffSince), true
}

// MustVerify reports whether replicas must be probed now in order to find out whether the node is
// cut off.
func (t *Tracker) MustVerify(now time.Time) bool {
	switch {
	case !t.cutOffSince.IsZero():
		return false
	case t.inDoubt:
		return true
	}
	t.forget(now)
	return len(t.failedAt) >= t.verifyThreshold() && now.Sub(t.verifiedAt) >= VerifyInterval
}

// ToVerify returns the replicas to probe next if MustVerify is true. Lost replicas are returned
// only if there are too few others.
func (t *Tracker) ToVerify(now time.Time) []string {
	if !t.MustVerify(now) {
		return nil
	}
	var untried, lost []string
	for _, id := range t.replicas {
		switch {
		case t.failedLately(now, id):
		case t.lostAt[id].IsZero():
			untried = append(untried, id)
		default:
			lost = append(lost, id)
		}
	}
	missing := max(EvidenceReplicas-len(t.failedAt), chosenReplicas-t.chosenFailures())
	chosen := t.sample(untried, missing)
	chosen = append(chosen, t.sample(lost, missing-len(chosen))...)
	for _, id := range chosen {
		t.chosen[id] = true
	}
	return chosen
}

// verifyThreshold returns the number of replicas to which connections must fail before a
// verification. There must be a replica that is not lost.
func (t *Tracker) verifyThreshold() int {
	return min(verifyAfter, max(1, len(t.replicas)-len(t.lostAt)))
}

// ToRecheck returns up to n replicas to probe next in order to find out whether the node is still
// cut off. It returns none if the node is not cut off.
func (t *Tracker) ToRecheck(n int) []string {
	if t.cutOffSince.IsZero() {
		return nil
	}
	return t.sample(slices.Clone(t.replicas), n)
}

// sample returns up to n of the ids, chosen at random. It changes the order of the ids.
func (t *Tracker) sample(ids []string, n int) []string {
	t.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:max(0, min(n, len(ids)))]
}
