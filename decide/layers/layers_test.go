package layers

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// model has a typical number of layers, and typical memory per layer and per token.
var model = Model{Layers: 80, LayerMB: 1750, TokenLayerMB: 0.007375}

// Memory of a card for weights and requests, in megabytes, by kind of card.
const (
	h100MB = 72000
	a100MB = 36000
	l4MB   = 21600
	t4MB   = 14400
)

func replicasWithMemory(memoryMB ...float64) []Replica {
	replicas := make([]Replica, len(memoryMB))
	for i, mb := range memoryMB {
		replicas[i] = Replica{ID: fmt.Sprintf("r%02d", i), MemoryMB: mb}
	}
	return replicas
}

// typicalDomain returns the replicas of a failure domain without the fastest kind of card.
func typicalDomain() []Replica {
	return replicasWithMemory(a100MB, l4MB, l4MB, l4MB, l4MB, l4MB, l4MB, l4MB, l4MB, t4MB, t4MB, t4MB)
}

// applyOrders returns the replicas after they have carried out the orders.
func applyOrders(replicas []Replica, orders []Order) []Replica {
	changedReplicas := append([]Replica(nil), replicas...)
	for _, o := range orders {
		for i := range changedReplicas {
			if changedReplicas[i].ID == o.ID {
				changedReplicas[i].Held = o.Hold
			}
		}
	}
	return changedReplicas
}

func without(replicas []Replica, id string) []Replica {
	var otherReplicas []Replica
	for _, r := range replicas {
		if r.ID != id {
			otherReplicas = append(otherReplicas, r)
		}
	}
	return otherReplicas
}

// The first plan of a domain whose replicas hold no layers covers all layers. The
// plan leaves memory for at least 80,000 tokens on every replica.
func TestFirstPlanCoversAllLayers(t *testing.T) {
	for name, replicas := range map[string][]Replica{
		"one fast card":            replicasWithMemory(h100MB, a100MB, l4MB, l4MB, l4MB, l4MB, l4MB, t4MB, t4MB, t4MB, t4MB, t4MB, t4MB, t4MB),
		"no fast card":             typicalDomain(),
		"two cards of middle size": replicasWithMemory(a100MB, a100MB, l4MB, l4MB, l4MB, l4MB, t4MB, t4MB, t4MB, t4MB, t4MB, t4MB, t4MB),
	} {
		replicas = applyOrders(replicas, Plan(model, replicas))
		if !FullyCovered(model, replicas) {
			t.Errorf("%s: layers without a holder: %v", name, replicas)
		}
		for _, r := range replicas {
			if capacity := model.TokenCapacity(r.MemoryMB, r.Held.Len()); capacity < 80000 {
				t.Errorf("%s: %s holds %v and has capacity for %.0f tokens", name, r.ID, r.Held, capacity)
			}
		}
	}
}

// The plan is computed again from the ordered spans if another node takes over the planning,
// or if the replicas have not reported their new spans yet. The second plan must contain no
// order.
func TestPlanIsStable(t *testing.T) {
	replicas := typicalDomain()
	replicas = applyOrders(replicas, Plan(model, replicas))
	if secondOrders := Plan(model, replicas); len(secondOrders) > 0 {
		t.Errorf("ordered again: %v", secondOrders)
	}
}

// While some layers have no holder in a domain, the requests of the domain must run in another
// domain, wholly or for these layers. After the loss of any one replica, the orders of one
// plan must close the gap.
func TestAnyLossIsRepaired(t *testing.T) {
	replicas := typicalDomain()
	replicas = applyOrders(replicas, Plan(model, replicas))
	for _, lostReplica := range replicas {
		remainingReplicas := without(replicas, lostReplica.ID)
		orders := Plan(model, remainingReplicas)
		repairedReplicas := applyOrders(remainingReplicas, orders)
		if !FullyCovered(model, repairedReplicas) {
			t.Errorf("%s (%v) lost: layers without a holder after %v", lostReplica.ID, lostReplica.Held, orders)
		}
	}
}

// A replica that has taken over layers of its neighbour has less token capacity and limits
// the whole domain. Once another replica holds these layers, the plan takes them from the
// replica again.
func TestExtraLayersAreGivenBack(t *testing.T) {
	replicas := []Replica{
		{ID: "a", MemoryMB: l4MB, Held: Span{0, 11}}, // more than TargetFill
		{ID: "b", MemoryMB: h100MB, Held: Span{8, 36}},
		{ID: "c", MemoryMB: h100MB, Held: Span{36, 64}},
		{ID: "d", MemoryMB: h100MB, Held: Span{52, 80}},
	}
	orders := Plan(model, replicas)
	wantSpan := Span{0, model.MaxLayers(l4MB, TargetFill)}
	if len(orders) != 1 || orders[0].ID != "a" || orders[0].Hold != wantSpan || orders[0].Reason != ReasonShrink {
		t.Errorf("orders %v, want a to hold %v", orders, wantSpan)
	}
}

// If a draining replica counted as a holder, its layers would have no holder after it has
// left. So other replicas are ordered to hold the layers of an excluded replica, and the
// excluded replica gets no order.
func TestExcludedReplicaIsReplaced(t *testing.T) {
	replicas := typicalDomain()
	replicas = applyOrders(replicas, Plan(model, replicas))
	for i := range replicas {
		withExcluded := append([]Replica(nil), replicas...)
		withExcluded[i].Excluded = true
		afterOrders := applyOrders(withExcluded, Plan(model, withExcluded))
		if !FullyCovered(model, afterOrders) {
			t.Errorf("%s excluded: layers without a holder", withExcluded[i].ID)
		}
		if afterOrders[i].Held != replicas[i].Held {
			t.Errorf("%s got an order although it is excluded", withExcluded[i].ID)
		}
	}
}

// A replica that is ordered to hold more layers than fit in its memory crashes, and all
// requests that run through it fail. No sequence of losses and new replicas may lead to
// such an order, nor to an order for a fixed or excluded replica.
func TestNoOrderExceedsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := typicalDomain()
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			for i := range replicas {
				replicas[i].Excluded = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				replicas[i].Fixed = rapid.IntRange(0, 9).Draw(t, "fixed") == 0
			}
			orders := Plan(model, replicas)
			byID := map[string]Replica{}
			for _, r := range replicas {
				byID[r.ID] = r
			}
			for _, o := range orders {
				r := byID[o.ID]
				if o.Hold.From < 0 || o.Hold.To > model.Layers || o.Hold.Empty() {
					t.Fatalf("%v has an invalid span", o)
				}
				if float64(o.Hold.Len())*model.LayerMB > r.MemoryMB {
					t.Fatalf("%v exceeds %v MB", o, r.MemoryMB)
				}
				if r.Excluded || r.Fixed {
					t.Fatalf("%v is for a replica that takes no order", o)
				}
			}
			replicas = applyOrders(replicas, orders)
			if rapid.Bool().Draw(t, "lose a replica") && len(replicas) > 4 {
				replicas = replicas[1:]
			} else {
				replicas = append(replicas, Replica{ID: fmt.Sprintf("new%02d", step), MemoryMB: l4MB})
			}
		}
	})
}

// If all replicas held spans of equal length, the spans would fill the small replicas and leave
// most memory of the large replicas unused. The lowest token capacity of the layers
// (minCapacity) must be at least 1.5 times as high with the plan as with such spans.
func TestCapacityAgainstEqualSpans(t *testing.T) {
	replicas := typicalDomain()
	plannedCapacity := minCapacity(model, applyOrders(replicas, Plan(model, replicas)))
	equalSpans := append([]Replica(nil), replicas...)
	layersPerReplica := (model.Layers + len(equalSpans) - 1) / len(equalSpans)
	for i := range equalSpans {
		equalSpans[i].Held = Span{i * layersPerReplica, min(model.Layers, (i+1)*layersPerReplica)}
	}
	if plannedCapacity < 1.5*minCapacity(model, equalSpans) {
		t.Errorf("lowest capacity of a layer: %.0f tokens, with equal spans %.0f", plannedCapacity, minCapacity(model, equalSpans))
	}
}

// Plan can compute two orders for one replica: the first to move to a gap, the second to take,
// as a neighbour, the rest of this gap too. If the plan contained both, they would be sent at
// the same time, and the replica would accept only the order that arrives first. If that order
// has the shorter span, the rest of the gap has no holder until the next plan. So a plan must
// contain at most one order for each replica.
func TestNoReplicaIsOrderedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var replicas []Replica
		for i := range rapid.IntRange(3, 16).Draw(t, "cards") {
			r := Replica{ID: fmt.Sprintf("r%02d", i), MemoryMB: rapid.SampledFrom([]float64{h100MB, a100MB, l4MB, t4MB}).Draw(t, "memory")}
			r.Excluded = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
			if n := model.MaxLayers(r.MemoryMB, TargetFill); rapid.IntRange(0, 3).Draw(t, "empty") > 0 {
				from := rapid.IntRange(0, model.Layers-n).Draw(t, "from")
				r.Held = Span{from, from + n}
			}
			replicas = append(replicas, r)
		}
		heldSpans := map[string]Span{}
		for _, r := range replicas {
			heldSpans[r.ID] = r.Held
		}
		seen := map[string]bool{}
		for _, o := range Plan(model, replicas) {
			if seen[o.ID] {
				t.Fatalf("%s gets two orders", o.ID)
			}
			if o.Hold == heldSpans[o.ID] {
				t.Fatalf("%s gets an order for %v, which it already holds", o.ID, o.Hold)
			}
			seen[o.ID] = true
		}
	})
}
