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

// history remembers how many requests were outstanding in the recent past.
//
// A load report is old when it arrives. The node's own requests in it must be
// taken off as they were at the report's time: if today's were, those sent
// since would count as missing from the load of others, and the replica would
// look emptier the more it is sent.
type history struct {
	counts [historyLen]int32
	last   int64 // step of the newest count
}

func stepOf(t time.Time) int64 {
	return t.UnixNano() / int64(historyStep)
}

// set records the count from now on.
func (h *history) set(now time.Time, count int32) {
	step := stepOf(now)
	if step-h.last >= historyLen {
		h.fill(step, h.at(now))
	}
	for h.last < step {
		previous := h.counts[h.last%historyLen]
		h.last++
		h.counts[h.last%historyLen] = previous
	}
	h.counts[step%historyLen] = count
}

func (h *history) fill(step int64, count int32) {
	for i := range h.counts {
		h.counts[i] = count
	}
	h.last = step
}

// at returns the count at time t, or the oldest known.
func (h *history) at(t time.Time) int32 {
	step := min(stepOf(t), h.last)
	step = max(step, h.last-historyLen+1, 0)
	return h.counts[step%historyLen]
}

// load is what is known of the work at one replica.
type load struct {
	inflight int32   // own requests outstanding
	unpriced int32   // those of them without a known cost
	cost     float64 // of the others, tokens
	history  history
	others   float64 // requests of other nodes by the last report
	measured time.Time
}

func (l *load) sent(now time.Time, cost float64) {
	l.inflight++
	l.history.set(now, l.inflight)
	if cost > 0 {
		l.cost += cost
		return
	}
	l.unpriced++
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
		l.unpriced = max(0, l.unpriced-1)
	}
	if l.inflight == 0 { // sheds what rounding left
		l.cost, l.unpriced = 0, 0
	}
}

// report takes a report unless a newer one is known, as polls and answers
// overtake each other. It reports whether it did.
func (l *load) report(now time.Time, r Load) bool {
	measured := now.Add(-r.Age)
	if measured.Before(l.measured) {
		return false
	}
	l.measured = measured
	l.others = max(0, float64(r.Running+r.Waiting)-float64(l.history.at(measured)))
	return true
}

// priced returns the node's own load in requests of mean cost.
func (l *load) priced(meanCost float64) float64 {
	if meanCost <= 0 {
		return float64(l.inflight)
	}
	return float64(l.unpriced) + l.cost/meanCost
}

// trust returns how far the report still counts, from 1 for a new one. The
// requests that it counted end after meanTime seconds on average, so what it
// says of a replica's difference to the others wears off at that rate.
func (l *load) trust(now time.Time, meanTime float64) float64 {
	if l.measured.IsZero() {
		return 0
	}
	if meanTime <= 0 {
		return 1
	}
	return math.Exp(-now.Sub(l.measured).Seconds() / meanTime)
}
