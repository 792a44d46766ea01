package layers

import "math"

// repair closes gaps. Redundant replicas move to a gap while the gap has at least largeGapLayers
// layers, and the neighbours take the rest of the gap. If the neighbours can't take all of
// the rest, another redundant replica moves to the layers that remain.
func (c *coverage) repair(gaps []Span) []Order {
	var orders []Order
	for _, gap := range gaps {
		for gap.Len() >= largeGapLayers {
			moveOrder, ok := c.moveRedundant(gap)
			if !ok {
				break
			}
			orders = append(orders, moveOrder)
			gap.From = min(gap.To, moveOrder.Hold.To)
		}
		extendOrders, remainingGap := c.extendNeighbours(gap)
		orders = append(orders, extendOrders...)
		if !remainingGap.Empty() {
			if moveOrder, ok := c.moveRedundant(remainingGap); ok {
				orders = append(orders, moveOrder)
			}
		}
	}
	return orders
}

// largeGapLayers is the minimum number of layers of a gap to which redundant replicas move
// before the neighbours take layers of the gap. From a smaller gap each of the two neighbours
// takes about two layers, which doesn't make the neighbours the bottleneck.
const largeGapLayers = 4

// extendNeighbours gives the layers of a gap to its neighbours, one layer at a time. Each
// layer goes to the neighbour that has the most token capacity left with this layer. If all
// neighbours are full (MaxFill), one of them takes the layer and gives up the layer at the
// opposite end of its span. extendNeighbours returns the orders and the remaining gap.
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
		replica := &c.replicas[i]
		if originalSpan, ok := originalSpans[replica]; ok && originalSpan != replica.Held {
			orders = append(orders, Order{ID: replica.ID, Hold: replica.Held, Reason: ReasonExtend})
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

// bestNeighbour returns the neighbour that would have the most token capacity left if it took
// one layer of the gap, and the span that it would then hold. bestNeighbour returns nil
// if no neighbour may take a layer.
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

// shiftNeighbour gives a layer of the gap to a full neighbour, which gives up the layer at the
// opposite end of its span. shiftNeighbour returns the neighbour and its new span, or nil if
// no neighbour can shift its span in this way.
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

// shift adds one layer at one end of a replica's span; span is the result. If span is longer
// than the replica may hold (MaxFill), the replica gives up the layer at the opposite end.
// The replica may give up that layer only if the layer has another holder, or if a replica
// adjacent to the layer takes it by a shift of its own span. At most maxFurtherReplicas replicas
// may shift in addition to the given one. shift reports whether it succeeded.
func (c *coverage) shift(r *Replica, span Span, originalSpans map[*Replica]Span, maxFurtherReplicas int) bool {
	if span.Len() <= c.model.MaxLayers(r.MemoryMB, MaxFill) {
		c.reassign(r, span, originalSpans)
		return true
	}
	if maxFurtherReplicas == 0 {
		return false
	}
	oppositeLayer, shiftedSpan := span.From, Span{span.From + 1, span.To}
	if span.From < r.Held.From {
		oppositeLayer, shiftedSpan = span.To-1, Span{span.From, span.To - 1}
	}
	if c.holders[oppositeLayer] > 1 {
		c.reassign(r, shiftedSpan, originalSpans)
		return true
	}
	for i := range c.replicas {
		neighbour := &c.replicas[i]
		if neighbour == r {
			continue
		}
		neighbourSpan, adjacent := c.extendedSpan(neighbour, Span{oppositeLayer, oppositeLayer + 1})
		if adjacent && c.shift(neighbour, neighbourSpan, originalSpans, maxFurtherReplicas-1) {
			c.reassign(r, shiftedSpan, originalSpans)
			return true
		}
	}
	return false
}

// extendedSpan returns the span of a replica extended by one layer of a gap. The second
// result is false if the gap is not adjacent to the span, or if the replica holds no layers or
// gets no order now.
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

// moveRedundant gives the beginning of a gap to a redundant replica, preferably to the replica
// with the least memory, which has the fewest requests to finish before it moves. A replica
// that holds the first layer moves only if there is no other redundant replica.
func (c *coverage) moveRedundant(gap Span) (Order, bool) {
	var best *Replica
	lowestMoveCost := math.Inf(1)
	for i := range c.replicas {
		r := &c.replicas[i]
		if r.Excluded || r.Fixed || r.Held.Empty() || !c.redundant(r) {
			continue
		}
		moveCost := float64(c.model.MaxLayers(r.MemoryMB, TargetFill))
		if r.Held.From == 0 {
			moveCost += float64(c.model.Layers)
		}
		if moveCost < lowestMoveCost {
			best, lowestMoveCost = r, moveCost
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
