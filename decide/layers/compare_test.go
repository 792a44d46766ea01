package layers

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// leastRoom is the room at the layer that has least: as many tokens the domain can run
// at once. It is zero if some layer has no holder.
func leastRoom(m Model, cards []Card) float64 {
	s := newState(m, cards)
	least := math.Inf(1)
	for l := range m.Layers {
		if s.held[l] == 0 {
			return 0
		}
		least = min(least, s.room[l])
	}
	return least
}

// best searches all plans in which each card holds some span that it has memory for.
func best(m Model, cards []Card, at int) float64 {
	if at == len(cards) {
		return leastRoom(m, cards)
	}
	most := best(m, cards, at+1) // it holds nothing
	for n := 1; n <= m.Most(cards[at].MemoryMB, 1); n++ {
		for from := 0; from+n <= m.Layers; from++ {
			cards[at].Held = Span{from, from + n}
			most = max(most, best(m, cards, at+1))
		}
	}
	cards[at].Held = Span{}
	return most
}

// On small cases the plan is held against all that there are. It trades room for second
// holders of layers, so it may have less; where any plan is whole, it is.
func TestPlanAgainstAllPlans(t *testing.T) {
	small := Model{Layers: 5, LayerMB: 100, TokenLayerMB: 0.01}
	sum, cases := 0.0, 0
	compare := func(t *rapid.T) {
		var cards []Card
		for i := range rapid.IntRange(1, 4).Draw(t, "cards") {
			cards = append(cards, Card{ID: fmt.Sprint("r", i), MemoryMB: float64(rapid.IntRange(2, 7).Draw(t, "memory")) * 50 * 2})
		}
		planned := obey(cards, Plan(small, cards))
		for range 3 { // layers that were left over are taken by neighbours
			planned = obey(planned, Plan(small, planned))
		}
		most := best(small, slices.Clone(cards), 0)
		got := leastRoom(small, planned)
		if most == 0 {
			return
		}
		sum, cases = sum+got/most, cases+1
	}
	// Of 70 cases the mean still differs by a tenth from draw to draw.
	const perDraw = 3
	rapid.Check(t, func(t *rapid.T) {
		for range perDraw {
			compare(t)
		}
	})
	t.Logf("%d cases that can be whole with room: the plan has %.2f of the most room on the mean", cases, sum/float64(cases))
	if sum < float64(cases)/2 {
		t.Errorf("%.2f of the most room", sum/float64(cases))
	}
}

// chain gives cards their layers one after the other, each as many as its part of its
// memory holds, from the first layer again when the last is reached.
func chain(m Model, cards []Card, fill float64) []Card {
	at := 0
	for i := range cards {
		n := min(m.Most(cards[i].MemoryMB, fill), m.Layers-at)
		cards[i].Held = Span{at, at + n}
		at = (at + n) % m.Layers
	}
	return cards
}

// The plan beside the naive ones, for a domain of today's sites: what runs at once (the
// narrowest layer's room), and of how many replicas the loss leaves the domain whole.
func TestPlanAgainstNaivePlans(t *testing.T) {
	byMemory := func(cards []Card) []Card {
		slices.SortStableFunc(cards, func(a, b Card) int { return cmp.Compare(b.MemoryMB, a.MemoryMB) })
		return cards
	}
	equal := func(cards []Card, cut int) []Card {
		at := 0
		for i := range cards {
			n := min(onGrid(cards[i].MemoryMB, cut), model.Layers-at)
			cards[i].Held = Span{at, at + n}
			at = (at + n) % model.Layers
		}
		return cards
	}
	plans := []struct {
		name  string
		cards []Card
	}{
		{"the plan", obey(domain(), Plan(model, domain()))},
		{"fast cards only, filled", chain(model, byMemory(domain())[:5], 1)},
		{"one after the other, 0.9 of each", chain(model, byMemory(domain()), 0.9)},
		{"cuts at each 5", equal(byMemory(domain()), 5)},
		{"cuts at each 7", equal(byMemory(domain()), 7)},
	}
	rooms := map[string]float64{}
	for _, p := range plans {
		spare := 0
		for _, c := range p.cards {
			if Whole(model, without(p.cards, c.ID)) {
				spare++
			}
		}
		rooms[p.name] = leastRoom(model, p.cards)
		t.Logf("%-34s room %7.0f tokens, %d of %d may be lost", p.name, rooms[p.name], spare, len(p.cards))
	}
	for name, room := range rooms {
		if name != "the plan" && room > rooms["the plan"] {
			t.Errorf("%s has more room: %.0f", name, room)
		}
	}
}

// onGrid is the most layers of a card that end on a grid of cuts.
func onGrid(memoryMB float64, cut int) int {
	return max(1, model.Most(memoryMB, 1)/cut) * min(cut, model.Most(memoryMB, 1))
}
