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
	lastRetryAt time.Time // when the last refused caller was told to retry
	peers       []*peer   // few, in order of first contact, so that sums are deterministic
}

// peer is what this node knows about the same team on another node.
type peer struct {
	node          string
	demand        float64 // reported by the peer, tokens per second
	lastHeard     time.Time
	lentLoans     []loan // loans to the peer that may be in force
	borrowedLoan  loan   // loan from the peer
	lastRequestAt time.Time
}

// loan is a rate in tokens per second until a time.
type loan struct {
	rate          float64
	until         time.Time
	requestSentAt int64 // LoanRequest.SentAt of the request for the loan
}

func (l loan) rateAt(now time.Time) float64 {
	if now.Before(l.until) {
		return l.rate
	}
	return 0
}

// earlierEnd returns the time at which the loan ends if this time is between start and
// latestEnd. Otherwise earlierEnd returns latestEnd.
func (l loan) earlierEnd(start, latestEnd time.Time) time.Time {
	if l.until.After(start) && l.until.Before(latestEnd) {
		return l.until
	}
	return latestEnd
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

// lentRate returns the highest rate of the loans to this peer that are in force. Several
// loans to one peer may be in force at the lender, but the borrower uses only one of
// them: a newer loan replaces an older one when the borrower receives the response. The
// rates are therefore not added. The response with the newer loan may be lost, so the
// lender counts the largest loan until this loan has expired, or until a later request
// has stated a lower rate in use (see releaseUnused).
func (p *peer) lentRate(now time.Time) float64 {
	highest := 0.0
	for _, l := range p.lentLoans {
		highest = max(highest, l.rateAt(now))
	}
	return highest
}

// releaseUnused reduces the loans that were granted for requests sent before this one to
// the rate that the borrower still uses. The unused rate can be lent again at once, also
// if the borrower never received the response with the loan. A request that arrives late
// or twice does not reduce loans granted for later requests.
func (p *peer) releaseUnused(request LoanRequest) {
	for i := range p.lentLoans {
		if p.lentLoans[i].requestSentAt < request.SentAt {
			p.lentLoans[i].rate = min(p.lentLoans[i].rate, max(request.InUse, 0))
		}
	}
}

// addLoan adds the new loan and drops the loans that have expired. addLoan also drops
// each loan that is no larger than the new loan and was granted for the same or an
// earlier request.
//
// A loan A that was granted for a later request is kept even if the new loan B is larger,
// because the borrower may use A and ignore B. If B replaced A, a repeat of the request
// for A would then release B as unused, and the lender would no longer count A.
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

// borrowerLease is how long this node uses a borrowed loan, counted from the time of its
// request.
func (t *team) borrowerLease(cfg Config) time.Duration { return cfg.leaseFor(len(t.homes)) }

// lenderLease is how long this node subtracts a loan to another node from its own rate,
// counted from the time of its response.
func (t *team) lenderLease(cfg Config) time.Duration {
	return cfg.leaseFor(len(t.homes) + homeCountSlack)
}

func (c Config) leaseFor(homes int) time.Duration {
	return c.Lease + time.Duration(max(0, homes-baseLeaseHomes))*c.LeasePerHome
}

// expirePeers drops the peers that have sent nothing for a borrowerLease and have no loan
// in force. Without expirePeers, the records of nodes that have left would accumulate.
func (t *team) expirePeers(now time.Time, cfg Config) {
	lease := t.borrowerLease(cfg)
	t.peers = slices.DeleteFunc(t.peers, func(p *peer) bool {
		silent := now.Sub(p.lastHeard) > lease
		return silent && p.lentRate(now) == 0 && p.borrowedLoan.rateAt(now) == 0
	})
}

// shortfall returns the rate that the peer needs beyond its own even share, in tokens per
// second. The shortfall is 0 if the peer has sent nothing for a borrowerLease.
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

// lendableRate returns the rate to lend to the borrower. The surplus of this node is
// divided among all peers in proportion to their shortfalls. The borrower gets its part
// of the surplus, but no more than the rate that is not lent to other peers.
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

// RequestLoans returns the entries of a request to the peer, one for each team of which
// the peer is a home. From now on this node uses no more of the peer's loans than the
// request states, and ignores the response to any earlier request.
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
// request was sent, by this node's clock. The borrower's lease counts from sentAt, so the
// loan ends here before it ends at the lender, however long the response or this process
// was delayed. A response is ignored unless it answers the last request to that peer.
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
