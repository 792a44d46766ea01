package limits

import (
	"slices"
	"time"
)

// Config sets up a Splitter. The zero value of each field but Self means its
// default.
type Config struct {
	// Self is this node's name, as in the lists of homes.
	Self string
	// Lease is how long a loan between nodes lasts. Two homes have to
	// exchange at least twice in it.
	Lease time.Duration
	// LeasePerHome is added for each home beyond fewHomes: a node asks one peer
	// after the other, so it comes back to each later.
	LeasePerHome time.Duration
	// Burst is how much unused allowance a node keeps, as time at its rate.
	Burst time.Duration
	// DemandWindow is the time constant of the measured demand.
	DemandWindow time.Duration
	// Headroom is the factor on its own demand that a node keeps at home.
	Headroom float64
}

const (
	defaultLease        = 6 * time.Second
	defaultBurst        = time.Second
	defaultDemandWindow = 2 * time.Second
	defaultHeadroom     = 1.25

	// baseLeaseHomes can all be asked again within Config.Lease.
	baseLeaseHomes = 4
	// homeCountSlack homes are added by the lender: its list of homes may differ from
	// the borrower's by so many, and the loan must not end there first.
	homeCountSlack = 2

	// maxRetryAfter bounds what a refused caller is told; it is told where the
	// node's rate is zero.
	maxRetryAfter = time.Minute
	// minRetryAfter keeps a refused caller from coming back within the time
	// that a refusal and a new call take together.
	minRetryAfter = 100 * time.Millisecond
	// retryRateShare is the part of the rate at which refused callers are told to
	// come back. The rest is for those who call meanwhile.
	retryRateShare = 0.5
)

func (c Config) withDefaults() Config {
	if c.Lease <= 0 {
		c.Lease = defaultLease
	}
	if c.Burst <= 0 {
		c.Burst = defaultBurst
	}
	if c.DemandWindow <= 0 {
		c.DemandWindow = defaultDemandWindow
	}
	if c.Headroom < 1 {
		c.Headroom = defaultHeadroom
	}
	return c
}

// Share is this node's part of a team's limit. All rates are in tokens per
// second.
type Share struct {
	Limit    float64 // of the whole environment; zero if the team has none
	Rate     float64 // what this node allows now
	Even     float64 // this node's own part
	Lent     float64
	Borrowed float64
	Demand   float64 // measured on this node
	Home     bool    // whether this node is one of the team's homes
}

// LoanRequest is one team's entry in a question to a peer.
type LoanRequest struct {
	Team   string
	Demand float64 // of the asking node, tokens per second
	// InUse is how much of earlier loans the asking node still uses, tokens per
	// second.
	InUse float64
	// SentAt is the asking node's time in nanoseconds. It orders its questions.
	SentAt int64
}

// Loan is one team's entry in the answer.
type Loan struct {
	Team   string
	Demand float64 // of the answering node, tokens per second
	Rate   float64 // lent to the asking node, tokens per second
}

// Splitter counts the teams' work on one node. It is not safe for concurrent
// use: the caller locks.
type Splitter struct {
	cfg   Config
	teams map[string]*team
}

// New returns a Splitter that limits no team.
func New(cfg Config) *Splitter {
	return &Splitter{cfg: cfg.withDefaults(), teams: make(map[string]*team)}
}

// SetTeam sets a team's limit over the whole environment and the names of its
// home nodes. A limit of zero or less means none. Loans in force stay, but for
// those of a removed team.
func (s *Splitter) SetTeam(name string, tokensPerSecond float64, homes []string) {
	if tokensPerSecond <= 0 {
		s.RemoveTeam(name)
		return
	}
	t, ok := s.teams[name]
	if !ok {
		t = new(team)
		s.teams[name] = t
	}
	t.limit = tokensPerSecond
	t.homes = slices.Clone(homes)
	t.evenShare = 0
	if slices.Contains(homes, s.cfg.Self) {
		t.evenShare = tokensPerSecond / float64(len(homes))
	}
}

// RemoveTeam ends a team's limit.
func (s *Splitter) RemoveTeam(name string) { delete(s.teams, name) }

// Demand notes what a peer needs, from an exchange. Lend and Borrow call it.
func (s *Splitter) Demand(now time.Time, name, node string, tokensPerSecond float64) {
	t, ok := s.teams[name]
	if !ok || node == s.cfg.Self {
		return
	}
	p := t.peer(node)
	p.demand = cleanRate(tokensPerSecond, t.limit)
	p.lastHeard = now
}

// cleanRate bounds a rate from a message: a demand above the limit asks for no
// more than all of it, and what is not a number would spoil every sum.
func cleanRate(rate, limit float64) float64 {
	if !(rate > 0) {
		return 0
	}
	return min(rate, limit)
}

// Allow tells whether a request of the given expected cost, in tokens, is
// within the team's limit, and books it if so. Otherwise retryAfter says when
// this node's allowance will have recovered.
func (s *Splitter) Allow(now time.Time, name string, cost float64) (ok bool, retryAfter time.Duration, share Share) {
	t, limited := s.teams[name]
	if !limited {
		return true, 0, Share{}
	}
	t.offered.add(now, cost, s.cfg.DemandWindow)
	share = s.share(now, t)
	t.refill(now, s.cfg.Burst)
	if t.bucket.take(cost) {
		return true, 0, share
	}
	return false, t.retryAfter(now, cost), share
}

// Correct books the difference between actual and expected cost, in tokens.
func (s *Splitter) Correct(now time.Time, name string, diff float64) {
	t, ok := s.teams[name]
	if !ok {
		return
	}
	t.refill(now, s.cfg.Burst)
	t.bucket.tokens -= diff
}

// Share returns the present figures; ok is false if the team has no limit.
func (s *Splitter) Share(now time.Time, name string) (share Share, ok bool) {
	t, ok := s.teams[name]
	if !ok {
		return Share{}, false
	}
	return s.share(now, t), true
}

func (s *Splitter) share(now time.Time, t *team) Share {
	return Share{
		Limit:    t.limit,
		Rate:     t.rate(now),
		Even:     t.evenShare,
		Lent:     t.lent(now),
		Borrowed: t.borrowed(now),
		Demand:   t.offered.perSecond(now, s.cfg.DemandWindow),
		Home:     slices.Contains(t.homes, s.cfg.Self),
	}
}
