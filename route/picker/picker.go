// Package picker shares one service's balancer among the node's goroutines and
// keeps the gate's capacity in step with the replicas that may be used.
package picker

import (
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
)

// Picker is the balancer of one service on one node. Safe for concurrent use.
type Picker struct {
	now func() time.Time

	mu       sync.Mutex
	balancer *balance.Balancer
	slots    int
	// onSlots is told of each change of the usable slots, outside the lock.
	onSlots func(int)
}

// New returns a picker; onSlots is called with the slots that the usable
// replicas have, each time that this number changes.
func New(b *balance.Balancer, now func() time.Time, onSlots func(int)) *Picker {
	return &Picker{now: now, balancer: b, onSlots: onSlots}
}

// Pick chooses a replica and counts the work as sent there, in one step, so
// that two requests at once do not both see the replica as idle.
func (p *Picker) Pick(q balance.Query) (balance.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	choice, ok := p.balancer.Pick(now, q)
	if ok {
		p.balancer.Sent(now, choice.Replica, q.Cost)
	}
	return choice, ok
}

// Finished tells how work sent by Pick ended.
func (p *Picker) Finished(replica string, r balance.Result) {
	p.change(func(now time.Time, b *balance.Balancer) { b.Finished(now, replica, r) })
}

// Report passes on the load that a replica told of itself.
func (p *Picker) Report(replica string, l balance.Load) {
	p.change(func(now time.Time, b *balance.Balancer) { b.Report(now, replica, l) })
}

// SetLeaving marks a replica as leaving: it gets nothing new from now on.
func (p *Picker) SetLeaving(replica string, leaving bool) {
	p.change(func(now time.Time, b *balance.Balancer) { b.SetLeaving(now, replica, leaving) })
}

// SetReplicas puts a new list of replicas in force.
func (p *Picker) SetReplicas(replicas []balance.Replica) {
	p.change(func(now time.Time, b *balance.Balancer) { b.SetReplicas(now, replicas) })
}

// Refresh looks again at the usable slots, which change with time alone when
// an ejected replica returns or a newcomer warms up.
func (p *Picker) Refresh() {
	p.change(func(time.Time, *balance.Balancer) {})
}

func (p *Picker) change(f func(time.Time, *balance.Balancer)) {
	slots, changed := p.locked(f)
	if changed {
		p.onSlots(slots)
	}
}

func (p *Picker) locked(f func(time.Time, *balance.Balancer)) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	f(now, p.balancer)
	slots := p.balancer.FreeSlots(now)
	changed := slots != p.slots
	p.slots = slots
	return slots, changed
}
