// Package layers decides which layers of a model each replica of a failure domain
// holds, where no replica holds them all.
//
// Use: call Plan with the present replicas; Plan returns the orders to give. Plan keeps no
// state, so any node can continue from what replicas report. If Plan is called again before
// the orders have been carried out, Plan returns no further orders, provided that the caller
// passes the ordered spans in Replica.Held.
//
// # Terms
//
//   - A replica runs on one card, whose memory holds the weights of its layers and the KV
//     cache of requests.
//   - A span is a range of consecutive layers. A replica holds one span, or none.
//   - A replica is a holder of each layer of its span, unless it is excluded.
//   - An excluded replica takes no part in the plan: it is draining, is lost, or runs on a
//     kind of card whose memory is unknown. An excluded replica may still serve.
//   - A gap is a span of layers without a holder. The neighbours of a gap are the replicas
//     whose spans end where the gap begins, or begin where the gap ends.
//   - A redundant replica is one whose layers all have another holder.
//   - A load is the fetch of layers from the weight store.
//   - The token capacity of a replica is the number of tokens whose KV cache fits beside
//     the weights of its layers. The token capacity of a layer is the sum of the token
//     capacities of its holders.
//   - The gain of a layer from one more holder says how much Plan prefers to add a holder
//     to this layer (layerGain).
//
// # Load pattern
//
// A fleet has different kinds of cards, each too small for the model. At any time some
// replicas are lost, drained or added. Requests run through all layers inside one failure
// domain, because the links between domains can carry only a fraction of the data that
// passes between layers.
//
// # Failure without this package
//
// If all replicas hold equal numbers of layers, some domains don't cover all layers, or fast
// cards are idle. Requests use the memory that the weights leave, so a card that is filled
// with weights has no memory for requests. The loss of one replica stops its whole domain.
//
// # Rules
//
//   - Plan gives each replica the same fraction of the layers that fit on its card
//     (TargetFill). The number of layers and the memory that is left for requests are then
//     both proportional to the memory of the card, so the token capacity, which is
//     proportional to their ratio, is about the same on all replicas. Thus no
//     replica becomes the bottleneck of its domain: a replica that alone limits the number
//     of tokens in the domain. Once all layers have a holder, the remaining replicas become
//     second holders.
//   - An empty replica takes the span with the highest sum of gains: layers without a
//     holder have the highest gain, then layers with the least token capacity.
//   - If there is a gap and no empty replica, a redundant replica moves to the gap. The
//     neighbours take the rest of the gap: they load only the missing layers and go on
//     serving the layers that they hold. A neighbour that takes over many layers becomes
//     the bottleneck of its domain. So neighbours take layers of a large gap
//     (largeGapLayers) only after redundant replicas have moved to the gap. The neighbours
//     give the layers back once another replica holds these layers.
//   - If several spans are equally good for a second holder, the second holder gets the last
//     of these spans. Requests can't be rerouted away from their first replica, so a replica
//     that holds the first layers takes long to move.
//
// Plan moves no layers for balance alone, because a load occupies the weight store for
// seconds and interrupts the prompts that run through the replica.
package layers

import "math"

// Span is the range of layers from From, inclusive, to To, exclusive.
type Span struct{ From, To int }

// Len returns the number of layers of the span. It is 0 if the span is empty, and at most
// the largest int.
func (s Span) Len() int {
	if s.Empty() {
		return 0
	}
	if n := s.To - s.From; n > 0 {
		return n
	}
	return math.MaxInt // the difference exceeds an int
}

// Empty reports whether the span contains no layer.
func (s Span) Empty() bool { return s.To <= s.From }

// Covers reports whether s contains all layers of t.
func (s Span) Covers(t Span) bool { return s.From <= t.From && t.To <= s.To }

// Within returns the layers that s and bounds have in common. The result is the zero Span if
// there are none.
func (s Span) Within(bounds Span) Span {
	common := Span{max(s.From, bounds.From), min(s.To, bounds.To)}
	if common.Empty() {
		return Span{}
	}
	return common
}

// MaxModelLayers is the largest number of layers of a model, and the highest end of a span that
// a replica can state. It is several times the layers of the largest models: the memory that a plan
// takes grows with this number, its time with the square.
const MaxModelLayers = 1024

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
	// has not reported yet, Held is the span of the order. Held may be any span, see
	// Model.heldSpan.
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
	// TargetFill is the fraction of a card that Plan fills with layers: the replica on the
	// card gets this fraction of the number of layers that would fit. The rest of the memory holds
	// some hundred requests of usual size on any card, so that two of three domains can carry
	// the requests of all three. At this fraction the replicas of a domain together hold more
	// than one copy of the model. Half of the replicas may be lost, one at a time, without a
	// gap: no layer is left without a holder.
	TargetFill = 0.74
	// MaxFill is the highest fraction of a card that Plan fills with layers when the replica
	// on the card takes over layers of a gap. The rest of the memory holds 26,000 tokens, about 30
	// requests of usual size.
	MaxFill = 0.9
)

// Plan returns the orders for one failure domain, one for each replica whose span
// changes. It returns none for a model with no layers or with more than MaxModelLayers.
func Plan(model Model, replicas []Replica) []Order {
	if !model.valid() {
		return nil
	}
	c := newCoverage(model, replicas)
	orders := c.fillEmpty()
	if gaps := c.gaps(); len(gaps) > 0 && c.countHolders() > 0 {
		orders = append(orders, c.repair(gaps)...)
	} else {
		orders = append(orders, c.shrinkOverfilled()...)
	}
	return lastOrderPerReplica(orders, replicas)
}

// lastOrderPerReplica keeps the last order of each replica and drops orders for spans that the
// replica already holds. A replica that moves to a gap may also take the rest of the gap
// in the same plan, and then has two orders. Each order that is sent carries the number of
// orders that the replica has accepted so far. Two orders sent at the same time would carry
// the same number, and the replica would accept only the order that arrives first.
func lastOrderPerReplica(orders []Order, replicas []Replica) []Order {
	heldSpans := make(map[string]Span, len(replicas))
	for _, r := range replicas {
		heldSpans[r.ID] = r.Held
	}
	lastIndexes := make(map[string]int, len(orders))
	for i, o := range orders {
		lastIndexes[o.ID] = i
	}
	var final []Order
	for i, o := range orders {
		if lastIndexes[o.ID] == i && heldSpans[o.ID] != o.Hold {
			final = append(final, o)
		}
	}
	return final
}

// FullyCovered reports whether each layer of the model has a holder. Excluded replicas don't
// count as holders.
func FullyCovered(model Model, replicas []Replica) bool {
	return model.valid() && len(newCoverage(model, replicas).gaps()) == 0
}

func (m Model) valid() bool { return m.Layers > 0 && m.Layers <= MaxModelLayers }

// MaxLayers returns fillFraction times the number of layers whose weights fit in
// memoryMB. The result is rounded, and is at least 1 and at most the number of layers of the
// model.
func (m Model) MaxLayers(memoryMB, fillFraction float64) int {
	fittingLayers := int(memoryMB / m.LayerMB)
	return min(m.Layers, max(1, int(math.Round(float64(fittingLayers)*fillFraction))))
}

// heldSpan returns the part of a reported span that counts in a plan: the layers that the model
// has. A replica can report others while the configuration that is in force is older or newer
// than its layers.
//
// A span that the card has no memory for can't be held, and counts as none. Otherwise other
// replicas would give up layers that have no holder but this one. The replica may then be
// ordered to hold a span that fits.
func (m Model) heldSpan(r Replica) Span {
	fittingLayers := max(1, r.MemoryMB/m.LayerMB) // Plan orders one layer also where none fits
	if float64(r.Held.Len()) > fittingLayers {
		return Span{}
	}
	return r.Held.Within(Span{To: m.Layers})
}

// TokenCapacity returns the number of tokens whose KV cache for n layers fits in memoryMB
// beside the weights of these layers.
func (m Model) TokenCapacity(memoryMB float64, n int) float64 {
	if n <= 0 {
		return 0
	}
	return max(0, memoryMB-float64(n)*m.LayerMB) / (float64(n) * m.TokenLayerMB)
}
