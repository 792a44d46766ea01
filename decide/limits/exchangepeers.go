package limits

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// renewAfterShare is a part of the lease: a loan in use is requested again when this part
// of its lease has passed. Renewal has priority over requests to new lenders. Otherwise
// existing loans would expire while the node looks for more lenders, and the node would
// never borrow as much as it needs.
const renewAfterShare = 0.7

// candidate is a peer with which this node should exchange because of a team's limit.
type candidate struct {
	node string
	// renew is set if a loan from the peer has to be renewed or released.
	renew         bool
	lastRequestAt time.Time
}

// ExchangePeers returns the peers that this node should exchange with for its teams'
// limits, the most urgent first. Peers whose loans are due for renewal or release come
// first. If a team's demand on this node exceeds the team's rate here, the team's other
// homes follow, the least recently asked first.
//
// Without ExchangePeers, a node would contact all homes of its teams in turn, whether or
// not it needs loans. With 2,200 nodes the teams of a node have 144 homes together, and
// the node contacts each of them every 576 s. Loans last 20 s, so they expire long
// before, and each home has only its even share. A node that requests only what it lacks
// needs few lenders, because it can itself serve only a few times its even share.
func (s *Splitter) ExchangePeers(now time.Time) []string {
	byNode := map[string]candidate{}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		for _, c := range s.teams[name].candidates(now, s.cfg) {
			byNode[c.node] = c.merge(byNode[c.node])
		}
	}
	all := slices.SortedFunc(maps.Values(byNode), compareUrgency)
	names := make([]string, 0, len(all))
	for _, c := range all {
		names = append(names, c.node)
	}
	return names
}

// candidates returns the peers to exchange with for this team. A node that is not a home
// borrows in the same way as a home.
func (t *team) candidates(now time.Time, cfg Config) []candidate {
	if len(t.peers) == 0 && t.offered.decayedSum == 0 {
		return nil
	}
	needsMore := cfg.Headroom*t.offered.tokensPerSecond(now, cfg.DemandWindow) > t.rate(now)
	var all []candidate
	for _, node := range t.homes {
		if node == cfg.Self {
			continue
		}
		c := candidate{node: node}
		borrowing := false
		if p := t.findPeer(node); p != nil {
			c.lastRequestAt = p.lastRequestAt
			borrowing = p.borrowedLoan.rateAt(now) > 0
		}
		c.renew = borrowing && now.Sub(c.lastRequestAt) > time.Duration(renewAfterShare*float64(t.borrowerLease(cfg)))
		if c.renew || needsMore && !borrowing {
			all = append(all, c)
		}
	}
	return all
}

// merge combines the candidates of two teams for the same peer.
func (c candidate) merge(other candidate) candidate {
	c.renew = c.renew || other.renew
	if other.lastRequestAt.After(c.lastRequestAt) {
		c.lastRequestAt = other.lastRequestAt
	}
	return c
}

func compareUrgency(a, b candidate) int {
	if a.renew != b.renew {
		if a.renew {
			return -1
		}
		return 1
	}
	return cmp.Or(a.lastRequestAt.Compare(b.lastRequestAt), cmp.Compare(a.node, b.node))
}
