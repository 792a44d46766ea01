package layers

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// minCapacity returns the lowest token capacity of all layers: the domain can't hold more
// tokens than this at the same time. minCapacity returns zero if a layer has no holder.
func minCapacity(m Model, replicas []Replica) float64 {
	c := newCoverage(m, replicas)
	lowestCapacity := math.Inf(1)
	for l := range m.Layers {
		if c.holders[l] == 0 {
			return 0
		}
		lowestCapacity = min(lowestCapacity, c.capacity[l])
	}
	return lowestCapacity
}

// bestCapacity tries all possible plans and returns the highest result of minCapacity. In each
// plan, a replica at index or at a higher index holds a span that fits in its memory, or no
// layers. The replicas before index keep their spans.
func bestCapacity(m Model, replicas []Replica, index int) float64 {
	if index == len(replicas) {
		return minCapacity(m, replicas)
	}
	highestCapacity := bestCapacity(m, replicas, index+1) // this replica holds no layers
	for n := 1; n <= m.MaxLayers(replicas[index].MemoryMB, 1); n++ {
		for from := 0; from+n <= m.Layers; from++ {
			replicas[index].Held = Span{from, from + n}
			highestCapacity = max(highestCapacity, bestCapacity(m, replicas, index+1))
		}
	}
	replicas[index].Held = Span{}
	return highestCapacity
}

// On small domains the lowest token capacity of the layers (minCapacity) is compared between
// the plan and the best of all possible plans. Plan gives layers a second holder even if that
// lowers the capacity, so the plan may have less capacity than the best plan. On average over
// the cases, the plan's capacity must be at least half of the best capacity.
func TestPlanAgainstAllPlans(t *testing.T) {
	smallModel := Model{Layers: 5, LayerMB: 100, TokenLayerMB: 0.01}
	capacityRatioSum, caseCount := 0.0, 0
	compare := func(t *rapid.T) {
		var replicas []Replica
		for i := range rapid.IntRange(1, 4).Draw(t, "cards") {
			replicas = append(replicas, Replica{ID: fmt.Sprint("r", i), MemoryMB: float64(rapid.IntRange(2, 7).Draw(t, "memory")) * 50 * 2})
		}
		plannedReplicas := applyOrders(replicas, Plan(smallModel, replicas))
		for range 3 { // in these plans the neighbours of a gap take its remaining layers
			plannedReplicas = applyOrders(plannedReplicas, Plan(smallModel, plannedReplicas))
		}
		highestCapacity := bestCapacity(smallModel, slices.Clone(replicas), 0)
		planCapacity := minCapacity(smallModel, plannedReplicas)
		if highestCapacity == 0 {
			return
		}
		capacityRatioSum, caseCount = capacityRatioSum+planCapacity/highestCapacity, caseCount+1
	}
	// The mean ratio of the plan's capacity to the best capacity still differs by a tenth
	// between runs if a run has only 70 cases. So each iteration of rapid.Check compares
	// several cases.
	const casesPerIteration = 3
	rapid.Check(t, func(t *rapid.T) {
		for range casesPerIteration {
			compare(t)
		}
	})
	t.Logf("%d cases that can be covered with free capacity: the plan has %.2f of the highest capacity on average", caseCount, capacityRatioSum/float64(caseCount))
	if capacityRatioSum < float64(caseCount)/2 {
		t.Errorf("the plan has %.2f of the highest capacity on average", capacityRatioSum/float64(caseCount))
	}
}

// assignConsecutiveSpans changes the spans of replicas and returns the replicas. The span of
// each replica begins where the previous replica's span ends, or at the first layer if the
// previous span ends with the last layer. A span has the length that MaxLayers returns for the
// fillFraction, but ends at the last layer at the latest.
func assignConsecutiveSpans(m Model, replicas []Replica, fillFraction float64) []Replica {
	nextLayer := 0
	for i := range replicas {
		n := min(m.MaxLayers(replicas[i].MemoryMB, fillFraction), m.Layers-nextLayer)
		replicas[i].Held = Span{nextLayer, nextLayer + n}
		nextLayer = (nextLayer + n) % m.Layers
	}
	return replicas
}

// The plan for a typical domain is compared with simpler plans by the lowest token capacity
// of the layers (minCapacity). The test also logs how many replicas are expendable: the loss
// of one such replica leaves all layers covered.
func TestPlanAgainstNaivePlans(t *testing.T) {
	sortedByMemory := func(replicas []Replica) []Replica {
		slices.SortStableFunc(replicas, func(a, b Replica) int { return cmp.Compare(b.MemoryMB, a.MemoryMB) })
		return replicas
	}
	assignSpansOnGrid := func(replicas []Replica, gridLayers int) []Replica {
		nextLayer := 0
		for i := range replicas {
			n := min(spanLengthOnGrid(replicas[i].MemoryMB, gridLayers), model.Layers-nextLayer)
			replicas[i].Held = Span{nextLayer, nextLayer + n}
			nextLayer = (nextLayer + n) % model.Layers
		}
		return replicas
	}
	plans := []struct {
		name     string
		replicas []Replica
	}{
		{"the plan", applyOrders(typicalDomain(), Plan(model, typicalDomain()))},
		{"fast cards only, filled", assignConsecutiveSpans(model, sortedByMemory(typicalDomain())[:5], 1)},
		{"one after the other, 0.9 of each", assignConsecutiveSpans(model, sortedByMemory(typicalDomain()), 0.9)},
		{"spans on a grid of 5", assignSpansOnGrid(sortedByMemory(typicalDomain()), 5)},
		{"spans on a grid of 7", assignSpansOnGrid(sortedByMemory(typicalDomain()), 7)},
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

// spanLengthOnGrid returns the number of layers that a card holds if the length of a span must be
// a multiple of gridLayers. If fewer than gridLayers fit, spanLengthOnGrid returns the
// number of layers that fit.
func spanLengthOnGrid(memoryMB float64, gridLayers int) int {
	return max(1, model.MaxLayers(memoryMB, 1)/gridLayers) * min(gridLayers, model.MaxLayers(memoryMB, 1))
}
