package balance

import "time"

// overcommitFraction is the part of the slots that nodes which share replicas may send
// beyond them, to wait there. What has ended since the last report stands idle
// otherwise: without it a run over three nodes at exactly the bound had p95 of
// the first token at 1.8 s, with a twentieth 1.25 s and with a tenth 0.87 s.
const overcommitFraction = 0.1

// SetNodeCount tells how many nodes, of all failure domains, share the service's
// replicas. Until it is called the node counts on no part of its own.
func (b *Balancer) SetNodeCount(nodes int) { b.nodeCount = nodes }

// Headroom returns how many more requests the node may send to the open part of
// the subset: the slots that are free there or, if that is more, what is left of
// its own part of all slots. It is negative if the node has more than it should:
// in the first moments of a rush each node takes the slots that all see free, and
// waits foretold by what it then has are a third of what they become.
//
// Other nodes see the same free slots and take them too. By these alone a node
// that has had none for a moment finds none later, as the others refill theirs
// first: the nodes' shares wander, and with them the waits that callers are
// promised. With a part of its own each node comes back within an answer, as the
// others see the replicas beyond their slots and let go what they had more.
//
// Slots are counted over all replicas, and one that has too much is set against
// one that has room. Counted singly, room at one replica lets in requests that
// are then sent to another by prefix or in turn, and the room remains: on a slow
// machine three nodes had up to 485 requests underway for 96 slots. A replica that
// is stuck takes no more than its own slots from the others.
func (b *Balancer) Headroom(now time.Time) int {
	free, inflight, slots := 0.0, 0.0, 0.0
	for _, m := range b.eligible {
		usableSlots := float64(m.Slots) * b.ramp(now, m)
		free += max(usableSlots-float64(m.inflight)-b.estimatedOtherRequests(now, m), -usableSlots)
		inflight += float64(m.inflight)
		slots += usableSlots
	}
	if b.nodeCount > 1 {
		free += overcommitFraction * slots
	}
	return int(max(free, b.fairShare()*slots-inflight))
}

// fairShare is the node's own fairShare of the slots: an even one, as the nodes do not know
// each other's load. All parts together are no more than the slots: whatever the
// nodes believe of each other, they keep to these when the replicas are full. A
// fairShare by the work that each has had of late would be fairer to callers of a busy
// node, but where reports miss requests that are on their way, each node sees
// nearly all work as its own, and all take nearly all slots.
func (b *Balancer) fairShare() float64 {
	if b.nodeCount == 0 || len(b.replicas) == 0 {
		return 0
	}
	sharers := float64(b.nodeCount) * float64(len(b.members)) / float64(len(b.replicas))
	return 1 / max(1, sharers)
}
