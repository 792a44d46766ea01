package probebudget

import "time"

// MinInterval is the shortest time between two probes of a replica that is not newly in doubt.
const MinInterval = 400 * time.Millisecond

// Priority orders the actions of one budget.
type Priority uint8

const (
	// Urgent actions may use the whole budget: a stream that has begun has probably lost a stage.
	Urgent Priority = iota
	// Normal actions leave the reserve.
	Normal
	// Background actions leave the reserve and half of the rest.
	Background
)

// Config is the size of a Budget, in actions.
type Config struct {
	PerRequest, PerSecond float64
	// PerStreamSecond is added to PerSecond for each stream that is running.
	PerStreamSecond float64
	// Max is the largest budget that can be saved up. Reserve is the part of it that is left to
	// urgent actions.
	Max, Reserve float64
}

// Budget limits actions of one kind. The zero value is empty.
type Budget struct {
	config    Config
	left      float64
	updatedAt time.Time
	withheld  int64
}

// New returns a Budget that is full.
func New(c Config) Budget { return Budget{config: c, left: c.Max} }

// Earn adds what a request that is sent earns.
func (b *Budget) Earn() { b.left = min(b.config.Max, b.left+b.config.PerRequest) }

// Take pays for one action and reports whether the budget allows it. streams is the number of
// streams that are running.
func (b *Budget) Take(now time.Time, p Priority, streams int) bool {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	if passed := now.Sub(b.updatedAt); passed > 0 {
		perSecond := b.config.PerSecond + b.config.PerStreamSecond*float64(streams)
		b.left, b.updatedAt = min(b.config.Max, b.left+perSecond*passed.Seconds()), now
	}
	if b.left < 1+b.config.reserveFor(p) {
		b.withheld++
		return false
	}
	b.left--
	return true
}

// reserveFor returns the part of the budget that an action must leave.
func (c Config) reserveFor(p Priority) float64 {
	switch p {
	case Urgent:
		return 0
	case Normal:
		return c.Reserve
	default:
		return (c.Max + c.Reserve) / 2
	}
}

// Withheld returns the number of actions that the budget did not allow.
func (b *Budget) Withheld() int64 { return b.withheld }

// Contact is what a node knows about its last contact with a replica.
type Contact struct {
	// ReachedAt is the time of the last sign that the replica is alive, ProbedAt the time of the
	// last probe; zero if there was none.
	ReachedAt, ProbedAt time.Time
	// Failed is set if the last probe did not reach the replica.
	Failed bool
}

// Doubt is why a replica may be probed.
type Doubt struct {
	// Since is the time of the last event of the silent stream.
	Since time.Time
	// Begun is set if the stream has had an event.
	Begun bool
}

// Due reports whether a replica may be probed now because of a doubt, if the budget allows it.
func (c Contact) Due(now time.Time, d Doubt) bool {
	last := c.ReachedAt
	if c.ProbedAt.After(last) {
		last = c.ProbedAt
	}
	newlyInDoubt := c.Failed || d.Begun && !last.After(d.Since)
	return newlyInDoubt || now.Sub(last) >= MinInterval
}
