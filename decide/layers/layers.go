// Package layers decides which layers of a model each replica of a failure domain
// holds, where no replica holds them all.
//
// Use: call Plan with the present replicas; it returns the orders to give. Plan keeps no
// state, so any node can continue from what replicas report. Called again before the
// orders have been carried out, it returns no further orders as long as the caller
// passes the ordered spans in Replica.Held.
//
// # Terms
//
//   - A span is a range of consecutive layers. A replica holds one span, or none.
//   - A replica is a holder of each layer of its span, unless it is excluded.
//   - An excluded replica takes no part in the plan: it is draining, lost, or of a kind of
//     card with unknown memory. It may still serve.
//   - A gap is a span of layers without a holder. The neighbours of a gap are the replicas
//     whose spans end where the gap begins, or begin where the gap ends.
//   - A redundant replica is one whose layers all have another holder.
//   - The token capacity of a replica is the number of tokens whose KV cache fits beside
//     the weights of its layers. The capacity of a layer is the sum of those of its
//     holders.
//
// # Load pattern
//
// A fleet has different kinds of cards, each too small for the model. At any time some
// cards are lost, drained or added. Requests run through all layers inside one failure
// domain, because the links between domains can carry only a fraction of the data that
// passes between layers.
//
// # Failure without this package
//
// If all cards hold equal numbers of layers, some domains don't cover all layers, or fast
// cards are idle. Requests use the memory that the weights leave, so a card that is filled
// with weights has none for requests. The loss of one card stops its whole domain.
//
// # Rules
//
//   - Every card holds the same fraction of the layers that fit on it (TargetFill), so
//     the token capacity is about the same on all cards. No card is the bottleneck, which
//     limits the number of tokens of its whole domain. Cards beyond one full copy of the
//     model become second holders of layers.
//   - An empty card takes the window of layers with the highest gain from one more
//     holder: first layers without a holder, then layers with the least capacity.
//   - If there is a gap and no empty card, a redundant card moves to the gap. The
//     neighbours take the rest of the gap: they load only the missing layers and go on
//     serving the layers that they hold. A neighbour that takes over many layers becomes
//     the bottleneck of its domain. So neighbours take layers of a large gap
//     (smallGapLayers) only after cards have moved there. The neighbours give the layers
//     back once another card holds them.
//   - Second holders are placed at the last layers. Requests can't be rerouted away from
//     their first replica, so a card that holds the first layers takes long to move.
//
// Plan moves no layers for balance alone, because a load occupies the weight store for
// seconds and interrupts the prompts that run through the card.
package layers

import "math"

// Span is the range of layers from From, inclusive, to To, exclusive.
type Span struct{ From, To int }

func (s Span) Len() int { return s.To - s.From }

// Empty reports whether the span contains no layer.
func (s Span) Empty() bool { return s.To <= s.From }

// Covers reports whether s contains all layers of t.
func (s Span) Covers(t Span) bool { return s.From <= t.From && t.To <= s.To }

// Model describes the number and memory of a model's layers.
type Model struct {
	Layers int
	// LayerMB is the memory of one layer's weights, and TokenLayerMB is the memory of one
	// token's KV cache in one layer. Both are in megabytes.
	LayerMB, TokenLayerMB float64
}

// Replica is what Plan needs to know of a replica, which runs on one card.
type Replica struct {
	ID string
	// MemoryMB is the memory of the card for weights and requests, in megabytes.
	MemoryMB float64
	// Held is the span that the replica reports. If the replica has an order whose span it
	// has not reported yet, Held is the span of the order.
	Held Span
	// Fixed replicas count as holders but get no order now, because an earlier order is not
	// finished or its outcome is not known.
	Fixed bool
	// Excluded replicas don't count as holders and get no order.
	Excluded bool
}

// Order tells a replica which span to hold.
type Order struct {
	ID   string
	Hold Span
	// Reason is one of the Reason constants. It is written to the log.
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
	// TargetFill is the fraction of the layers that fit on a card which Plan gives to its
	// replica. The rest of the memory holds some hundred requests of usual size on any
	// card, so that two of three domains can carry the load of all three. The replicas of a
	// domain then hold more than one copy of the model. Half of them may be lost, one at a
	// time, without a gap.
	TargetFill = 0.74
	// MaxFill is the fraction of the layers that fit on a card which a neighbour may hold
	// after it has taken over layers of a gap. It leaves memory for 26,000 tokens, about 30
	// requests of usual size.
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
// in the same plan, and then has two orders. Two orders sent at once would carry the same
// order count, and the replica would accept the one that arrives first.
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

// FullyCovered reports whether each layer of the model has a holder. Excluded replicas don't
// count as holders.
func FullyCovered(model Model, replicas []Replica) bool {
	return len(newCoverage(model, replicas).gaps()) == 0
}

// MaxLayers returns the given fraction of the number of layers whose weights fit in
// memoryMB: rounded, at least 1 and at most all layers of the model.
func (m Model) MaxLayers(memoryMB, memoryFraction float64) int {
	fittingLayers := int(memoryMB / m.LayerMB)
	return min(m.Layers, max(1, int(math.Round(float64(fittingLayers)*memoryFraction))))
}

// TokenCapacity returns the number of tokens whose KV cache for n layers fits in memoryMB
// beside the weights of these layers.
func (m Model) TokenCapacity(memoryMB float64, n int) float64 {
	if n <= 0 {
		return 0
	}
	return max(0, memoryMB-float64(n)*m.LayerMB) / (float64(n) * m.TokenLayerMB)
}
