package balance

import (
	"math"
	"time"
)

const (
	// The history of the number of in-flight requests has historyTimeSteps steps of
	// timeStepLength each. The history covers 3.2 s, which is more than three polls at
	// one-second intervals.
	timeStepLength   = 100 * time.Millisecond
	historyTimeSteps = 32
)

// inflightHistory records how many requests of this node were in flight at a
// replica in each of the last historyTimeSteps time steps of timeStepLength.
//
// A load report counts the requests of all nodes and is already old when it
// arrives. The load from other nodes is the reported load minus this node's own
// in-flight requests at the time of the report. If the node subtracted its current
// requests instead, each request that it sends would make the replica look less
// loaded. The node would then send still more requests to that replica.
type inflightHistory struct {
	inflightCounts [historyTimeSteps]int32 // number of in-flight requests per time step, indexed by the time step modulo historyTimeSteps
	newestTimeStep int64                   // number of the time step of the newest count; see timeStepOf
}

// timeStepOf returns the number of the time step that contains t. Time steps are
// timeStepLength long and numbered from the Unix epoch on.
func timeStepOf(t time.Time) int64 {
	return t.UnixNano() / int64(timeStepLength)
}

// recordCount records that count requests are in flight from time now on.
func (h *inflightHistory) recordCount(now time.Time, count int32) {
	timeStep := timeStepOf(now)
	if timeStep-h.newestTimeStep >= historyTimeSteps {
		h.setAllCounts(timeStep, h.countAt(now))
	}
	for h.newestTimeStep < timeStep {
		previousCount := h.inflightCounts[h.newestTimeStep%historyTimeSteps]
		h.newestTimeStep++
		h.inflightCounts[h.newestTimeStep%historyTimeSteps] = previousCount
	}
	h.inflightCounts[timeStep%historyTimeSteps] = count
}

func (h *inflightHistory) setAllCounts(timeStep int64, count int32) {
	for i := range h.inflightCounts {
		h.inflightCounts[i] = count
	}
	h.newestTimeStep = timeStep
}

// countAt returns the number of in-flight requests in the time step of t. If t is
// before the oldest recorded time step or after the newest, countAt returns the number
// in the oldest or the newest step.
func (h *inflightHistory) countAt(t time.Time) int32 {
	timeStep := min(timeStepOf(t), h.newestTimeStep)
	timeStep = max(timeStep, h.newestTimeStep-historyTimeSteps+1, 0)
	return h.inflightCounts[timeStep%historyTimeSteps]
}

// replicaLoad is what the node knows of the load on one replica.
type replicaLoad struct {
	inflightRequests          int32   // in-flight requests of this node
	unknownCostRequests       int32   // in-flight requests of this node without a known cost
	knownCost                 float64 // total known cost of the in-flight requests of this node, tokens
	history                   inflightHistory
	reportedOtherNodeRequests float64   // number of requests of other nodes, from the last report
	lastReportMadeAt          time.Time // when the last report was made; zero if there is none
}

func (l *replicaLoad) recordSent(now time.Time, cost float64) {
	l.inflightRequests++
	l.history.recordCount(now, l.inflightRequests)
	if cost > 0 {
		l.knownCost += cost
		return
	}
	l.unknownCostRequests++
}

func (l *replicaLoad) recordFinished(now time.Time, cost float64) {
	if l.inflightRequests == 0 {
		return
	}
	l.inflightRequests--
	l.history.recordCount(now, l.inflightRequests)
	if cost > 0 {
		l.knownCost = max(0, l.knownCost-cost)
	} else {
		l.unknownCostRequests = max(0, l.unknownCostRequests-1)
	}
	if l.inflightRequests == 0 { // removes accumulated rounding errors
		l.knownCost, l.unknownCostRequests = 0, 0
	}
}

// applyReport applies a report unless a report that was made later has already been
// applied. Reports from polls and from answers can arrive out of order. applyReport
// returns whether it applied the report.
func (l *replicaLoad) applyReport(now time.Time, report LoadReport) bool {
	madeAt := now.Add(-max(0, report.Age))
	if madeAt.Before(l.lastReportMadeAt) {
		return false
	}
	l.lastReportMadeAt = madeAt
	l.reportedOtherNodeRequests = max(0, report.requests()-float64(l.history.countAt(madeAt)))
	return true
}

// requests returns the number of requests that the report counts.
func (r LoadReport) requests() float64 {
	requests := float64(r.RunningRequests) + float64(r.WaitingRequests) // the sum of two ints may exceed an int
	return min(max(0, requests), maxReportedRequests)
}

// maxReportedRequests stands for any larger number. Sums over the replicas stay exact, so that a
// later report of the replica takes back all of it.
const maxReportedRequests = 1e9

// costWeightedRequests returns the sum of the costs of the node's own requests at the
// replica, each divided by the mean cost. A request of unknown cost counts as 1.
func (l *replicaLoad) costWeightedRequests(meanCost float64) float64 {
	if meanCost <= 0 {
		return float64(l.inflightRequests)
	}
	return float64(l.unknownCostRequests) + l.knownCost/meanCost
}

// reportWeight returns the weight of the last report in the estimate of the load
// from other nodes. A report made just now has the weight 1. The requests that a
// report counts take meanAnswerSeconds on average. The weight therefore decays
// exponentially with meanAnswerSeconds as its time constant.
func (l *replicaLoad) reportWeight(now time.Time, meanAnswerSeconds float64) float64 {
	if l.lastReportMadeAt.IsZero() {
		return 0
	}
	if meanAnswerSeconds <= 0 {
		return 1
	}
	return math.Exp(-now.Sub(l.lastReportMadeAt).Seconds() / meanAnswerSeconds)
}
