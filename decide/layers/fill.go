package layers

// fillEmpty gives each replica without layers the window of layers with the highest gain
// from one more holder.
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

// bestWindow returns the window of n layers with the highest sum of gains (layerGain) from
// one more holder with the given memory. Of windows with equal sums that contain a layer
// without a holder, it returns the first: so spans adjoin, and no gap is left that is too
// small for a replica. Of other windows with equal sums it returns the last.
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

// gainTolerance is the difference between two sums of gains up to which they count as
// equal.
const gainTolerance = 1e-9

const (
	// uncoveredGain is the gain of a layer from its first holder. It outweighs the gain of
	// layers that have a holder.
	uncoveredGain = 100
	// secondHolderGain is the gain of a layer from a second holder, in addition to the gain
	// from the capacity: the loss of one replica no longer stops the domain.
	secondHolderGain = 0.5
)

// layerGain returns the gain of a layer from one more holder: how much the plan prefers to
// place a holder there. The gain is addedCapacity divided by the layer's capacity with it.
// For a layer with one holder secondHolderGain is added. For a layer without a holder the
// gain is uncoveredGain.
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

// shrinkOverfilled takes layers that have other holders from replicas that hold more layers
// than TargetFill allows.
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

// minShrinkLayers is the minimum number of layers for which shrinkOverfilled gives an order.
const minShrinkLayers = 2
