package targets

import "github.com/cicadatack/cicadatack/decide/balance"

// MarkLeaving implements Targets. Requests that run through the replica as a later stage are
// rerouted.
func (m *ModelTargets) MarkLeaving(t Target) bool {
	m.mu.Lock()
	isNew := m.leaving.Mark(m.now(), t.Replica, t.Incarnation)
	var callbacks []replicaCallback
	if listed, ok := m.selector.Replica(t.Replica); isNew && ok && listed.Incarnation == t.Incarnation {
		m.selector.MarkDraining(t.Replica)
		callbacks = m.drainCallbacks()
	}
	m.mu.Unlock()
	runCallbacksPaced(callbacks)
	return isNew
}

// LeavingReplicas returns the replicas that have said in an answer that they are leaving.
func (m *ModelTargets) LeavingReplicas() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving.Replicas()
}

// MarkLeaving implements Targets.
func (p *PlainTargets) MarkLeaving(t Target) bool {
	p.leavingMu.Lock()
	defer p.leavingMu.Unlock()
	isNew := p.leaving.Mark(p.now(), t.Replica, t.Incarnation)
	if listed, _ := p.replicas.get(t.Replica); isNew && listed != nil && listed.Incarnation == t.Incarnation {
		p.picker.MarkLeaving(t.Replica, balance.SourceDrainMark, true)
	}
	return isNew
}

// LeavingReplicas returns the replicas that have said in an answer that they are leaving.
func (p *PlainTargets) LeavingReplicas() []string {
	p.leavingMu.Lock()
	defer p.leavingMu.Unlock()
	return p.leaving.Replicas()
}
