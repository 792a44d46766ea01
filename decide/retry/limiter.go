package retry

import "time"

// limiter counts the retries that a Budget allows.
type limiter interface {
	// available returns the number of retries that may be made now.
	available(now time.Time) float64
	// recordSuccess credits a complete response.
	recordSuccess(now time.Time)
	// spend charges one retry.
	spend(now time.Time)
}

// tokenBucket earns retries per success and per second, and holds at most burst.
type tokenBucket struct {
	retryRatio, burst, minRetriesPerSecond float64
	availableRetries                       float64
	creditedUntil                          time.Time // minPerSecond is credited up to this time
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

func (b *tokenBucket) spend(time.Time) { b.availableRetries-- }

func (b *tokenBucket) credit(tokens float64) {
	b.availableRetries = min(b.burst, b.availableRetries+tokens)
}

// windowIntervals is the number of slots into which the window is divided.
const windowIntervals = 20

// slidingWindow allows, in any period of the given width, burst retries plus ratio
// for each success in the period. The full burst is available at any time without
// being saved up first.
type slidingWindow struct {
	width             time.Duration
	retryRatio, burst float64
	// ring has one slot more than the width covers, because a period of that width
	// usually starts and ends inside a slot.
	ring [windowIntervals + 1]interval
	// initialSpent is the number of retries that count as spent at the first use.
	initialSpent float64
	// pendingBurst is a larger burst that takes effect one width after pendingSince.
	pendingBurst float64
	pendingSince time.Time
	// firstUse is the time of the first call. The time elapsed since then is measured
	// with its monotonic clock reading, because the wall clock may jump.
	firstUse time.Time
}

// interval counts retries and successes in one interval of the window. Slots are numbered
// from the first use.
type interval struct {
	intervalNumber          int64
	spentRetries, successes float64
}

// newSlidingWindow returns a window in which the given number of retries counts as
// spent at its first use.
func newSlidingWindow(cfg Config, spent float64) *slidingWindow {
	return &slidingWindow{width: cfg.Window, retryRatio: cfg.RetryRatio, burst: cfg.Burst, initialSpent: spent}
}

func (w *slidingWindow) intervalNumber(now time.Time) int64 {
	if w.firstUse.IsZero() {
		w.firstUse = now
	}
	// Numbers start at 1, so that an unused ring entry is not taken for the first slot.
	return max(0, int64(now.Sub(w.firstUse)/(w.width/windowIntervals))) + 1
}

// currentInterval returns the slot that contains now. The ring entry is reset if it
// still holds an older slot.
func (w *slidingWindow) currentInterval(now time.Time) *interval {
	number := w.intervalNumber(now)
	s := &w.ring[number%int64(len(w.ring))]
	if s.intervalNumber != number {
		*s = interval{intervalNumber: number}
	}
	s.spentRetries, w.initialSpent = s.spentRetries+w.initialSpent, 0
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

// setBurst applies a smaller burst at once and a larger burst after one width. When
// nodes leave, each remaining node's part of the retries grows. The retries that the
// departed nodes spent still count against the limit until the width has passed.
func (w *slidingWindow) setBurst(now time.Time, burst float64) {
	switch {
	case burst <= w.burst:
		w.burst, w.pendingSince = burst, time.Time{}
	case w.pendingSince.IsZero():
		w.pendingBurst, w.pendingSince = burst, now
	case now.Sub(w.pendingSince) >= w.width:
		w.burst, w.pendingSince = min(burst, w.pendingBurst), time.Time{}
	default:
		w.pendingBurst = min(burst, w.pendingBurst)
	}
}

func (w *slidingWindow) recordSuccess(now time.Time) { w.currentInterval(now).successes++ }

func (w *slidingWindow) spend(now time.Time) { w.currentInterval(now).spentRetries++ }
