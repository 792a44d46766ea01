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

// refill adds what has accrued. A bucket starts full.
func (b *bucket) refill(now time.Time, rate float64, burst time.Duration) {
	full := rate * burst.Seconds()
	if b.at.IsZero() {
		b.level = full
	}
	if age := now.Sub(b.at); !b.at.IsZero() && age > 0 {
		b.level += rate * age.Seconds()
	}
	b.level = min(b.level, full)
	if now.After(b.at) {
		b.at = now
	}
}

// take books the cost if the bucket is not in debt.
func (b *bucket) take(cost, rate float64) (ok bool, retryAfter time.Duration) {
	if b.level > 0 {
		b.level -= cost
		return true, 0
	}
	if rate <= 0 {
		return false, maxRetryAfter
	}
	wait := time.Duration(math.Ceil(-b.level / rate * float64(time.Second)))
	return false, min(max(wait, time.Millisecond), maxRetryAfter)
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
