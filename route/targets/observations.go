package targets

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/peerreports"
)

// verifyInterval is between two looks at a replica on the word of other nodes.
const verifyInterval = time.Second

// observation is what this node has last seen of a replica itself.
type observation struct {
	at          time.Time
	unreachable bool
	// refusing is set for one that turns requests refusing.
	refusing bool
	// slowdown is of one that is not lost; 0 if it was only reached.
	slowdown float64
}

// observations is what this node has seen of replicas, and done on the word of others. The
// model's lock guards it.
type observations struct {
	own map[string]observation
	// acceptedAt is when another node's word on a replica was last taken, verifiedAt when that
	// was a reason to look.
	acceptedAt, verifiedAt map[string]time.Time
}

func newObservations() observations {
	return observations{own: map[string]observation{}, acceptedAt: map[string]time.Time{}, verifiedAt: map[string]time.Time{}}
}

// forget drops what is too old to matter.
func (k *observations) forget(now time.Time) {
	for id, s := range k.own {
		if now.Sub(s.at) >= peerreports.ValidFor {
			delete(k.own, id)
		}
	}
	for _, times := range []map[string]time.Time{k.acceptedAt, k.verifiedAt} {
		for id, at := range times {
			if now.Sub(at) >= peerreports.ValidFor {
				delete(times, id)
			}
		}
	}
}

// Observations is what this node has seen of replicas itself, of late.
func (m *ModelTargets) Observations() []peerreports.Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.observed.forget(now)
	var list []peerreports.Claim
	for id, s := range m.observed.own {
		if !s.unreachable && !s.refusing && s.slowdown == 0 {
			continue
		}
		list = append(list, peerreports.Claim{Replica: id, Lost: s.unreachable, TurnsAway: s.refusing, Pace: s.slowdown, Age: now.Sub(s.at), Nodes: 1})
	}
	return list
}

// RecordUnreachable notes that a suspected replica was tried in vain again.
func (m *ModelTargets) RecordUnreachable(replica string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.own[replica] = observation{at: m.now(), unreachable: true}
}

// Evaluate decides on what other nodes have seen. It takes what it may believe, and returns
// that and the replicas that this node is to look at.
func (m *ModelTargets) Evaluate(node string, domainNodes []string, reports []peerreports.Claim) peerreports.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.observed.forget(now)
	decision := peerreports.Judge(reports, peerreports.View{
		Node: node, Near: domainNodes, Known: m.selector.Known, Lost: m.selector.Suspected,
		Replicas: m.selector.Len(), Taken: len(m.selector.Suspects()),
	})
	for _, c := range decision.Believe {
		m.accept(now, c)
	}
	verify := decision.Look[:0]
	for _, c := range decision.Look {
		own := m.observed.own[c.Replica]
		if now.Sub(m.observed.verifiedAt[c.Replica]) >= verifyInterval && now.Sub(own.at) >= verifyInterval {
			m.observed.verifiedAt[c.Replica] = now
			verify = append(verify, c)
		}
	}
	decision.Look = verify
	return decision
}

// accept takes a claim. A replica that others have lost gets no new requests; those that
// run through it are led away once they go silent, as it may only be leaving, and go on
// with what it has. The caller holds the lock.
func (m *ModelTargets) accept(now time.Time, c peerreports.Claim) {
	if s, ok := m.observed.own[c.Replica]; ok && now.Sub(s.at) <= c.Age {
		return // this node has seen it later
	}
	m.observed.acceptedAt[c.Replica] = now
	switch {
	case c.Lost:
		m.selector.Suspect(now, c.Replica, false)
		return
	case c.TurnsAway:
		m.selector.BackOff(now, c.Replica)
		return
	}
	m.selector.SetSlowdown(c.Replica, c.Pace)
}

// ReportedByPeers says whether others have told of a replica of late, so that this node need not
// ask it.
func (m *ModelTargets) ReportedByPeers(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.observed.acceptedAt[replica]
	return ok && m.now().Sub(at) < peerreports.ValidFor
}
