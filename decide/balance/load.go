package balance

import (
	"math"
	"time"
)

const (
	// historyStep and historyLen set how far back the number of in-flight requests
	// is known: 3.2 s, more than three polls at one-second intervals.
	timeStepLength   = 100 * time.Millisecond
	historyTimeSteps = 32
)

// inflightHistory records how many requests were in flight in the recent past.
//
// A load report is already old when it arrives. To get the load from other nodes,
// the node's own requests must be subtracted as they were when the report was made.
// If the current number were subtracted, the requests sent since then would reduce
// the apparent load from other nodes, and a replica would look less loaded the more
// requests it is sent.
type inflightHistory struct {
	counts         [historyTimeSteps]int32
	newestTimeStep int64 // step of the newest count
}

func timeStepOf(t time.Time) int64 {
	return t.UnixNano() / int64(timeStepLength)
}

// set records the number of in-flight requests from now on.
func (h *inflightHistory) recordCount(now time.Time, count int32) {
	timeStep := timeStepOf(now)
	if timeStep-h.newestTimeStep >= historyTimeSteps {
		h.setAllCounts(timeStep, h.countAt(now))
	}
	for h.newestTimeStep < timeStep {
		previousCount := h.counts[h.newestTimeStep%historyTimeSteps]
		h.newestTimeStep++
		h.counts[h.newestTimeStep%historyTimeSteps] = previousCount
	}
	h.counts[timeStep%historyTimeSteps] = count
}

func (h *inflightHistory) setAllCounts(timeStep int64, count int32) {
	for i := range h.counts {
		h.counts[i] = count
	}
	h.newestTimeStep = timeStep
}

// at returns the number in flight at time t, or the oldest known number.
func (h *inflightHistory) countAt(t time.Time) int32 {
	timeStep := min(timeStepOf(t), h.newestTimeStep)
	timeStep = max(timeStep, h.newestTimeStep-historyTimeSteps+1, 0)
	return h.counts[timeStep%historyTimeSteps]
}

// load is what the node knows of the load on one replica.
type replicaLoad struct {
	inflightRequests          int32   // in-flight requests of this node
	unknownCostRequests       int32   // those without a known cost
	knownCost                 float64 // total known cost of the in-flight requests, tokens
	history                   inflightHistory
	reportedOtherNodeRequests float64   // requests of other nodes in the last report
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
	if l.inflightRequests == 0 { // clears rounding errors
		l.knownCost, l.unknownCostRequests = 0, 0
	}
}

// applyReport applies a report unless a newer one is known: reports from polls and
// from answers can arrive out of order. It reports whether it applied the report.
func (l *replicaLoad) applyReport(now time.Time, report LoadReport) bool {
	madeAt := now.Add(-report.Age)
	if madeAt.Before(l.lastReportMadeAt) {
		return false
	}
	l.lastReportMadeAt = madeAt
	l.reportedOtherNodeRequests = max(0, float64(report.RunningRequests+report.WaitingRequests)-float64(l.history.countAt(madeAt)))
	return true
}

// costWeighted returns the node's own load on the replica in requests of mean cost.
func (l *replicaLoad) costWeightedRequests(meanCost float64) float64 {
	if meanCost <= 0 {
		return float64(l.inflightRequests)
	}
	return float64(l.unknownCostRequests) + l.knownCost/meanCost
}

// reportWeight returns the weight of the last report, 1 for one made just now. The
// requests that it counted end after meanTime seconds on average, so the weight of
// its difference from other replicas decays at that rate.
func (l *replicaLoad) reportWeight(now time.Time, meanAnswerSeconds float64) float64 {
	if l.lastReportMadeAt.IsZero() {
		return 0
	}
	if meanAnswerSeconds <= 0 {
		return 1
	}
	return math.Exp(-now.Sub(l.lastReportMadeAt).Seconds() / meanAnswerSeconds)
}
