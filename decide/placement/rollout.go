package placement

import (
	"cmp"
	"math"
	"slices"
)

// RolloutReplica is a replica considered for a new version of the weights.
type RolloutReplica struct {
	Name string
	// Version is the version in the replica's plan.
	Version string
	State   ReplicaState
	// RunningStreams is the number of streams that its engines work on.
	RunningStreams int
}

// Rollout is the next step of a roll-out in a failure domain.
type Rollout struct {
	// Start lists the replicas that take the new version now. Serving replicas finish
	// their streams first.
	Start []string
	// Unavailable is the number of replicas that don't serve now, and MaxUnavailable
	// its upper bound.
	Unavailable, MaxUnavailable int
	// Outdated is the number of replicas whose plans name another version.
	Outdated int
}

// maxConcurrentUpdates bounds the replicas of a failure domain that change to a version at
// the same time: one loads while the next finishes its streams. The weight store serves
// one load after the other, so further replicas would only wait in its queue without
// serving. Of 400 replicas with loads of 30 s each, half would be out for over an hour.
const maxConcurrentUpdates = 2

// NextRollout decides which replicas start to take a version of the weights. maxFraction
// bounds the fraction of a failure domain's replicas that may be out of service during
// the roll-out.
//
// Load pattern: a new version is promoted in the dawn rush. If all replicas took it at
// once, all would drain, share the rate of the weight store and come back together
// minutes later, and callers would find no replica meanwhile. A version that can't be
// loaded would take down the whole model. Here such a roll-out stops, because a replica
// that doesn't come back stays unavailable and is counted.
//
// A replica that has not answered counts as unavailable but is not started: a node that
// has just taken over the plans has heard of no replica yet, and would start all of
// them. A replica whose engines differ from its plan serves no requests, so it takes the
// version at once.
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

// fewestStreams returns the index of the serving replica with another version that has
// the fewest streams and so drains first, or -1 if all such replicas are chosen already.
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

// roundingTolerance keeps a product such as 0.3 of 10 from becoming 2.9999.
const roundingTolerance = 1e-9

func maxUnavailable(fraction float64, replicas int) int {
	return int(math.Floor(fraction*float64(replicas) + roundingTolerance))
}
