package layers

import "math"

func (c *coverage) repair(gaps []Span) []Order {
	var orders []Order
	for _, gap := range gaps {
		for gap.Len() >= smallGapLayers {
			moved, ok := c.move(gap)
			if !ok {
				break
			}
			orders = append(orders, moved)
			gap.From = min(gap.To, moved.Hold.To)
		}
		taken, rest := c.extend(gap)
		orders = append(orders, taken...)
		if !rest.Empty() {
			if moved, ok := c.move(rest); ok {
				orders = append(orders, moved)
			}
		}
	}
	return orders
}

// smallGapLayers is what neighbours take without becoming narrow: two layers each.
const smallGapLayers = 4

// extend lets the cards on both sides of a gap grow into it layer by layer, the one
// with more room first, and returns what is left over. If both are full, one passes
// its far end on to the next card.
func (c *coverage) extend(gap Span) ([]Order, Span) {
	before := map[*Replica]Span{}
	for !gap.Empty() {
		r, span := c.bestNeighbour(gap)
		if r != nil {
			c.reassign(r, span, before)
		} else if r, span = c.pushNeighbour(gap, before); r == nil {
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
		if was, ok := before[changed]; ok && was != changed.Held {
			orders = append(orders, Order{ID: changed.ID, Hold: changed.Held, Reason: ReasonExtend})
		}
	}
	return orders, gap
}

// reassign changes what a card is to hold and remembers what it held.
func (c *coverage) reassign(r *Replica, span Span, before map[*Replica]Span) {
	if _, ok := before[r]; !ok {
		before[r] = r.Held
	}
	c.addContribution(r, -1)
	r.Held = span
	c.addContribution(r, 1)
}

// bestNeighbour returns the card that has most room left after taking the first or
// the last layer of the gap, or nil if none may take one.
func (c *coverage) bestNeighbour(gap Span) (*Replica, Span) {
	var best *Replica
	var bestSpan Span
	bestCapacity := 0.0
	for i := range c.replicas {
		r := &c.replicas[i]
		span, adjacent := c.grown(r, gap)
		if !adjacent || span.Len() > c.model.MaxLayers(r.MemoryMB, MaxFill) {
			continue
		}
		if capacity := c.model.TokenCapacity(r.MemoryMB, span.Len()); capacity > bestCapacity {
			best, bestSpan, bestCapacity = r, span, capacity
		}
	}
	return best, bestSpan
}

// maxPushDepth is over how many cards the layers of a gap are passed on.
const maxPushDepth = 6

// pushNeighbour lets a full card beside the gap take a layer and pass its far end on.
func (c *coverage) pushNeighbour(gap Span, before map[*Replica]Span) (*Replica, Span) {
	for i := range c.replicas {
		r := &c.replicas[i]
		span, adjacent := c.grown(r, gap)
		if adjacent && c.push(r, span, before, maxPushDepth) {
			return r, r.Held
		}
	}
	return nil, Span{}
}

// push gives a card a span that is one layer longer than it held. Beyond its most the
// layer at the other end goes to whoever holds it too, or to the next card.
func (c *coverage) push(r *Replica, span Span, before map[*Replica]Span, depth int) bool {
	if span.Len() <= c.model.MaxLayers(r.MemoryMB, MaxFill) {
		c.reassign(r, span, before)
		return true
	}
	if depth == 0 {
		return false
	}
	farLayer, rest := span.From, Span{span.From + 1, span.To}
	if span.From < r.Held.From {
		farLayer, rest = span.To-1, Span{span.From, span.To - 1}
	}
	if c.holders[farLayer] > 1 {
		c.reassign(r, rest, before)
		return true
	}
	for i := range c.replicas {
		next := &c.replicas[i]
		if next == r {
			continue
		}
		longer, adjacent := c.grown(next, Span{farLayer, farLayer + 1})
		if adjacent && c.push(next, longer, before, depth-1) {
			c.reassign(r, rest, before)
			return true
		}
	}
	return false
}

// grown is what a card would hold with one layer of a gap beside it.
func (c *coverage) grown(r *Replica, gap Span) (Span, bool) {
	if r.Excluded || r.Fixed || r.Held.Empty() {
		return Span{}, false
	}
	return grow(r.Held, gap)
}

// grow returns held with one layer of the gap beside it.
func grow(held, gap Span) (Span, bool) {
	switch {
	case held.To == gap.From:
		return Span{held.From, held.To + 1}, true
	case held.From == gap.To:
		return Span{held.From - 1, held.To}, true
	}
	return held, false
}

// move gives the beginning of a gap to a card whose layers all have another holder:
// the smallest, through which least passes that must end first, and one that holds
// the first layer only if there is no other.
func (c *coverage) move(gap Span) (Order, bool) {
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

func (c *coverage) redundant(r *Replica) bool {
	for l := r.Held.From; l < r.Held.To; l++ {
		if c.holders[l] < 2 {
			return false
		}
	}
	return true
}
