package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

// tier is a part of the subset: the near replicas, or those to spill to.
type tier struct {
	members []*member
	ring    []ringPoint
	usable  []*member
	// cumulative sums of the capacities of the usable members, for draws in
	// proportion to them.
	cumulative []float64

	position      float64 // where the last in turn stood, 0 to 1
	equalCapacity bool    // all usable members have the same capacity

	inflight         float64 // own requests at the usable members
	otherRequests    float64 // requests of other nodes there, by report
	reportedCapacity float64 // capacity of the usable members that have reported
}

// ringPoint is a place on the prefix ring.
type ringPoint struct {
	hash   uint64
	member *member
}

// newRing depends on the replicas' names alone, so that nodes with common
// replicas send a prefix to the same one.
func newRing(members []*member) []ringPoint {
	ring := make([]ringPoint, 0, len(members)*ringPointsPerReplica)
	for _, m := range members {
		for i := range uint64(ringPointsPerReplica) {
			ring = append(ring, ringPoint{rendezvous.Score(m.hash, i<<1), m})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// attachMembers points the members to the tier once it has its place in memory.
func (t *tier) attachMembers() {
	for _, m := range t.members {
		m.tier = t
	}
}

func (t *tier) reset() {
	t.usable = t.usable[:0]
	t.cumulative = t.cumulative[:0]
	t.inflight, t.otherRequests, t.reportedCapacity = 0, 0, 0
	t.equalCapacity = true
}

func (t *tier) addUsable(m *member) {
	if len(t.usable) > 0 && m.capacity != t.usable[0].capacity {
		t.equalCapacity = false
	}
	t.usable = append(t.usable, m)
	t.cumulative = append(t.cumulative, t.capacity()+m.capacity)
	t.inflight += float64(m.inflight)
	if !m.measuredAt.IsZero() {
		t.otherRequests += m.otherRequests
		t.reportedCapacity += m.capacity
	}
}

func (t *tier) capacity() float64 {
	if len(t.cumulative) == 0 {
		return 0
	}
	return t.cumulative[len(t.cumulative)-1]
}

func (t *tier) addInflight(m *member, requests float64) {
	if m.usable {
		t.inflight += requests
	}
}

func (t *tier) addOtherRequests(m *member, requests float64, firstReport bool) {
	if !m.usable {
		return
	}
	t.otherRequests += requests
	if firstReport {
		t.reportedCapacity += m.capacity
	}
}

// meanOtherLoad is the load by other nodes per unit of capacity.
func (t *tier) meanOtherLoad() float64 {
	if t.reportedCapacity == 0 {
		return 0
	}
	return t.otherRequests / t.reportedCapacity
}

// meanLoad is the whole load per unit of capacity.
func (t *tier) meanLoad() float64 {
	capacity := t.capacity()
	if capacity == 0 {
		return 0
	}
	return t.inflight/capacity + t.meanOtherLoad()
}

// nextRoundRobin takes the usable members in turn, each as often as its capacity
// says.
func (t *tier) nextRoundRobin() *member {
	return t.usable[t.nextIndex()]
}

func (t *tier) nextIndex() int {
	_, t.position = math.Modf(t.position + t.roundRobinStep())
	return t.indexAt(t.position)
}

// roundRobinStep visits equal members one after the other. Among unequal ones it would
// send a large one several requests in a row; steps of the golden ratio visit
// parts of any size evenly.
func (t *tier) roundRobinStep() float64 {
	if t.equalCapacity {
		return 1 / float64(len(t.usable))
	}
	return math.Phi - 1
}

// memberAt returns the usable member memberAt a place from 0 to 1, where each has room in
// proportion to its capacity. The tier must have one.
func (t *tier) memberAt(position float64) *member {
	return t.usable[t.indexAt(position)]
}

func (t *tier) indexAt(position float64) int {
	i, _ := slices.BinarySearch(t.cumulative, position*t.capacity())
	return min(i, len(t.usable)-1)
}
