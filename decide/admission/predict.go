package admission

import (
	"math"
	"time"
)

// unboundedWait is the predicted wait of a request that is not expected to start.
const unboundedWait = time.Duration(math.MaxInt64 / 4)

// position describes a place in a team's queue by the team's work that is served before a
// request in this place. All work is in expected tokens.
type position struct {
	earlierClassAhead   float64 // the team's work in the classes that are served earlier
	sameJobLengthAhead  float64 // the team's work in the same class and job length
	otherJobLengthAhead float64 // the team's work in the same class, the other job length
	longAhead           float64 // the team's work in long jobs of all classes
	jobLength           jobLength
}

// addWorkAhead moves the position behind further requests of the same class and job length.
// cost is the expected cost of these requests, in tokens.
func (p *position) addWorkAhead(cost float64) {
	p.sameJobLengthAhead += cost
	if p.jobLength == long {
		p.longAhead += cost
	}
}

// predictWait returns the predicted wait of a request at the position. It is the time in
// which the team, at its forecast rate, works off its debt and the work ahead of the
// position, plus the time until the next slot is free. The debt is the work that the team
// was served in advance of the other teams; see [fairness.Scheduler.Debt].
//
// Short requests that arrive later may overtake a long job. Long jobs are therefore
// expected to get the team's forecast rate minus the team's demand of short requests, but
// at least half of the forecast rate. A long job also waits for all long jobs of the team
// that are ahead of it in any class. These jobs use only a part of the slots.
func (q *Queue) predictWait(t *team, p position) time.Duration {
	f := &q.forecast
	if f.drainRate <= 0 {
		return 0
	}
	wait := (q.scheduler.Debt(t.flow) + p.earlierClassAhead + p.sameJobLengthAhead + p.otherJobLengthAhead) / t.forecastRate
	if p.jobLength == long {
		longJobRate := max(t.forecastRate/2, t.forecastRate-t.demand[short])
		wait = max(wait, p.sameJobLengthAhead/longJobRate, p.longAhead/t.longJobForecastRate)
	}
	return toDuration(wait + q.meanCost()/f.drainRate)
}

// meanCost returns the mean expected cost of the waiting requests, or of the running
// requests if none waits. This cost divided by the drain rate is about the time until the
// next slot is free.
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
