package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/health"
)

var epoch = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// countAttempts simulates calls whose attempts fail with the given failure ratio. It
// returns the number of attempts that the endpoints receive and the number of calls that
// fail. The attempts are 10 ms apart.
func countAttempts(calls int, failureRatio float64, allow func(now time.Time, a Attempt) bool, success func(time.Time)) (attempts, failedCalls int) {
	now, pendingFailures := epoch, 0.0
	for range calls {
		for attemptsMade := 1; ; attemptsMade++ {
			attempts++
			now = now.Add(10 * time.Millisecond)
			pendingFailures += failureRatio
			if pendingFailures < 1 {
				success(now)
				break
			}
			pendingFailures--
			if !allow(now, Attempt{AttemptsMade: attemptsMade, Failure: health.Internal, Idempotent: true, Alternatives: 9}) {
				failedCalls++
				break
			}
		}
	}
	return attempts, failedCalls
}

// Without a retry budget, a service that is down receives three attempts per call. These
// attempts triple the load of the service for the whole outage and keep the service from
// recovering.
func TestBudgetLimitsRetryStorm(t *testing.T) {
	threeAttempts := func(_ time.Time, a Attempt) bool { return a.AttemptsMade < DefaultMaxAttempts }
	for _, c := range []struct {
		name                   string
		failureRatio           float64 // fraction of the attempts that fail
		maxMeanAttemptsPerCall float64 // largest mean number of attempts per call
		maxFailedFraction      float64 // largest fraction of the calls that fail
	}{{"down", 1, 1.05, 1}, {"half down", 0.5, 1.12, 0.5}, {"failing one attempt in twenty", 0.05, 1.06, 0}} {
		Convey("Given a service that is "+c.name, t, func() {
			const calls = 10000
			b := New(Config{})
			allowByBudget := func(now time.Time, a Attempt) bool { return b.Allow(now, a).Retry }
			attempts, failedCalls := countAttempts(calls, c.failureRatio, allowByBudget, b.Success)
			unbudgetedAttempts, unbudgetedFailedCalls := countAttempts(calls, c.failureRatio, threeAttempts, func(time.Time) {})
			t.Logf("attempts per call: with budget %.2f, with three attempts each %.2f; failed calls %d, %d", float64(attempts)/calls, float64(unbudgetedAttempts)/calls, failedCalls, unbudgetedFailedCalls)
			So(float64(attempts)/calls, ShouldBeLessThanOrEqualTo, c.maxMeanAttemptsPerCall)
			So(float64(failedCalls)/calls, ShouldBeLessThanOrEqualTo, c.maxFailedFraction)
		})
	}
}

// If an order, which is a request that is not idempotent, is retried although it may have
// run, the order may run twice. If a request is retried after an overload, the overload gets
// worse. Allow must forbid such retries and return the reason.
func TestAllowReasons(t *testing.T) {
	allowedAttempt := Attempt{AttemptsMade: 1, Failure: health.BrokenResponse, Idempotent: true, Alternatives: 1, Deadline: epoch.Add(time.Second)}
	for _, c := range []struct {
		name   string
		change func(a *Attempt)
		want   Reason
	}{
		{"an idempotent call whose connection broke", func(a *Attempt) {}, Allowed},
		{"a successful attempt", func(a *Attempt) { a.Failure = health.None }, NotAFailure},
		{"a call canceled by its caller", func(a *Attempt) { a.Failure = health.Canceled }, NotAFailure},
		{"a full endpoint", func(a *Attempt) { a.Failure = health.Overloaded }, Overload},
		{"an order whose connection broke", func(a *Attempt) { a.Idempotent = false }, MayHaveRun},
		{"an order that timed out", func(a *Attempt) { a.Idempotent, a.Failure = false, health.Timeout }, MayHaveRun},
		{"an order sent to an unreachable endpoint", func(a *Attempt) { a.Idempotent, a.Failure = false, health.Unreachable }, Allowed},
		{"an order refused by a draining endpoint", func(a *Attempt) { a.Idempotent, a.Failure = false, health.Leaving }, Allowed},
		{"an order known not to have run", func(a *Attempt) { a.Idempotent, a.NotRun = false, true }, Allowed},
		{"a third attempt", func(a *Attempt) { a.AttemptsMade = 3 }, TooManyAttempts},
		{"no other endpoint", func(a *Attempt) { a.Alternatives = 0 }, NoAlternative},
		{"no time left", func(a *Attempt) { a.MinAttemptDuration = time.Second }, DeadlineTooNear},
		{"no deadline", func(a *Attempt) { a.MinAttemptDuration, a.Deadline = time.Hour, time.Time{} }, Allowed},
	} {
		Convey("Given "+c.name, t, func() {
			a := allowedAttempt
			c.change(&a)
			d := New(Config{}).Allow(epoch, a)
			So(d.Reason, ShouldEqual, c.want)
			So(d.Retry, ShouldEqual, c.want == Allowed)
		})
	}
	Convey("Given a spent budget, the minimum rate earns one retry every 5 s", t, func() {
		b := New(Config{Burst: 1})
		So(b.Allow(epoch, allowedAttempt).Retry, ShouldBeTrue)
		So(b.Allow(epoch, allowedAttempt).Reason, ShouldEqual, BudgetSpent)
		allowedAttempt.Deadline = time.Time{}
		So(b.Allow(epoch.Add(5*time.Second), allowedAttempt).Retry, ShouldBeTrue)
	})
}

// If calls that failed together were retried after the same delay, they would overload the
// endpoints together again. The delay must therefore vary between half of the exponential
// backoff and the whole of it. The number of retries must stay within the budget.
func TestBackoffAndBudgetBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{Seed: rapid.Uint64().Draw(t, "seed")})
		now, retries, successes := epoch, 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			if rapid.IntRange(0, 3).Draw(t, "outcome") == 0 {
				b.Success(now)
				successes++
				continue
			}
			attemptsMade := rapid.IntRange(1, 2).Draw(t, "made")
			d := b.Allow(now, Attempt{AttemptsMade: attemptsMade, Failure: health.BrokenResponse, Idempotent: true, Alternatives: 1})
			if !d.Retry {
				continue
			}
			retries++
			maxDelay := DefaultBaseDelay << (attemptsMade - 1)
			if d.Delay < maxDelay/2 || d.Delay > maxDelay {
				t.Fatalf("backoff %v after %d attempts, want %v to %v", d.Delay, attemptsMade, maxDelay/2, maxDelay)
			}
		}
		if float64(retries) > DefaultBurst+DefaultRetryRatio*float64(successes)+1e-6 {
			t.Fatalf("%d retries for %d successes exceed the budget", retries, successes)
		}
	})
}
