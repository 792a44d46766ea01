package relay

import (
	"slices"

	"github.com/cicadatack/cicadatack/route/targets"
)

// attemptHistory is what the attempts of a request have met so far.
type attemptHistory struct {
	// failedReplicas are the replicas that failed this request. mayHaveRunOn are the first
	// replicas that may have begun it. attemptCount is the number of attempts so far.
	failedReplicas []string
	mayHaveRunOn   []string
	attemptCount   int
	// refusedHedges is the number of hedges that provably did not run. They leave the request its
	// attempts.
	refusedHedges int
}

// mayHedge reports whether the limits of attempts and of refused hedges allow another hedge.
func (h *attemptHistory) mayHedge() bool {
	return h.attemptCount < attemptLimit && h.refusedHedges < attemptLimit-1
}

func (h *attemptHistory) clone() attemptHistory {
	return attemptHistory{
		failedReplicas: slices.Clone(h.failedReplicas), mayHaveRunOn: slices.Clone(h.mayHaveRunOn), attemptCount: h.attemptCount,
		refusedHedges: h.refusedHedges,
	}
}

// addFailed records which replica failed an attempt. If the answer names a faulty stage, this is the
// replica of that stage, not the first replica. A model replica that accepted no connection is left
// out: it is suspected, so no path uses it until it is reached again, and then it may be sound.
func (h *attemptHistory) addFailed(t targets.Target, res attemptResult) {
	if t.Active != nil && res.kind == resultNotSent && res.feedback.Suspected {
		return
	}
	faulty := t.Replica
	if res.feedback.FaultAddress != "" {
		faulty = t.ReplicaByAddress(res.feedback.FaultAddress)
	}
	if faulty != "" && !slices.Contains(h.failedReplicas, faulty) {
		h.failedReplicas = append(h.failedReplicas, faulty)
	}
}

// addRan records that the request may have begun at a first replica.
func (h *attemptHistory) addRan(replica string) {
	if !slices.Contains(h.mayHaveRunOn, replica) {
		h.mayHaveRunOn = append(h.mayHaveRunOn, replica)
	}
}
