package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// tier is a part of the subset: either the replicas of the nearest failure domain,
// or the replicas to which requests spill.
type tier struct {
	members       []*member
	prefixRing    []ringPoint
	usableMembers []*member
	// cumulative holds the running sums of the capacities of the usable members,
	// for draws in proportion to capacity.
	cumulativeCapacity []float64

	roundRobinPosition float64 // round-robin position, 0 to 1
	equalCapacity      bool    // all usable members have the same capacity

	inflightRequests          float64 // this node's requests at the usable members
	reportedOtherNodeRequests float64 // requests of other nodes at the usable members, as reported
	reportedCapacity          float64 // capacity of the usable members that have reported
}

// ringPoint is a point on the prefix hash ring.
type ringPoint struct {
	hash   uint64
	member *member
}

// newRing builds the ring from the replica IDs alone, so that nodes with the same
// replicas send a prefix to the same one.
func newPrefixRing(members []*member) []ringPoint {
	ring := make([]ringPoint, 0, len(members)*ringPointsPerReplica)
	for _, m := range members {
		for i := range uint64(ringPointsPerReplica) {
			ring = append(ring, ringPoint{rendezvous.Score(m.idHash, i<<1), m})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// attachMembers sets the tier of each member. It is called once the tier has its
// final address.
func (t *tier) attachMembers() {
	for _, m := range t.members {
		m.tier = t
	}
}

func (t *tier) clearUsableMembers() {
	t.usableMembers = t.usableMembers[:0]
	t.cumulativeCapacity = t.cumulativeCapacity[:0]
	t.inflightRequests, t.reportedOtherNodeRequests, t.reportedCapacity = 0, 0, 0
	t.equalCapacity = true
}

func (t *tier) addUsable(m *member) {
	if len(t.usableMembers) > 0 && m.capacity != t.usableMembers[0].capacity {
		t.equalCapacity = false
	}
	t.usableMembers = append(t.usableMembers, m)
	t.cumulativeCapacity = append(t.cumulativeCapacity, t.capacity()+m.capacity)
	t.inflightRequests += float64(m.inflightRequests)
	if !m.lastReportMadeAt.IsZero() {
		t.reportedOtherNodeRequests += m.reportedOtherNodeRequests
		t.reportedCapacity += m.capacity
	}
}

func (t *tier) capacity() float64 {
	if len(t.cumulativeCapacity) == 0 {
		return 0
	}
	return t.cumulativeCapacity[len(t.cumulativeCapacity)-1]
}

func (t *tier) changeInflight(m *member, change float64) {
	if m.usable {
		t.inflightRequests += change
	}
}

func (t *tier) changeOtherNodeRequests(m *member, change float64, firstReport bool) {
	if !m.usable {
		return
	}
	t.reportedOtherNodeRequests += change
	if firstReport {
		t.reportedCapacity += m.capacity
	}
}

// meanOtherLoad returns the load from other nodes per unit of capacity.
func (t *tier) meanOtherNodeLoad() float64 {
	if t.reportedCapacity == 0 {
		return 0
	}
	return t.reportedOtherNodeRequests / t.reportedCapacity
}

// meanLoad returns the load from all nodes per unit of capacity.
func (t *tier) meanLoad() float64 {
	capacity := t.capacity()
	if capacity == 0 {
		return 0
	}
	return t.inflightRequests/capacity + t.meanOtherNodeLoad()
}

// nextRoundRobin returns the usable members in weighted round-robin order, each in
// proportion to its capacity.
func (t *tier) nextRoundRobin() *member {
	return t.usableMembers[t.nextRoundRobinIndex()]
}

func (t *tier) nextRoundRobinIndex() int {
	_, t.roundRobinPosition = math.Modf(t.roundRobinPosition + t.roundRobinStep())
	return t.indexAt(t.roundRobinPosition)
}

// roundRobinStep visits members of equal capacity one after the other. With unequal
// capacities such a step would send a large member several requests in a row;
// golden-ratio steps spread the visits evenly for any capacities.
func (t *tier) roundRobinStep() float64 {
	if t.equalCapacity {
		return 1 / float64(len(t.usableMembers))
	}
	return math.Phi - 1
}

// memberAt returns the usable member at a position from 0 to 1, on which each
// member covers an interval in proportion to its capacity. The tier must have a
// usable member.
func (t *tier) memberAt(position float64) *member {
	return t.usableMembers[t.indexAt(position)]
}

func (t *tier) indexAt(position float64) int {
	i, _ := slices.BinarySearch(t.cumulativeCapacity, position*t.capacity())
	return min(i, len(t.usableMembers)-1)
}
