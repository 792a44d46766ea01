package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/health"
)

const testWindow = 10 * time.Second

var brokenAttempt = Attempt{AttemptsMade: 1, Failure: health.BrokenResponse, Idempotent: true, Alternatives: 1}

func retryUntilRefused(b *Budget, now time.Time) int {
	n := 0
	for b.Allow(now, brokenAttempt).Retry {
		n++
	}
	return n
}

// If a replica that serves all streams of a failure domain fails seconds after the fleet
// has started, the node has recorded few successes. Retries earned by successes would then
// be enough for a sixth of these streams, and most streams would wait for busy links. The
// full burst must therefore be available from the start.
func TestFullBurstAvailableAtStart(t *testing.T) {
	b := New(Config{RetryRatio: 0.16, Burst: 22, Window: testWindow})
	if n := retryUntilRefused(b, epoch); n != 22 {
		t.Errorf("%d retries at once, want 22", n)
	}
	for range 100 {
		b.Success(epoch.Add(time.Second))
	}
	if n := retryUntilRefused(b, epoch.Add(time.Second)); n != 16 {
		t.Errorf("%d retries for 100 successes, want 16", n)
	}
	if n := retryUntilRefused(b, epoch.Add(testWindow-time.Second)); n != 0 {
		t.Errorf("%d more retries within the window, want none", n)
	}
	if n := retryUntilRefused(b, epoch.Add(2*testWindow)); n != 22 {
		t.Errorf("%d retries after the window, want 22", n)
	}
}

// If the nodes restart one by one and each starts with a full burst, all nodes together
// exceed their retry limit, because the retries of the previous processes still count in
// the window. A restarted node therefore starts with InitialRetries.
func TestRestartedNodeGetsOnlyInitialRetries(t *testing.T) {
	b := New(Config{Burst: 24, InitialRetries: 3, Window: testWindow})
	if n := retryUntilRefused(b, epoch); n != 3 {
		t.Errorf("%d retries after the start, want 3", n)
	}
	if n := retryUntilRefused(b, epoch.Add(testWindow+time.Second)); n != 24 {
		t.Errorf("%d retries one window later, want 24", n)
	}
}

// If half of the nodes fail after spending their bursts and the bursts of the remaining
// nodes grow at once, all nodes together exceed their retry limit. The larger burst must
// take effect one window later, when the retries of the failed nodes no longer count.
func TestLargerBurstTakesEffectAfterWindow(t *testing.T) {
	b := New(Config{Burst: 10, Window: testWindow})
	b.SetBurst(epoch, 20)
	b.SetBurst(epoch.Add(testWindow/2), 20)
	if remaining := b.RetriesLeft(epoch.Add(testWindow / 2)); remaining != 10 {
		t.Errorf("%v retries left half a window later, want 10", remaining)
	}
	b.SetBurst(epoch.Add(testWindow), 20)
	if remaining := b.RetriesLeft(epoch.Add(testWindow)); remaining != 20 {
		t.Errorf("%v retries left one window later, want 20", remaining)
	}
	b.SetBurst(epoch.Add(testWindow), 5)
	if remaining := b.RetriesLeft(epoch.Add(testWindow)); remaining != 5 {
		t.Errorf("%v retries left after the burst was lowered, want 5", remaining)
	}
}

// Each retry must count for a whole window. If it counted for less time, some period of the
// window's length could have more retries than allowed. The limit here is the burst plus the
// retry ratio times the successes of that period and of the period before it.
func TestNoWindowExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst, retryRatio = 7.0, 0.2
		b := New(Config{RetryRatio: retryRatio, Burst: burst, Window: testWindow})
		now := epoch
		var retries, successes []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				b.Success(now)
				successes = append(successes, now)
			} else if b.Allow(now, brokenAttempt).Retry {
				retries = append(retries, now)
			}
		}
		countBetween := func(list []time.Time, from, to time.Time) (n int) {
			for _, at := range list {
				if !at.Before(from) && at.Before(to) {
					n++
				}
			}
			return n
		}
		for _, from := range retries {
			to := from.Add(testWindow)
			maxRetries := burst + retryRatio*float64(countBetween(successes, from.Add(-testWindow), to))
			if n := countBetween(retries, from, to); float64(n) > maxRetries {
				t.Fatalf("%d retries in one window, want at most %.1f", n, maxRetries)
			}
		}
	})
}

// If intervals were numbered by the wall clock, a jump of that clock would end the window
// early, and all nodes together would exceed their retry limit. Intervals are numbered by
// the monotonic time since the first use.
func TestWindowUsesMonotonicClock(t *testing.T) {
	b := New(Config{Burst: 5, Window: testWindow})
	now := time.Now() // includes a monotonic clock reading
	if n := retryUntilRefused(b, now); n != 5 {
		t.Fatalf("%d retries, want 5", n)
	}
	later := now.Add(time.Millisecond)
	if n := retryUntilRefused(b, later); n != 0 {
		t.Errorf("%d more retries a millisecond later, want none", n)
	}
	if got := b.limiter.(*slidingWindow).intervalNumber(later); got != 1 {
		t.Errorf("interval %d, want interval 1, counted from the first use", got)
	}
}
