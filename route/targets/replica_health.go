package targets

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/paths"
)

// Suspect records that a replica looks dead, and whether its host is unreachable. If the
// suspicion is new, it calls onLost of the requests that run through the replica. It reports
// whether the suspicion is new.
func (m *ModelTargets) Suspect(replica string, hostUnreachable bool) bool {
	changed, callbacks := m.suspect(replica, hostUnreachable)
	runCallbacks(callbacks)
	return changed
}

// suspect records that a replica looks dead. If the suspicion is new, it returns the onLost
// callbacks of the requests that run through the replica.
func (m *ModelTargets) suspect(replica string, hostUnreachable bool) (changed bool, callbacks []replicaCallback) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.own[replica] = observation{at: m.now(), unreachable: true}
	m.recordFirstState(replica, true, hostUnreachable)
	if !m.selector.Suspect(m.now(), replica, hostUnreachable) {
		return false, nil
	}
	return true, m.lossCallbacks(replica)
}

// recordFirstState records the state of a replica with the requests that it received. The caller
// holds the lock.
func (m *ModelTargets) recordFirstState(replica string, lost, hostUnreachable bool) {
	for r := range m.active {
		if r.path[0].Replica == replica {
			r.firstLost, r.firstHostUnreachable = lost, hostUnreachable
		}
	}
}

// SuspectOnReport records that a replica accepts no connection, after other nodes reported it
// as lost. The replica gets no new requests. The requests that run through it are notified only
// if its host is unreachable, because a draining replica also refuses connections but continues
// its requests. SuspectOnReport reports whether the suspicion is new.
func (m *ModelTargets) SuspectOnReport(replica string, hostUnreachable bool) bool {
	changed, callbacks := m.suspectOnReport(replica, hostUnreachable)
	runCallbacks(callbacks)
	return changed
}

func (m *ModelTargets) suspectOnReport(replica string, hostUnreachable bool) (changed bool, callbacks []replicaCallback) {
	changed, lossCallbacks := m.suspect(replica, hostUnreachable)
	if !hostUnreachable {
		return changed, nil
	}
	return changed, lossCallbacks
}

// MarkAlive records that a replica is alive. It reports whether the replica was suspected.
func (m *ModelTargets) MarkAlive(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.own[replica] = observation{at: m.now()}
	m.recordFirstState(replica, false, false)
	wasSuspected := m.selector.MarkAlive(replica)
	m.wakeOne()
	return wasSuspected
}

// Replica returns the replica with the given id, if it is listed.
func (m *ModelTargets) Replica(id string) (paths.Replica, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Replica(id)
}

// Suspects returns the suspected replicas.
func (m *ModelTargets) Suspects() []paths.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Suspects()
}

// SetSlowdown records the slowdown that a replica reports about itself. It reports whether the
// replica has become slow or is no longer slow.
func (m *ModelTargets) SetSlowdown(replica string, slowdown float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if max(slowdown, m.selector.Slowdown(replica)) >= paths.SlowThreshold {
		// If the replica was and is not slow, there is nothing to report to other nodes.
		m.observed.own[replica] = observation{at: m.now(), slowdown: max(1, slowdown)}
	}
	return m.selector.SetSlowdown(replica, slowdown)
}

// BackedOff returns the replicas that are backed off, because they refuse requests although
// they have capacity.
func (m *ModelTargets) BackedOff() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.BackedOff(m.now())
}

// Slow returns the replicas that are slow (paths.SlowThreshold) and not suspected.
func (m *ModelTargets) Slow() []paths.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Slow()
}

const (
	// layersLostAfter is how long a replica must be suspected before its layers count as lost.
	// Within this time, some tries to reach the replica are made.
	layersLostAfter = 600 * time.Millisecond
	// unconfirmedLostAfter takes the place of layersLostAfter if no other node of the failure
	// domain reports the loss. By then a node that reaches the replica has said so.
	unconfirmedLostAfter = 1500 * time.Millisecond
)

// LayersLost reports whether other replicas should take over the layers of a replica: it has
// been suspected for long, or it has said that it is leaving. A replica that another node reaches
// is not lost: the link of this node is.
func (m *ModelTargets) LayersLost(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, listed := m.selector.Replica(replica)
	if listed && m.leaving.Marked(replica, r.Incarnation) {
		return true
	}
	now := m.now()
	m.observed.forget(now)
	confirmed, contradicted := m.observed.lostToOthers(replica)
	switch {
	case contradicted:
		return false
	case confirmed:
		return m.selector.SuspectedFor(now, replica, layersLostAfter)
	}
	return m.selector.SuspectedFor(now, replica, unconfirmedLostAfter)
}
