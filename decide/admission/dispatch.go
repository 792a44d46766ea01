package admission

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/fairness"
)

const (
	// creditJobs bounds, in long jobs, what a team may be owed.
	creditJobs = 4
	// orderLead is how far, in tokens at weight 1, a team may be ahead of
	// another and still have its order placed before that one's batch job. An
	// order is small; without the bound a team could send its work as orders
	// and shut out the batch work of all others.
	orderLead = 8192
)

// dispatch starts requests while slots are free.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.meter.running < q.slots {
		it := q.next()
		if it == nil {
			return
		}
		q.dequeue(it)
		if now.After(it.Deadline) {
			q.refuse(now, it, DeadlinePassed, 0, q.retryAfter(now, it, 0))
			continue
		}
		q.start(now, it)
	}
}

// next picks the team by weighted share and then its first request. If only the
// headroom is free, teams beyond their share are passed over.
func (q *Queue) next() *item {
	longMayRun := q.longRun < q.longRoom
	orders := q.first(laneOrder)
	flow := q.before(orders, q.first(laneShort))
	if longMayRun {
		flow = q.before(flow, q.first(laneLong))
	}
	if flow == nil {
		return nil
	}
	it := flow.Value.first(longMayRun)
	if it.Class == Batch && orders != nil && q.flows.Ahead(orders, flow) <= orderLead {
		return orders.Value.first(longMayRun)
	}
	return it
}

// first returns the flow of the lane that is to go next, or nil.
func (q *Queue) first(lane int) *fairness.Flow[*team] {
	if q.meter.running+q.forecast.headroom < q.slots {
		return q.flows.Min(lane)
	}
	return q.flows.MinWhere(lane, q.belowShare)
}

// startsNow tells whether a new request would be next. Slots are free only
// while nothing that waits may use them.
func (q *Queue) startsNow(it *item) bool {
	free := q.slots - q.meter.running
	room := it.length == short || q.longRun < q.longRoom
	return room && (free > q.forecast.headroom || (free > 0 && q.belowShare(it.team)))
}

// before returns the one that is to go first; either may be nil.
func (q *Queue) before(a, b *fairness.Flow[*team]) *fairness.Flow[*team] {
	if a == nil {
		return b
	}
	if b == nil || q.flows.Ahead(a, b) < 0 {
		return a
	}
	return b
}

func (q *Queue) start(now time.Time, it *item) {
	it.running = true
	it.started = now
	it.team.running++
	q.meter.start(now, it.Cost)
	if it.length == long {
		q.longRun++
	}
	it.team.waiting[it.Class].charge(it, q.cfg.credit())
	q.flows.Charge(it.team.flow, it.Cost)
	q.out = append(q.out, q.verdict(now, it, Run, SlotFree))
}

// release takes a running request out of its slot.
func (q *Queue) release(it *item, cost float64) {
	t := it.team
	t.running--
	q.meter.leave(it.started, it.Cost)
	if it.length == long {
		q.longRun--
	}
	q.flows.Correct(t.flow, cost-it.Cost)
	q.drop(it)
}

func (q *Queue) enqueue(now time.Time, it *item) {
	if q.waiting == 0 {
		q.due = now.Add(TickInterval)
	}
	q.due = sooner(q.due, it.Deadline)
	it.team.waiting[it.Class].push(it)
	q.waiting++
	q.waitingWork += it.Cost
	q.items[it.ID] = it
	q.flows.Wake(it.team.flow, it.lane())
}

func (q *Queue) dequeue(it *item) {
	t := it.team
	t.waiting[it.Class].lists[it.length].remove(it)
	q.waiting--
	q.waitingWork -= it.Cost
	if q.waiting == 0 {
		q.waitingWork = 0 // no rounding error outlives the last request
	}
	if t.laneEmpty(it.lane()) {
		q.flows.Sleep(t.flow, it.lane())
	}
}

func (it *item) lane() int {
	if it.Class == Order {
		return laneOrder
	}
	if it.length == long {
		return laneLong
	}
	return laneShort
}

func (t *team) laneEmpty(lane int) bool {
	if lane == laneOrder {
		return t.waiting[Order].lists[short].head == nil
	}
	l := short
	if lane == laneLong {
		l = long
	}
	return t.waiting[Interactive].lists[l].head == nil && t.waiting[Batch].lists[l].head == nil
}
