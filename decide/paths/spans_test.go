package paths

import (
	"fmt"
	"math"
	"testing"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// Guards against a replica that no path uses any more, or that has an infinite cost, because of a
// slowdown that is no number or none that an engine can have.
func TestOddSlowdowns(t *testing.T) {
	for _, c := range []struct{ slowdown, want float64 }{
		{math.NaN(), 2}, {math.Inf(1), MaxSlowdown}, {math.MaxFloat64, MaxSlowdown}, {math.Inf(-1), 1}, {-3, 1}, {0, 1}, {1e-300, 1}, {3, 3},
	} {
		s := New(1)
		s.Update([]Replica{replica("only", "near", 0, 80)})
		s.SetSlowdown("only", 2)
		s.SetSlowdown("only", c.slowdown)
		if got := s.Slowdown("only"); got != c.want {
			t.Errorf("%g: slowdown %g, want %g", c.slowdown, got, c.want)
		}
		if path := choosePath(t, s, Query{Domain: "near", Tokens: 100}); len(path) != 1 {
			t.Errorf("%g: %v", c.slowdown, path)
		}
	}
}

// FuzzChoose draws replicas with arbitrary spans and figures. A path is valid, or there is none.
func FuzzChoose(f *testing.F) {
	f.Add(0, 9, 4, 8, 100000.0, 1.0)
	f.Add(-1, 8, math.MinInt, math.MaxInt, math.Inf(1), math.NaN())
	f.Add(0, int(1e9), 8, 12, 0.0, math.Inf(1))
	f.Add(5, 3, math.MaxInt, math.MinInt, -1.0, -1.0)
	f.Add(0, 4, 4, 8, math.NaN(), 1e300)
	f.Fuzz(func(t *testing.T, from1, to1, from2, to2 int, capacity, slowdown float64) {
		s := New(1)
		held := map[string]layers.Span{}
		var replicas []Replica
		for i, span := range []layers.Span{{From: from1, To: to1}, {From: from2, To: to2}, {From: from1, To: to2}, {From: 0, To: 4}, {From: 4, To: 8}} {
			r := replica(fmt.Sprint(i), "near", 0, 8)
			if r.Holds = span; i < 3 {
				r.Capacity = capacity
			}
			held[r.ID], replicas = span, append(replicas, r)
		}
		s.Update(replicas)
		s.SetSlowdown("1", slowdown)
		whole := layers.Span{To: 8}
		path, outcome := s.Choose(start, Query{Domain: "near", Layers: whole, Tokens: 100})
		if outcome != Found || !path.Covers(whole) {
			t.Fatalf("%v, %v: two sound replicas hold all layers", outcome, path)
		}
		for _, stage := range path {
			if !held[stage.Replica].Covers(stage.Layers) {
				t.Fatalf("%v runs layers outside of %v", stage, held[stage.Replica])
			}
		}
		s.Reserve(path, 100)
		s.Release(path, 100)
	})
}
