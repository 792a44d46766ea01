package limits

import (
	"maps"
	"slices"
	"time"
)

// team is one team's state on this node.
type team struct {
	limit     float64
	homes     []string
	even      float64
	offered   demand
	bucket    bucket
	returnsAt time.Time // when the last refused caller was told to come back
	peers     []*peer   // few, and in order of first contact: sums are deterministic
}

// peer is what this node knows of the team on another one.
type peer struct {
	node   string
	demand float64
	heard  time.Time
	lent   []loan // that may be in force
	owed   loan   // borrowed from the peer
	asked  time.Time
}

// loan is a rate in tokens per second until a time.
type loan struct {
	rate  float64
	until time.Time
	asked int64 // Ask.Asked of the question
}

func (l loan) at(now time.Time) float64 {
	if now.Before(l.until) {
		return l.rate
	}
	return 0
}

// endIn returns the loan's end if it lies between the two times, else to.
func (l loan) endIn(from, to time.Time) time.Time {
	if l.until.After(from) && l.until.Before(to) {
		return l.until
	}
	return to
}

func (t *team) find(node string) *peer {
	for _, p := range t.peers {
		if p.node == node {
			return p
		}
	}
	return nil
}

func (t *team) peer(node string) *peer {
	p := t.find(node)
	if p == nil {
		p = &peer{node: node}
		t.peers = append(t.peers, p)
	}
	return p
}

// lentAt returns the highest loan to the peer in force. A newer answer replaces
// an older one for the borrower, but it may have been lost: until the older,
// larger loan has run out or its borrower has said what it keeps, the lender has
// to reckon with it.
func (p *peer) lentAt(now time.Time) float64 {
	most := 0.0
	for _, l := range p.lent {
		most = max(most, l.at(now))
	}
	return most
}

// keep notes how much of the loans answered to earlier questions is still in
// use. It gives back at once what the borrower does not need any more, and
// settles whether earlier answers have arrived. A question that comes late or
// twice says nothing of loans made since.
func (p *peer) keep(ask Ask) {
	for i := range p.lent {
		if p.lent[i].asked < ask.Asked {
			p.lent[i].rate = min(p.lent[i].rate, max(ask.Keep, 0))
		}
	}
}

// lend adds a loan and drops those that it covers. An answer to a question that
// came late covers none made to later ones: a repeat of those questions would
// settle it, and the loan that it stood for would be forgotten.
func (p *peer) lend(now time.Time, l loan) {
	p.lent = slices.DeleteFunc(p.lent, func(old loan) bool {
		return old.at(now) == 0 || (old.at(now) <= l.rate && old.asked <= l.asked)
	})
	if l.rate > 0 {
		p.lent = append(p.lent, l)
	}
}

func (t *team) lent(now time.Time) float64 {
	sum := 0.0
	for _, p := range t.peers {
		sum += p.lentAt(now)
	}
	return sum
}

func (t *team) borrowed(now time.Time) float64 {
	sum := 0.0
	for _, p := range t.peers {
		sum += p.owed.at(now)
	}
	return sum
}

// rate is what this node allows, in tokens per second.
func (t *team) rate(now time.Time) float64 {
	return max(t.even-t.lent(now), 0) + t.borrowed(now)
}

// lease is how long this node uses a loan, from its question.
func (t *team) lease(cfg Config) time.Duration { return cfg.leaseOf(len(t.homes)) }

// lentLease is how long this node reckons with a loan to another, from its answer.
func (t *team) lentLease(cfg Config) time.Duration { return cfg.leaseOf(len(t.homes) + leaseSlack) }

func (c Config) leaseOf(homes int) time.Duration {
	return c.Lease + time.Duration(max(0, homes-fewHomes))*c.LeasePerHome
}

// forget drops peers that are silent and have no part in a loan, so that nodes
// which come and go do not add up.
func (t *team) forget(now time.Time, cfg Config) {
	lease := t.lease(cfg)
	t.peers = slices.DeleteFunc(t.peers, func(p *peer) bool {
		silent := now.Sub(p.heard) > lease
		return silent && p.lentAt(now) == 0 && p.owed.at(now) == 0
	})
}

// need is what the peer lacks beyond its own even part, if it has been heard
// of lately.
func (t *team) need(now time.Time, p *peer, cfg Config) float64 {
	if now.Sub(p.heard) > t.lease(cfg) {
		return 0
	}
	even := 0.0
	if slices.Contains(t.homes, p.node) {
		even = t.limit / float64(len(t.homes))
	}
	return max(cfg.Headroom*p.demand-even, 0)
}

// spare returns what may be lent to the asker: its part, by need, of what this
// node has over its own demand, and no more than it has not lent already.
func (t *team) spare(now time.Time, asker *peer, cfg Config) float64 {
	need := t.need(now, asker, cfg)
	if need == 0 {
		return 0
	}
	needs := 0.0
	lentToOthers := 0.0
	for _, p := range t.peers {
		needs += t.need(now, p, cfg)
		if p != asker {
			lentToOthers += p.lentAt(now)
		}
	}
	over := t.even - cfg.Headroom*t.offered.perSecond(now, cfg.DemandWindow)
	fair := over * need / needs
	free := t.even - lentToOthers
	return max(min(fair, free, need), 0)
}

// Ask returns what to put into a question to the peer, for each team that has
// a home there. From now on this node uses of the peer's loans only what it
// says it keeps, and takes no answer to an earlier question.
func (s *Splitter) Ask(now time.Time, node string) []Ask {
	var asks []Ask
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		t.refill(now, s.cfg.Burst)
		t.forget(now, s.cfg)
		if slices.Contains(t.homes, node) && node != s.cfg.Self {
			asks = append(asks, t.ask(now, name, node, s.cfg))
		}
	}
	return asks
}

func (t *team) ask(now time.Time, name, node string, cfg Config) Ask {
	demand := t.offered.perSecond(now, cfg.DemandWindow)
	p := t.peer(node)
	p.asked = now
	p.owed.rate = min(p.owed.rate, max(cfg.Headroom*demand-t.even, 0))
	return Ask{Team: name, Demand: demand, Keep: p.owed.at(now), Asked: now.UnixNano()}
}

// Lend returns the answer to a peer's question. From now on the loans are off
// this node's rate, whether or not the answer arrives.
func (s *Splitter) Lend(now time.Time, asker string, asks []Ask) []Loan {
	loans := make([]Loan, 0, len(asks))
	for _, ask := range asks {
		t, ok := s.teams[ask.Team]
		if !ok {
			continue
		}
		s.Demand(now, ask.Team, asker, ask.Demand)
		t.refill(now, s.cfg.Burst)
		p := t.peer(asker)
		p.keep(ask)
		rate := t.spare(now, p, s.cfg)
		p.lend(now, loan{rate: rate, until: now.Add(t.lentLease(s.cfg)), asked: ask.Asked})
		demand := t.offered.perSecond(now, s.cfg.DemandWindow)
		loans = append(loans, Loan{Team: ask.Team, Demand: demand, Rate: rate})
	}
	return loans
}

// Borrow takes the answer to this node's question. Asked is the time at which
// the question was sent, by this node's clock: the lease counts from there, so
// that it ends here before it ends at the lender, however long the answer or
// this process was held up. An answer to any but the last question is ignored.
func (s *Splitter) Borrow(now, asked time.Time, node string, loans []Loan) {
	for _, l := range loans {
		t, ok := s.teams[l.Team]
		if !ok {
			continue
		}
		s.Demand(now, l.Team, node, l.Demand)
		t.refill(now, s.cfg.Burst)
		p := t.peer(node)
		if asked.Equal(p.asked) {
			p.owed = loan{rate: cleanRate(l.Rate, t.limit), until: asked.Add(t.lease(s.cfg))}
		}
	}
}
