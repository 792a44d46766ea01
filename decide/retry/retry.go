package retry

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
)

// Defaults of Config; doc.go gives their grounds.
const (
	DefaultShare       = 0.1
	DefaultBurst       = 100
	DefaultFloor       = 0.2
	DefaultMaxAttempts = 3
	DefaultBaseDelay   = 25 * time.Millisecond
	DefaultMaxDelay    = time.Second
)

// Config sets a Budget. Zero values take the defaults.
type Config struct {
	// Share is the retries earned per success.
	Share float64
	// Burst is the most retries that can be saved up; a new Budget holds them, or
	// Start if that is set.
	Burst float64
	Start float64
	// Floor is the retries earned per second whatever succeeds.
	Floor float64
	// Window, if set, bounds the retries of any span of this length instead of saving
	// them up: Burst, and Share for each success in it. Floor is not used then, and of
	// Start the rest of Burst counts as spent when the Budget is made.
	Window time.Duration
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// BaseDelay is the longest wait before the second attempt; it doubles with
	// each further one up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// Seed of the jitter; nodes take different ones.
	Seed uint64
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Made is the number of attempts made so far, this one included.
	Made    int
	Failure health.Failure
	// Repeatable is set if the request may run twice. Otherwise it is tried
	// again only if NotRun is set or Failure proves that it did not run.
	Repeatable bool
	// NotRun is set if the caller of Allow knows that the request did not run.
	NotRun bool
	// Deadline of the request; zero for none.
	Deadline time.Time
	// Need is the shortest time in which an attempt can succeed.
	Need time.Duration
	// Alternatives is the number of other endpoints that could be tried.
	Alternatives int
}

// Reason says why an attempt is or is not tried again.
type Reason uint8

const (
	// Allowed is the only reason that comes with Retry set.
	Allowed Reason = iota
	// NotAFailure means that the attempt succeeded or its caller gave up.
	NotAFailure
	// Overload means that the endpoint refused for want of room.
	Overload
	// MayHaveRun means that the request may not repeat and perhaps ran.
	MayHaveRun
	// TooManyAttempts means that MaxAttempts is reached.
	TooManyAttempts
	// NoAlternative means that no other endpoint is left.
	NoAlternative
	// DeadlineTooNear means that a further attempt would end too late.
	DeadlineTooNear
	// BudgetSpent means that the service fails too often to retry.
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

// Decision is the answer of Allow.
type Decision struct {
	Retry bool
	// After is how long to wait before the retry.
	After  time.Duration
	Reason Reason
	// Left is the budget after the decision, in retries, for the log line.
	Left float64
}

// Budget holds the retries that a service has earned.
type Budget struct {
	cfg    Config
	purse  purse
	random *rand.Rand
}

// New returns a Budget that holds Config.Start.
func New(cfg Config) *Budget {
	cfg = withDefaults(cfg)
	return &Budget{cfg: cfg, purse: newPurse(cfg), random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
}

func newPurse(cfg Config) purse {
	start := cmp.Or(cfg.Start, cfg.Burst)
	if cfg.Window > 0 {
		return newWindow(cfg, cfg.Burst-start)
	}
	return &bucket{share: cfg.Share, burst: cfg.Burst, floor: cfg.Floor, tokens: start}
}

func withDefaults(cfg Config) Config {
	cfg.Share = cmp.Or(cfg.Share, DefaultShare)
	cfg.Burst = cmp.Or(cfg.Burst, DefaultBurst)
	cfg.Floor = cmp.Or(cfg.Floor, DefaultFloor)
	cfg.MaxAttempts = cmp.Or(cfg.MaxAttempts, DefaultMaxAttempts)
	cfg.BaseDelay = cmp.Or(cfg.BaseDelay, DefaultBaseDelay)
	cfg.MaxDelay = cmp.Or(cfg.MaxDelay, DefaultMaxDelay)
	return cfg
}

// Success credits the budget for a complete answer.
func (b *Budget) Success(now time.Time) { b.purse.success(now) }

// Left is how many retries may be made now.
func (b *Budget) Left(now time.Time) float64 { return b.purse.left(now) }

// SetBurst changes the most retries that a Budget with a Window allows besides the share
// of the successes. A larger one counts after a window.
func (b *Budget) SetBurst(now time.Time, burst float64) {
	if w, ok := b.purse.(*window); ok {
		w.setBurst(now, burst)
	}
}

// Allow decides on a failed attempt and, if it may be tried again, charges the
// budget for the retry.
func (b *Budget) Allow(now time.Time, a Attempt) Decision {
	left := b.purse.left(now)
	after := b.delay(a.Made)
	reason := b.refusal(now.Add(after), left, a)
	if reason != Allowed {
		return Decision{Reason: reason, Left: left}
	}
	b.purse.spend(now)
	return Decision{Retry: true, After: after, Reason: Allowed, Left: left - 1}
}

// refusal returns why an attempt that would start at the given time may not be
// made, or Allowed. The budget comes last, so that it is charged only for
// retries that are made.
func (b *Budget) refusal(start time.Time, left float64, a Attempt) Reason {
	switch {
	case a.Failure == health.None || a.Failure == health.Canceled:
		return NotAFailure
	case a.Failure == health.Overloaded:
		return Overload
	case !a.Repeatable && !a.NotRun && !a.Failure.ProvesNotRun():
		return MayHaveRun
	case a.Made >= b.cfg.MaxAttempts:
		return TooManyAttempts
	case a.Alternatives <= 0:
		return NoAlternative
	case !a.Deadline.IsZero() && start.Add(a.Need).After(a.Deadline):
		return DeadlineTooNear
	case left < 1:
		return BudgetSpent
	}
	return Allowed
}

// delay draws the wait before the next attempt: between half and the whole of
// the doubled base delay.
func (b *Budget) delay(made int) time.Duration {
	d := b.cfg.BaseDelay
	for i := 1; i < made && d < b.cfg.MaxDelay; i++ {
		d *= 2
	}
	d = min(d, b.cfg.MaxDelay)
	return d/2 + time.Duration(b.random.Float64()*float64(d/2))
}
