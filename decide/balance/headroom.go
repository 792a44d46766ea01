package balance

import "time"

// overcommitFraction sets how many requests nodes may send beyond the number of
// slots, as a fraction of the slots. It applies if several nodes use the service.
// The excess requests wait at the replicas. Without them, slots freed since the last
// report stay idle. With three nodes and calls offered at exactly the capacity, the
// 95th percentile of the time to first token was 1.8 s without excess requests. It
// was 1.25 s with a fraction of 0.05 and 0.87 s with a fraction of 0.1.
const overcommitFraction = 0.1

// SetNodeCount sets how many nodes, over all failure domains, use the service.
// Until SetNodeCount is called, the node's fair share of the slots is zero.
func (b *Balancer) SetNodeCount(nodeCount int) { b.nodeCount = nodeCount }

// Headroom returns how many more requests the node may send to the eligible
// replicas. The result is the larger of two numbers. The first is the number of free
// slots of these replicas, plus the excess that overcommitFraction allows. The second
// is the node's fair share of all their slots minus the node's own in-flight
// requests.
//
// The result is negative if the node has more requests in flight than it should.
// This happens at the start of a load peak, when every node takes the slots that all
// nodes see as free. If the node predicted waits from the number of slots that it
// holds then, the predictions would be a third of the real waits.
//
// Other nodes see the same free slots and take them too. Suppose that only free
// slots counted. A node that had none for a moment would then find none later
// either, because the other nodes refill their slots first. The number of slots that
// each node holds would drift, and with it the waits promised to callers. With a
// fair share of its own, each node recovers within the time of one answer: the other
// nodes see more requests than slots at the replicas and reduce their own requests.
//
// Free slots are summed over all replicas, so that the excess requests of an
// overloaded replica cancel out free slots of others. Suppose that each replica were
// counted separately. Free slots at one replica would then admit requests that are
// sent to another replica by prefix or round robin, and the free slots would remain.
// On a slow machine, three nodes then had up to 485 requests in flight for 96 slots.
// A replica whose requests do not end cancels out at most as many free slots as it
// has slots itself.
func (b *Balancer) Headroom(now time.Time) int {
	freeSlots, inflightRequests, totalSlots := 0.0, 0.0, 0.0
	for _, m := range b.eligibleMembers {
		usableSlots := float64(m.Slots) * b.slowStartFraction(now, m)
		freeSlots += max(usableSlots-float64(m.inflightRequests)-b.estimatedOtherNodeRequests(now, m), -usableSlots)
		inflightRequests += float64(m.inflightRequests)
		totalSlots += usableSlots
	}
	if b.nodeCount > 1 {
		freeSlots += overcommitFraction * totalSlots
	}
	return int(max(freeSlots, b.fairShare()*totalSlots-inflightRequests))
}

// fairShare returns the fraction of its replicas' slots that the node may fill even
// if no slot is free. All nodes that use a replica have equal fractions, because
// they do not know each other's load. The fractions of these nodes add up to at most
// 1. While replicas are full, the nodes together therefore send no more requests
// than there are slots, whatever each node assumes about the other nodes.
//
// A fraction in proportion to each node's recent load would be fairer to callers of
// a busy node. But a node knows all of its own requests and learns of other nodes'
// requests only from load reports. These miss requests that are still on their way
// to the replica. Each node would therefore attribute nearly all load to itself and
// take nearly all slots.
func (b *Balancer) fairShare() float64 {
	if b.nodeCount == 0 || len(b.replicas) == 0 {
		return 0
	}
	nodesPerReplica := float64(b.nodeCount) * float64(len(b.members)) / float64(len(b.replicas))
	return 1 / max(1, nodesPerReplica)
}
