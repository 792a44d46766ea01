package retry

import "time"

// limiter counts the retries of a Budget and decides how many more are allowed.
type limiter interface {
	// available returns the number of retries that are allowed now.
	available(now time.Time) float64
	// recordSuccess adds the retries that a complete response earns to the allowed retries.
	recordSuccess(now time.Time)
	// spend subtracts the given number of retries.
	spend(now time.Time, retries float64)
}

// tokenBucket earns retryRatio retries per success and minRetriesPerSecond per second. It
// holds at most burst retries.
type tokenBucket struct {
	retryRatio, burst, minRetriesPerSecond float64
	availableRetries                       float64
	creditedUntil                          time.Time // time up to which minRetriesPerSecond has been credited
}

func (b *tokenBucket) available(now time.Time) float64 {
	if b.creditedUntil.IsZero() {
		b.creditedUntil = now
	}
	if elapsed := now.Sub(b.creditedUntil); elapsed > 0 {
		b.creditedUntil = now
		b.credit(b.minRetriesPerSecond * elapsed.Seconds())
	}
	return b.availableRetries
}

func (b *tokenBucket) recordSuccess(now time.Time) {
	b.available(now)
	b.credit(b.retryRatio)
}

func (b *tokenBucket) spend(_ time.Time, retries float64) { b.availableRetries -= retries }

func (b *tokenBucket) credit(tokens float64) {
	b.availableRetries = min(b.burst, b.availableRetries+tokens)
}

// windowIntervals is the number of equal intervals into which the window is divided.
const windowIntervals = 20

// maxLoanIntervals is the longest loan lifetime in intervals: half of the window.
const maxLoanIntervals = windowIntervals / 2

// slidingWindow limits the retries in any period of the given width to burst plus
// retryRatio for each success in that period. The full burst need not be saved up first.
type slidingWindow struct {
	width             time.Duration
	retryRatio, burst float64
	// ring has one interval more than the window, because a period of that width usually
	// starts and ends within an interval. The intervals after these hold retries that count
	// as spent at a later time, until which another node may use them.
	ring [windowIntervals + 1 + maxLoanIntervals + 1]interval
	// loanLifetime is how long after their withdrawal lent retries may be used; zero if this
	// window lends none.
	loanLifetime time.Duration
	// initialSpent is the number of retries that count as spent at the first use of the
	// window.
	initialSpent float64
	// pendingBurst is a burst that is larger than the current burst. It takes effect one
	// window width after pendingSince.
	pendingBurst float64
	pendingSince time.Time
	// firstUse is the time of the first call. The time elapsed since firstUse is measured
	// by the monotonic clock readings, because the wall clock may jump.
	firstUse time.Time
}

// interval holds the number of retries and successes in one interval of the window.
// intervalNumber counts the intervals since the first use.
type interval struct {
	intervalNumber          int64
	spentRetries, successes float64
	// made is the number of retries that this node made, with its own and with borrowed ones.
	made float64
}

// newSlidingWindow returns a window in which spent retries count as spent at the first use.
func newSlidingWindow(cfg Config, spent float64) *slidingWindow {
	return &slidingWindow{
		width: cfg.Window, retryRatio: cfg.RetryRatio, burst: cfg.Burst, initialSpent: spent, loanLifetime: cfg.loanLifetime(),
	}
}

func (w *slidingWindow) intervalNumber(now time.Time) int64 {
	if w.firstUse.IsZero() {
		w.firstUse = now
	}
	// Interval numbers start at 1, so that an unused ring entry, with number 0, is not
	// taken for the first interval.
	return max(0, int64(now.Sub(w.firstUse)/(w.width/windowIntervals))) + 1
}

// currentInterval returns the ring entry of the interval that contains now. If the entry
// still holds an older interval, it is reset.
func (w *slidingWindow) currentInterval(now time.Time) *interval {
	number := w.intervalNumber(now) // sets firstUse
	if w.initialSpent > 0 {
		w.interval(w.intervalNumber(now.Add(w.loanLifetime))).spentRetries += w.initialSpent
		w.initialSpent = 0
	}
	return w.interval(number)
}

// interval returns the ring entry with the given number.
func (w *slidingWindow) interval(number int64) *interval {
	s := &w.ring[number%int64(len(w.ring))]
	if s.intervalNumber != number {
		*s = interval{intervalNumber: number}
	}
	return s
}

func (w *slidingWindow) available(now time.Time) float64 {
	w.currentInterval(now)
	oldest := w.intervalNumber(now) - windowIntervals
	retries := w.burst
	for _, s := range w.ring {
		if s.intervalNumber < oldest {
			continue
		}
		retries -= s.spentRetries
		if s.intervalNumber > oldest {
			retries += w.retryRatio * s.successes
		}
	}
	return retries
}

// setBurst applies a smaller burst at once, and a larger burst after one window width. When
// nodes leave the fleet, the part of the fleet's retries that each remaining node may use
// grows. The retries that the departed nodes have spent still count against the fleet's
// limit until one window width has passed. The retries that they have lent may be spent for
// a further loanLifetime.
func (w *slidingWindow) setBurst(now time.Time, burst float64) {
	switch {
	case burst <= w.burst:
		w.burst, w.pendingSince = burst, time.Time{}
	case w.pendingSince.IsZero():
		w.pendingBurst, w.pendingSince = burst, now
	case now.Sub(w.pendingSince) >= w.width+w.loanLifetime:
		w.burst, w.pendingSince = min(burst, w.pendingBurst), time.Time{}
	default:
		w.pendingBurst = min(burst, w.pendingBurst)
	}
}

func (w *slidingWindow) recordSuccess(now time.Time) { w.currentInterval(now).successes++ }

func (w *slidingWindow) spend(now time.Time, retries float64) {
	w.currentInterval(now).spentRetries += retries
}
