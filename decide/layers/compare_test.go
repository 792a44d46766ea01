package layers

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// minCapacity returns the token capacity of the layer that has the least. This is the number
// of tokens that the domain can hold at once. minCapacity returns zero if a layer has no
// holder.
func minCapacity(m Model, replicas []Replica) float64 {
	c := newCoverage(m, replicas)
	lowest := math.Inf(1)
	for l := range m.Layers {
		if c.holders[l] == 0 {
			return 0
		}
		lowest = min(lowest, c.capacity[l])
	}
	return lowest
}

// bestCapacity returns the highest minCapacity of all plans that give a span which fits in
// memory, or none, to each replica from index on. The replicas before index keep their
// spans.
func bestCapacity(m Model, replicas []Replica, index int) float64 {
	if index == len(replicas) {
		return minCapacity(m, replicas)
	}
	highest := bestCapacity(m, replicas, index+1) // this replica holds no layers
	for n := 1; n <= m.MaxLayers(replicas[index].MemoryMB, 1); n++ {
		for from := 0; from+n <= m.Layers; from++ {
			replicas[index].Held = Span{from, from + n}
			highest = max(highest, bestCapacity(m, replicas, index+1))
		}
	}
	replicas[index].Held = Span{}
	return highest
}

// On small domains the capacity of the plan (minCapacity) is compared with the best of all
// possible plans. Plan prefers second holders of layers to capacity, so its capacity may be
// lower than the best. On average over the cases it must be at least half of the best.
func TestPlanAgainstAllPlans(t *testing.T) {
	small := Model{Layers: 5, LayerMB: 100, TokenLayerMB: 0.01}
	sumOfRatios, caseCount := 0.0, 0
	compare := func(t *rapid.T) {
		var replicas []Replica
		for i := range rapid.IntRange(1, 4).Draw(t, "cards") {
			replicas = append(replicas, Replica{ID: fmt.Sprint("r", i), MemoryMB: float64(rapid.IntRange(2, 7).Draw(t, "memory")) * 50 * 2})
		}
		planned := applyOrders(replicas, Plan(small, replicas))
		for range 3 { // neighbours take the remaining layers
			planned = applyOrders(planned, Plan(small, planned))
		}
		highest := bestCapacity(small, slices.Clone(replicas), 0)
		planCapacity := minCapacity(small, planned)
		if highest == 0 {
			return
		}
		sumOfRatios, caseCount = sumOfRatios+planCapacity/highest, caseCount+1
	}
	// With only 70 cases, the mean ratio of capacities differs by a tenth between runs.
	const casesPerDraw = 3
	rapid.Check(t, func(t *rapid.T) {
		for range casesPerDraw {
			compare(t)
		}
	})
	t.Logf("%d cases that can be covered with free capacity: the plan has %.2f of the highest capacity on average", caseCount, sumOfRatios/float64(caseCount))
	if sumOfRatios < float64(caseCount)/2 {
		t.Errorf("the plan has %.2f of the highest capacity on average", sumOfRatios/float64(caseCount))
	}
}

// consecutiveSpans gives each replica the span that follows the span of the replica before.
// The length of a span is what MaxLayers returns for the memory fraction. No span
// extends past the last layer, and the span after the last layer begins at the first layer.
func consecutiveSpans(m Model, replicas []Replica, memoryFraction float64) []Replica {
	next := 0
	for i := range replicas {
		n := min(m.MaxLayers(replicas[i].MemoryMB, memoryFraction), m.Layers-next)
		replicas[i].Held = Span{next, next + n}
		next = (next + n) % m.Layers
	}
	return replicas
}

// The plan for a typical domain is compared with simpler plans by the token capacity of the
// layer that has the least. The test also logs how many replicas are expendable: the loss
// of one such replica leaves all layers covered.
func TestPlanAgainstNaivePlans(t *testing.T) {
	sortedByMemory := func(replicas []Replica) []Replica {
		slices.SortStableFunc(replicas, func(a, b Replica) int { return cmp.Compare(b.MemoryMB, a.MemoryMB) })
		return replicas
	}
	spansOnGrid := func(replicas []Replica, gridLayers int) []Replica {
		next := 0
		for i := range replicas {
			n := min(layersOnGrid(replicas[i].MemoryMB, gridLayers), model.Layers-next)
			replicas[i].Held = Span{next, next + n}
			next = (next + n) % model.Layers
		}
		return replicas
	}
	plans := []struct {
		name     string
		replicas []Replica
	}{
		{"the plan", applyOrders(typicalDomain(), Plan(model, typicalDomain()))},
		{"fast cards only, filled", consecutiveSpans(model, sortedByMemory(typicalDomain())[:5], 1)},
		{"one after the other, 0.9 of each", consecutiveSpans(model, sortedByMemory(typicalDomain()), 0.9)},
		{"spans on a grid of 5", spansOnGrid(sortedByMemory(typicalDomain()), 5)},
		{"spans on a grid of 7", spansOnGrid(sortedByMemory(typicalDomain()), 7)},
	}
	capacities := map[string]float64{}
	for _, p := range plans {
		expendableReplicas := 0
		for _, r := range p.replicas {
			if FullyCovered(model, without(p.replicas, r.ID)) {
				expendableReplicas++
			}
		}
		capacities[p.name] = minCapacity(model, p.replicas)
		t.Logf("%-34s capacity %7.0f tokens, any one of %d of %d replicas may be lost", p.name, capacities[p.name], expendableReplicas, len(p.replicas))
	}
	for name, capacity := range capacities {
		if name != "the plan" && capacity > capacities["the plan"] {
			t.Errorf("%s has more capacity: %.0f", name, capacity)
		}
	}
}

// layersOnGrid returns the number of layers that a card holds if the length of a span must be
// a multiple of gridLayers. If fewer than gridLayers fit, it returns the number that fits.
func layersOnGrid(memoryMB float64, gridLayers int) int {
	return max(1, model.MaxLayers(memoryMB, 1)/gridLayers) * min(gridLayers, model.MaxLayers(memoryMB, 1))
}
