package retry

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
)

// Defaults of Config; the package comment gives the reasons.
const (
	DefaultRetryRatio          = 0.1
	DefaultBurst               = 100
	DefaultMinRetriesPerSecond = 0.2
	DefaultMaxAttempts         = 3
	DefaultBaseDelay           = 25 * time.Millisecond
	DefaultMaxDelay            = time.Second
)

// Config configures a Budget. Zero values take the defaults.
type Config struct {
	// RetryRatio is the number of retries earned per success.
	RetryRatio float64
	// Burst is the largest number of retries that a Budget can hold. A new Budget holds
	// InitialRetries, or Burst if InitialRetries is zero.
	Burst          float64
	InitialRetries float64
	// MinRetriesPerSecond is the number of retries earned per second, in addition to those
	// earned by successes.
	MinRetriesPerSecond float64
	// Window, if set, limits the retries in any period of this length to Burst plus
	// RetryRatio for each success in the period. Retries are then not saved up, and
	// MinRetriesPerSecond is not used. Burst minus InitialRetries counts as spent when the
	// Budget is first used.
	Window time.Duration
	// LoanLifetime, if set, is how long after their withdrawal retries that this Budget lends
	// may be used by other nodes. It needs a Window of at least twice this length; with a
	// shorter one nothing is lent.
	LoanLifetime time.Duration
	// MaxAttempts is the largest number of attempts of one request, including the first.
	MaxAttempts int
	// BaseDelay is the longest delay before the second attempt. The longest delay doubles
	// with each further attempt, up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// Seed seeds the jitter; each node uses a different seed.
	Seed uint64
}

// Attempt describes a failed attempt.
type Attempt struct {
	// AttemptsMade is the number of attempts of the request so far, including this attempt.
	AttemptsMade int
	Failure      health.Failure
	// Idempotent is set if the request may run twice. Other requests are retried only if
	// they did not run: NotRun is set or Failure proves it.
	Idempotent bool
	// NotRun is set if the caller of Allow knows that the request did not run.
	NotRun bool
	// Deadline is the deadline of the request; zero means no deadline.
	Deadline time.Time
	// MinAttemptDuration is the shortest time that a further attempt needs to succeed.
	MinAttemptDuration time.Duration
	// Alternatives is the number of other endpoints that could serve a retry.
	Alternatives int
}

// Reason says why an attempt is or is not retried.
type Reason uint8

const (
	// Allowed means that the attempt is retried. All other reasons mean that it is not.
	Allowed Reason = iota
	// NotAFailure means that the attempt succeeded or its caller canceled the request.
	NotAFailure
	// Overload means that the endpoint refused the request for lack of capacity.
	Overload
	// MayHaveRun means that the request is not idempotent and may have run.
	MayHaveRun
	// TooManyAttempts means that MaxAttempts is reached.
	TooManyAttempts
	// NoAlternative means that no other endpoint is left.
	NoAlternative
	// DeadlineTooNear means that a retry would end after the deadline, even if it took only
	// MinAttemptDuration.
	DeadlineTooNear
	// BudgetSpent means that no retry is left in the budget.
	BudgetSpent
)

var reasonNames = [...]string{
	"allowed", "not a failure", "overload", "may have run", "too many attempts",
	"no alternative", "deadline too near", "budget spent",
}

func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Decision is the result of Allow.
type Decision struct {
	Retry bool
	// Delay is the time to wait before the retry.
	Delay  time.Duration
	Reason Reason
	// RetriesLeft is the number of retries that the budget holds after the decision, for
	// the log line.
	RetriesLeft float64
}

// Budget limits the retries that one node makes for one service.
type Budget struct {
	cfg     Config
	limiter limiter
	rng     *rand.Rand
	// borrowed are retries that other nodes lent to this one.
	borrowed credits
	// refusedAt is when a retry was last refused because the budget was spent.
	refusedAt time.Time
}

// New returns a Budget that holds Config.InitialRetries.
func New(cfg Config) *Budget {
	cfg = withDefaults(cfg)
	return &Budget{cfg: cfg, limiter: newLimiter(cfg), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
}

func newLimiter(cfg Config) limiter {
	initial := cmp.Or(cfg.InitialRetries, cfg.Burst)
	if cfg.Window > 0 {
		return newSlidingWindow(cfg, cfg.Burst-initial)
	}
	return &tokenBucket{retryRatio: cfg.RetryRatio, burst: cfg.Burst, minRetriesPerSecond: cfg.MinRetriesPerSecond, availableRetries: initial}
}

func withDefaults(cfg Config) Config {
	cfg.RetryRatio = cmp.Or(cfg.RetryRatio, DefaultRetryRatio)
	cfg.Burst = cmp.Or(cfg.Burst, DefaultBurst)
	cfg.MinRetriesPerSecond = cmp.Or(cfg.MinRetriesPerSecond, DefaultMinRetriesPerSecond)
	cfg.MaxAttempts = cmp.Or(cfg.MaxAttempts, DefaultMaxAttempts)
	cfg.BaseDelay = cmp.Or(cfg.BaseDelay, DefaultBaseDelay)
	cfg.MaxDelay = cmp.Or(cfg.MaxDelay, DefaultMaxDelay)
	return cfg
}

// Success credits the budget for a complete response.
func (b *Budget) Success(now time.Time) { b.limiter.recordSuccess(now) }

// RetriesLeft returns the number of retries that are allowed now.
func (b *Budget) RetriesLeft(now time.Time) float64 {
	return b.limiter.available(now) + b.borrowed.available(now)
}

// SetBurst changes Config.Burst of a Budget that has a Window. Without a Window, SetBurst
// does nothing. A smaller burst takes effect at once, a larger burst one Window later.
func (b *Budget) SetBurst(now time.Time, burst float64) {
	if w, ok := b.limiter.(*slidingWindow); ok {
		w.setBurst(now, burst)
	}
}

// Allow decides whether a failed attempt may be retried. If it may, Allow charges one retry
// to the budget.
func (b *Budget) Allow(now time.Time, a Attempt) Decision {
	retriesLeft := b.RetriesLeft(now)
	delay := b.backoff(a.AttemptsMade)
	reason := b.refusal(now.Add(delay), retriesLeft, a)
	if reason == BudgetSpent {
		b.refusedAt = now
	}
	if reason != Allowed {
		return Decision{Reason: reason, RetriesLeft: retriesLeft}
	}
	b.spendOne(now)
	return Decision{Retry: true, Delay: delay, Reason: Allowed, RetriesLeft: retriesLeft - 1}
}

// refusal returns the reason why a retry that would start at the given time is not allowed,
// or Allowed. The budget is checked last, so BudgetSpent means that nothing else forbids
// the retry.
func (b *Budget) refusal(start time.Time, retriesLeft float64, a Attempt) Reason {
	switch {
	case a.Failure == health.None || a.Failure == health.Canceled:
		return NotAFailure
	case a.Failure == health.Overloaded:
		return Overload
	case !a.Idempotent && !a.NotRun && !a.Failure.ProvesNotRun():
		return MayHaveRun
	case a.AttemptsMade >= b.cfg.MaxAttempts:
		return TooManyAttempts
	case a.Alternatives <= 0:
		return NoAlternative
	case !a.Deadline.IsZero() && start.Add(a.MinAttemptDuration).After(a.Deadline):
		return DeadlineTooNear
	case retriesLeft < 1:
		return BudgetSpent
	}
	return Allowed
}

// backoff returns a random delay before the next attempt, uniformly distributed between
// half of the exponential backoff and the whole of it.
func (b *Budget) backoff(attemptsMade int) time.Duration {
	d := b.cfg.BaseDelay
	for i := 1; i < attemptsMade && d < b.cfg.MaxDelay; i++ {
		d *= 2
	}
	d = min(d, b.cfg.MaxDelay)
	return d/2 + time.Duration(b.rng.Float64()*float64(d/2))
}
