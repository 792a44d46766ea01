package limits

import (
	"maps"
	"slices"
	"time"
)

// team is the state of one team on this node.
type team struct {
	limit       float64
	homes       []string
	evenShare   float64
	offered     demand
	bucket      bucket
	lastRetryAt time.Time // retry time given to the last refused caller
	peers       []*peer   // few, in order of first contact, so that sums are deterministic
}

// peer is the state of the team on another node, as known here.
type peer struct {
	node          string
	demand        float64
	lastHeard     time.Time
	lentLoans     []loan // loans to the peer that may be in force
	borrowedLoan  loan   // loan from the peer
	lastRequestAt time.Time
}

// loan is a rate in tokens per second until a time.
type loan struct {
	rate          float64
	until         time.Time
	requestSentAt int64 // LoanRequest.SentAt of the request
}

func (l loan) rateAt(now time.Time) float64 {
	if now.Before(l.until) {
		return l.rate
	}
	return 0
}

// endBetween returns the end of the loan if it lies between the two times, otherwise to.
func (l loan) endBetween(from, to time.Time) time.Time {
	if l.until.After(from) && l.until.Before(to) {
		return l.until
	}
	return to
}

func (t *team) findPeer(node string) *peer {
	for _, p := range t.peers {
		if p.node == node {
			return p
		}
	}
	return nil
}

func (t *team) peer(node string) *peer {
	p := t.findPeer(node)
	if p == nil {
		p = &peer{node: node}
		t.peers = append(t.peers, p)
	}
	return p
}

// lentRate returns the highest loan to the peer that is in force. For the borrower a
// newer response replaces an older one, but the newer response may have been lost. The
// lender therefore counts the older, larger loan until it has expired or the borrower has
// reported how much of it is in use.
func (p *peer) lentRate(now time.Time) float64 {
	highest := 0.0
	for _, l := range p.lentLoans {
		highest = max(highest, l.rateAt(now))
	}
	return highest
}

// releaseUnused reduces the loans granted for earlier requests to the rate that the
// borrower still uses. That frees unused capacity at once and covers the case that a
// response was lost. A request that arrives late or twice says nothing about loans
// granted since it was sent.
func (p *peer) releaseUnused(request LoanRequest) {
	for i := range p.lentLoans {
		if p.lentLoans[i].requestSentAt < request.SentAt {
			p.lentLoans[i].rate = min(p.lentLoans[i].rate, max(request.InUse, 0))
		}
	}
}

// addLoan adds a loan and drops the loans that it covers. A response to a delayed request
// covers no loan granted for a later request. Otherwise a repeat of the later request
// would release the remaining loan, and the lender would no longer count the later loan
// that it replaced.
func (p *peer) addLoan(now time.Time, l loan) {
	p.lentLoans = slices.DeleteFunc(p.lentLoans, func(old loan) bool {
		return old.rateAt(now) == 0 || (old.rateAt(now) <= l.rate && old.requestSentAt <= l.requestSentAt)
	})
	if l.rate > 0 {
		p.lentLoans = append(p.lentLoans, l)
	}
}

func (t *team) lent(now time.Time) float64 {
	sum := 0.0
	for _, p := range t.peers {
		sum += p.lentRate(now)
	}
	return sum
}

func (t *team) borrowed(now time.Time) float64 {
	sum := 0.0
	for _, p := range t.peers {
		sum += p.borrowedLoan.rateAt(now)
	}
	return sum
}

// rate returns the rate that this node allows, in tokens per second.
func (t *team) rate(now time.Time) float64 {
	return max(t.evenShare-t.lent(now), 0) + t.borrowed(now)
}

// borrowerLease is how long this node uses a loan, counted from its request.
func (t *team) borrowerLease(cfg Config) time.Duration { return cfg.leaseFor(len(t.homes)) }

// lenderLease is how long this node subtracts a loan to another node, counted from its
// response.
func (t *team) lenderLease(cfg Config) time.Duration {
	return cfg.leaseFor(len(t.homes) + homeCountSlack)
}

func (c Config) leaseFor(homes int) time.Duration {
	return c.Lease + time.Duration(max(0, homes-baseLeaseHomes))*c.LeasePerHome
}

// expirePeers drops peers that have been silent for a lease and have no loan in force.
// Without it, nodes that come and go would accumulate.
func (t *team) expirePeers(now time.Time, cfg Config) {
	lease := t.borrowerLease(cfg)
	t.peers = slices.DeleteFunc(t.peers, func(p *peer) bool {
		silent := now.Sub(p.lastHeard) > lease
		return silent && p.lentRate(now) == 0 && p.borrowedLoan.rateAt(now) == 0
	})
}

// shortfall returns the demand of the peer beyond its own even share, or 0 if the peer
// has not been heard from within a lease.
func (t *team) shortfall(now time.Time, p *peer, cfg Config) float64 {
	if now.Sub(p.lastHeard) > t.borrowerLease(cfg) {
		return 0
	}
	evenShare := 0.0
	if slices.Contains(t.homes, p.node) {
		evenShare = t.limit / float64(len(t.homes))
	}
	return max(cfg.Headroom*p.demand-evenShare, 0)
}

// lendableRate returns the rate to lend to the borrower. It is the borrower's part of
// this node's surplus, in proportion to the shortfalls of all peers, and at most what is
// not lent to others.
func (t *team) lendableRate(now time.Time, borrower *peer, cfg Config) float64 {
	shortfall := t.shortfall(now, borrower, cfg)
	if shortfall == 0 {
		return 0
	}
	totalShortfall := 0.0
	lentToOthers := 0.0
	for _, p := range t.peers {
		totalShortfall += t.shortfall(now, p, cfg)
		if p != borrower {
			lentToOthers += p.lentRate(now)
		}
	}
	surplus := t.evenShare - cfg.Headroom*t.offered.tokensPerSecond(now, cfg.DemandWindow)
	fairPart := surplus * shortfall / totalShortfall
	unlent := t.evenShare - lentToOthers
	return max(min(fairPart, unlent, shortfall), 0)
}

// RequestLoans returns the entries of a request to the peer, one for each team that has a
// home there. From now on this node uses no more of the peer's loans than the request
// states, and ignores the response to any earlier request.
func (s *Splitter) RequestLoans(now time.Time, node string) []LoanRequest {
	var requests []LoanRequest
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		t.refill(now, s.cfg.Burst)
		t.expirePeers(now, s.cfg)
		if slices.Contains(t.homes, node) && node != s.cfg.Self {
			requests = append(requests, t.requestLoan(now, name, node, s.cfg))
		}
	}
	return requests
}

func (t *team) requestLoan(now time.Time, name, node string, cfg Config) LoanRequest {
	demand := t.offered.tokensPerSecond(now, cfg.DemandWindow)
	p := t.peer(node)
	p.lastRequestAt = now
	p.borrowedLoan.rate = min(p.borrowedLoan.rate, max(cfg.Headroom*demand-t.evenShare, 0))
	return LoanRequest{Team: name, Demand: demand, InUse: p.borrowedLoan.rateAt(now), SentAt: now.UnixNano()}
}

// Lend returns the response to a peer's request. From now on the loans are subtracted
// from this node's rate, whether or not the response arrives.
func (s *Splitter) Lend(now time.Time, borrower string, requests []LoanRequest) []Loan {
	loans := make([]Loan, 0, len(requests))
	for _, request := range requests {
		t, ok := s.teams[request.Team]
		if !ok {
			continue
		}
		s.RecordDemand(now, request.Team, borrower, request.Demand)
		t.refill(now, s.cfg.Burst)
		p := t.peer(borrower)
		p.releaseUnused(request)
		rate := t.lendableRate(now, p, s.cfg)
		p.addLoan(now, loan{rate: rate, until: now.Add(t.lenderLease(s.cfg)), requestSentAt: request.SentAt})
		demand := t.offered.tokensPerSecond(now, s.cfg.DemandWindow)
		loans = append(loans, Loan{Team: request.Team, Demand: demand, Rate: rate})
	}
	return loans
}

// Borrow applies the response to a request of this node. sentAt is the time at which the
// request was sent, by this node's clock. The lease counts from sentAt, so it ends here
// before it ends at the lender, however long the response or this process was delayed. A
// response to any request but the last is ignored.
func (s *Splitter) Borrow(now, sentAt time.Time, node string, loans []Loan) {
	for _, l := range loans {
		t, ok := s.teams[l.Team]
		if !ok {
			continue
		}
		s.RecordDemand(now, l.Team, node, l.Demand)
		t.refill(now, s.cfg.Burst)
		p := t.peer(node)
		if sentAt.Equal(p.lastRequestAt) {
			p.borrowedLoan = loan{rate: cleanRate(l.Rate, t.limit), until: sentAt.Add(t.borrowerLease(s.cfg))}
		}
	}
}
