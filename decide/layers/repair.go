package layers

import "math"

// repair closes gaps: redundant replicas move to large gaps, and neighbours take the rest.
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

// smallGapLayers is the size from which a gap is not left to the neighbours. Two layers
// each don't make them the bottleneck.
const smallGapLayers = 4

// extendNeighbours lets the replicas on both sides of a gap take it layer by layer, the one with
// more capacity first, and returns the rest of the gap. If both are full, one of them
// passes the layer at its far end on to the next replica.
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

// reassign gives a replica another span and records in before what it held at first.
func (c *coverage) reassign(r *Replica, span Span, originalSpans map[*Replica]Span) {
	if _, ok := originalSpans[r]; !ok {
		originalSpans[r] = r.Held
	}
	c.addContribution(r, -1)
	r.Held = span
	c.addContribution(r, 1)
}

// bestNeighbour returns the replica that has the most capacity left after it takes the
// first or last layer of the gap, with its new span, or nil if none may take one.
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

// maxShiftedReplicas is the maximum number of replicas over which a layer is passed on.
const maxShiftedReplicas = 6

// shiftNeighbour lets a full replica beside the gap take a layer and pass the layer at its
// far end on.
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

// shift gives a replica a span that is one layer longer than before. If the span exceeds
// MaxFill, the replica gives up the layer at the other end, which must have another holder
// or be taken by the next replica. shift reports whether this succeeded.
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

// extendedSpan returns the span of a replica extended by one layer of an adjacent gap, and whether
// the gap is adjacent and the replica may take an order.
func (c *coverage) extendedSpan(r *Replica, gap Span) (Span, bool) {
	if r.Excluded || r.Fixed || r.Held.Empty() {
		return Span{}, false
	}
	return extendByOneLayer(r.Held, gap)
}

// extendByOneLayer returns held extended by one layer of the gap, and whether they are adjacent.
func extendByOneLayer(held, gap Span) (Span, bool) {
	switch {
	case held.To == gap.From:
		return Span{held.From, held.To + 1}, true
	case held.From == gap.To:
		return Span{held.From - 1, held.To}, true
	}
	return held, false
}

// moveRedundant gives the beginning of a gap to a replica whose layers all have another holder. It
// prefers the smallest replica, which has the least traffic to finish before it moves, and
// takes one that holds the first layer only if there is no other.
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
