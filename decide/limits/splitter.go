package limits

import (
	"slices"
	"time"
)

// Config configures a Splitter. Each field except Self has a default, which applies if
// the field is zero.
type Config struct {
	// Self is the name of this node as it appears in the lists of homes.
	Self string
	// Lease is the duration of a loan between nodes. Two homes have to exchange at least
	// twice within it.
	Lease time.Duration
	// LeasePerHome is added to Lease for each home beyond baseLeaseHomes: a node sends
	// requests to one peer after another, so it returns to each peer later.
	LeasePerHome time.Duration
	// Burst is the unused allowance that a node accumulates, as time at its rate.
	Burst time.Duration
	// DemandWindow is the time constant of the demand average.
	DemandWindow time.Duration
	// Headroom is the multiple of its own demand that a node does not lend.
	Headroom float64
}

const (
	defaultLease        = 6 * time.Second
	defaultBurst        = time.Second
	defaultDemandWindow = 2 * time.Second
	defaultHeadroom     = 1.25

	// baseLeaseHomes is the number of homes that can all be reached again within
	// Config.Lease.
	baseLeaseHomes = 4
	// homeCountSlack is the number of homes that the lender adds when it computes the
	// lease. The lists of homes of lender and borrower may differ in length by this many,
	// and the loan must not end at the lender first.
	homeCountSlack = 2

	// maxRetryAfter is the longest retry time given to a refused caller, and the retry
	// time while the node's rate is zero.
	maxRetryAfter = time.Minute
	// minRetryAfter keeps a refused caller from retrying within the time that a refusal
	// and a new call take together.
	minRetryAfter = 100 * time.Millisecond
	// retryRateShare is the part of the rate that is reserved for retries of refused
	// callers. The rest is for new calls.
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

// Share is this node's part of a team's limit. All rates are in tokens per second.
type Share struct {
	Limit    float64 // over the whole environment; zero if the team has no limit
	Rate     float64 // currently allowed by this node
	Even     float64 // even share that this node owns; zero if it is not a home
	Lent     float64
	Borrowed float64
	Demand   float64 // measured on this node
	Home     bool    // whether this node is one of the team's homes
}

// LoanRequest is the entry for one team in a request to a peer.
type LoanRequest struct {
	Team   string
	Demand float64 // of the borrower, tokens per second
	// InUse is the rate of earlier loans that the borrower still uses, in tokens per
	// second.
	InUse float64
	// SentAt is the borrower's clock in nanoseconds. It orders the borrower's requests.
	SentAt int64
}

// Loan is the entry for one team in the response.
type Loan struct {
	Team   string
	Demand float64 // of the lender, tokens per second
	Rate   float64 // lent to the borrower, tokens per second
}

// Splitter counts the teams' tokens on one node. It is not safe for concurrent use; the
// caller locks.
type Splitter struct {
	cfg   Config
	teams map[string]*team
}

// New returns a Splitter without limits.
func New(cfg Config) *Splitter {
	return &Splitter{cfg: cfg.withDefaults(), teams: make(map[string]*team)}
}

// SetTeam sets a team's limit over the whole environment and the names of its home nodes.
// A limit of zero or less removes the limit and the team's loans; otherwise loans in
// force stay.
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

// RemoveTeam removes a team's limit.
func (s *Splitter) RemoveTeam(name string) { delete(s.teams, name) }

// RecordDemand records a peer's demand as received in an exchange. Lend and Borrow call it.
func (s *Splitter) RecordDemand(now time.Time, name, node string, tokensPerSecond float64) {
	t, ok := s.teams[name]
	if !ok || node == s.cfg.Self {
		return
	}
	p := t.peer(node)
	p.demand = cleanRate(tokensPerSecond, t.limit)
	p.lastHeard = now
}

// cleanRate bounds a rate from a message. It caps a rate above the limit, and maps NaN,
// which would corrupt every sum, to zero.
func cleanRate(rate, limit float64) float64 {
	if !(rate > 0) {
		return 0
	}
	return min(rate, limit)
}

// Allow reports whether a request of the given expected cost, in tokens, is within the
// team's limit, and deducts the cost if it is. Otherwise retryAfter is the time after
// which this node's allowance will have recovered.
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

// Correct deducts the difference between actual and expected cost, in tokens.
func (s *Splitter) Correct(now time.Time, name string, diff float64) {
	t, ok := s.teams[name]
	if !ok {
		return
	}
	t.refill(now, s.cfg.Burst)
	t.bucket.tokens -= diff
}

// Share returns the current values; ok is false if the team has no limit.
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
		Demand:   t.offered.tokensPerSecond(now, s.cfg.DemandWindow),
		Home:     slices.Contains(t.homes, s.cfg.Self),
	}
}
