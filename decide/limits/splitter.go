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
	// Lease is the duration of a loan between nodes, for teams of up to baseLeaseHomes
	// homes. Borrower and lender have to exchange at least twice in this time.
	Lease time.Duration
	// LeasePerHome is added to Lease for each home beyond baseLeaseHomes. A node sends
	// requests to one peer after another, so the more homes a team has, the later the
	// node returns to the same peer.
	LeasePerHome time.Duration
	// Burst limits the unused tokens that a node accumulates: at most the tokens that its
	// rate gives in this time.
	Burst time.Duration
	// DemandWindow is the time constant with which the average of the demand decays.
	DemandWindow time.Duration
	// Headroom is a factor on demands: a node keeps Headroom times its own demand for
	// itself and lends only the rest of its even share.
	Headroom float64
}

const (
	defaultLease        = 6 * time.Second
	defaultBurst        = time.Second
	defaultDemandWindow = 2 * time.Second
	defaultHeadroom     = 1.25

	// baseLeaseHomes is the largest number of homes that a node can contact one after the
	// other within Config.Lease.
	baseLeaseHomes = 4
	// homeCountSlack is added to the number of homes when the lender computes its lease.
	// Lender and borrower may use lists of homes whose lengths differ by up to this
	// number. In this case too, the loan must not end at the lender before it ends at the
	// borrower.
	homeCountSlack = 2

	// maxRetryAfter is the longest time after which a refused caller is told to retry.
	// maxRetryAfter also applies while the node's rate is zero.
	maxRetryAfter = time.Minute
	// minRetryAfter is the shortest time after which a refused caller is told to retry.
	// minRetryAfter is no shorter than the time that a refusal and the next call take
	// together.
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
	Limit     float64 // over the whole environment; zero if the team has no limit
	Rate      float64 // currently allowed by this node
	EvenShare float64 // even share that this node owns; zero if it is not a home
	Lent      float64
	Borrowed  float64
	Demand    float64 // measured on this node
	IsHome    bool    // whether this node is one of the team's homes
}

// LoanRequest is the entry for one team in a request for loans from a peer.
type LoanRequest struct {
	Team   string
	Demand float64 // of the borrower, tokens per second
	// InUse is the rate that the borrower still uses of its present loan from the peer,
	// in tokens per second.
	InUse float64
	// SentAt is the borrower's clock in nanoseconds. SentAt orders the borrower's
	// requests.
	SentAt int64
}

// Loan is the entry for one team in the response to a request for loans.
type Loan struct {
	Team   string
	Demand float64 // of the lender, tokens per second
	Rate   float64 // lent to the borrower, tokens per second
}

// Splitter enforces the teams' limits on one node. A Splitter admits or refuses the
// node's requests, lends rates to other nodes and borrows rates from them. It is not safe
// for concurrent use; the caller locks.
type Splitter struct {
	cfg   Config
	teams map[string]*team
}

// New returns a Splitter without limits.
func New(cfg Config) *Splitter {
	return &Splitter{cfg: cfg.withDefaults(), teams: make(map[string]*team)}
}

// SetTeam sets a team's limit over the whole environment and the names of its home nodes.
// If the limit is zero or less, SetTeam removes the limit and the team's loans. Otherwise
// the loans in force stay.
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

// RecordDemand records the demand that a peer reported for a team in an exchange. Lend
// and Borrow call RecordDemand.
func (s *Splitter) RecordDemand(now time.Time, name, node string, tokensPerSecond float64) {
	t, ok := s.teams[name]
	if !ok || node == s.cfg.Self {
		return
	}
	p := t.peer(node)
	p.demand = cleanRate(tokensPerSecond, t.limit)
	p.lastHeard = now
}

// cleanRate returns a rate from a message, limited to the range from zero to the limit.
// NaN, which would corrupt every sum, becomes zero.
func cleanRate(rate, limit float64) float64 {
	if !(rate > 0) {
		return 0
	}
	return min(rate, limit)
}

// Allow reports whether a request of the given expected cost, in tokens, is within the
// team's limit, and deducts the cost if it is. Otherwise the caller should retry after
// the time retryAfter.
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

// Correct deducts the actual minus the expected cost of a request, in tokens. A negative
// difference adds tokens.
func (s *Splitter) Correct(now time.Time, name string, diff float64) {
	t, ok := s.teams[name]
	if !ok {
		return
	}
	t.refill(now, s.cfg.Burst)
	t.bucket.tokens -= diff
}

// Share returns the current rates of a team on this node; ok is false if the team has no
// limit.
func (s *Splitter) Share(now time.Time, name string) (share Share, ok bool) {
	t, ok := s.teams[name]
	if !ok {
		return Share{}, false
	}
	return s.share(now, t), true
}

func (s *Splitter) share(now time.Time, t *team) Share {
	return Share{
		Limit:     t.limit,
		Rate:      t.rate(now),
		EvenShare: t.evenShare,
		Lent:      t.lent(now),
		Borrowed:  t.borrowed(now),
		Demand:    t.offered.tokensPerSecond(now, s.cfg.DemandWindow),
		IsHome:    slices.Contains(t.homes, s.cfg.Self),
	}
}
