package loadshed

import "time"

const (
	// minRetryAfter and maxRetryAfter bound when a refused caller is told to return.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// timeLeftDivisor divides the time that a caller has left. Callers do not wait longer than
	// that part, one third, before they return.
	timeLeftDivisor = 3
	// longestJitter spreads the callers that can't be served within the longest time to return:
	// they return within this last share of it.
	longestJitter = 0.25
	// unsaturatedSpread is the time over which the callers are spread that are refused for another
	// reason than load. Streams last some seconds, so about a tenth of them end within it.
	unsaturatedSpread = 400 * time.Millisecond
	// returnShare is the share of a class's rate that is promised to callers that return. The
	// rest covers the variation of the rate and of the times of return, and callers that are new.
	returnShare = 0.5
)

// deferrals counts the refused requests whose time to return has not come, by deferralSlot.
// The zero value is ready to use.
type deferrals struct {
	counts [maxDeferralSlots]uint32
	slot   int64 // index of the current slot
	sum    uint32
}

const (
	deferralSlot     = 250 * time.Millisecond
	maxDeferralSlots = int64(maxRetryAfter/deferralSlot) + 2
)

func (d *deferrals) advance(at time.Duration) {
	slot := int64(at / deferralSlot)
	if slot-d.slot >= maxDeferralSlots {
		*d = deferrals{slot: slot}
		return
	}
	for ; d.slot < slot; d.slot++ {
		passed := &d.counts[d.slot%maxDeferralSlots]
		d.sum -= *passed
		*passed = 0
	}
}

func (d *deferrals) add(at, after time.Duration) {
	d.advance(at)
	slot := min(max(int64((at+after)/deferralSlot), d.slot), d.slot+maxDeferralSlots-1)
	d.counts[slot%maxDeferralSlots]++
	d.sum++
}

// count returns how many requests are still to return.
func (d *deferrals) count(at time.Duration) float64 {
	d.advance(at)
	return float64(d.sum)
}

// retryAfter returns when the caller of a refused request should return: when the requests that
// were deferred before it have been served, those of more urgent priorities at the admitted rate
// and those of its class at the rate of its class. Other nodes refuse requests of the class as
// well, which this node learns only after the horizon. Callers are spread evenly over the time that
// the replicas need for these.
func (c *Controller) retryAfter(r Request, d Demand) time.Duration {
	urgent := 0.0
	for _, deferred := range c.plan.deferred[:r.Class.Priority] {
		urgent += deferred
	}
	served := max(returnShare*c.plan.rate(r.Class, d.Arrivals), minAdmittedPerSecond/float64(max(1, c.totals.Nodes)))
	deferredElsewhere := (d.Arrivals - min(d.Arrivals, served)) * horizon.Seconds()
	seconds := c.totals.wait().Seconds() + urgent/c.admitted + (d.Deferred+c.random.Float64()*deferredElsewhere)/served
	longest := min(maxRetryAfter, max(minRetryAfter, r.TimeLeft/timeLeftDivisor))
	if seconds >= longest.Seconds() {
		return max(minRetryAfter, longest-time.Duration(longestJitter*c.random.Float64()*float64(longest)))
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// Defer records that a request which was admitted can't be served now, and returns when its caller
// is told to return. Callers that are refused for another reason than load thereby return in the
// same order as those that are refused because of it.
func (c *Controller) Defer(now time.Time, r Request) time.Duration {
	at := c.sinceStart(now)
	r.Class.Priority = clampPriority(r.Class.Priority)
	c.update(at)
	s := c.stateOf(&r.Class)
	after := c.unsaturatedRetryAfter(r)
	if c.saturated {
		after = c.retryAfter(r, c.demand(at, r.Class, s))
	}
	s.deferred.add(at, after)
	return after
}

// unsaturatedRetryAfter returns when a caller should return while the service is not saturated:
// there is no admitted rate then, and nobody to wait for.
func (c *Controller) unsaturatedRetryAfter(r Request) time.Duration {
	after := minRetryAfter + time.Duration(c.random.Float64()*float64(unsaturatedSpread))
	return min(after, max(minRetryAfter, r.TimeLeft/timeLeftDivisor))
}
