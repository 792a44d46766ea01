package paths

import "time"

const (
	// backoffBase is how long a replica is left out that has turned a request away, the
	// first time; awayMost is the longest such pause.
	backoffBase = 150 * time.Millisecond
	backoffMax  = 2400 * time.Millisecond
)

// backoff is what a replica's refusals say that has room: it is about to leave, gives up its
// layers, or waits for what is gone, and the list does not tell yet. Each time that it
// refuses again after a pause the next one is twice as long.
type backoff struct {
	delay time.Duration
	until time.Time
}

// extend notes a refusal. Those that come together are one sign.
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
