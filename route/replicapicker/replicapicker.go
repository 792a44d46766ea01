// Package replicapicker shares one service's balancer among the node's goroutines and
// keeps the gate's capacity in step with the replicas that may be used.
package replicapicker

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
	underway int
	slots    int
	whole    int
	// onSlots is told that the usable slots changed, outside the lock. It reads
	// them by Slots: two changes at once may be told in either order, and a
	// number passed along could leave the older one in force.
	onSlots func()
}

// New returns a picker; onSlots is called each time that Slots changes.
func New(b *balance.Balancer, now func() time.Time, onSlots func()) *Picker {
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
		p.balancer.Sent(now, choice.ReplicaID, q.Cost)
		p.underway++
	}
	return choice, ok
}

// Finished tells how work sent by Pick ended.
func (p *Picker) Finished(replica string, r balance.Result) {
	p.change(func(now time.Time, b *balance.Balancer) {
		p.underway--
		b.Finished(now, replica, r)
	})
}

// Started tells when the first part of an answer came.
func (p *Picker) Started(replica string, firstToken time.Duration) {
	p.change(func(now time.Time, b *balance.Balancer) { b.Started(now, replica, firstToken) })
}

// Progress tells the mean time between tokens of an answer underway.
func (p *Picker) Progress(replica string, perToken time.Duration) {
	p.change(func(now time.Time, b *balance.Balancer) { b.Progress(now, replica, perToken) })
}

// Changes returns the replicas that were ejected, probed or have returned since
// the last call, for the log.
func (p *Picker) Changes() []balance.ReplicaStateChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Changes()
}

// Report passes on the load that a replica told of itself.
func (p *Picker) Report(replica string, l balance.LoadReport) {
	p.change(func(now time.Time, b *balance.Balancer) { b.Report(now, replica, l) })
}

// MarkLeaving passes on what one source says of a replica: it gets nothing new
// while any source says that it leaves.
func (p *Picker) MarkLeaving(replica string, source balance.Source, leaving bool) {
	p.change(func(now time.Time, b *balance.Balancer) { b.MarkLeaving(now, replica, source, leaving) })
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
	if p.locked(f) {
		p.onSlots()
	}
}

// Slots is how many requests this node may have underway.
func (p *Picker) Slots() int {
	slots, _ := p.SlotShare()
	return slots
}

// SlotShare returns how many requests this node may have underway, and the slots of
// all replicas that it may use.
func (p *Picker) SlotShare() (slots, whole int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots, p.whole
}

func (p *Picker) locked(f func(time.Time, *balance.Balancer)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	f(now, p.balancer)
	whole := p.balancer.Capacity(now)
	slots := p.usable(now, whole)
	changed := slots != p.slots || whole != p.whole
	p.slots, p.whole = slots, whole
	return changed
}

// usable is the number of requests that this node may have underway: what it
// has now and the room that is left, or less if it has more than it should. The other nodes' load on the same replicas
// is in the room, so that nodes which share replicas do not each count them
// whole. While any replica may be used one request may always run, or a node
// whose peers fill the replicas would refuse rather than queue.
func (p *Picker) usable(now time.Time, whole int) int {
	if whole == 0 {
		return 0
	}
	return max(1, p.underway+p.balancer.Headroom(now))
}

// SubsetVersion changes whenever Subset does.
func (p *Picker) SubsetVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.SubsetVersion()
}

// Subset returns the replicas that this node uses.
func (p *Picker) Subset() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.Subset()
}

// SetPeers tells which nodes of this failure domain share the replicas, and how
// many nodes of all failure domains do.
func (p *Picker) SetPeers(near []string, all int) {
	p.change(func(now time.Time, b *balance.Balancer) {
		b.SetPeers(now, near)
		b.SetNodeCount(all)
	})
}
