package layers

// fillEmpty gives each empty replica the window of layers that gains most.
func (c *coverage) fillEmpty() []Order {
	var orders []Order
	for i := range c.replicas {
		r := &c.replicas[i]
		if r.Excluded || r.Fixed || !r.Held.Empty() {
			continue
		}
		n := c.model.MaxLayers(r.MemoryMB, TargetFill)
		orders = append(orders, c.assign(r, c.bestWindow(n, r.MemoryMB), ReasonFill))
	}
	return orders
}

// bestWindow returns the window of n layers that gains most from a holder. Among equal
// windows that contain layers without a holder it returns the first, so that spans adjoin
// and leave no gaps too small for a replica; among other equal windows the last.
func (c *coverage) bestWindow(n int, memoryMB float64) Span {
	addedCapacity := c.model.TokenCapacity(memoryMB, n)
	best, bestGain := Span{0, n}, -1.0
	for from := 0; from+n <= c.model.Layers; from++ {
		gainSum := 0.0
		for l := from; l < from+n; l++ {
			gainSum += c.layerGain(l, addedCapacity)
		}
		if gainSum > bestGain+gainTolerance || gainSum > bestGain-gainTolerance && gainSum < uncoveredGain {
			best, bestGain = Span{from, from + n}, gainSum
		}
	}
	return best
}

// gainTolerance is the difference in gain below which windows count as equal.
const gainTolerance = 1e-9

const (
	// uncoveredGain outweighs any gain of layers that have a holder.
	uncoveredGain = 100
	// secondHolderGain is the gain from a second holder beyond its capacity: the loss of
	// one replica no longer stops the domain.
	secondHolderGain = 0.5
)

// layerGain returns the gain of a layer from a holder that adds the given capacity: the
// fraction of the new capacity that is added, and more for the first and second holder.
func (c *coverage) layerGain(layer int, addedCapacity float64) float64 {
	if c.holders[layer] == 0 {
		return uncoveredGain
	}
	gain := addedCapacity / (c.capacity[layer] + addedCapacity)
	if c.holders[layer] == 1 {
		gain += secondHolderGain
	}
	return gain
}

// shrinkOverfilled lets replicas that hold more than TargetFill give back layers that have other
// holders.
func (c *coverage) shrinkOverfilled() []Order {
	var orders []Order
	for i := range c.replicas {
		r := &c.replicas[i]
		target := c.model.MaxLayers(r.MemoryMB, TargetFill)
		if r.Excluded || r.Fixed || r.Held.Len() < target+minShrinkLayers {
			continue
		}
		span := r.Held
		for span.Len() > target && c.holders[span.To-1] > 1 {
			span.To--
		}
		for span.Len() > target && c.holders[span.From] > 1 {
			span.From++
		}
		if r.Held.Len()-span.Len() >= minShrinkLayers {
			orders = append(orders, c.assign(r, span, ReasonShrink))
		}
	}
	return orders
}

// minShrinkLayers is the minimum number of layers that justifies an order.
const minShrinkLayers = 2
