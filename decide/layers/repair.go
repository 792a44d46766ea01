package layers

import "math"

func (s *state) repair(gaps []Span) []Order {
	var orders []Order
	for _, gap := range gaps {
		for gap.Len() >= smallGap {
			moved, ok := s.move(gap)
			if !ok {
				break
			}
			orders = append(orders, moved)
			gap.From = min(gap.To, moved.Hold.To)
		}
		taken, left := s.extend(gap)
		orders = append(orders, taken...)
		if !left.Empty() {
			if moved, ok := s.move(left); ok {
				orders = append(orders, moved)
			}
		}
	}
	return orders
}

// smallGap is what neighbours take without becoming narrow: two layers each.
const smallGap = 4

// extend lets the cards on both sides of a gap grow into it layer by layer, the one
// with more room first, and returns what is left over. If both are full, one passes
// its far end on to the next card.
func (s *state) extend(gap Span) ([]Order, Span) {
	before := map[*Card]Span{}
	for !gap.Empty() {
		c, span := s.bestNeighbour(gap)
		if c != nil {
			s.set(c, span, before)
		} else if c, span = s.pushNeighbour(gap, before); c == nil {
			break
		}
		if span.From <= gap.From && span.To > gap.From {
			gap.From++
		} else {
			gap.To--
		}
	}
	var orders []Order
	for i := range s.cards {
		c := &s.cards[i]
		if was, ok := before[c]; ok && was != c.Held {
			orders = append(orders, Order{ID: c.ID, Hold: c.Held, Reason: ReasonExtend})
		}
	}
	return orders, gap
}

// set changes what a card is to hold and remembers what it held.
func (s *state) set(c *Card, span Span, before map[*Card]Span) {
	if _, ok := before[c]; !ok {
		before[c] = c.Held
	}
	s.count(c, -1)
	c.Held = span
	s.count(c, 1)
}

// bestNeighbour returns the card that has most room left after taking the first or
// the last layer of the gap, or nil if none may take one.
func (s *state) bestNeighbour(gap Span) (*Card, Span) {
	var best *Card
	var bestSpan Span
	bestRoom := 0.0
	for i := range s.cards {
		c := &s.cards[i]
		span, adjacent := s.grown(c, gap)
		if !adjacent || span.Len() > s.model.Most(c.MemoryMB, MaxFill) {
			continue
		}
		if room := s.model.Room(c.MemoryMB, span.Len()); room > bestRoom {
			best, bestSpan, bestRoom = c, span, room
		}
	}
	return best, bestSpan
}

// maxPushes is over how many cards the layers of a gap are passed on.
const maxPushes = 6

// pushNeighbour lets a full card beside the gap take a layer and pass its far end on.
func (s *state) pushNeighbour(gap Span, before map[*Card]Span) (*Card, Span) {
	for i := range s.cards {
		c := &s.cards[i]
		span, adjacent := s.grown(c, gap)
		if adjacent && s.push(c, span, before, maxPushes) {
			return c, c.Held
		}
	}
	return nil, Span{}
}

// push gives a card a span that is one layer longer than it held. Beyond its most the
// layer at the other end goes to whoever holds it too, or to the next card.
func (s *state) push(c *Card, span Span, before map[*Card]Span, left int) bool {
	if span.Len() <= s.model.Most(c.MemoryMB, MaxFill) {
		s.set(c, span, before)
		return true
	}
	if left == 0 {
		return false
	}
	far, rest := span.From, Span{span.From + 1, span.To}
	if span.From < c.Held.From {
		far, rest = span.To-1, Span{span.From, span.To - 1}
	}
	if s.held[far] > 1 {
		s.set(c, rest, before)
		return true
	}
	for i := range s.cards {
		next := &s.cards[i]
		if next == c {
			continue
		}
		longer, adjacent := s.grown(next, Span{far, far + 1})
		if adjacent && s.push(next, longer, before, left-1) {
			s.set(c, rest, before)
			return true
		}
	}
	return false
}

// grown is what a card would hold with one layer of a gap beside it.
func (s *state) grown(c *Card, gap Span) (Span, bool) {
	if c.Leaving || c.Fixed || c.Held.Empty() {
		return Span{}, false
	}
	return grow(c.Held, gap)
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
func (s *state) move(gap Span) (Order, bool) {
	var best *Card
	bestCost := math.Inf(1)
	for i := range s.cards {
		c := &s.cards[i]
		if c.Leaving || c.Fixed || c.Held.Empty() || !s.redundant(c) {
			continue
		}
		cost := float64(s.model.Most(c.MemoryMB, Fill))
		if c.Held.From == 0 {
			cost += float64(s.model.Layers)
		}
		if cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		return Order{}, false
	}
	n := s.model.Most(best.MemoryMB, Fill)
	from := min(gap.From, s.model.Layers-n)
	return s.give(best, Span{from, from + n}, ReasonMove), true
}

func (s *state) redundant(c *Card) bool {
	for l := c.Held.From; l < c.Held.To; l++ {
		if s.held[l] < 2 {
			return false
		}
	}
	return true
}
