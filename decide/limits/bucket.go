package limits

import (
	"math"
	"time"
)

// bucket is a token bucket that may go into debt by one request, so that a
// request larger than the burst is slow but not impossible.
type bucket struct {
	level float64 // tokens
	at    time.Time
}

// refill adds to the team's bucket what has accrued. It goes from one end of a
// loan to the next: at one rate for the whole time, a loan that has just come in
// or run out would count for time in which the rate was another node's.
func (t *team) refill(now time.Time, burst time.Duration) {
	b := &t.bucket
	if b.at.IsZero() {
		b.at = now
		b.level = t.rate(now) * burst.Seconds()
	}
	for now.After(b.at) {
		next := t.nextEnd(b.at, now)
		b.level += t.rate(b.at) * next.Sub(b.at).Seconds()
		b.level = min(b.level, t.rate(next)*burst.Seconds())
		b.at = next
	}
}

// nextEnd returns the first end of a loan after the given time, or now if
// there is none before.
func (t *team) nextEnd(after, now time.Time) time.Time {
	next := now
	for _, p := range t.peers {
		next = p.owed.endIn(after, next)
		for _, l := range p.lent {
			next = l.endIn(after, next)
		}
	}
	return next
}

// take books the cost if the bucket is not in debt.
func (b *bucket) take(cost float64) bool {
	if b.level <= 0 {
		return false
	}
	b.level -= cost
	return true
}

// comeBack says when a refused caller will find room: when the debt is paid off
// and those told to come back before it have been let through, at their part of
// the rate. The debt alone is paid in milliseconds; told only that, all who are
// beyond the limit would come back at once, again and again.
func (t *team) comeBack(now time.Time, cost float64) time.Duration {
	rate := t.rate(now)
	if rate <= 0 {
		return maxRetryAfter
	}
	room := now.Add(toDuration(-t.bucket.level / rate))
	if t.returnsAt.After(room) {
		room = t.returnsAt
	}
	room = room.Add(toDuration(cost / (returnPart * rate)))
	t.returnsAt = room
	if last := now.Add(maxRetryAfter); room.After(last) {
		t.returnsAt = last
	}
	return max(t.returnsAt.Sub(now), minRetryAfter)
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// demand measures offered tokens per second.
type demand struct {
	sum float64
	at  time.Time
}

func (d *demand) add(now time.Time, cost float64, window time.Duration) {
	d.sum = d.faded(now, window) + cost
	d.at = now
}

func (d *demand) perSecond(now time.Time, window time.Duration) float64 {
	return d.faded(now, window) / window.Seconds()
}

func (d *demand) faded(now time.Time, window time.Duration) float64 {
	age := now.Sub(d.at)
	if d.sum == 0 || age <= 0 {
		return d.sum
	}
	return d.sum * math.Exp(-age.Seconds()/window.Seconds())
}
