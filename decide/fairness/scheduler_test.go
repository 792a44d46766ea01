package fairness_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/fairness"
)

// serve starts n requests of the given costs by team, all waiting all the time,
// and returns the work that each had.
func serve(s *fairness.Scheduler[int], n int, cost func(team int) float64) map[int]float64 {
	work := map[int]float64{}
	for range n {
		f := s.Min(0)
		s.Charge(f, cost(f.Value))
		work[f.Value] += cost(f.Value)
	}
	return work
}

func TestShares(t *testing.T) {
	Convey("Work follows the weights, whatever a request costs", t, func() {
		s := fairness.New[int](1, 0)
		costs := []float64{10, 700, 90}
		for i, weight := range []float64{1, 2, 5} {
			s.Wake(s.Add(weight, i), 0)
		}
		work := serve(s, 20000, func(team int) float64 { return costs[team] })
		So(work[1]/work[0], ShouldAlmostEqual, 2, 0.02)
		So(work[2]/work[0], ShouldAlmostEqual, 5, 0.02)
	})
	Convey("A team saves nothing up while it idles", t, func() {
		s := fairness.New[int](1, 0)
		s.Wake(s.Add(1, 0), 0)
		idle := s.Add(1, 1)
		serve(s, 1000, func(int) float64 { return 100 })
		s.Wake(idle, 0)
		So(serve(s, 100, func(int) float64 { return 100 })[1], ShouldAlmostEqual, 5000, 100)
	})
	Convey("A team that understates its cost pays with its next turns", t, func() {
		s := fairness.New[int](1, 0)
		honest, other := s.Add(1, 0), s.Add(1, 1)
		s.Wake(honest, 0)
		s.Wake(other, 0)
		work := map[int]float64{}
		for range 1000 {
			f := s.Min(0)
			actual := 100.0
			if f == other {
				actual = 1000
			}
			s.Charge(f, 100)
			s.Correct(f, actual-100)
			work[f.Value] += actual
		}
		So(work[1]/work[0], ShouldAlmostEqual, 1, 0.05)
	})
	Convey("A team kept waiting is owed no more than the credit", t, func() {
		s := fairness.New[int](2, 500)
		kept := s.Add(1, 1)
		s.Wake(s.Add(1, 0), 0)
		s.Wake(kept, 1)
		serve(s, 100, func(int) float64 { return 100 })
		s.Wake(kept, 0)
		So(serve(s, 100, func(int) float64 { return 100 })[1], ShouldAlmostEqual, 5000+250, 100)
	})
}

func TestMinIsTheLeast(t *testing.T) {
	// The heaps of the lanes stay right whatever is woken, charged, corrected
	// or put to sleep: no flow of a lane has had less than the one that Min gives.
	rapid.Check(t, func(t *rapid.T) {
		const lanes, teams = 3, 8
		s := fairness.New[int](lanes, 1000)
		flows := make([]*fairness.Flow[int], teams)
		for i := range flows {
			flows[i] = s.Add(rapid.Float64Range(-1, 10).Draw(t, "weight"), i)
		}
		flow := func(t *rapid.T) *fairness.Flow[int] { return flows[rapid.IntRange(0, teams-1).Draw(t, "flow")] }
		lane := rapid.IntRange(0, lanes-1)
		t.Repeat(map[string]func(*rapid.T){
			"wake":    func(t *rapid.T) { s.Wake(flow(t), lane.Draw(t, "lane")) },
			"sleep":   func(t *rapid.T) { s.Sleep(flow(t), lane.Draw(t, "lane")) },
			"charge":  func(t *rapid.T) { s.Charge(flow(t), rapid.Float64Range(0, 1e4).Draw(t, "cost")) },
			"correct": func(t *rapid.T) { s.Correct(flow(t), rapid.Float64Range(-1e4, 1e4).Draw(t, "diff")) },
			"weight":  func(t *rapid.T) { flow(t).SetWeight(rapid.Float64Range(0, 10).Draw(t, "weight")) },
			"": func(t *rapid.T) {
				for l := range lanes {
					first := s.Min(l)
					for _, f := range flows {
						if f.WaitsIn(l) && (first == nil || s.Ahead(first, f) > 0) {
							t.Fatalf("lane %d: Min is not the least", l)
						}
					}
					if all := s.MinWhere(l, func(int) bool { return true }); all != first {
						t.Fatalf("lane %d: MinWhere differs", l)
					}
				}
			},
		})
	})
}
