package limits

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// renewAfterShare of a lease after the question, a loan that is in use is asked for
// again, before any new lender is: loans that run out while the node looks for
// more would have it run after its own tail.
const renewAfterShare = 0.7

// candidate is a peer that a team of this node has to do with.
type candidate struct {
	node string
	// renew: a loan is to be asked for again, or to be given back.
	renew       bool
	lastRequest time.Time
}

// ExchangePeers returns the peers that this node should exchange with for its teams'
// limits, the most urgent first: those whose loans are to be renewed or given
// back, then, while a team lacks some of its limit here, its other homes in turn.
//
// Without it a node goes round all homes of its teams whether or not it needs
// them. At 2,200 nodes these are 144, met each 576 s, while loans last 20 s: they
// run out, and the even split is left. A node that asks only for what it lacks
// needs few lenders, as it can itself serve but a few times its even part.
func (s *Splitter) ExchangePeers(now time.Time) []string {
	byNode := map[string]candidate{}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		for _, m := range s.teams[name].candidates(now, s.cfg) {
			byNode[m.node] = m.merge(byNode[m.node])
		}
	}
	all := slices.SortedFunc(maps.Values(byNode), compareUrgency)
	names := make([]string, 0, len(all))
	for _, m := range all {
		names = append(names, m.node)
	}
	return names
}

// candidates lists the team's. A node that is no home borrows like the others.
func (t *team) candidates(now time.Time, cfg Config) []candidate {
	if len(t.peers) == 0 && t.offered.decayedSum == 0 {
		return nil
	}
	short := cfg.Headroom*t.offered.perSecond(now, cfg.DemandWindow) > t.rate(now)
	var all []candidate
	for _, node := range t.homes {
		if node == cfg.Self {
			continue
		}
		m := candidate{node: node}
		borrowing := false
		if p := t.findPeer(node); p != nil {
			m.lastRequest = p.lastRequest
			borrowing = p.borrowedLoan.rateAt(now) > 0
		}
		m.renew = borrowing && now.Sub(m.lastRequest) > time.Duration(renewAfterShare*float64(t.borrowerLease(cfg)))
		if m.renew || short && !borrowing {
			all = append(all, m)
		}
	}
	return all
}

// merge joins what two teams have to do with one peer.
func (m candidate) merge(other candidate) candidate {
	m.renew = m.renew || other.renew
	if other.lastRequest.After(m.lastRequest) {
		m.lastRequest = other.lastRequest
	}
	return m
}

func compareUrgency(a, b candidate) int {
	if a.renew != b.renew {
		if a.renew {
			return -1
		}
		return 1
	}
	return cmp.Or(a.lastRequest.Compare(b.lastRequest), cmp.Compare(a.node, b.node))
}
