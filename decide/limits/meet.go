package limits

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// renewPart of a lease after the question, a loan that is in use is asked for
// again, before any new lender is: loans that run out while the node looks for
// more would have it run after its own tail.
const renewPart = 0.7

// meeting is a peer that a team of this node has to do with.
type meeting struct {
	node string
	// renew: a loan is to be asked for again, or to be given back.
	renew bool
	asked time.Time
}

// Meet returns the peers that this node should exchange with for its teams'
// limits, the most urgent first: those whose loans are to be renewed or given
// back, then, while a team lacks some of its limit here, its other homes in turn.
//
// Without it a node goes round all homes of its teams whether or not it needs
// them. At 2,200 nodes these are 144, met each 576 s, while loans last 20 s: they
// run out, and the even split is left. A node that asks only for what it lacks
// needs few lenders, as it can itself serve but a few times its even part.
func (s *Splitter) Meet(now time.Time) []string {
	found := map[string]meeting{}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		for _, m := range s.teams[name].meetings(now, s.cfg) {
			found[m.node] = m.urgent(found[m.node])
		}
	}
	all := slices.SortedFunc(maps.Values(found), compareMeetings)
	names := make([]string, 0, len(all))
	for _, m := range all {
		names = append(names, m.node)
	}
	return names
}

// meetings lists the team's. A node that is no home borrows like the others.
func (t *team) meetings(now time.Time, cfg Config) []meeting {
	if len(t.peers) == 0 && t.offered.sum == 0 {
		return nil
	}
	lacks := cfg.Headroom*t.offered.perSecond(now, cfg.DemandWindow) > t.rate(now)
	var all []meeting
	for _, node := range t.homes {
		if node == cfg.Self {
			continue
		}
		m := meeting{node: node}
		owed := false
		if p := t.find(node); p != nil {
			m.asked = p.asked
			owed = p.owed.at(now) > 0
		}
		m.renew = owed && now.Sub(m.asked) > time.Duration(renewPart*float64(t.lease(cfg)))
		if m.renew || lacks && !owed {
			all = append(all, m)
		}
	}
	return all
}

// urgent joins what two teams have to do with one peer.
func (m meeting) urgent(other meeting) meeting {
	m.renew = m.renew || other.renew
	if other.asked.After(m.asked) {
		m.asked = other.asked
	}
	return m
}

func compareMeetings(a, b meeting) int {
	if a.renew != b.renew {
		if a.renew {
			return -1
		}
		return 1
	}
	return cmp.Or(a.asked.Compare(b.asked), cmp.Compare(a.node, b.node))
}
