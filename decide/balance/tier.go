package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// tier is one of the two parts of the subset, the near tier or the spill tier, as
// doc.go defines them.
type tier struct {
	members       []*member
	prefixRing    []ringPoint
	usableMembers []*member
	// cumulativeCapacity holds, for each usable member, the sum of its capacity and
	// the capacities of the usable members before it. Members are selected from
	// these sums in proportion to their capacity.
	cumulativeCapacity []float64

	roundRobinPosition float64 // capacity fraction of the last round-robin pick; see memberAt
	equalCapacity      bool    // all usable members have the same capacity

	inflightRequests          float64 // number of this node's in-flight requests at the usable members
	reportedOtherNodeRequests float64 // number of other nodes' requests at the usable members, from load reports
	reportingMembersCapacity  float64 // total capacity of the usable members that have reported their load
}

// ringPoint is a point of a member on the hash ring that maps prefixes to replicas.
type ringPoint struct {
	hash   uint64
	member *member
}

// newPrefixRing builds the hash ring from the replica IDs alone. Nodes that use the
// same replicas therefore map a prefix to the same replica.
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

// attachMembers sets the tier of each member to t. Members keep this pointer, so call
// attachMembers only after the tier has been copied to its final address.
func (t *tier) attachMembers() {
	for _, m := range t.members {
		m.tier = t
	}
}

func (t *tier) clearUsableMembers() {
	t.usableMembers = t.usableMembers[:0]
	t.cumulativeCapacity = t.cumulativeCapacity[:0]
	t.inflightRequests, t.reportedOtherNodeRequests, t.reportingMembersCapacity = 0, 0, 0
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
		t.reportingMembersCapacity += m.capacity
	}
}

func (t *tier) capacity() float64 {
	if len(t.cumulativeCapacity) == 0 {
		return 0
	}
	return t.cumulativeCapacity[len(t.cumulativeCapacity)-1]
}

func (t *tier) changeInflightRequests(m *member, change float64) {
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
		t.reportingMembersCapacity += m.capacity
	}
}

// otherNodeRequestsPerCapacity returns the number of other nodes' requests per
// unit of capacity, over the usable members that have reported their load.
func (t *tier) otherNodeRequestsPerCapacity() float64 {
	if t.reportingMembersCapacity == 0 {
		return 0
	}
	return t.reportedOtherNodeRequests / t.reportingMembersCapacity
}

// meanUtilization returns the mean utilization of the tier, as doc.go defines it.
// For a member that has not reported its load, meanUtilization assumes that other
// nodes have otherNodeRequestsPerCapacity requests per unit of capacity at this
// member.
func (t *tier) meanUtilization() float64 {
	capacity := t.capacity()
	if capacity == 0 {
		return 0
	}
	return t.inflightRequests/capacity + t.otherNodeRequestsPerCapacity()
}

// nextRoundRobin returns the next usable member in weighted round-robin order. How
// often it returns a member is proportional to the capacity of that member.
func (t *tier) nextRoundRobin() *member {
	return t.usableMembers[t.nextRoundRobinIndex()]
}

func (t *tier) nextRoundRobinIndex() int {
	_, t.roundRobinPosition = math.Modf(t.roundRobinPosition + t.roundRobinStep())
	return t.indexAt(t.roundRobinPosition)
}

// roundRobinStep returns the difference between the capacity fractions of consecutive
// round-robin picks. With equal capacities, each step moves to the next member.
// With unequal capacities, steps of that length would send several requests in a row
// to a member of large capacity. Steps of the golden ratio spread the requests evenly
// for any capacities.
func (t *tier) roundRobinStep() float64 {
	if t.equalCapacity {
		return 1 / float64(len(t.usableMembers))
	}
	return math.Phi - 1
}

// memberAt adds the capacities of the usable members in order until the sum reaches
// the given fraction of the tier's capacity. It returns the member whose capacity was
// added last. Each usable member thus has an interval of fractions whose length is
// proportional to the member's capacity. The fraction is from 0 to 1. The tier must
// have a usable member.
func (t *tier) memberAt(capacityFraction float64) *member {
	return t.usableMembers[t.indexAt(capacityFraction)]
}

func (t *tier) indexAt(capacityFraction float64) int {
	i, _ := slices.BinarySearch(t.cumulativeCapacity, capacityFraction*t.capacity())
	return min(i, len(t.usableMembers)-1)
}
