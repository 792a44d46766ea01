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
	State   State
	// Running is how many streams its engines work on.
	Running int
}

// Rollout is which replicas of a failure domain take a new version next.
type Rollout struct {
	// Start lists them. Those that serve finish their streams first.
	Start []string
	// Out is how many replicas do not serve now, MayBeOut how many may not.
	Out, MayBeOut int
	// Behind is how many replicas' plans say another version.
	Behind int
}

// rolloutAtOnce bounds the replicas of a failure domain that are on their way to a
// version: one loads while the next finishes its streams. The weight store gives its
// rate to one load after the other, so more would only stand empty in its queue. Of
// 400 replicas of 30 s each, half would be gone for over an hour.
const rolloutAtOnce = 2

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
func NextRollout(version string, part float64, replicas []Candidate) Rollout {
	r := Rollout{MayBeOut: mayBeOut(part, len(replicas))}
	var serving []Candidate
	moving := 0
	for _, c := range replicas {
		if c.State != Whole {
			r.Out++
		}
		if c.State == Moving {
			moving++
		}
		if c.Version == version {
			continue
		}
		r.Behind++
		switch c.State {
		case Moving:
			r.Start = append(r.Start, c.Name)
		case Whole:
			serving = append(serving, c)
		}
	}
	room := max(min(r.MayBeOut-r.Out, rolloutAtOnce-moving), 0)
	if room == 0 || len(serving) == 0 {
		return r
	}
	// The one with the fewest streams is free the soonest.
	slices.SortFunc(serving, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.Name, b.Name))
	})
	for _, c := range serving[:min(room, len(serving))] {
		r.Start = append(r.Start, c.Name)
	}
	return r
}

// roundingSlack keeps a part such as 0.3 of 10 from being 2.9999.
const roundingSlack = 1e-9

func mayBeOut(part float64, replicas int) int {
	return int(math.Floor(part*float64(replicas) + roundingSlack))
}
