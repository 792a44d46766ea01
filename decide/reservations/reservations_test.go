package reservations

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func held(amount float64) Held {
	return Held{Nodes: 1, Amounts: map[string]float64{"r": amount}}
}

// domain plays the exchanges of a failure domain: the first hubs nodes are hubs, the
// others each ask one.
type domain struct {
	boards []Board
	own    []float64
	hubs   int
}

func (d *domain) name(i int) string { return fmt.Sprint("n", i) }

func (d *domain) exchange(now time.Time, i int) {
	for _, hub := range d.asks(i) {
		asHub := i < d.hubs
		tells := held(d.own[i])
		if asHub {
			tells = d.boards[i].Local(now, tells)
		}
		d.boards[hub].Tell(now, d.name(i), asHub, tells)
		answer := d.boards[hub].Answer(now, held(d.own[hub]), d.name(i), asHub)
		if !asHub {
			d.boards[i].Follow(d.name(hub))
		}
		d.boards[i].Tell(now, d.name(hub), true, answer)
	}
}

func (d *domain) asks(i int) []int {
	if i >= d.hubs {
		return []int{i % d.hubs}
	}
	var others []int
	for hub := range d.hubs {
		if hub != i {
			others = append(others, hub)
		}
	}
	return others
}

// After two rounds each node knows what all others have booked, once, however many hubs
// there are.
func TestEachKnowsTheOthers(t *testing.T) {
	for _, c := range []struct{ nodes, hubs int }{{1, 1}, {2, 2}, {3, 3}, {9, 3}, {27, 3}, {5, 1}} {
		d := &domain{boards: make([]Board, c.nodes), hubs: c.hubs}
		total := 0.0
		for i := range c.nodes {
			d.own = append(d.own, float64(i+1))
			total += float64(i + 1)
		}
		now := start
		for range 2 {
			for i := range c.nodes {
				d.exchange(now, i)
			}
			now = now.Add(300 * time.Millisecond)
		}
		for i := range c.nodes {
			others := d.boards[i].Others(now)
			if others.Nodes != c.nodes-1 || others.Amounts["r"] != total-d.own[i] {
				t.Errorf("%d nodes, %d hubs: node %d knows of %d others with %v, want %v", c.nodes, c.hubs, i, others.Nodes, others.Amounts["r"], total-d.own[i])
			}
		}
	}
}

// A node dies or is cut off: what it told counts for a while and then no more. One that
// turns to another hub is not counted twice by itself.
func TestWhatWasToldEnds(t *testing.T) {
	var b Board
	b.Tell(start, "a", false, held(5))
	b.Tell(start.Add(ValidFor/2), "b", false, held(7))
	if got := b.Others(start.Add(ValidFor - 1)); got.Nodes != 2 || got.Amounts["r"] != 12 {
		t.Errorf("%+v", got)
	}
	if got := b.Others(start.Add(ValidFor)); got.Nodes != 1 || got.Amounts["r"] != 7 {
		t.Errorf("%+v", got)
	}
	b.Follow("c")
	b.Tell(start.Add(ValidFor), "c", true, Held{Nodes: 9, Amounts: map[string]float64{"r": 20}})
	if got := b.Others(start.Add(ValidFor)); got.Nodes != 9 || got.Amounts["r"] != 20 {
		t.Errorf("%+v", got)
	}
}
