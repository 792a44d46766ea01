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

import "math"

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

// Replica is one replica.
type Replica struct {
	ID string
	// MemoryMB holds weights and requests.
	MemoryMB float64
	// Held is the layers held, or ordered and not yet reported.
	Held Span
	// Fixed cards take no order now: one is being carried out, or they are in doubt.
	Fixed bool
	// Excluded cards count for no cover and take no order.
	Excluded bool
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
	// TargetFill is the part of a card's most layers that it is given. What is left holds some
	// hundred requests of usual size whatever the card, so that two of three domains carry
	// the load of all; a domain's cards hold more than one copy, and half of them may be
	// lost, one at a time, without a gap.
	TargetFill = 0.74
	// MaxFill bounds what a neighbour takes over: 26,000 tokens stay, about 30
	// requests of usual size.
	MaxFill = 0.9
)

// Plan returns the orders for one failure domain, one for each card that is to hold
// something else.
func Plan(model Model, replicas []Replica) []Order {
	c := newCoverage(model, replicas)
	orders := c.fillEmpty()
	if gaps := c.gaps(); len(gaps) > 0 && c.activeHolders() > 0 {
		orders = append(orders, c.repair(gaps)...)
	} else {
		orders = append(orders, c.shrink()...)
	}
	return finalOrders(orders, replicas)
}

// finalOrders leaves the last order of each card, as it stands at the end of the plan, and
// none for a card that holds that already: a card that moves to a gap may then also
// take what is left beside it. Two orders at once would name the same count of orders,
// and the card would take whichever comes first.
func finalOrders(orders []Order, replicas []Replica) []Order {
	held := make(map[string]Span, len(replicas))
	for _, r := range replicas {
		held[r.ID] = r.Held
	}
	last := make(map[string]int, len(orders))
	for i, o := range orders {
		last[o.ID] = i
	}
	var final []Order
	for i, o := range orders {
		if last[o.ID] == i && held[o.ID] != o.Hold {
			final = append(final, o)
		}
	}
	return final
}

// FullyCovered says whether each layer has a holder that is not leaving.
func FullyCovered(model Model, replicas []Replica) bool {
	return len(newCoverage(model, replicas).gaps()) == 0
}

// MaxLayers is the number of layers that a part of a card's memory holds.
func (m Model) MaxLayers(memoryMB, fill float64) int {
	most := int(memoryMB / m.LayerMB)
	return min(m.Layers, max(1, int(math.Round(float64(most)*fill))))
}

// TokenCapacity is the tokens that fit beside n layers in all of them.
func (m Model) TokenCapacity(memoryMB float64, n int) float64 {
	if n <= 0 {
		return 0
	}
	return max(0, memoryMB-float64(n)*m.LayerMB) / (float64(n) * m.TokenLayerMB)
}
