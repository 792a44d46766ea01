package layers

import "math"

// repair closes gaps: redundant replicas move to gaps of at least smallGapLayers, and
// neighbours take the rest. If the neighbours can't take all of a rest, a redundant replica
// moves there too.
func (c *coverage) repair(gaps []Span) []Order {
	var orders []Order
	for _, gap := range gaps {
		for gap.Len() >= smallGapLayers {
			moved, ok := c.moveRedundant(gap)
			if !ok {
				break
			}
			orders = append(orders, moved)
			gap.From = min(gap.To, moved.Hold.To)
		}
		extendOrders, remainingGap := c.extendNeighbours(gap)
		orders = append(orders, extendOrders...)
		if !remainingGap.Empty() {
			if moved, ok := c.moveRedundant(remainingGap); ok {
				orders = append(orders, moved)
			}
		}
	}
	return orders
}

// smallGapLayers is the number of layers from which a redundant replica moves to a gap. A
// smaller gap costs its two neighbours about two layers each, which doesn't make them the
// bottleneck.
const smallGapLayers = 4

// extendNeighbours gives the layers of a gap to its neighbours, one layer at a time, each to
// the neighbour with more token capacity left. If all neighbours are full, one of them takes
// the layer and gives up the layer at the other end of its span. extendNeighbours returns
// the orders and the remaining gap.
func (c *coverage) extendNeighbours(gap Span) ([]Order, Span) {
	originalSpans := map[*Replica]Span{}
	for !gap.Empty() {
		r, span := c.bestNeighbour(gap)
		if r != nil {
			c.reassign(r, span, originalSpans)
		} else if r, span = c.shiftNeighbour(gap, originalSpans); r == nil {
			break
		}
		if span.From <= gap.From && span.To > gap.From {
			gap.From++
		} else {
			gap.To--
		}
	}
	var orders []Order
	for i := range c.replicas {
		changed := &c.replicas[i]
		if original, ok := originalSpans[changed]; ok && original != changed.Held {
			orders = append(orders, Order{ID: changed.ID, Hold: changed.Held, Reason: ReasonExtend})
		}
	}
	return orders, gap
}

// reassign changes the span of a replica. originalSpans keeps the span that the replica held
// before its first change.
func (c *coverage) reassign(r *Replica, span Span, originalSpans map[*Replica]Span) {
	if _, ok := originalSpans[r]; !ok {
		originalSpans[r] = r.Held
	}
	c.addContribution(r, -1)
	r.Held = span
	c.addContribution(r, 1)
}

// bestNeighbour returns the neighbour that has the most token capacity left after it takes a
// layer of the gap, with its new span. It returns nil if no neighbour may take a layer.
func (c *coverage) bestNeighbour(gap Span) (*Replica, Span) {
	var best *Replica
	var bestSpan Span
	bestCapacity := 0.0
	for i := range c.replicas {
		r := &c.replicas[i]
		span, adjacent := c.extendedSpan(r, gap)
		if !adjacent || span.Len() > c.model.MaxLayers(r.MemoryMB, MaxFill) {
			continue
		}
		if capacity := c.model.TokenCapacity(r.MemoryMB, span.Len()); capacity > bestCapacity {
			best, bestSpan, bestCapacity = r, span, capacity
		}
	}
	return best, bestSpan
}

// maxShiftedReplicas is the maximum number of further replicas whose spans shift so that a
// neighbour can take one layer of a gap.
const maxShiftedReplicas = 6

// shiftNeighbour gives a layer of the gap to a full neighbour, which gives up the layer at
// the other end of its span. It returns the neighbour and its new span, or nil if there is
// no neighbour that can do this.
func (c *coverage) shiftNeighbour(gap Span, originalSpans map[*Replica]Span) (*Replica, Span) {
	for i := range c.replicas {
		r := &c.replicas[i]
		span, adjacent := c.extendedSpan(r, gap)
		if adjacent && c.shift(r, span, originalSpans, maxShiftedReplicas) {
			return r, r.Held
		}
	}
	return nil, Span{}
}

// shift gives a replica a span that is one layer longer than the span it holds. If the
// replica may not hold that many layers (MaxFill), it gives up the layer at the other end.
// That layer must have another holder, or an adjacent replica must take it, for which spans
// of at most replicasLeft replicas may shift in turn. shift reports whether it succeeded.
func (c *coverage) shift(r *Replica, span Span, originalSpans map[*Replica]Span, replicasLeft int) bool {
	if span.Len() <= c.model.MaxLayers(r.MemoryMB, MaxFill) {
		c.reassign(r, span, originalSpans)
		return true
	}
	if replicasLeft == 0 {
		return false
	}
	farLayer, shiftedSpan := span.From, Span{span.From + 1, span.To}
	if span.From < r.Held.From {
		farLayer, shiftedSpan = span.To-1, Span{span.From, span.To - 1}
	}
	if c.holders[farLayer] > 1 {
		c.reassign(r, shiftedSpan, originalSpans)
		return true
	}
	for i := range c.replicas {
		next := &c.replicas[i]
		if next == r {
			continue
		}
		longer, adjacent := c.extendedSpan(next, Span{farLayer, farLayer + 1})
		if adjacent && c.shift(next, longer, originalSpans, replicasLeft-1) {
			c.reassign(r, shiftedSpan, originalSpans)
			return true
		}
	}
	return false
}

// extendedSpan returns the span of a replica extended by one layer of a gap. It returns false
// if the gap is not adjacent to the span or the replica gets no order now.
func (c *coverage) extendedSpan(r *Replica, gap Span) (Span, bool) {
	if r.Excluded || r.Fixed || r.Held.Empty() {
		return Span{}, false
	}
	return extendByOneLayer(r.Held, gap)
}

// extendByOneLayer returns a held span extended by one layer of a gap, and whether the span
// and the gap are adjacent.
func extendByOneLayer(held, gap Span) (Span, bool) {
	switch {
	case held.To == gap.From:
		return Span{held.From, held.To + 1}, true
	case held.From == gap.To:
		return Span{held.From - 1, held.To}, true
	}
	return held, false
}

// moveRedundant gives the beginning of a gap to a redundant replica. It prefers the replica
// with the least memory, which has the least traffic to finish before it moves. It moves a
// replica that holds the first layer only if there is no other redundant replica.
func (c *coverage) moveRedundant(gap Span) (Order, bool) {
	var best *Replica
	bestCost := math.Inf(1)
	for i := range c.replicas {
		r := &c.replicas[i]
		if r.Excluded || r.Fixed || r.Held.Empty() || !c.redundant(r) {
			continue
		}
		cost := float64(c.model.MaxLayers(r.MemoryMB, TargetFill))
		if r.Held.From == 0 {
			cost += float64(c.model.Layers)
		}
		if cost < bestCost {
			best, bestCost = r, cost
		}
	}
	if best == nil {
		return Order{}, false
	}
	n := c.model.MaxLayers(best.MemoryMB, TargetFill)
	from := min(gap.From, c.model.Layers-n)
	return c.assign(best, Span{from, from + n}, ReasonMove), true
}

// redundant reports whether all layers of a replica have another holder.
func (c *coverage) redundant(r *Replica) bool {
	for l := r.Held.From; l < r.Held.To; l++ {
		if c.holders[l] < 2 {
			return false
		}
	}
	return true
}
