package targets

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/peerreports"
)

// verifyInterval is the shortest time between two verifications of the same replica. In a
// verification, this node itself checks a replica about which other nodes report.
const verifyInterval = time.Second

// eventEvidence is how long after an event of a stream all stages of its path count as alive.
// Events are some tens of milliseconds apart.
const eventEvidence = 250 * time.Millisecond

// observation is what this node itself has last seen of a replica. If nothing but the time is
// set, the replica accepted a connection.
type observation struct {
	at          time.Time
	unreachable bool
	// refusing is set if the replica refused requests although it has capacity.
	refusing bool
	// slowdown is the slowdown that the replica reported; 0 if it reported none.
	slowdown float64
}

// reached reports whether the replica accepted a connection.
func (o observation) reached() bool { return !o.unreachable && !o.refusing && o.slowdown == 0 }

// observations holds what this node itself has seen of replicas, and when it acted on the
// reports of other nodes. ModelTargets.mu guards it.
type observations struct {
	own map[string]observation
	// acceptedAt is the time when this node last accepted other nodes' reports on a replica.
	// verifiedAt is the time when such reports last made this node verify a replica.
	acceptedAt, verifiedAt map[string]time.Time
	// lostAtPeersAt is the time when other nodes last reported a replica as lost, reachedByPeersAt
	// the time when another node last reached it.
	lostAtPeersAt, reachedByPeersAt map[string]time.Time
	// alone is set if there is no other node in the failure domain.
	alone bool
}

func newObservations() observations {
	return observations{
		own: map[string]observation{}, acceptedAt: map[string]time.Time{}, verifiedAt: map[string]time.Time{},
		lostAtPeersAt: map[string]time.Time{}, reachedByPeersAt: map[string]time.Time{},
	}
}

// recordReports remembers what other nodes report about the reach of replicas.
func (o *observations) recordReports(now time.Time, reports []peerreports.Observation) {
	for _, r := range reports {
		switch {
		case r.Reached:
			o.reachedByPeersAt[r.Replica] = now.Add(-r.Age)
		case r.Unreachable:
			o.lostAtPeersAt[r.Replica] = now.Add(-r.Age)
		}
	}
}

// lostToOthers reports whether other nodes confirm that a replica is lost, and whether one of them
// has reached it.
func (o *observations) lostToOthers(replica string) (confirmed, contradicted bool) {
	_, confirmed = o.lostAtPeersAt[replica]
	_, contradicted = o.reachedByPeersAt[replica]
	return confirmed || o.alone, contradicted
}

// forget drops entries that are at least as old as peerreports.ValidFor.
func (o *observations) forget(now time.Time) {
	for id, seen := range o.own {
		if now.Sub(seen.at) >= peerreports.ValidFor {
			delete(o.own, id)
		}
	}
	for _, timestamps := range []map[string]time.Time{o.acceptedAt, o.verifiedAt, o.lostAtPeersAt, o.reachedByPeersAt} {
		for id, at := range timestamps {
			if now.Sub(at) >= peerreports.ValidFor {
				delete(timestamps, id)
			}
		}
	}
}

// Observations returns what this node itself has recently seen of replicas, for its reports to
// other nodes.
func (m *ModelTargets) Observations() []peerreports.Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.observed.forget(now)
	var list []peerreports.Observation
	for id, seen := range m.observed.own {
		list = append(list, peerreports.Observation{
			Replica: id, Unreachable: seen.unreachable, Refusing: seen.refusing, Reached: seen.reached(), Slowdown: seen.slowdown,
			Age: now.Sub(seen.at), Observers: 1,
		})
	}
	return list
}

// RecordUnreachable records that another try to reach a suspected replica failed.
func (m *ModelTargets) RecordUnreachable(replica string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.own[replica] = observation{at: m.now(), unreachable: true}
}

// Evaluate decides which reports of other nodes this node accepts, and which it must verify
// itself. It applies the accepted reports and returns both kinds.
func (m *ModelTargets) Evaluate(node string, domainNodes []string, reports []peerreports.Observation) peerreports.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.observed.forget(now)
	m.observed.recordReports(now, reports)
	m.observed.alone = len(domainNodes) <= 1
	decision := peerreports.Evaluate(reports, peerreports.View{
		Node: node, DomainNodes: domainNodes, Known: m.selector.Known, Suspected: m.selector.Suspected,
		Reached:      func(replica string) bool { return m.reachedLately(now, replica) },
		ReplicaCount: m.selector.Len(), SuspectedCount: len(m.selector.Suspects()),
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

// reachedLately reports whether this node itself has reached a replica: it accepted a connection,
// or a stream through it goes on. The caller holds the lock.
func (m *ModelTargets) reachedLately(now time.Time, replica string) bool {
	if own, ok := m.observed.own[replica]; ok && own.reached() && now.Sub(own.at) < peerreports.ValidFor {
		return true
	}
	since := now.Sub(m.startedAt) - eventEvidence
	for r := range m.active {
		if at := time.Duration(r.lastEventAt.Load()); at > 0 && at >= since && r.uses(replica) {
			return true
		}
	}
	return false
}

// accept applies a report. A replica that other nodes report as lost gets no new requests. The
// requests that already run through it are rerouted only once they go silent, because the
// replica may be draining and still continue them. The caller holds the lock.
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

// HasRecentPeerReport reports whether this node has recently accepted other nodes' reports on a
// replica. If so, this node need not ask the replica itself.
func (m *ModelTargets) HasRecentPeerReport(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.observed.acceptedLately(m.now(), replica)
}

// acceptedLately reports whether other nodes' reports on a replica were accepted within
// peerreports.ValidFor.
func (o *observations) acceptedLately(now time.Time, replica string) bool {
	at, ok := o.acceptedAt[replica]
	return ok && now.Sub(at) < peerreports.ValidFor
}
