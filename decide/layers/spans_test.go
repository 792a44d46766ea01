package layers

import (
	"fmt"
	"math"
	"testing"
)

// oddSpans are spans that no plan orders: outside the model's layers, inverted, larger than any
// card, and at the limits of int.
var oddSpans = []Span{
	{0, 9}, {8, 9}, {7, 10}, {-1, 8}, {-3, 2}, {-9, -1}, {5, 3}, {3, 3}, {0, 1e9}, {0, math.MaxInt},
	{math.MinInt, math.MaxInt}, {math.MinInt, 1}, {math.MaxInt - 1, math.MaxInt}, {math.MaxInt, math.MinInt},
}

// oddModel has eight layers, of which seven fit on a card of oddCardMB.
var oddModel = Model{Layers: 8, LayerMB: 100, TokenLayerMB: 0.001}

const oddCardMB = 700

// Guards against a plan that ends the process, or leaves layers without a holder, because a replica
// reports a span that the model does not have.
func TestOddSpansDoNotStopThePlan(t *testing.T) {
	for _, span := range oddSpans {
		for _, flags := range []Replica{{}, {Fixed: true}, {Excluded: true}} {
			odd := Replica{ID: "odd", MemoryMB: oddCardMB, Held: span, Fixed: flags.Fixed, Excluded: flags.Excluded}
			sound := []Replica{
				{ID: "a", MemoryMB: oddCardMB, Held: Span{0, 4}}, {ID: "b", MemoryMB: oddCardMB, Held: Span{4, 8}}, {ID: "c", MemoryMB: oddCardMB},
			}
			for _, replicas := range [][]Replica{{odd}, append([]Replica{odd}, sound...), append([]Replica{odd}, sound[0], sound[2])} {
				orders := Plan(oddModel, replicas)
				checkOrders(t, oddModel, replicas, orders)
				if sounds := without(replicas, "odd"); len(sounds) == len(sound) && !FullyCovered(oddModel, applyOrders(sounds, orders)) {
					t.Errorf("%v: the orders %v leave layers to the odd replica alone", span, orders)
				}
			}
		}
	}
}

func checkOrders(t testing.TB, m Model, replicas []Replica, orders []Order) {
	t.Helper()
	byID := map[string]Replica{}
	for _, r := range replicas {
		byID[r.ID] = r
	}
	for _, o := range orders {
		r := byID[o.ID]
		if o.Hold.From < 0 || o.Hold.To > m.Layers || o.Hold.Empty() {
			t.Errorf("%v is outside the model", o)
		}
		if o.Hold.Len() > max(1, int(r.MemoryMB/m.LayerMB)) {
			t.Errorf("%v exceeds %v MB", o, r.MemoryMB)
		}
		if r.Fixed || r.Excluded {
			t.Errorf("%v is for a replica that takes no order", o)
		}
	}
}

// Guards against a replica that is lost for good because it was listed while another number of layers
// was in force: its layers of the present model count, and it still gets orders.
func TestReplicaOfAnotherModelSizeStaysInThePlan(t *testing.T) {
	replicas := []Replica{{ID: "a", MemoryMB: oddCardMB, Held: Span{0, 4}}, {ID: "b", MemoryMB: oddCardMB, Held: Span{4, 10}}}
	if !FullyCovered(oddModel, replicas) {
		t.Error("layers 4 to 8 of a replica that holds 4 to 10 don't count")
	}
	replicas[1].Held = Span{8, 12}
	if orders := Plan(oddModel, replicas); len(orders) == 0 || orders[0].ID != "b" {
		t.Errorf("orders %v, want one for the replica whose layers the model does not have", orders)
	}
}

// Guards against sound replicas that give up layers because an odd one claims to hold them all.
func TestSpanThatDoesNotFitTheCardReplacesNoHolder(t *testing.T) {
	replicas := []Replica{
		{ID: "a", MemoryMB: oddCardMB, Held: Span{0, 7}}, {ID: "b", MemoryMB: oddCardMB, Held: Span{1, 8}},
		{ID: "odd", MemoryMB: oddCardMB, Held: Span{0, 1e9}, Fixed: true},
	}
	if after := without(applyOrders(replicas, Plan(oddModel, replicas)), "odd"); !FullyCovered(oddModel, after) {
		t.Errorf("layers without a sound holder: %v", after)
	}
}

// Guards against tables of a size that a configuration states.
func TestModelsOfOddSize(t *testing.T) {
	for _, n := range []int{math.MinInt, -1, 0, MaxModelLayers + 1, math.MaxInt} {
		if orders := Plan(Model{Layers: n, LayerMB: 1, TokenLayerMB: 1}, []Replica{{ID: "a", MemoryMB: 7}}); len(orders) > 0 {
			t.Errorf("%d layers: %v", n, orders)
		}
	}
}

func TestSpanLengths(t *testing.T) {
	for _, c := range []struct {
		span Span
		want int
	}{{Span{2, 5}, 3}, {Span{5, 2}, 0}, {Span{}, 0}, {Span{math.MinInt, math.MaxInt}, math.MaxInt}, {Span{-1, math.MaxInt}, math.MaxInt}, {Span{math.MaxInt, math.MinInt}, 0}} {
		if got := c.span.Len(); got != c.want {
			t.Errorf("%v has %d layers, want %d", c.span, got, c.want)
		}
	}
}

// FuzzPlan draws four replicas with arbitrary spans.
func FuzzPlan(f *testing.F) {
	for _, span := range oddSpans {
		f.Add(8, 700.0, span.From, span.To, 0, 4, uint8(0))
	}
	f.Add(80, 0.0, 0, 80, 3, 90, uint8(0xff))
	f.Fuzz(func(t *testing.T, modelLayers int, memoryMB float64, from1, to1, from2, to2 int, flags uint8) {
		m := Model{Layers: modelLayers % 256, LayerMB: 100, TokenLayerMB: 0.001}
		var replicas []Replica
		for i, span := range []Span{{from1, to1}, {from2, to2}, {from1, to2}, {}} {
			fixed, excluded := flags>>(2*i)&1 == 1, flags>>(2*i)&2 == 2
			replicas = append(replicas, Replica{ID: fmt.Sprint(i), MemoryMB: memoryMB, Held: span, Fixed: fixed, Excluded: excluded})
		}
		checkOrders(t, m, replicas, Plan(m, replicas))
	})
}
