package layers

import (
	"cmp"
	"slices"
)

// state is the cover of a domain while a plan is made.
type state struct {
	model Model
	cards []Card
	room  []float64 // tokens by layer, summed over holders
	held  []int     // holders by layer
}

func newState(model Model, cards []Card) *state {
	s := &state{
		model: model,
		cards: slices.Clone(cards),
		room:  make([]float64, model.Layers),
		held:  make([]int, model.Layers),
	}
	// Large cards first, so that small ones close the gaps that are left.
	slices.SortStableFunc(s.cards, func(a, b Card) int {
		return cmp.Or(cmp.Compare(b.MemoryMB, a.MemoryMB), cmp.Compare(a.ID, b.ID))
	})
	for i := range s.cards {
		s.count(&s.cards[i], 1)
	}
	return s
}

// count adds or takes away what a card gives to its layers.
func (s *state) count(c *Card, sign int) {
	if c.Leaving || c.Held.Empty() {
		return
	}
	room := s.model.Room(c.MemoryMB, c.Held.Len())
	for l := max(0, c.Held.From); l < min(c.Held.To, s.model.Layers); l++ {
		s.room[l] += float64(sign) * room
		s.held[l] += sign
	}
}

func (s *state) holders() int {
	n := 0
	for _, c := range s.cards {
		if !c.Leaving && !c.Held.Empty() {
			n++
		}
	}
	return n
}

// gaps returns the spans that nobody holds.
func (s *state) gaps() []Span {
	var gaps []Span
	for l := 0; l < s.model.Layers; l++ {
		if s.held[l] > 0 {
			continue
		}
		if n := len(gaps); n > 0 && gaps[n-1].To == l {
			gaps[n-1].To++
			continue
		}
		gaps = append(gaps, Span{l, l + 1})
	}
	return gaps
}

// give notes that a card is to hold a span.
func (s *state) give(c *Card, span Span, reason string) Order {
	s.count(c, -1)
	c.Held = span
	s.count(c, 1)
	return Order{ID: c.ID, Hold: span, Reason: reason}
}
