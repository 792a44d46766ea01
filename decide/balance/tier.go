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
	ring    []point
	usable  []*member
	// cumulative sums of the capacities of the usable members, for draws in
	// proportion to them.
	cumulative []float64

	turn  float64 // where the last in turn stood, 0 to 1
	equal bool    // all usable members have the same capacity

	inflight float64 // own requests at the usable members
	others   float64 // requests of other nodes there, by report
	reported float64 // capacity of the usable members that have reported
}

// point is a place on the prefix ring.
type point struct {
	hash   uint64
	member *member
}

// newRing depends on the replicas' names alone, so that nodes with common
// replicas send a prefix to the same one.
func newRing(members []*member) []point {
	ring := make([]point, 0, len(members)*ringPoints)
	for _, m := range members {
		for i := range uint64(ringPoints) {
			ring = append(ring, point{rendezvous.Score(m.key, i<<1), m})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// adopt points the members to the tier once it has its place in memory.
func (t *tier) adopt() {
	for _, m := range t.members {
		m.tier = t
	}
}

func (t *tier) reset() {
	t.usable = t.usable[:0]
	t.cumulative = t.cumulative[:0]
	t.inflight, t.others, t.reported = 0, 0, 0
	t.equal = true
}

func (t *tier) include(m *member) {
	if len(t.usable) > 0 && m.capacity != t.usable[0].capacity {
		t.equal = false
	}
	t.usable = append(t.usable, m)
	t.cumulative = append(t.cumulative, t.capacity()+m.capacity)
	t.inflight += float64(m.inflight)
	if !m.measured.IsZero() {
		t.others += m.others
		t.reported += m.capacity
	}
}

func (t *tier) capacity() float64 {
	if len(t.cumulative) == 0 {
		return 0
	}
	return t.cumulative[len(t.cumulative)-1]
}

func (t *tier) add(m *member, requests float64) {
	if m.usable {
		t.inflight += requests
	}
}

func (t *tier) addOthers(m *member, requests float64, first bool) {
	if !m.usable {
		return
	}
	t.others += requests
	if first {
		t.reported += m.capacity
	}
}

// meanOthers is the load by other nodes per unit of capacity.
func (t *tier) meanOthers() float64 {
	if t.reported == 0 {
		return 0
	}
	return t.others / t.reported
}

// meanLoad is the whole load per unit of capacity.
func (t *tier) meanLoad() float64 {
	capacity := t.capacity()
	if capacity == 0 {
		return 0
	}
	return t.inflight/capacity + t.meanOthers()
}

// nextInTurn takes the usable members in turn, each as often as its capacity
// says.
func (t *tier) nextInTurn() *member {
	return t.usable[t.nextIndex()]
}

func (t *tier) nextIndex() int {
	_, t.turn = math.Modf(t.turn + t.step())
	return t.indexAt(t.turn)
}

// step visits equal members one after the other. Among unequal ones it would
// send a large one several requests in a row; steps of the golden ratio visit
// parts of any size evenly.
func (t *tier) step() float64 {
	if t.equal {
		return 1 / float64(len(t.usable))
	}
	return math.Phi - 1
}

// at returns the usable member at a place from 0 to 1, where each has room in
// proportion to its capacity. The tier must have one.
func (t *tier) at(place float64) *member {
	return t.usable[t.indexAt(place)]
}

func (t *tier) indexAt(place float64) int {
	i, _ := slices.BinarySearch(t.cumulative, place*t.capacity())
	return min(i, len(t.usable)-1)
}
