package layers

func (s *state) fillEmpty() []Order {
	var orders []Order
	for i := range s.cards {
		c := &s.cards[i]
		if c.Leaving || c.Fixed || !c.Held.Empty() {
			continue
		}
		n := s.model.Most(c.MemoryMB, Fill)
		orders = append(orders, s.give(c, s.neediest(n, c.MemoryMB), ReasonFill))
	}
	return orders
}

// neediest returns the window of n layers that gains most from a holder. Of equal
// windows with layers that nobody holds the first is taken, so that spans follow one
// another without gaps that no card fits; of others the last.
func (s *state) neediest(n int, memoryMB float64) Span {
	add := s.model.Room(memoryMB, n)
	best, gain := Span{0, n}, -1.0
	for from := 0; from+n <= s.model.Layers; from++ {
		sum := 0.0
		for l := from; l < from+n; l++ {
			sum += s.need(l, add)
		}
		if sum > gain+tie || sum > gain-tie && sum < uncovered {
			best, gain = Span{from, from + n}, sum
		}
	}
	return best
}

// tie is the difference in gain below which windows are equal.
const tie = 1e-9

const (
	// uncovered outweighs any gain at layers that have a holder.
	uncovered = 100
	// single is what a second holder is worth beyond its room: the loss of one
	// replica then no longer stops the domain.
	single = 0.5
)

// need is the gain of a layer from a holder with the given room: by what part its
// room grows, with more for the first and the second holder.
func (s *state) need(layer int, add float64) float64 {
	if s.held[layer] == 0 {
		return uncovered
	}
	gain := add / (s.room[layer] + add)
	if s.held[layer] == 1 {
		gain += single
	}
	return gain
}

// shrink lets cards that hold more than their part give back what others hold too.
func (s *state) shrink() []Order {
	var orders []Order
	for i := range s.cards {
		c := &s.cards[i]
		usual := s.model.Most(c.MemoryMB, Fill)
		if c.Leaving || c.Fixed || c.Held.Len() < usual+leastShrink {
			continue
		}
		span := c.Held
		for span.Len() > usual && s.held[span.To-1] > 1 {
			span.To--
		}
		for span.Len() > usual && s.held[span.From] > 1 {
			span.From++
		}
		if c.Held.Len()-span.Len() >= leastShrink {
			orders = append(orders, s.give(c, span, ReasonShrink))
		}
	}
	return orders
}

// leastShrink is the fewest layers that are worth an order.
const leastShrink = 2
