package paths

import "time"

const (
	// backoffBase is how long a replica is skipped after its first refusal.
	backoffBase = 150 * time.Millisecond
	// backoffMax is the longest backoff period after repeated refusals.
	backoffMax = 2400 * time.Millisecond
)

// backoff is the state of a replica that refuses requests although it has capacity: it
// is about to leave, gives up its layers, or waits for a lost replica, and the list
// doesn't show the reason yet. A refusal soon after a backoff period starts a new period
// that is twice as long.
type backoff struct {
	delay time.Duration // length of the last period
	until time.Time     // end of the last period
}

// extend records a refusal. Refusals during a backoff period don't lengthen the period. A
// refusal that comes later than one period after its end starts again at backoffBase.
func (b *backoff) extend(now time.Time) {
	switch {
	case now.Before(b.until):
		return
	case b.delay == 0 || now.Sub(b.until) > b.delay:
		b.delay = backoffBase
	default:
		b.delay = min(2*b.delay, backoffMax)
	}
	b.until = now.Add(b.delay)
}

func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }
