package balance

import (
	"math"
	"time"
)

const (
	// historyStep and historyLen set how far back the number of in-flight requests
	// is known: 3.2 s, more than three polls at one-second intervals.
	historyStep = 100 * time.Millisecond
	historyLen  = 32
)

// inflightHistory records how many requests were in flight in the recent past.
//
// A load report is already old when it arrives. To get the load from other nodes,
// the node's own requests must be subtracted as they were when the report was made.
// If the current number were subtracted, the requests sent since then would reduce
// the apparent load from other nodes, and a replica would look less loaded the more
// requests it is sent.
type inflightHistory struct {
	counts   [historyLen]int32
	lastStep int64 // step of the newest count
}

func stepOf(t time.Time) int64 {
	return t.UnixNano() / int64(historyStep)
}

// set records the number of in-flight requests from now on.
func (h *inflightHistory) set(now time.Time, count int32) {
	step := stepOf(now)
	if step-h.lastStep >= historyLen {
		h.fill(step, h.at(now))
	}
	for h.lastStep < step {
		previous := h.counts[h.lastStep%historyLen]
		h.lastStep++
		h.counts[h.lastStep%historyLen] = previous
	}
	h.counts[step%historyLen] = count
}

func (h *inflightHistory) fill(step int64, count int32) {
	for i := range h.counts {
		h.counts[i] = count
	}
	h.lastStep = step
}

// at returns the number in flight at time t, or the oldest known number.
func (h *inflightHistory) at(t time.Time) int32 {
	step := min(stepOf(t), h.lastStep)
	step = max(step, h.lastStep-historyLen+1, 0)
	return h.counts[step%historyLen]
}

// load is what the node knows of the load on one replica.
type load struct {
	inflight      int32   // in-flight requests of this node
	unknownCost   int32   // those without a known cost
	cost          float64 // total known cost of the in-flight requests, tokens
	history       inflightHistory
	otherRequests float64   // requests of other nodes in the last report
	measuredAt    time.Time // when the last report was made; zero if there is none
}

func (l *load) sent(now time.Time, cost float64) {
	l.inflight++
	l.history.set(now, l.inflight)
	if cost > 0 {
		l.cost += cost
		return
	}
	l.unknownCost++
}

func (l *load) finished(now time.Time, cost float64) {
	if l.inflight == 0 {
		return
	}
	l.inflight--
	l.history.set(now, l.inflight)
	if cost > 0 {
		l.cost = max(0, l.cost-cost)
	} else {
		l.unknownCost = max(0, l.unknownCost-1)
	}
	if l.inflight == 0 { // clears rounding errors
		l.cost, l.unknownCost = 0, 0
	}
}

// applyReport applies a report unless a newer one is known: reports from polls and
// from answers can arrive out of order. It reports whether it applied the report.
func (l *load) applyReport(now time.Time, r Load) bool {
	measuredAt := now.Add(-r.Age)
	if measuredAt.Before(l.measuredAt) {
		return false
	}
	l.measuredAt = measuredAt
	l.otherRequests = max(0, float64(r.Running+r.Waiting)-float64(l.history.at(measuredAt)))
	return true
}

// costWeighted returns the node's own load on the replica in requests of mean cost.
func (l *load) costWeighted(meanCost float64) float64 {
	if meanCost <= 0 {
		return float64(l.inflight)
	}
	return float64(l.unknownCost) + l.cost/meanCost
}

// reportWeight returns the weight of the last report, 1 for one made just now. The
// requests that it counted end after meanTime seconds on average, so the weight of
// its difference from other replicas decays at that rate.
func (l *load) reportWeight(now time.Time, meanTime float64) float64 {
	if l.measuredAt.IsZero() {
		return 0
	}
	if meanTime <= 0 {
		return 1
	}
	return math.Exp(-now.Sub(l.measuredAt).Seconds() / meanTime)
}
