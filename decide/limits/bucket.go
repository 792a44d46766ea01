package limits

import (
	"math"
	"time"
)

// bucket is a token bucket that may go into debt by one request, so that a
// request larger than the burst is slow but not impossible.
type bucket struct {
	tokens    float64 // tokens
	updatedAt time.Time
}

// refill adds to the team's bucket what has accrued. It goes from one end of a
// loan to the next: at one rate for the whole time, a loan that has just come in
// or run out would count for time in which the rate was another node's.
func (t *team) refill(now time.Time, burst time.Duration) {
	b := &t.bucket
	if b.updatedAt.IsZero() {
		b.updatedAt = now
		b.tokens = t.rate(now) * burst.Seconds()
	}
	for now.After(b.updatedAt) {
		next := t.nextLoanEnd(b.updatedAt, now)
		b.tokens += t.rate(b.updatedAt) * next.Sub(b.updatedAt).Seconds()
		b.tokens = min(b.tokens, t.rate(next)*burst.Seconds())
		b.updatedAt = next
	}
}

// nextLoanEnd returns the first end of a loan after the given time, or now if
// there is none before.
func (t *team) nextLoanEnd(after, now time.Time) time.Time {
	next := now
	for _, p := range t.peers {
		next = p.borrowedLoan.endBetween(after, next)
		for _, l := range p.lentLoans {
			next = l.endBetween(after, next)
		}
	}
	return next
}

// take books the cost if the bucket is not in debt.
func (b *bucket) take(cost float64) bool {
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= cost
	return true
}

// retryAfter says when a refused caller will find room: when the debt is paid off
// and those told to come back before it have been let through, at their part of
// the rate. The debt alone is paid in milliseconds; told only that, all who are
// beyond the limit would come back at once, again and again.
func (t *team) retryAfter(now time.Time, cost float64) time.Duration {
	rate := t.rate(now)
	if rate <= 0 {
		return maxRetryAfter
	}
	retryAt := now.Add(toDuration(-t.bucket.tokens / rate))
	if t.lastRetryAt.After(retryAt) {
		retryAt = t.lastRetryAt
	}
	retryAt = retryAt.Add(toDuration(cost / (retryRateShare * rate)))
	t.lastRetryAt = retryAt
	if latest := now.Add(maxRetryAfter); retryAt.After(latest) {
		t.lastRetryAt = latest
	}
	return max(t.lastRetryAt.Sub(now), minRetryAfter)
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// demand measures offered tokens per second.
type demand struct {
	decayedSum float64
	updatedAt  time.Time
}

func (d *demand) add(now time.Time, cost float64, window time.Duration) {
	d.decayedSum = d.decayed(now, window) + cost
	d.updatedAt = now
}

func (d *demand) perSecond(now time.Time, window time.Duration) float64 {
	return d.decayed(now, window) / window.Seconds()
}

func (d *demand) decayed(now time.Time, window time.Duration) float64 {
	age := now.Sub(d.updatedAt)
	if d.decayedSum == 0 || age <= 0 {
		return d.decayedSum
	}
	return d.decayedSum * math.Exp(-age.Seconds()/window.Seconds())
}
