package targets

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/peerreports"
)

// verifyInterval is the least time between two verifications of a replica that other nodes
// report about.
const verifyInterval = time.Second

// observation is what this node itself has last seen of a replica.
type observation struct {
	at          time.Time
	unreachable bool
	// refusing is set if the replica refused requests although it has capacity.
	refusing bool
	// slowdown is the slowdown of a reachable replica; 0 if it was only reached.
	slowdown float64
}

// observations holds what this node itself has seen of replicas, and what it has done about the
// reports of other nodes. The lock of the model guards it.
type observations struct {
	own map[string]observation
	// acceptedAt is when another node's report on a replica was last accepted, verifiedAt when
	// such a report last made this node verify the replica.
	acceptedAt, verifiedAt map[string]time.Time
}

func newObservations() observations {
	return observations{own: map[string]observation{}, acceptedAt: map[string]time.Time{}, verifiedAt: map[string]time.Time{}}
}

// forget drops entries that are too old to matter.
func (o *observations) forget(now time.Time) {
	for id, seen := range o.own {
		if now.Sub(seen.at) >= peerreports.ValidFor {
			delete(o.own, id)
		}
	}
	for _, times := range []map[string]time.Time{o.acceptedAt, o.verifiedAt} {
		for id, at := range times {
			if now.Sub(at) >= peerreports.ValidFor {
				delete(times, id)
			}
		}
	}
}

// Observations returns what this node itself has recently seen of replicas.
func (m *ModelTargets) Observations() []peerreports.Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.observed.forget(now)
	var list []peerreports.Observation
	for id, seen := range m.observed.own {
		if !seen.unreachable && !seen.refusing && seen.slowdown == 0 {
			continue
		}
		list = append(list, peerreports.Observation{Replica: id, Unreachable: seen.unreachable, Refusing: seen.refusing, Slowdown: seen.slowdown, Age: now.Sub(seen.at), Nodes: 1})
	}
	return list
}

// RecordUnreachable records that another try to reach a suspected replica failed.
func (m *ModelTargets) RecordUnreachable(replica string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.own[replica] = observation{at: m.now(), unreachable: true}
}

// Evaluate decides on the reports of other nodes. It applies the ones that it accepts, and
// returns them and the replicas that this node must verify itself.
func (m *ModelTargets) Evaluate(node string, domainNodes []string, reports []peerreports.Observation) peerreports.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.observed.forget(now)
	decision := peerreports.Evaluate(reports, peerreports.View{
		Node: node, DomainNodes: domainNodes, Known: m.selector.Known, Suspected: m.selector.Suspected,
		Replicas: m.selector.Len(), SuspectedCount: len(m.selector.Suspects()),
	})
	for _, c := range decision.Accept {
		m.accept(now, c)
	}
	verify := decision.Verify[:0]
	for _, c := range decision.Verify {
		own := m.observed.own[c.Replica]
		if now.Sub(m.observed.verifiedAt[c.Replica]) >= verifyInterval && now.Sub(own.at) >= verifyInterval {
			m.observed.verifiedAt[c.Replica] = now
			verify = append(verify, c)
		}
	}
	decision.Verify = verify
	return decision
}

// accept applies a report. A replica that other nodes have lost gets no new requests. The
// requests that run through it are rerouted once they go silent, because the replica may only
// be draining and still continue them. The caller holds the lock.
func (m *ModelTargets) accept(now time.Time, c peerreports.Observation) {
	if own, ok := m.observed.own[c.Replica]; ok && now.Sub(own.at) <= c.Age {
		return // this node's own observation is newer
	}
	m.observed.acceptedAt[c.Replica] = now
	switch {
	case c.Unreachable:
		m.selector.Suspect(now, c.Replica, false)
		return
	case c.Refusing:
		m.selector.BackOff(now, c.Replica)
		return
	}
	m.selector.SetSlowdown(c.Replica, c.Slowdown)
}

// ReportedByPeers reports whether other nodes have recently reported on a replica, so that this
// node need not ask it.
func (m *ModelTargets) ReportedByPeers(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.observed.acceptedAt[replica]
	return ok && m.now().Sub(at) < peerreports.ValidFor
}
