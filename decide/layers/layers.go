// Package layers decides which layers of a model each replica of a failure domain
// holds, where no replica holds them all.
//
// Use: call Plan with the present replicas; it returns the orders to give. Plan keeps no
// state, so any node can continue from what replicas report. Called again before the
// orders have been carried out, it returns no further orders as long as the caller
// passes the ordered spans in Replica.Held.
//
// # Load pattern
//
// A fleet of different cards, each too small for the model, of which some are lost,
// drained or added at any time. Requests run through all layers inside one failure
// domain, because the links between domains carry only a fraction of the data that
// passes between layers.
//
// # Failure without it
//
// With equal numbers of layers, some domains don't cover all layers or fast cards are
// idle. Cards filled completely have no memory for requests, which use what the weights
// leave. The loss of one card stops its whole domain.
//
// # Rules
//
//   - Every card holds the same fraction of the layers that fit (TargetFill), so the
//     capacity for requests is about the same on all cards and no span is the
//     bottleneck. Layers held beyond one full copy are second holders.
//   - An empty card takes the window of layers that gains most from a holder: first
//     layers without a holder, then those with the least capacity.
//   - If layers have no holder and there is no empty card, a card whose own layers all
//     have other holders moves to the gap, and the neighbours take the rest: they load
//     only the missing layers and go on serving what they hold. Neighbours that take
//     over many layers become the bottleneck of their domain, so they come second, and
//     they give layers back once another card holds them.
//   - Second holders are placed at the last layers. Requests can't be rerouted away from
//     their first replica, so a card that holds the first layers takes long to move.
//
// Nothing is moved for balance alone, because a load takes seconds of the weight store
// and interrupts the prompts that run through the card.
package layers

import "math"

// Span is the half-open range of layers from From to To.
type Span struct{ From, To int }

// Len returns the number of layers.
func (s Span) Len() int { return s.To - s.From }

// Empty reports whether the span contains no layer.
func (s Span) Empty() bool { return s.To <= s.From }

// Covers reports whether s contains all layers of t.
func (s Span) Covers(t Span) bool { return s.From <= t.From && t.To <= s.To }

// Model describes a model for the plan.
type Model struct {
	Layers int
	// LayerMB is the memory of a layer's weights and TokenLayerMB that of one token in
	// one layer, both in megabytes.
	LayerMB, TokenLayerMB float64
}

// Replica is a replica as the plan sees it.
type Replica struct {
	ID string
	// MemoryMB is the memory for weights and requests.
	MemoryMB float64
	// Held is the span that the replica holds, or was ordered to hold and has not
	// reported yet.
	Held Span
	// Fixed replicas take no order now: they carry one out, or their state is uncertain.
	Fixed bool
	// Excluded replicas don't count as holders and take no order.
	Excluded bool
}

// Order tells a replica which span to hold.
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
	// TargetFill is the fraction of the layers that fit on a replica which it is given.
	// The rest of its memory holds some hundred requests of usual size on any card, so
	// that two of three domains can carry the load of all. The replicas of a domain then
	// hold more than one copy of the model, and half of them may be lost, one at a time,
	// without a gap.
	TargetFill = 0.74
	// MaxFill bounds what a neighbour takes over. It leaves memory for 26,000 tokens,
	// about 30 requests of usual size.
	MaxFill = 0.9
)

// Plan returns the orders for one failure domain, one for each replica whose span
// changes.
func Plan(model Model, replicas []Replica) []Order {
	c := newCoverage(model, replicas)
	orders := c.fillEmpty()
	if gaps := c.gaps(); len(gaps) > 0 && c.activeHolders() > 0 {
		orders = append(orders, c.repair(gaps)...)
	} else {
		orders = append(orders, c.shrinkOverfilled()...)
	}
	return finalOrders(orders, replicas)
}

// finalOrders keeps the last order of each replica and drops orders for spans that the
// replica already holds. A replica that moves to a gap may also take the rest of the gap
// in the same plan. Two orders given at once would name the same order count, and the
// replica would accept whichever arrives first.
func finalOrders(orders []Order, replicas []Replica) []Order {
	held := make(map[string]Span, len(replicas))
	for _, r := range replicas {
		held[r.ID] = r.Held
	}
	lastIndexes := make(map[string]int, len(orders))
	for i, o := range orders {
		lastIndexes[o.ID] = i
	}
	var final []Order
	for i, o := range orders {
		if lastIndexes[o.ID] == i && held[o.ID] != o.Hold {
			final = append(final, o)
		}
	}
	return final
}

// FullyCovered reports whether each layer has a holder that is not excluded.
func FullyCovered(model Model, replicas []Replica) bool {
	return len(newCoverage(model, replicas).gaps()) == 0
}

// MaxLayers returns the number of layers that fit in a fraction of a card's memory.
func (m Model) MaxLayers(memoryMB, memoryFraction float64) int {
	fittingLayers := int(memoryMB / m.LayerMB)
	return min(m.Layers, max(1, int(math.Round(float64(fittingLayers)*memoryFraction))))
}

// TokenCapacity returns the number of tokens for which the memory beside n layers has
// room, each token in all n layers.
func (m Model) TokenCapacity(memoryMB float64, n int) float64 {
	if n <= 0 {
		return 0
	}
	return max(0, memoryMB-float64(n)*m.LayerMB) / (float64(n) * m.TokenLayerMB)
}
