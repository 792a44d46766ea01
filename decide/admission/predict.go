package admission

import (
	"math"
	"time"
)

// forever stands for a wait that has no end in sight.
const forever = time.Duration(math.MaxInt64 / 4)

// place is a position in a team's queue. All work is in expected tokens.
type place struct {
	higher    float64 // of the team, in higher classes
	ahead     float64 // of the team, in the same class and length
	other     float64 // of the team, in the same class and the other length
	longAhead float64 // of the team, in long jobs of all classes
	length    length
}

// pass moves the place behind the given work of its class and length.
func (p *place) pass(cost float64) {
	p.ahead += cost
	if p.length == long {
		p.longAhead += cost
	}
}

// predict returns how long a request at the place is expected to wait: what
// the team has had too much and what it has ahead, over the rate that the
// forecast gives the team.
//
// Short jobs that come later may pass a long one, so its own work gets what
// they leave of the rate, or half. A long job also waits for the long jobs
// ahead, which pass through fewer slots.
func (q *Queue) predict(t *team, p place) time.Duration {
	f := &q.forecast
	if f.drain <= 0 {
		return 0
	}
	wait := (q.flows.Debt(t.flow) + p.higher + p.ahead + p.other) / t.rate
	if p.length == long {
		own := max(t.rate/2, t.rate-t.demand[short])
		wait = max(wait, p.ahead/own, p.longAhead/t.longRate)
	}
	return toDuration(wait + q.turn()/f.drain)
}

// turn is the mean expected cost of what waits, or runs if nothing does: the
// time until a slot is free is about this over the drain rate.
func (q *Queue) turn() float64 {
	if q.waiting > 0 {
		return q.waitingWork / float64(q.waiting)
	}
	if q.meter.running > 0 {
		return q.meter.promised / float64(q.meter.running)
	}
	return 0
}

func toDuration(seconds float64) time.Duration {
	if !(seconds < forever.Seconds()) {
		return forever
	}
	return time.Duration(seconds * float64(time.Second))
}
