package placement

import (
	"cmp"
	"math"
	"slices"
)

// RolloutReplica is a replica of the failure domain in which a version is rolled out.
type RolloutReplica struct {
	Name string
	// Version is the version of the weights that the replica's plan names.
	Version string
	State   ReplicaState
	// RunningStreams is the number of streams that the replica works on.
	RunningStreams int
}

// Rollout holds what a roll-out does next in a failure domain.
type Rollout struct {
	// Start names the replicas that change to the new version now. Serving replicas finish
	// their streams first.
	Start []string
	// Unavailable is the number of replicas that don't serve now, and MaxUnavailable
	// is the number of replicas that may be out of service during the roll-out.
	Unavailable, MaxUnavailable int
	// Outdated is the number of replicas whose plans name another version than the new
	// one.
	Outdated int
}

// maxConcurrentUpdates is the maximum number of replicas of a failure domain that change to
// a version at the same time: one loads while the next finishes its streams. The weight
// store serves one load after the other, so further replicas would only wait for the store
// without serving. If half of 400 replicas changed at once, with loads of 30 s each, they
// would be out of service for over an hour.
const maxConcurrentUpdates = 2

// NextRollout decides which replicas of a failure domain change to a version of the weights
// now. maxFraction is the fraction of the replicas that may be out of service during the
// roll-out.
//
// Load pattern: a new version is released while load is high. If all replicas changed to
// it at once, all would drain, share the rate of the weight store and return to service
// together minutes later. Callers would find no replica meanwhile. A version that can't be
// loaded would stop the whole model. NextRollout stops the roll-out of such a version,
// because a replica that fails to load it stays unavailable and counts against the bound.
//
// A replica in the state Unknown counts as unavailable, but NextRollout doesn't choose it
// for Start. A node that has just become responsible for the plans has no answer from any
// replica yet. Without this rule it would choose all of them. A replica in the state
// Loading serves no requests, so it changes to the version at once.
func NextRollout(version string, maxFraction float64, replicas []RolloutReplica) Rollout {
	r := Rollout{MaxUnavailable: maxUnavailable(maxFraction, len(replicas))}
	loadingCount := 0
	for _, c := range replicas {
		if c.State != Ready {
			r.Unavailable++
		}
		if c.State == Loading {
			loadingCount++
		}
		if c.Version == version {
			continue
		}
		r.Outdated++
		if c.State == Loading {
			r.Start = append(r.Start, c.Name)
		}
	}
	startsAllowed := min(r.MaxUnavailable-r.Unavailable, maxConcurrentUpdates-loadingCount)
	var chosen []int
	for len(chosen) < startsAllowed {
		next := fewestStreams(version, replicas, chosen)
		if next < 0 {
			break
		}
		chosen = append(chosen, next)
		r.Start = append(r.Start, replicas[next].Name)
	}
	return r
}

// fewestStreams returns the index of the serving replica with the fewest streams among those
// that have another version and are not chosen yet, or -1 if there is none. That replica
// finishes its streams first.
func fewestStreams(version string, replicas []RolloutReplica, chosen []int) int {
	best := -1
	for i := range replicas {
		c := &replicas[i]
		if c.State != Ready || c.Version == version || slices.Contains(chosen, i) {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(c.RunningStreams, replicas[best].RunningStreams), cmp.Compare(c.Name, replicas[best].Name)) < 0 {
			best = i
		}
	}
	return best
}

// roundingTolerance is added before a product is rounded down. Without it, 0.29 of 100
// replicas would be 28, because the product is 28.999999999999996.
const roundingTolerance = 1e-9

func maxUnavailable(fraction float64, replicas int) int {
	return int(math.Floor(fraction*float64(replicas) + roundingTolerance))
}
