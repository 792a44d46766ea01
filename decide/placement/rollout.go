package placement

import (
	"cmp"
	"math"
	"slices"
)

// Candidate is a replica as a roll-out of a new version of the weights sees it.
type Candidate struct {
	Name string
	// Version is the one that its plan says.
	Version string
	State   ReplicaState
	// RunningStreams is how many streams its engines work on.
	RunningStreams int
}

// Rollout is which replicas of a failure domain take a new version next.
type Rollout struct {
	// Start lists them. Those that serve finish their streams first.
	Start []string
	// Unavailable is how many replicas do not serve now, MaxUnavailable how many may not.
	Unavailable, MaxUnavailable int
	// Outdated is how many replicas' plans say another version.
	Outdated int
}

// maxConcurrentUpdates bounds the replicas of a failure domain that are on their way to a
// version: one loads while the next finishes its streams. The weight store gives its
// rate to one load after the other, so more would only stand empty in its queue. Of
// 400 replicas of 30 s each, half would be gone for over an hour.
const maxConcurrentUpdates = 2

// NextRollout decides which replicas begin with a version of the weights. part is
// the most of a failure domain's replicas that a roll-out may keep from serving.
//
// The load pattern that it answers: a new version is promoted in the dawn rush. If
// each replica took it at once, all would empty, share the weight store's rate and
// come back together minutes later; callers would find nobody meanwhile. And a
// version that cannot be loaded would take the whole model down: here it stops by
// itself, because a replica that does not come back stays out and is counted.
//
// A replica that has not answered counts as out but is not started: a node that has
// just begun to keep the plans knows of no replica yet, and would start all. One
// whose engines differ from its plan serves nobody, so it changes course at once.
func NextRollout(version string, maxFraction float64, replicas []Candidate) Rollout {
	r := Rollout{MaxUnavailable: maxUnavailable(maxFraction, len(replicas))}
	loading := 0
	for _, c := range replicas {
		if c.State != Ready {
			r.Unavailable++
		}
		if c.State == Loading {
			loading++
		}
		if c.Version == version {
			continue
		}
		r.Outdated++
		if c.State == Loading {
			r.Start = append(r.Start, c.Name)
		}
	}
	allowed := min(r.MaxUnavailable-r.Unavailable, maxConcurrentUpdates-loading)
	var stopped []int
	for len(stopped) < allowed {
		next := fewestStreams(version, replicas, stopped)
		if next < 0 {
			break
		}
		stopped = append(stopped, next)
		r.Start = append(r.Start, replicas[next].Name)
	}
	return r
}

// fewestStreams is the serving replica with another version that has the fewest streams,
// and so is free the fewestStreams; -1 if there is none but those already chosen.
func fewestStreams(version string, replicas []Candidate, chosen []int) int {
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

// roundingTolerance keeps a part such as 0.3 of 10 from being 2.9999.
const roundingTolerance = 1e-9

func maxUnavailable(fraction float64, replicas int) int {
	return int(math.Floor(fraction*float64(replicas) + roundingTolerance))
}
