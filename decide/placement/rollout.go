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

// RolloutStep is the next step of a roll-out in a failure domain: the replicas that change to
// the new version now.
type RolloutStep struct {
	// Start names the replicas that begin to change to the new version now. A replica that
	// serves finishes its streams before it loads the new version.
	Start []string
	// Unavailable is the number of replicas that don't serve now. MaxUnavailable is the
	// largest number of replicas that may be out of service: the maxFraction of NextRollout
	// times the number of replicas, rounded down. NextRollout adds a serving
	// replica to Start only if Unavailable and the number of serving replicas in Start are
	// then together at most MaxUnavailable.
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
// now. maxFraction is the largest fraction of the replicas that may be out of service during
// the roll-out.
//
// Load pattern: a new version is released while traffic is high. If all replicas changed to
// the version at the same time, all would drain, share the rate of the weight store and
// return to service together minutes later. Callers would find no replica meanwhile. A
// version that can't be loaded would stop the whole model. NextRollout stops the roll-out of
// such a version: a replica that fails to load it stays unavailable and counts against
// MaxUnavailable.
//
// A replica in the state Unknown counts as unavailable, and NextRollout doesn't add it to
// Start. A node that has just become responsible for the plans has no answer from any
// replica yet. If Unknown replicas were treated as serving, such a node would add all
// replicas to Start.
//
// A replica in the state Loading whose plan names another version than the new one serves no
// requests, so its change takes no further replica out of service. NextRollout therefore
// adds the replica to Start at once, even if MaxUnavailable or maxConcurrentUpdates is
// reached.
func NextRollout(version string, maxFraction float64, replicas []RolloutReplica) RolloutStep {
	r := RolloutStep{MaxUnavailable: maxUnavailable(maxFraction, len(replicas))}
	loadingCount := 0
	for _, replica := range replicas {
		if replica.State != Ready {
			r.Unavailable++
		}
		if replica.State == Loading {
			loadingCount++
		}
		if replica.Version == version {
			continue
		}
		r.Outdated++
		if replica.State == Loading {
			r.Start = append(r.Start, replica.Name)
		}
	}
	startsAllowed := min(r.MaxUnavailable-r.Unavailable, maxConcurrentUpdates-loadingCount)
	var chosenIndexes []int
	for len(chosenIndexes) < startsAllowed {
		nextIndex := indexOfFewestStreams(version, replicas, chosenIndexes)
		if nextIndex < 0 {
			break
		}
		chosenIndexes = append(chosenIndexes, nextIndex)
		r.Start = append(r.Start, replicas[nextIndex].Name)
	}
	return r
}

// indexOfFewestStreams returns the index of the serving replica with the fewest streams among
// those that have another version and are not chosen yet, or -1 if there is none. The replica
// with the fewest streams is likely to finish them soonest.
func indexOfFewestStreams(version string, replicas []RolloutReplica, chosenIndexes []int) int {
	best := -1
	for i := range replicas {
		replica := &replicas[i]
		if replica.State != Ready || replica.Version == version || slices.Contains(chosenIndexes, i) {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(replica.RunningStreams, replicas[best].RunningStreams), cmp.Compare(replica.Name, replicas[best].Name)) < 0 {
			best = i
		}
	}
	return best
}

// roundingTolerance is added to a product before the product is rounded down. Without the
// tolerance, 0.29 of 100 replicas would be 28, because the product is 28.999999999999996.
const roundingTolerance = 1e-9

func maxUnavailable(fraction float64, replicaCount int) int {
	return int(math.Floor(fraction*float64(replicaCount) + roundingTolerance))
}
