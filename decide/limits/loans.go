package limits

import (
	"maps"
	"slices"
	"time"
)

// team is one team's state on this node.
type team struct {
	limit       float64
	homes       []string
	evenShare   float64
	offered     demand
	bucket      bucket
	lastRetryAt time.Time // when the last refused caller was told to come back
	peers       []*peer   // few, and in order of first contact: sums are deterministic
}

// peer is what this node knows of the team on another one.
type peer struct {
	node         string
	demand       float64
	lastHeard    time.Time
	lentLoans    []loan // that may be in force
	borrowedLoan loan   // borrowed from the peer
	lastRequest  time.Time
}

// loan is a rate in tokens per second until a time.
type loan struct {
	rate          float64
	until         time.Time
	requestSentAt int64 // Ask.Asked of the question
}

func (l loan) rateAt(now time.Time) float64 {
	if now.Before(l.until) {
		return l.rate
	}
	return 0
}

// endBetween returns the loan's end if it lies between the two times, else to.
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

// lentRate returns the highest loan to the peer in force. A newer answer replaces
// an older one for the borrower, but it may have been lost: until the older,
// larger loan has run out or its borrower has said what it keeps, the lender has
// to reckon with it.
func (p *peer) lentRate(now time.Time) float64 {
	highest := 0.0
	for _, l := range p.lentLoans {
		highest = max(highest, l.rateAt(now))
	}
	return highest
}

// releaseUnused notes how much of the loans answered to earlier questions is still in
// use. It gives back at once what the borrower does not need any more, and
// settles whether earlier answers have arrived. A question that comes late or
// twice says nothing of loans made since.
func (p *peer) releaseUnused(request LoanRequest) {
	for i := range p.lentLoans {
		if p.lentLoans[i].requestSentAt < request.SentAt {
			p.lentLoans[i].rate = min(p.lentLoans[i].rate, max(request.InUse, 0))
		}
	}
}

// addLoan adds a loan and drops those that it covers. An answer to a question that
// came late covers none made to later ones: a repeat of those questions would
// settle it, and the loan that it stood for would be forgotten.
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

// rate is what this node allows, in tokens per second.
func (t *team) rate(now time.Time) float64 {
	return max(t.evenShare-t.lent(now), 0) + t.borrowed(now)
}

// borrowerLease is how long this node uses a loan, from its question.
func (t *team) borrowerLease(cfg Config) time.Duration { return cfg.leaseForHomes(len(t.homes)) }

// lenderLease is how long this node reckons with a loan to another, from its answer.
func (t *team) lenderLease(cfg Config) time.Duration {
	return cfg.leaseForHomes(len(t.homes) + homeCountSlack)
}

func (c Config) leaseForHomes(homes int) time.Duration {
	return c.Lease + time.Duration(max(0, homes-baseLeaseHomes))*c.LeasePerHome
}

// expirePeers drops peers that are silent and have no part in a loan, so that nodes
// which come and go do not add up.
func (t *team) expirePeers(now time.Time, cfg Config) {
	lease := t.borrowerLease(cfg)
	t.peers = slices.DeleteFunc(t.peers, func(p *peer) bool {
		silent := now.Sub(p.lastHeard) > lease
		return silent && p.lentRate(now) == 0 && p.borrowedLoan.rateAt(now) == 0
	})
}

// shortfall is what the peer lacks beyond its own even part, if it has been heard
// of lately.
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

// lendableRate returns what may be lent to the asker: its part, by need, of what this
// node has over its own demand, and no more than it has not lent already.
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
	surplus := t.evenShare - cfg.Headroom*t.offered.perSecond(now, cfg.DemandWindow)
	fairPart := surplus * shortfall / totalShortfall
	unlent := t.evenShare - lentToOthers
	return max(min(fairPart, unlent, shortfall), 0)
}

// RequestLoans returns what to put into a question to the peer, for each team that has
// a home there. From now on this node uses of the peer's loans only what it
// says it keeps, and takes no answer to an earlier question.
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
	demand := t.offered.perSecond(now, cfg.DemandWindow)
	p := t.peer(node)
	p.lastRequest = now
	p.borrowedLoan.rate = min(p.borrowedLoan.rate, max(cfg.Headroom*demand-t.evenShare, 0))
	return LoanRequest{Team: name, Demand: demand, InUse: p.borrowedLoan.rateAt(now), SentAt: now.UnixNano()}
}

// Lend returns the answer to a peer's question. From now on the loans are off
// this node's rate, whether or not the answer arrives.
func (s *Splitter) Lend(now time.Time, borrower string, requests []LoanRequest) []Loan {
	loans := make([]Loan, 0, len(requests))
	for _, request := range requests {
		t, ok := s.teams[request.Team]
		if !ok {
			continue
		}
		s.Demand(now, request.Team, borrower, request.Demand)
		t.refill(now, s.cfg.Burst)
		p := t.peer(borrower)
		p.releaseUnused(request)
		rate := t.lendableRate(now, p, s.cfg)
		p.addLoan(now, loan{rate: rate, until: now.Add(t.lenderLease(s.cfg)), requestSentAt: request.SentAt})
		demand := t.offered.perSecond(now, s.cfg.DemandWindow)
		loans = append(loans, Loan{Team: request.Team, Demand: demand, Rate: rate})
	}
	return loans
}

// Borrow takes the answer to this node's question. Asked is the time at which
// the question was sent, by this node's clock: the lease counts from there, so
// that it ends here before it ends at the lender, however long the answer or
// this process was held up. An answer to any but the last question is ignored.
func (s *Splitter) Borrow(now, sentAt time.Time, node string, loans []Loan) {
	for _, l := range loans {
		t, ok := s.teams[l.Team]
		if !ok {
			continue
		}
		s.Demand(now, l.Team, node, l.Demand)
		t.refill(now, s.cfg.Burst)
		p := t.peer(node)
		if sentAt.Equal(p.lastRequest) {
			p.borrowedLoan = loan{rate: cleanRate(l.Rate, t.limit), until: sentAt.Add(t.borrowerLease(s.cfg))}
		}
	}
}
