// Package layers decides which layers of a model each replica of a failure domain
// holds, where no replica holds them all.
//
// Use: call Plan with the replicas as they are now; it returns the orders to give.
// It keeps no state, so any node can go on from what replicas report, and calling it
// again before the orders have been carried out gives the same ones, as long as the
// caller passes what it has ordered in Card.Held.
//
// # Load pattern
//
// A fleet of unlike cards, each too small for the model, of which some are lost,
// drained or added at any time. Requests run through all layers inside one failure
// domain, since the links between domains carry a fraction of what passes between
// layers.
//
// # Without it
//
// Equal cuts leave domains without a whole chain or fast cards without work; cards
// filled to the brim have no room for requests, whose memory is what is left beside
// the weights; and the loss of one card stops its whole domain.
//
// # Rules
//
//   - Every card holds the same part of what it could (Fill): the room for requests
//     of a card is then the same for all, and no span is the narrow place. What is
//     held beyond one whole copy is a second holder of some layers.
//   - An empty card takes the window of layers that needs it most: layers that
//     nobody holds first, then those with the least room.
//   - Layers that nobody holds any more, and no empty card is there to take, go to a
//     card whose own layers all have other holders, and what is left to the
//     neighbours: only the missing layers are loaded, and what the neighbours hold
//     goes on serving. Neighbours that take over much become the narrow place of
//     their domain, so they come second, and give back what another card has taken.
//   - Second holders stand at the last layers: where a request begins it can't be led
//     away from, so a card that holds the first layers is slow to move.
//
// Nothing is moved for balance alone: a load takes seconds of the weight store and
// empties the prompts that pass through.
package layers

import (
	"cmp"
	"math"
	"slices"
)

// Span is the layers from From up to but without To.
type Span struct{ From, To int }

// Len is the number of layers.
func (s Span) Len() int { return s.To - s.From }

// Empty says whether the span holds no layer.
func (s Span) Empty() bool { return s.To <= s.From }

// Covers says whether all layers of t are in s.
func (s Span) Covers(t Span) bool { return s.From <= t.From && t.To <= s.To }

// Model is what the plan needs to know of a model.
type Model struct {
	Layers int
	// LayerMB is the weight of a layer and TokenLayerMB the memory of one token in
	// one layer, both in megabytes.
	LayerMB, TokenLayerMB float64
}

// Card is one replica.
type Card struct {
	ID string
	// MemoryMB holds weights and requests.
	MemoryMB float64
	// Held is the layers held, or ordered and not yet reported.
	Held Span
	// Fixed cards take no order now: one is being carried out, or they are in doubt.
	Fixed bool
	// Leaving cards count for no cover and take no order.
	Leaving bool
}

// Order tells a replica to hold a span.
type Order struct {
	ID   string
	Hold Span
	// Reason is one of the Reason constants, for the log.
	Reason string
}

// Reasons of an order.
const (
	ReasonFill   = "empty replica"
	ReasonExtend = "neighbours take layers that nobody holds"
	ReasonMove   = "redundant replica moves to layers that nobody holds"
	ReasonShrink = "layers that others hold now are given back"
)

const (
	// Fill is the part of a card's most layers that it is given. What is left holds some
	// hundred requests of usual size whatever the card, so that two of three domains carry
	// the load of all; a domain's cards hold more than one copy, and half of them may be
	// lost, one at a time, without a gap.
	Fill = 0.70
	// MaxFill bounds what a neighbour takes over: 26,000 tokens stay, about 30
	// requests of usual size.
	MaxFill = 0.9
)

// state is the cover of a domain while a plan is made.
type state struct {
	model Model
	cards []Card
	room  []float64 // tokens by layer, summed over holders
	held  []int     // holders by layer
}

// Plan returns the orders for one failure domain, one for each card that is to hold
// something else.
func Plan(model Model, cards []Card) []Order {
	s := newState(model, cards)
	orders := s.fillEmpty()
	if gaps := s.gaps(); len(gaps) > 0 && s.holders() > 0 {
		orders = append(orders, s.repair(gaps)...)
	} else {
		orders = append(orders, s.shrink()...)
	}
	return merged(orders, cards)
}

// merged leaves the last order of each card, as it stands at the end of the plan, and
// none for a card that holds that already: a card that moves to a gap may then also
// take what is left beside it. Two orders at once would name the same count of orders,
// and the card would take whichever comes first.
func merged(orders []Order, cards []Card) []Order {
	held := make(map[string]Span, len(cards))
	for _, c := range cards {
		held[c.ID] = c.Held
	}
	last := make(map[string]int, len(orders))
	for i, o := range orders {
		last[o.ID] = i
	}
	var list []Order
	for i, o := range orders {
		if last[o.ID] == i && held[o.ID] != o.Hold {
			list = append(list, o)
		}
	}
	return list
}

// Whole says whether each layer has a holder that is not leaving.
func Whole(model Model, cards []Card) bool {
	return len(newState(model, cards).gaps()) == 0
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

// Most is the number of layers that a part of a card's memory holds.
func (m Model) Most(memoryMB, fill float64) int {
	most := int(memoryMB / m.LayerMB)
	return min(m.Layers, max(1, int(math.Round(float64(most)*fill))))
}

// Room is the tokens that fit beside n layers in all of them.
func (m Model) Room(memoryMB float64, n int) float64 {
	if n <= 0 {
		return 0
	}
	return max(0, memoryMB-float64(n)*m.LayerMB) / (float64(n) * m.TokenLayerMB)
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
