package admission

import "time"

const (
	// maxWaitRatioAtOffer is the largest predicted wait with which a new request is
	// admitted, as a fraction of the time until its deadline. The rest of that time allows
	// for errors of the prediction: an admitted request that misses its deadline has waited
	// in vain.
	maxWaitRatioAtOffer = 0.8
	// maxWaitRatioInQueue is the largest predicted wait with which a waiting request stays
	// in the queue, as a multiple of the time until its deadline. It is larger than
	// maxWaitRatioAtOffer, so that a random change of the prediction alone does not cause
	// the refusal of an admitted request.
	maxWaitRatioInQueue = 1.25
	// retryFractionOfForecastRate is the fraction of a team's forecast rate that RetryAfter
	// assumes for retries. The rest of the forecast rate is for new requests.
	retryFractionOfForecastRate = 0.5
	// maxRetryJitterFraction is the largest fraction by which jitter shortens RetryAfter.
	// Jitter spreads the retries of requests that were refused at the same time.
	maxRetryJitterFraction = 0.1
)

// admit reports whether a new request may start or wait. If it may not, admit refuses the
// request.
func (q *Queue) admit(now time.Time, it *item) bool {
	if q.slots == 0 {
		q.refuse(now, it, NoCapacity, unboundedWait, noCapacityRetryAfter)
		return false
	}
	if now.After(it.Deadline) {
		q.refuse(now, it, DeadlinePassed, 0, 0)
		return false
	}
	if q.canStartNow(it) {
		return true
	}
	if q.waitingCount == 0 && q.nodeSlots.restartMean(now) {
		q.recomputeForecast(now)
	}
	if q.forecast.stalled {
		q.refuse(now, it, Stalled, unboundedWait, stalledRetryAfter)
		return false
	}
	wait := q.predictWait(it.team, q.tailPosition(it))
	it.predictedWait = wait
	late := wait - scaleDuration(it.Deadline.Sub(now), maxWaitRatioAtOffer)
	if late > 0 {
		q.refuse(now, it, TooLate, wait, q.retryAfter(now, it, late))
		return false
	}
	if q.waitingCount >= q.cfg.MaxWaiting {
		q.refuse(now, it, QueueFull, wait, q.retryAfter(now, it, wait))
		return false
	}
	return true
}

// tailPosition returns the position of a new request behind all waiting requests of the
// same team, class and job length.
func (q *Queue) tailPosition(it *item) position {
	t := it.team
	c := &t.queues[it.Class]
	workAhead := c.lists[it.jobLength].totalCost
	return position{
		earlierClassAhead:   t.earlierClassWork(it.Class),
		sameJobLengthAhead:  workAhead,
		otherJobLengthAhead: c.otherJobLengthWorkAhead(it.jobLength, workAhead),
		longAhead:           t.longWork(),
		jobLength:           it.jobLength,
	}
}

// refuseLateRequests refuses the waiting requests that will miss their deadlines. It returns
// the earliest deadline of the requests that stay, or the zero time if no request stays.
//
// After a loss of capacity, the queue holds requests that were admitted correctly but can't
// be served in time any more. These requests are refused now, while their callers can still
// use another service. Until their deadlines, they would also count as work that is served
// before new requests.
func (q *Queue) refuseLateRequests(now time.Time) (earliestDeadline time.Time) {
	for _, t := range q.teamList {
		if t.flow.Waiting() {
			earliestDeadline = earlier(earliestDeadline, q.refuseLateInTeam(now, t))
		}
	}
	return earliestDeadline
}

func (q *Queue) refuseLateInTeam(now time.Time, t *team) (earliestDeadline time.Time) {
	var p position
	for class := range t.queues {
		p.earlierClassAhead = t.earlierClassWork(Class(class))
		for l := range t.queues[class].lists {
			p.jobLength = jobLength(l)
			earliestDeadline = earlier(earliestDeadline, q.refuseLateInList(now, t, &t.queues[class], &p))
		}
	}
	return earliestDeadline
}

// refuseLateInList refuses the late requests of one class and job length. p counts the work
// ahead of the next request; the cost of each request that is kept is added to p. Blocks in
// which no request can be late are kept whole. refuseLateInList returns the earliest
// deadline of the kept requests. For a block that is kept whole, this is the lower bound
// block.earliestDeadline.
func (q *Queue) refuseLateInList(now time.Time, t *team, c *classQueue, p *position) (earliestDeadline time.Time) {
	p.sameJobLengthAhead = 0
	for b := c.lists[p.jobLength].firstBlock; b != nil; b = b.next {
		if q.allOnTime(now, t, c, b, *p) {
			p.addWorkAhead(b.cost)
			earliestDeadline = earlier(earliestDeadline, b.earliestDeadline)
			continue
		}
		earliestDeadline = earlier(earliestDeadline, q.refuseLateInBlock(now, c, b, p))
	}
	return earliestDeadline
}

// allOnTime reports whether no request of the block will be late. This is certain if the
// last request of the block starts before the earliest deadline in the block, because the
// predicted wait grows with the position.
func (q *Queue) allOnTime(now time.Time, t *team, c *classQueue, b *block, p position) bool {
	if q.forecast.stalled || b.earliestDeadline.Before(now) {
		return false
	}
	p.addWorkAhead(b.cost)
	p.otherJobLengthAhead = c.otherJobLengthWorkAhead(p.jobLength, p.sameJobLengthAhead)
	return !q.missesDeadline(t, p, b.earliestDeadline.Sub(now))
}

func (q *Queue) refuseLateInBlock(now time.Time, c *classQueue, b *block, p *position) (earliestDeadline time.Time) {
	b.each(func(it *item) {
		p.otherJobLengthAhead = c.otherJobLengthWorkAhead(p.jobLength, p.sameJobLengthAhead)
		if q.refuseIfLate(now, it, *p) {
			return
		}
		p.addWorkAhead(it.Cost)
		earliestDeadline = earlier(earliestDeadline, it.Deadline)
	})
	if b.waitingCount > 0 {
		b.earliestDeadline = earliestDeadline
	}
	return earliestDeadline
}

// earlier returns the earlier of two times. A zero time means that the time is not set.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// refuseIfLate refuses a waiting request that can't start in time. It reports whether the
// request was refused.
func (q *Queue) refuseIfLate(now time.Time, it *item, p position) bool {
	remaining := it.Deadline.Sub(now)
	if remaining < 0 {
		q.dequeue(it)
		q.refuse(now, it, DeadlinePassed, 0, q.retryAfter(now, it, 0))
		return true
	}
	if q.forecast.stalled {
		q.dequeue(it)
		q.refuse(now, it, Stalled, unboundedWait, stalledRetryAfter)
		return true
	}
	if !q.missesDeadline(it.team, p, remaining) {
		return false
	}
	wait := q.predictWait(it.team, p)
	q.dequeue(it)
	q.refuse(now, it, TooLate, wait, q.retryAfter(now, it, wait-scaleDuration(remaining, maxWaitRatioInQueue)))
	return true
}

// missesDeadline reports whether a request at the position will miss its deadline.
// remaining is the time until the deadline.
func (q *Queue) missesDeadline(t *team, p position, remaining time.Duration) bool {
	return q.slots > 0 && q.predictWait(t, p) > scaleDuration(remaining, maxWaitRatioInQueue)
}

// retryAfter returns the time after which a retry of a refused request is expected to be
// admitted. late is the time by which the predicted wait was too long.
//
// The retry starts from the later of two times: when the queue has drained for the time
// late, and when the previous refused request of the team was told to retry. To this,
// retryAfter adds the time in which the team's forecast rate times
// retryFractionOfForecastRate serves the request. If all refused requests were told the
// same time, they would return in one burst and be refused again.
func (q *Queue) retryAfter(now time.Time, it *item, late time.Duration) time.Duration {
	if q.forecast.drainRate <= 0 {
		return noCapacityRetryAfter
	}
	t := it.team
	retryAt := now.Add(min(late, q.cfg.MaxRetryAfter))
	if t.lastRetryAt.After(retryAt) {
		retryAt = t.lastRetryAt
	}
	retryAt = retryAt.Add(toDuration(it.Cost / (retryFractionOfForecastRate * t.forecastRate)))
	if latest := now.Add(q.cfg.MaxRetryAfter); retryAt.After(latest) {
		retryAt = latest
	}
	t.lastRetryAt = retryAt
	return q.jitter(it.ID, max(retryAt.Sub(now), minRetryAfter))
}

// jitter shortens wait by a fraction between 0 and maxRetryJitterFraction, which is a hash
// of the request's ID. The result is at least minRetryAfter.
func (q *Queue) jitter(id uint64, wait time.Duration) time.Duration {
	const fibonacciMultiplier = 0x9e3779b97f4a7c15 // Fibonacci hashing; spreads consecutive IDs
	fraction := float64((id*fibonacciMultiplier)>>11) / (1 << 53)
	return max(wait-scaleDuration(wait, maxRetryJitterFraction*fraction), minRetryAfter)
}

// refuse adds the final verdict on a request that is in no waiting list, and recycles the
// item.
func (q *Queue) refuse(now time.Time, it *item, reason Reason, predictedWait, retryAfter time.Duration) {
	v := q.verdict(now, it, Refuse, reason)
	v.Predicted = predictedWait
	v.RetryAfter = retryAfter
	q.verdicts = append(q.verdicts, v)
	q.recycle(it)
}

func (q *Queue) verdict(now time.Time, it *item, kind Kind, reason Reason) Verdict {
	return Verdict{
		ID:          it.ID,
		Team:        it.Team,
		Class:       it.Class,
		Kind:        kind,
		Reason:      reason,
		Waited:      now.Sub(it.offeredAt),
		Predicted:   it.predictedWait,
		QueueLength: q.waitingCount,
		DrainRate:   q.drainRate(now),
		Slots:       q.slots,
		Silent:      q.silence.silentFor(now),
	}
}

func scaleDuration(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
