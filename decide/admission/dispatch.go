package admission

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/fairness"
)

const (
	// maxCreditJobs is the credit as a multiple of Config.LongCost.
	maxCreditJobs = 4
	// maxOrderVirtualTimeDiff limits the rule that orders start before batch jobs. An order
	// of one team starts before a batch job of another team only if the virtual time of the
	// order's team exceeds that of the other team by at most this difference, in tokens at
	// weight 1. Orders are small, so each order adds little to the virtual time of its team.
	// Without the limit, a team could send all its work as orders and block the batch jobs
	// of all other teams.
	maxOrderVirtualTimeDiff = 8192
)

// dispatch starts waiting requests while slots are free.
func (q *Queue) dispatch(now time.Time) {
	for q.waitingCount > 0 && q.meter.runningCount < q.slots {
		it := q.nextItem()
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

// nextItem returns the first request of the waiting team with the lowest virtual time, or
// nil if no request may start. If only the headroom is free, teams that are not below their
// share are passed over.
func (q *Queue) nextItem() *item {
	longAllowed := q.runningLongJobs < q.longJobSlots
	orderFlow := q.nextFlow(laneOrder)
	flow := q.lessServed(orderFlow, q.nextFlow(laneShort))
	if longAllowed {
		flow = q.lessServed(flow, q.nextFlow(laneLong))
	}
	if flow == nil {
		return nil
	}
	it := flow.Value.firstItem(longAllowed)
	if it.Class == Batch && orderFlow != nil && q.scheduler.VirtualTimeDiff(orderFlow, flow) <= maxOrderVirtualTimeDiff {
		return orderFlow.Value.firstItem(longAllowed)
	}
	return it
}

// nextFlow returns the flow in the lane that may start a request and has the lowest virtual
// time, or nil if there is none.
func (q *Queue) nextFlow(lane int) *fairness.Flow[*team] {
	if q.meter.runningCount+q.forecast.headroom < q.slots {
		return q.scheduler.Min(lane)
	}
	return q.scheduler.MinWhere(lane, q.belowShare)
}

// canStartNow reports whether a new request would start at once. Waiting requests need not
// be considered: if one of them could use a slot that is free now, dispatch would have
// started it.
func (q *Queue) canStartNow(it *item) bool {
	freeSlots := q.slots - q.meter.runningCount
	lengthAllowed := it.jobLength == short || q.runningLongJobs < q.longJobSlots
	return lengthAllowed && (freeSlots > q.forecast.headroom || (freeSlots > 0 && q.belowShare(it.team)))
}

// lessServed returns the flow with the lower virtual time. If one of the flows is nil, it
// returns the other flow.
func (q *Queue) lessServed(a, b *fairness.Flow[*team]) *fairness.Flow[*team] {
	if a == nil {
		return b
	}
	if b == nil || q.scheduler.VirtualTimeDiff(a, b) < 0 {
		return a
	}
	return b
}

func (q *Queue) start(now time.Time, it *item) {
	it.running = true
	it.startedAt = q.silence.slotTime(now)
	it.team.runningCount++
	q.meter.addRunning(it.startedAt, it.Cost)
	if it.jobLength == long {
		q.runningLongJobs++
	}
	it.team.queues[it.Class].charge(it, q.cfg.credit())
	q.scheduler.Charge(it.team.flow, it.Cost)
	q.verdicts = append(q.verdicts, q.verdict(now, it, Run, SlotFree))
}

// release frees the slot of a running request and corrects the charge of the team from the
// expected to the actual cost.
func (q *Queue) release(now time.Time, it *item, cost float64) {
	t := it.team
	if it.answering {
		q.silence.end(now)
	}
	t.runningCount--
	q.meter.removeRunning(it.startedAt, it.Cost)
	if it.jobLength == long {
		q.runningLongJobs--
	}
	q.scheduler.Correct(t.flow, cost-it.Cost)
	q.recycle(it)
}

func (q *Queue) enqueue(now time.Time, it *item) {
	if q.waitingCount == 0 {
		q.nextReview = now.Add(TickInterval)
	}
	q.nextReview = earlier(q.nextReview, it.Deadline)
	it.team.queues[it.Class].push(it)
	q.waitingCount++
	q.waitingWork += it.Cost
	q.items[it.ID] = it
	q.scheduler.Activate(it.team.flow, it.lane())
}

func (q *Queue) dequeue(it *item) {
	t := it.team
	t.queues[it.Class].lists[it.jobLength].remove(it)
	q.waitingCount--
	q.waitingWork -= it.Cost
	if q.waitingCount == 0 {
		q.waitingWork = 0 // drop accumulated rounding errors
	}
	if t.laneEmpty(it.lane()) {
		q.scheduler.Deactivate(t.flow, it.lane())
	}
}

func (it *item) lane() int {
	if it.Class == Order {
		return laneOrder
	}
	if it.jobLength == long {
		return laneLong
	}
	return laneShort
}

func (t *team) laneEmpty(lane int) bool {
	if lane == laneOrder {
		return t.queues[Order].lists[short].head == nil
	}
	l := short
	if lane == laneLong {
		l = long
	}
	return t.queues[Interactive].lists[l].head == nil && t.queues[Batch].lists[l].head == nil
}
