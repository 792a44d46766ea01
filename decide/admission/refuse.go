package admission

import "time"

const (
	// admitPart is the part of the time left that a predicted wait may take.
	// The rest absorbs the error of the prediction: who is admitted and then
	// misses the deadline has waited for nothing.
	admitPart = 0.8
	// giveUpPart is the part of the time left beyond which a waiting request
	// is given up. It is above admitPart so that chance alone does not turn
	// an admission into a refusal.
	giveUpPart = 1.25
	// returnPart is the part of a team's rate at which those refused are told
	// to come back. The rest is for those who call meanwhile.
	returnPart = 0.5
	// retrySpread spreads the returns of callers refused at the same moment.
	retrySpread = 0.1
)

// admit decides whether a new request may wait; if not, it is refused.
func (q *Queue) admit(now time.Time, it *item) bool {
	if q.slots == 0 {
		q.refuse(now, it, NoCapacity, forever, noCapacityRetry)
		return false
	}
	if now.After(it.Deadline) {
		q.refuse(now, it, DeadlinePassed, 0, 0)
		return false
	}
	if q.startsNow(it) {
		return true
	}
	if q.waiting == 0 && q.share.taken(now) {
		q.renew(now)
	}
	if q.forecast.stalled {
		q.refuse(now, it, Stalled, forever, stalledRetry)
		return false
	}
	wait := q.predict(it.team, q.lastPlace(it))
	it.foreseen = wait
	late := wait - part(it.Deadline.Sub(now), admitPart)
	if late > 0 {
		q.refuse(now, it, TooLate, wait, q.retryAfter(now, it, late))
		return false
	}
	if q.waiting >= q.cfg.MaxWaiting {
		q.refuse(now, it, QueueFull, wait, q.retryAfter(now, it, wait))
		return false
	}
	return true
}

// lastPlace is that of a new request at the end of its class.
func (q *Queue) lastPlace(it *item) place {
	t := it.team
	c := &t.waiting[it.Class]
	ahead := c.lists[it.length].cost
	return place{
		higher:    t.workBefore(it.Class),
		ahead:     ahead,
		other:     c.otherFirst(it.length, ahead),
		longAhead: t.longWork(),
		length:    it.length,
	}
}

// sweep gives up waiting requests that will miss their deadline, and returns
// the earliest deadline left, or the zero time.
//
// When capacity is lost, a queue that was right to admit is too long. Those who
// can't be served are told so now, while they can still go elsewhere; kept until
// their deadlines they would also be counted as work ahead of newcomers.
func (q *Queue) sweep(now time.Time) (earliest time.Time) {
	for _, t := range q.order {
		if t.flow.Waiting() {
			earliest = sooner(earliest, q.sweepTeam(now, t))
		}
	}
	return earliest
}

func (q *Queue) sweepTeam(now time.Time, t *team) (earliest time.Time) {
	var p place
	for class := range t.waiting {
		p.higher = t.workBefore(Class(class))
		for l := range t.waiting[class].lists {
			p.length = length(l)
			earliest = sooner(earliest, q.sweepList(now, t, &t.waiting[class], &p))
		}
	}
	return earliest
}

// sweepList goes through one length of a class, with the place moving along.
// Blocks of which nobody can be too late are passed over.
func (q *Queue) sweepList(now time.Time, t *team, c *classQueue, p *place) (earliest time.Time) {
	p.ahead = 0
	for b := c.lists[p.length].blocks; b != nil; b = b.next {
		if q.allInTime(now, t, c, b, *p) {
			p.pass(b.cost)
			earliest = sooner(earliest, b.earliest)
			continue
		}
		earliest = sooner(earliest, q.sweepBlock(now, c, b, p))
	}
	return earliest
}

// allInTime tells whether nobody in the block is to be given up: the last of them
// would start in time for the first deadline. The further back a place, the
// longer is its predicted wait, so that this holds for the others as well.
func (q *Queue) allInTime(now time.Time, t *team, c *classQueue, b *block, p place) bool {
	if q.forecast.stalled || b.earliest.Before(now) {
		return false
	}
	p.pass(b.cost)
	p.other = c.otherFirst(p.length, p.ahead)
	return !q.tooLate(t, p, b.earliest.Sub(now))
}

func (q *Queue) sweepBlock(now time.Time, c *classQueue, b *block, p *place) (earliest time.Time) {
	b.each(func(it *item) {
		p.other = c.otherFirst(p.length, p.ahead)
		if q.giveUp(now, it, *p) {
			return
		}
		p.pass(it.Cost)
		earliest = sooner(earliest, it.Deadline)
	})
	if b.count > 0 {
		b.earliest = earliest
	}
	return earliest
}

// sooner returns the earlier time; the zero time stands for none.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// giveUp refuses a waiting request if it can't start in time.
func (q *Queue) giveUp(now time.Time, it *item, p place) bool {
	left := it.Deadline.Sub(now)
	if left < 0 {
		q.dequeue(it)
		q.refuse(now, it, DeadlinePassed, 0, q.retryAfter(now, it, 0))
		return true
	}
	if q.forecast.stalled {
		q.dequeue(it)
		q.refuse(now, it, Stalled, forever, stalledRetry)
		return true
	}
	if !q.tooLate(it.team, p, left) {
		return false
	}
	wait := q.predict(it.team, p)
	q.dequeue(it)
	q.refuse(now, it, TooLate, wait, q.retryAfter(now, it, wait-part(left, giveUpPart)))
	return true
}

// tooLate tells whether a request at the place, with the given time left, will
// miss its deadline.
func (q *Queue) tooLate(t *team, p place, left time.Duration) bool {
	return q.slots > 0 && q.predict(t, p) > part(left, giveUpPart)
}

// retryAfter says when a caller who is late by the given time will find room:
// when the queue has drained by that much and those told to come back before
// it have been served at their part of the team's rate. If all were told
// the same moment they would come back as one burst and be refused again.
func (q *Queue) retryAfter(now time.Time, it *item, late time.Duration) time.Duration {
	if q.forecast.drain <= 0 {
		return noCapacityRetry
	}
	t := it.team
	at := now.Add(min(late, q.cfg.MaxRetryAfter))
	if t.returnsAt.After(at) {
		at = t.returnsAt
	}
	at = at.Add(toDuration(it.Cost / (returnPart * t.rate)))
	if last := now.Add(q.cfg.MaxRetryAfter); at.After(last) {
		at = last
	}
	t.returnsAt = at
	return q.spread(it.ID, max(at.Sub(now), minRetryAfter))
}

// spread takes off up to retrySpread of the wait, by the request's ID.
func (q *Queue) spread(id uint64, wait time.Duration) time.Duration {
	const golden = 0x9e3779b97f4a7c15 // spreads neighbouring IDs (Fibonacci hashing)
	fraction := float64((id*golden)>>11) / (1 << 53)
	return max(wait-part(wait, retrySpread*fraction), minRetryAfter)
}

// refuse gives the final answer to a request that is in no list.
func (q *Queue) refuse(now time.Time, it *item, reason Reason, wait, retryAfter time.Duration) {
	v := q.verdict(now, it, Refuse, reason)
	v.Predicted = wait
	v.RetryAfter = retryAfter
	q.out = append(q.out, v)
	q.drop(it)
}

func (q *Queue) verdict(now time.Time, it *item, kind Kind, reason Reason) Verdict {
	return Verdict{
		ID:          it.ID,
		Team:        it.Team,
		Class:       it.Class,
		Kind:        kind,
		Reason:      reason,
		Waited:      now.Sub(it.offered),
		Predicted:   it.foreseen,
		QueueLength: q.waiting,
		DrainRate:   q.drainRate(now),
	}
}

func part(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
