package layers

// fillEmpty gives each replica without layers the span with the highest sum of gains
// (bestSpan).
func (c *coverage) fillEmpty() []Order {
	var orders []Order
	for i := range c.replicas {
		r := &c.replicas[i]
		if r.Excluded || r.Fixed || !r.Held.Empty() {
			continue
		}
		n := c.model.MaxLayers(r.MemoryMB, TargetFill)
		orders = append(orders, c.assign(r, c.bestSpan(n, r.MemoryMB), ReasonFill))
	}
	return orders
}

// bestSpan returns the span of layerCount layers with the highest sum of gains (layerGain)
// from one more holder with the given memory. Several spans may have the highest sum. If
// these spans contain a layer without a holder, bestSpan returns the first of these spans, so
// that the spans of replicas adjoin without small gaps. Otherwise bestSpan returns the last of
// these spans.
func (c *coverage) bestSpan(layerCount int, memoryMB float64) Span {
	addedCapacity := c.model.TokenCapacity(memoryMB, layerCount)
	best, bestGain := Span{0, layerCount}, -1.0
	for from := 0; from+layerCount <= c.model.Layers; from++ {
		gainSum := 0.0
		for l := from; l < from+layerCount; l++ {
			gainSum += c.layerGain(l, addedCapacity)
		}
		if gainSum > bestGain+gainTolerance || gainSum > bestGain-gainTolerance && gainSum < uncoveredGain {
			best, bestGain = Span{from, from + layerCount}, gainSum
		}
	}
	return best
}

// gainTolerance is the difference between two sums of gains up to which the sums count as
// equal.
const gainTolerance = 1e-9

const (
	// uncoveredGain is the gain of a layer from its first holder. This gain outweighs the
	// gain of any layer that already has a holder.
	uncoveredGain = 100
	// secondHolderGain is added to the gain of a layer that has only one holder. With a second
	// holder, the loss of one replica no longer stops the domain.
	secondHolderGain = 0.5
)

// layerGain returns the gain of a layer from one more holder, whose token capacity is
// addedCapacity. The gain is addedCapacity divided by the token capacity that the layer has
// with the new holder. For a layer with one holder secondHolderGain is added. For a layer
// without a holder the gain is uncoveredGain.
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

// shrinkOverfilled shortens the spans of replicas that hold more layers than TargetFill
// allows. A replica gives up only layers that have another holder.
func (c *coverage) shrinkOverfilled() []Order {
	var orders []Order
	for i := range c.replicas {
		r := &c.replicas[i]
		targetLayers := c.model.MaxLayers(r.MemoryMB, TargetFill)
		if r.Excluded || r.Fixed || r.Held.Len() < targetLayers+minShrinkLayers {
			continue
		}
		span := r.Held
		for span.Len() > targetLayers && c.holders[span.To-1] > 1 {
			span.To--
		}
		for span.Len() > targetLayers && c.holders[span.From] > 1 {
			span.From++
		}
		if r.Held.Len()-span.Len() >= minShrinkLayers {
			orders = append(orders, c.assign(r, span, ReasonShrink))
		}
	}
	return orders
}

// minShrinkLayers is the minimum number of layers that a replica gives up in an order of
// shrinkOverfilled.
const minShrinkLayers = 2
