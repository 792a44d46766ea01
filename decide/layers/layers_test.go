package layers

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// model is one of 80 layers; a token takes as much in a layer as with today's sites.
var model = Model{Layers: 80, LayerMB: 1750, TokenLayerMB: 0.007375}

// Memory of the cards in use, in megabytes.
const (
	h100  = 72000
	a100s = 36000
	l4    = 21600
	t4    = 14400
)

func replicasWithMemory(memory ...float64) []Replica {
	replicas := make([]Replica, len(memory))
	for i, mb := range memory {
		replicas[i] = Replica{ID: fmt.Sprintf("r%02d", i), MemoryMB: mb}
	}
	return replicas
}

// typicalDomain is the cards of one failure typicalDomain without the fastest kind.
func typicalDomain() []Replica {
	return replicasWithMemory(a100s, l4, l4, l4, l4, l4, l4, l4, l4, t4, t4, t4)
}

// applyOrders carries orders out.
func applyOrders(replicas []Replica, orders []Order) []Replica {
	out := append([]Replica(nil), replicas...)
	for _, o := range orders {
		for i := range out {
			if out[i].ID == o.ID {
				out[i].Held = o.Hold
			}
		}
	}
	return out
}

func without(replicas []Replica, id string) []Replica {
	var out []Replica
	for _, r := range replicas {
		if r.ID != id {
			out = append(out, r)
		}
	}
	return out
}

// An empty domain gets one whole chain, with room for requests on every card and a
// second holder of some layers.
func TestFirstPlanCoversAllLayers(t *testing.T) {
	for name, cards := range map[string][]Replica{
		"one fast card": replicasWithMemory(h100, a100s, l4, l4, l4, l4, l4, t4, t4, t4, t4, t4, t4, t4),
		"no fast card":  typicalDomain(),
		"two middling":  replicasWithMemory(a100s, a100s, l4, l4, l4, l4, t4, t4, t4, t4, t4, t4, t4),
	} {
		cards = applyOrders(cards, Plan(model, cards))
		if !FullyCovered(model, cards) {
			t.Errorf("%s: not whole: %v", name, cards)
		}
		for _, c := range cards {
			if room := model.TokenCapacity(c.MemoryMB, c.Held.Len()); room < 80000 {
				t.Errorf("%s: %s holds %v, room for %.0f tokens", name, c.ID, c.Held, room)
			}
		}
	}
}

// A plan that is made again from what it has ordered changes nothing: another node
// that takes over, or the same one before replicas have reported, gives no second
// order.
func TestPlanIsStable(t *testing.T) {
	cards := typicalDomain()
	cards = applyOrders(cards, Plan(model, cards))
	if again := Plan(model, cards); len(again) > 0 {
		t.Errorf("ordered again: %v", again)
	}
}

// The callers of a domain that has lost a replica go to others, or their prompts
// cross to another domain, until its layers are held again. So whichever one is lost,
// one round of orders closes the gap.
func TestAnyLossIsRepaired(t *testing.T) {
	cards := typicalDomain()
	cards = applyOrders(cards, Plan(model, cards))
	for _, lost := range cards {
		left := without(cards, lost.ID)
		orders := Plan(model, left)
		repaired := applyOrders(left, orders)
		if !FullyCovered(model, repaired) {
			t.Errorf("%s (%v) lost: not whole after %v", lost.ID, lost.Held, orders)
		}
	}
}

// A card that takes over what its neighbour held fills up; the requests of the whole
// domain then find room on it alone for as long as it stays so. Once another card
// holds these layers too, it gives them back.
func TestExtraLayersAreGivenBack(t *testing.T) {
	cards := []Replica{
		{ID: "a", MemoryMB: l4, Held: Span{0, 11}}, // more than its part
		{ID: "b", MemoryMB: h100, Held: Span{8, 36}},
		{ID: "c", MemoryMB: h100, Held: Span{36, 64}},
		{ID: "d", MemoryMB: h100, Held: Span{52, 80}},
	}
	orders := Plan(model, cards)
	part := Span{0, model.MaxLayers(l4, TargetFill)}
	if len(orders) != 1 || orders[0].ID != "a" || orders[0].Hold != part || orders[0].Reason != ReasonShrink {
		t.Errorf("orders %v, want a to hold %v", orders, part)
	}
}

// A card that is about to leave counts for no cover: its layers are held by others
// before it has gone.
func TestExcludedReplicaIsReplaced(t *testing.T) {
	cards := typicalDomain()
	cards = applyOrders(cards, Plan(model, cards))
	for i := range cards {
		leaving := append([]Replica(nil), cards...)
		leaving[i].Excluded = true
		after := applyOrders(leaving, Plan(model, leaving))
		if !FullyCovered(model, after) {
			t.Errorf("%s leaves: not whole", leaving[i].ID)
		}
		if after[i].Held != cards[i].Held {
			t.Errorf("%s was ordered while it leaves", leaving[i].ID)
		}
	}
}

// A replica that is ordered to hold more than its memory crashes, and with it
// everything that runs through it. No history of losses and newcomers may end in such
// an order, nor in one to a card that has an order or leaves.
func TestNoOrderExceedsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cards := typicalDomain()
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			for i := range cards {
				cards[i].Excluded = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				cards[i].Fixed = rapid.IntRange(0, 9).Draw(t, "fixed") == 0
			}
			orders := Plan(model, cards)
			byID := map[string]Replica{}
			for _, c := range cards {
				byID[c.ID] = c
			}
			for _, o := range orders {
				c := byID[o.ID]
				if o.Hold.From < 0 || o.Hold.To > model.Layers || o.Hold.Empty() {
					t.Fatalf("%v is no span", o)
				}
				if float64(o.Hold.Len())*model.LayerMB > c.MemoryMB {
					t.Fatalf("%v exceeds %v MB", o, c.MemoryMB)
				}
				if c.Excluded || c.Fixed {
					t.Fatalf("%v to a card that takes none", o)
				}
			}
			cards = applyOrders(cards, orders)
			if rapid.Bool().Draw(t, "lose") && len(cards) > 4 {
				cards = cards[1:]
			} else {
				cards = append(cards, Replica{ID: fmt.Sprintf("new%02d", step), MemoryMB: l4})
			}
		}
	})
}

// Measured against equal cuts: how many whole chains' worth of room the narrowest
// layer of a domain has. Equal cuts give each card the same number of layers, so the
// small ones are full and the large ones idle.
func TestCapacityAgainstEqualSpans(t *testing.T) {
	cards := typicalDomain()
	planned := minCapacity(model, applyOrders(cards, Plan(model, cards)))
	equal := append([]Replica(nil), cards...)
	per := (model.Layers + len(equal) - 1) / len(equal)
	for i := range equal {
		equal[i].Held = Span{i * per, min(model.Layers, (i+1)*per)}
	}
	if planned < 1.5*minCapacity(model, equal) {
		t.Errorf("narrowest layer: %.0f tokens, equal cuts %.0f", planned, minCapacity(model, equal))
	}
}

// Layers stay without a holder for seconds longer than they need to: a plan orders a
// replica twice, to move to the gap and, as it now stands beside what is left of it, to
// take that too. Both orders go out at once and name the same count of orders, so the
// replica takes whichever comes first; if it is the shorter one, the rest of the gap
// waits for the next plan.
func TestNoReplicaIsOrderedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cards []Replica
		for i := range rapid.IntRange(3, 16).Draw(t, "cards") {
			c := Replica{ID: fmt.Sprintf("r%02d", i), MemoryMB: rapid.SampledFrom([]float64{h100, a100s, l4, t4}).Draw(t, "memory")}
			c.Excluded = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
			if n := model.MaxLayers(c.MemoryMB, TargetFill); rapid.IntRange(0, 3).Draw(t, "empty") > 0 {
				from := rapid.IntRange(0, model.Layers-n).Draw(t, "from")
				c.Held = Span{from, from + n}
			}
			cards = append(cards, c)
		}
		held := map[string]Span{}
		for _, c := range cards {
			held[c.ID] = c.Held
		}
		seen := map[string]bool{}
		for _, o := range Plan(model, cards) {
			if seen[o.ID] {
				t.Fatalf("%s is ordered twice", o.ID)
			}
			if o.Hold == held[o.ID] {
				t.Fatalf("%s is ordered to hold %v, which it does", o.ID, o.Hold)
			}
			seen[o.ID] = true
		}
	})
}
