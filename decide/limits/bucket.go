package limits

import (
	"math"
	"time"
)

// bucket is a token bucket that one request may overdraw. Otherwise a request that costs
// more than the burst would never be admitted.
type bucket struct {
	tokens    float64 // negative while the bucket is in debt
	updatedAt time.Time
}

// refill adds the tokens accrued since the last refill. The node's rate changes when a
// loan ends, so refill advances from one loan end to the next. With a single rate for the
// whole interval, lender and borrower could both count tokens of a loan for the same
// time.
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

// nextLoanEnd returns the end of the first loan, lent or borrowed, that ends between
// start and now. nextLoanEnd returns now if no loan ends in this time.
func (t *team) nextLoanEnd(start, now time.Time) time.Time {
	next := now
	for _, p := range t.peers {
		next = p.borrowedLoan.earlierEnd(start, next)
		for _, l := range p.lentLoans {
			next = l.earlierEnd(start, next)
		}
	}
	return next
}

// take deducts the cost and returns true, unless the bucket is in debt.
func (b *bucket) take(cost float64) bool {
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= cost
	return true
}

// retryAfter returns the time after which a refused caller should retry. By then the debt
// is paid off, and the callers refused earlier have been admitted, with retryRateShare of
// the rate reserved for them. The debt alone is paid off within milliseconds. If refused
// callers were told only the time until the debt is paid off, all of them would retry at
// once, again and again.
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

// demand is an exponentially decaying average of the tokens per second that callers
// request on this node, admitted or not.
type demand struct {
	decayedSum float64
	updatedAt  time.Time
}

func (d *demand) add(now time.Time, cost float64, window time.Duration) {
	d.decayedSum = d.decayedSumAt(now, window) + cost
	d.updatedAt = now
}

func (d *demand) tokensPerSecond(now time.Time, window time.Duration) float64 {
	return d.decayedSumAt(now, window) / window.Seconds()
}

func (d *demand) decayedSumAt(now time.Time, window time.Duration) float64 {
	age := now.Sub(d.updatedAt)
	if d.decayedSum == 0 || age <= 0 {
		return d.decayedSum
	}
	return d.decayedSum * math.Exp(-age.Seconds()/window.Seconds())
}
