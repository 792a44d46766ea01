package admission

import (
	"math"
	"time"
)

// unboundedWait is the predicted wait if no request is expected to finish.
const unboundedWait = time.Duration(math.MaxInt64 / 4)

// position describes a position in a team's queue by the work ahead of it. All work is in
// expected tokens.
type position struct {
	higherClassAhead float64 // the team's work in higher classes
	sameLengthAhead  float64 // the team's work in the same class and job length
	otherLengthAhead float64 // the team's work in the same class, the other job length
	longAhead        float64 // the team's work in long jobs of all classes
	jobLength        jobLength
}

// advance moves the position behind the given work of the same class and job length.
func (p *position) advance(cost float64) {
	p.sameLengthAhead += cost
	if p.jobLength == long {
		p.longAhead += cost
	}
}

// predictWait returns the expected wait of a request at the position: the team's debt and the
// work ahead of the position, divided by the team's forecast rate.
//
// Short requests that arrive later may overtake a long job. The long jobs of the same
// class therefore get the part of the team's rate that its short requests leave, but at
// least half of the rate. A long job also waits for all long jobs ahead, which use only
// a part of the slots.
func (q *Queue) predictWait(t *team, p position) time.Duration {
	f := &q.forecast
	if f.drainRate <= 0 {
		return 0
	}
	wait := (q.flows.Debt(t.flow) + p.higherClassAhead + p.sameLengthAhead + p.otherLengthAhead) / t.rate
	if p.jobLength == long {
		longJobRate := max(t.rate/2, t.rate-t.demand[short])
		wait = max(wait, p.sameLengthAhead/longJobRate, p.longAhead/t.longRate)
	}
	return toDuration(wait + q.meanCost()/f.drainRate)
}

// meanCost returns the mean expected cost of the waiting requests, or of the running
// requests if none waits. The time until the next slot is free is about this cost divided
// by the drain rate.
func (q *Queue) meanCost() float64 {
	if q.waitingCount > 0 {
		return q.waitingWork / float64(q.waitingCount)
	}
	if q.meter.runningCount > 0 {
		return q.meter.runningTokens / float64(q.meter.runningCount)
	}
	return 0
}

func toDuration(seconds float64) time.Duration {
	if !(seconds < unboundedWait.Seconds()) {
		return unboundedWait
	}
	return time.Duration(seconds * float64(time.Second))
}
