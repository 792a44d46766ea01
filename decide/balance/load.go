package balance

import (
	"math"
	"time"
)

const (
	// historyStep and historyLen say how far back the requests outstanding are
	// known: 3.2 s, more than three polls of a second.
	historyStep = 100 * time.Millisecond
	historyLen  = 32
)

// inflightHistory remembers how many requests were outstanding in the recent past.
//
// A load report is old when it arrives. The node's own requests in it must be
// taken off as they were at the report's time: if today's were, those sent
// since would count as missing from the load of others, and the replica would
// look emptier the more it is sent.
type inflightHistory struct {
	counts   [historyLen]int32
	lastStep int64 // step of the newest count
}

func stepOf(t time.Time) int64 {
	return t.UnixNano() / int64(historyStep)
}

// set records the count from now on.
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

// at returns the count at time t, or the oldest known.
func (h *inflightHistory) at(t time.Time) int32 {
	step := min(stepOf(t), h.lastStep)
	step = max(step, h.lastStep-historyLen+1, 0)
	return h.counts[step%historyLen]
}

// load is what is known of the work at one replica.
type load struct {
	inflight      int32   // own requests outstanding
	unknownCost   int32   // those of them without a known cost
	cost          float64 // of the others, tokens
	history       inflightHistory
	otherRequests float64 // requests of other nodes by the last report
	measuredAt    time.Time
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
	if l.inflight == 0 { // sheds what rounding left
		l.cost, l.unknownCost = 0, 0
	}
}

// applyReport takes a applyReport unless a newer one is known, as polls and answers
// overtake each other. It reports whether it did.
func (l *load) applyReport(now time.Time, r Load) bool {
	measuredAt := now.Add(-r.Age)
	if measuredAt.Before(l.measuredAt) {
		return false
	}
	l.measuredAt = measuredAt
	l.otherRequests = max(0, float64(r.Running+r.Waiting)-float64(l.history.at(measuredAt)))
	return true
}

// costWeighted returns the node's own load in requests of mean cost.
func (l *load) costWeighted(meanCost float64) float64 {
	if meanCost <= 0 {
		return float64(l.inflight)
	}
	return float64(l.unknownCost) + l.cost/meanCost
}

// reportWeight returns how far the report still counts, from 1 for a new one. The
// requests that it counted end after meanTime seconds on average, so what it
// says of a replica's difference to the others wears off at that rate.
func (l *load) reportWeight(now time.Time, meanTime float64) float64 {
	if l.measuredAt.IsZero() {
		return 0
	}
	if meanTime <= 0 {
		return 1
	}
	return math.Exp(-now.Sub(l.measuredAt).Seconds() / meanTime)
}
