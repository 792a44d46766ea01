package layers

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

// bestWindow returns the window of n layers that gains most from a holder. Of equal
// windows with layers that nobody holds the first is taken, so that spans follow one
// another without gaps that no card fits; of others the last.
func (c *coverage) bestWindow(n int, memoryMB float64) Span {
	capacity := c.model.TokenCapacity(memoryMB, n)
	best, gain := Span{0, n}, -1.0
	for from := 0; from+n <= c.model.Layers; from++ {
		sum := 0.0
		for l := from; l < from+n; l++ {
			sum += c.layerGain(l, capacity)
		}
		if sum > gain+gainTolerance || sum > gain-gainTolerance && sum < uncoveredGain {
			best, gain = Span{from, from + n}, sum
		}
	}
	return best
}

// gainTolerance is the difference in gain below which windows are equal.
const gainTolerance = 1e-9

const (
	// uncoveredGain outweighs any gain at layers that have a holder.
	uncoveredGain = 100
	// secondHolderGain is what a second holder is worth beyond its room: the loss of one
	// replica then no longer stops the domain.
	secondHolderGain = 0.5
)

// layerGain is the gain of a layer from a holder with the given room: by what part its
// room grows, with more for the first and the second holder.
func (c *coverage) layerGain(layer int, capacity float64) float64 {
	if c.holders[layer] == 0 {
		return uncoveredGain
	}
	gain := capacity / (c.capacity[layer] + capacity)
	if c.holders[layer] == 1 {
		gain += secondHolderGain
	}
	return gain
}

// shrink lets cards that hold more than their part give back what others hold too.
func (c *coverage) shrink() []Order {
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

// minShrinkLayers is the fewest layers that are worth an order.
const minShrinkLayers = 2
