// Package replicapicker chooses replicas for the requests of a service. A Picker makes the
// service's balance.Balancer safe for concurrent use.
//
// A slot is room for one running request at a replica. Several nodes share the slots of a
// replica. The Picker therefore computes the node's slots: the number of requests of the
// service that the node may have in flight. A callback reports each change of this number,
// so that the capacity of the service's admission queue always fits the usable replicas.
//
// Package decide/balance defines the terms ejected, leaving, usable and slow start.
package replicapicker

import (
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
)

// Picker chooses replicas for the requests of one service on one node. Safe for concurrent
// use.
type Picker struct {
	now func() time.Time

	mu       sync.Mutex
	balancer *balance.Balancer
	inFlight int
	// nodeSlots is the number of requests that this node may have in flight. totalSlots is
	// the number of slots of all replicas that this node may use.
	nodeSlots  int
	totalSlots int
	// onSlotsChanged is called without the lock held and reads the new numbers of slots
	// with SlotShare. The numbers are not passed as arguments, because after two
	// concurrent changes the call with the older numbers could come last.
	onSlotsChanged func()
}

// New returns a Picker that uses b. The Picker calls onSlotsChanged each time the result of
// SlotShare changes.
func New(b *balance.Balancer, now func() time.Time, onSlotsChanged func()) *Picker {
	return &Picker{now: now, balancer: b, onSlotsChanged: onSlotsChanged}
}

// Pick chooses a replica and records the request as sent to this replica. Pick holds the
// lock over both steps. Otherwise two concurrent requests could be sent to the same idle
// replica.
func (p *Picker) Pick(q balance.Query) (balance.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	choice, ok := p.balancer.Pick(now, q)
	if ok {
		p.balancer.Sent(now, choice.ReplicaID, q.Cost)
		p.inFlight++
	}
	return choice, ok
}

// Finished records the end of a request for which Pick chose the replica.
func (p *Picker) Finished(replicaID string, r balance.Result) {
	p.update(func(now time.Time, b *balance.Balancer) {
		p.inFlight--
		b.Finished(now, replicaID, r)
	})
}

// ResponseStarted records that the first part of a response arrived.
func (p *Picker) ResponseStarted(replicaID string, timeToFirstToken time.Duration) {
	p.update(func(now time.Time, b *balance.Balancer) { b.Started(now, replicaID, timeToFirstToken) })
}

// Progress records the mean time between the tokens of an unfinished response.
func (p *Picker) Progress(replicaID string, timePerToken time.Duration) {
	p.update(func(now time.Time, b *balance.Balancer) { b.Progress(now, replicaID, timePerToken) })
}

// Changes returns the changes of replicas' health states since the previous call, for the
// log: ejections, probes and recoveries.
func (p *Picker) Changes() []balance.ReplicaStateChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Changes()
}

// Report records a load report made by a replica.
func (p *Picker) Report(replicaID string, report balance.LoadReport) {
	p.update(func(now time.Time, b *balance.Balancer) { b.Report(now, replicaID, report) })
}

// MarkLeaving records whether reportedBy reports that a replica is leaving, which means
// shutting down. A replica gets no new requests while any source reports the replica as
// leaving.
func (p *Picker) MarkLeaving(replicaID string, reportedBy balance.Source, leaving bool) {
	p.update(func(now time.Time, b *balance.Balancer) { b.MarkLeaving(now, replicaID, reportedBy, leaving) })
}

// RecordLeavingAnswer records that an answer of a replica says that the replica is leaving. It
// reports whether the replica counted as staying before.
func (p *Picker) RecordLeavingAnswer(replicaID string) (isNew bool) {
	p.update(func(now time.Time, b *balance.Balancer) {
		isNew = !b.Leaving(replicaID)
		b.RecordLeavingAnswer(now, replicaID)
	})
	return isNew
}

// SetReplicas replaces the list of the service's replicas.
func (p *Picker) SetReplicas(replicas []balance.Replica) {
	p.update(func(now time.Time, b *balance.Balancer) { b.SetReplicas(now, replicas) })
}

// Refresh recomputes the result of SlotShare. Call Refresh periodically, because the result
// also changes without a call of another method: when an ejected replica returns, and
// during the slow start of a new replica.
func (p *Picker) Refresh() {
	p.update(func(time.Time, *balance.Balancer) {})
}

func (p *Picker) update(f func(time.Time, *balance.Balancer)) {
	if p.updateSlots(f) {
		p.onSlotsChanged()
	}
}

// Slots returns how many requests of the service this node may have in flight.
func (p *Picker) Slots() int {
	nodeSlots, _ := p.SlotShare()
	return nodeSlots
}

// SlotShare returns how many requests of the service this node may have in flight, and the
// number of slots of all replicas that this node may use.
func (p *Picker) SlotShare() (nodeSlots, totalSlots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodeSlots, p.totalSlots
}

// updateSlots calls f with the lock held, recomputes nodeSlots and totalSlots, and reports
// whether either number changed.
func (p *Picker) updateSlots(f func(time.Time, *balance.Balancer)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	f(now, p.balancer)
	totalSlots := p.balancer.Capacity(now)
	nodeSlots := p.usableSlots(now, totalSlots)
	changed := nodeSlots != p.nodeSlots || totalSlots != p.totalSlots
	p.nodeSlots, p.totalSlots = nodeSlots, totalSlots
	return changed
}

// usableSlots returns how many requests this node may have in flight: its requests in flight
// plus the balancer's headroom. The headroom is negative if the node has too many requests
// in flight. The headroom accounts for the load of other nodes. Without this correction,
// each node would count all slots of the shared replicas as its own.
//
// While this node may use any replica, at least one request is allowed. Otherwise, a node
// whose peers fill all replicas would refuse requests instead of queueing them.
func (p *Picker) usableSlots(now time.Time, totalSlots int) int {
	if totalSlots == 0 {
		return 0
	}
	return max(1, p.inFlight+p.balancer.Headroom(now))
}

// SubsetVersion returns a number that changes whenever the result of Subset changes.
func (p *Picker) SubsetVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.SubsetVersion()
}

// Subset returns the IDs of the replicas that this node uses.
func (p *Picker) Subset() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Subset()
}

// SetPeers sets the IDs of the nodes of this failure domain that use the service, and the
// number of nodes of all failure domains that use the service.
func (p *Picker) SetPeers(domainNodes []string, nodeCount int) {
	p.update(func(now time.Time, b *balance.Balancer) {
		b.SetPeers(now, domainNodes)
		b.SetNodeCount(nodeCount)
	})
}
