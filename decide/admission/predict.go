package admission

import (
	"math"
	"time"
)

// forever stands for a wait that has no end in sight.
const forever = time.Duration(math.MaxInt64 / 4)

// place is a position in a team's queue.
type place struct {
	ahead     float64 // expected tokens of the team that go first
	longAhead float64 // of these, in long jobs
	total     float64 // expected tokens of all teams that wait, without its own
	length    length
}

// predict returns how long a request at the place is expected to wait.
//
// While the team's share is what holds it back, the wait is what the team has
// ahead, over its part of the drain rate. But once the other teams' requests
// are done the whole rate is its own, so the wait is never more than all
// waiting work over the whole rate. A long job also waits for the long jobs
// ahead, which pass through fewer slots.
func (q *Queue) predict(now time.Time, t *team, p place) time.Duration {
	rate := q.slotRate(now)
	if rate <= 0 {
		return 0
	}
	drain := rate * float64(q.slots)
	own := q.flows.Debt(t.flow) + p.ahead
	fair := own / (drain * q.share(t))
	wait := min(fair, p.total/drain)
	if p.length == long {
		wait = max(wait, p.longAhead/(rate*float64(q.longRoom)*q.longShare(t)))
	}
	wait += q.turn() / drain
	return toDuration(wait)
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

// slotRate returns expected tokens per second of one slot.
func (q *Queue) slotRate(now time.Time) float64 {
	return q.meter.slotRate(now) / q.meter.bias()
}

// share returns the team's part of the drain rate among the teams that wait.
func (q *Queue) share(t *team) float64 {
	weight := t.flow.Weight()
	all := q.flows.ActiveWeight()
	if !t.flow.Waiting() {
		all += weight
	}
	return weight / max(all, weight)
}

// longShare is share among the teams with long jobs waiting.
func (q *Queue) longShare(t *team) float64 {
	weight := t.flow.Weight()
	all := q.flows.LaneWeight(laneLong)
	if !t.flow.WaitsIn(laneLong) {
		all += weight
	}
	return weight / max(all, weight)
}

func toDuration(seconds float64) time.Duration {
	if !(seconds < forever.Seconds()) {
		return forever
	}
	return time.Duration(seconds * float64(time.Second))
}
