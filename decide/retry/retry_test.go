package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/health"
)

var epoch = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// load counts the attempts that endpoints get for a number of calls of which
// all, or the given part, fail; attempts come 10 ms apart.
func load(calls int, failing float64, allow func(now time.Time, a Attempt) bool, success func(time.Time)) (sent, failed int) {
	now, debt := epoch, 0.0
	for range calls {
		for made := 1; ; made++ {
			sent++
			now = now.Add(10 * time.Millisecond)
			debt += failing
			if debt < 1 {
				success(now)
				break
			}
			debt--
			if !allow(now, Attempt{Made: made, Failure: health.Internal, Repeatable: true, Alternatives: 9}) {
				failed++
				break
			}
		}
	}
	return sent, failed
}

// Callers of a service that is down get their error soon, and the endpoints get
// hardly more than the callers send, so that they can come up again. Three
// attempts each, the baseline, triple the load for as long as it lasts.
func TestStorm(t *testing.T) {
	three := func(_ time.Time, a Attempt) bool { return a.Made < DefaultMaxAttempts }
	for _, c := range []struct {
		name    string
		failing float64
		most    float64 // attempts a call
		failed  float64 // calls
	}{{"down", 1, 1.05, 1}, {"half down", 0.5, 1.12, 0.5}, {"failing one call in twenty", 0.05, 1.06, 0}} {
		Convey("Given a service that is "+c.name, t, func() {
			const calls = 10000
			b := New(Config{})
			budget := func(now time.Time, a Attempt) bool { return b.Allow(now, a).Retry }
			sent, failed := load(calls, c.failing, budget, b.Success)
			base, baseFailed := load(calls, c.failing, three, func(time.Time) {})
			t.Logf("attempts a call: budget %.2f, three each %.2f; failed %d, %d", float64(sent)/calls, float64(base)/calls, failed, baseFailed)
			So(float64(sent)/calls, ShouldBeLessThanOrEqualTo, c.most)
			So(float64(failed)/calls, ShouldBeLessThanOrEqualTo, c.failed)
		})
	}
}

// An order sent twice is delivered twice, and a retry to a full service fills it
// further. Each reason that forbids one must be told.
func TestReasons(t *testing.T) {
	ok := Attempt{Made: 1, Failure: health.Broken, Repeatable: true, Alternatives: 1, Deadline: epoch.Add(time.Second)}
	for _, c := range []struct {
		name   string
		change func(a *Attempt)
		want   Reason
	}{
		{"a repeatable call that broke", func(a *Attempt) {}, Allowed},
		{"an answer", func(a *Attempt) { a.Failure = health.None }, NotAFailure},
		{"a caller that gave up", func(a *Attempt) { a.Failure = health.Canceled }, NotAFailure},
		{"a full endpoint", func(a *Attempt) { a.Failure = health.Overloaded }, Overload},
		{"an order that broke", func(a *Attempt) { a.Repeatable = false }, MayHaveRun},
		{"an order that timed out", func(a *Attempt) { a.Repeatable, a.Failure = false, health.Timeout }, MayHaveRun},
		{"an order that found no endpoint", func(a *Attempt) { a.Repeatable, a.Failure = false, health.Unreachable }, Allowed},
		{"an order that met a leaving endpoint", func(a *Attempt) { a.Repeatable, a.Failure = false, health.Leaving }, Allowed},
		{"an order known not to have run", func(a *Attempt) { a.Repeatable, a.NotRun = false, true }, Allowed},
		{"a third attempt", func(a *Attempt) { a.Made = 3 }, TooManyAttempts},
		{"no other endpoint", func(a *Attempt) { a.Alternatives = 0 }, NoAlternative},
		{"no time left", func(a *Attempt) { a.Need = time.Second }, DeadlineTooNear},
		{"no deadline", func(a *Attempt) { a.Need, a.Deadline = time.Hour, time.Time{} }, Allowed},
	} {
		Convey("Given "+c.name, t, func() {
			a := ok
			c.change(&a)
			d := New(Config{}).Allow(epoch, a)
			So(d.Reason, ShouldEqual, c.want)
			So(d.Retry, ShouldEqual, c.want == Allowed)
		})
	}
	Convey("Given a spent budget, the floor earns one retry each 5 s", t, func() {
		b := New(Config{Burst: 1})
		So(b.Allow(epoch, ok).Retry, ShouldBeTrue)
		So(b.Allow(epoch, ok).Reason, ShouldEqual, BudgetSpent)
		ok.Deadline = time.Time{}
		So(b.Allow(epoch.Add(5*time.Second), ok).Retry, ShouldBeTrue)
	})
}

// Callers that failed together must not return together: the delays differ, and
// stay within the stated bounds, so that no retry is later than its caller can
// reckon with.
func TestDelayAndBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{Seed: rapid.Uint64().Draw(t, "seed")})
		now, retries, successes := epoch, 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			if rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
				b.Success(now)
				successes++
				continue
			}
			made := rapid.IntRange(1, 2).Draw(t, "made")
			d := b.Allow(now, Attempt{Made: made, Failure: health.Broken, Repeatable: true, Alternatives: 1})
			if !d.Retry {
				continue
			}
			retries++
			longest := DefaultBaseDelay << (made - 1)
			if d.After < longest/2 || d.After > longest {
				t.Fatalf("delay %v after %d attempts", d.After, made)
			}
		}
		if float64(retries) > DefaultBurst+DefaultShare*float64(successes)+1e-6 {
			t.Fatalf("%d retries on %d successes", retries, successes)
		}
	})
}
