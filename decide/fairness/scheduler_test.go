package fairness_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/fairness"
)

// runRequests starts n requests while every team always has a request waiting. It
// returns the total cost of the requests started per team.
func runRequests(s *fairness.Scheduler[int], n int, cost func(team int) float64) map[int]float64 {
	work := map[int]float64{}
	for range n {
		f := s.Min(0)
		s.Charge(f, cost(f.Value))
		work[f.Value] += cost(f.Value)
	}
	return work
}

func TestShares(t *testing.T) {
	Convey("The work per team is proportional to its weight, whatever a request costs", t, func() {
		s := fairness.New[int](1, 0)
		costs := []float64{10, 700, 90}
		for i, weight := range []float64{1, 2, 5} {
			s.Activate(s.Add(weight, i), 0)
		}
		work := runRequests(s, 20000, func(team int) float64 { return costs[team] })
		So(work[1]/work[0], ShouldAlmostEqual, 2, 0.02)
		So(work[2]/work[0], ShouldAlmostEqual, 5, 0.02)
	})
	Convey("An idle team does not save up credit", t, func() {
		s := fairness.New[int](1, 0)
		s.Activate(s.Add(1, 0), 0)
		idle := s.Add(1, 1)
		runRequests(s, 1000, func(int) float64 { return 100 })
		s.Activate(idle, 0)
		So(runRequests(s, 100, func(int) float64 { return 100 })[1], ShouldAlmostEqual, 5000, 100)
	})
	Convey("A team that understates its costs is charged the actual costs", t, func() {
		s := fairness.New[int](1, 0)
		accurate, understating := s.Add(1, 0), s.Add(1, 1)
		s.Activate(accurate, 0)
		s.Activate(understating, 0)
		work := map[int]float64{}
		for range 1000 {
			f := s.Min(0)
			actual := 100.0
			if f == understating {
				actual = 1000
			}
			s.Charge(f, 100)
			s.Correct(f, actual-100)
			work[f.Value] += actual
		}
		So(work[1]/work[0], ShouldAlmostEqual, 1, 0.05)
	})
	Convey("A team whose lane was blocked gains at most the credit", t, func() {
		s := fairness.New[int](2, 500)
		blocked := s.Add(1, 1)
		s.Activate(s.Add(1, 0), 0)
		s.Activate(blocked, 1)
		runRequests(s, 100, func(int) float64 { return 100 })
		s.Activate(blocked, 0)
		So(runRequests(s, 100, func(int) float64 { return 100 })[1], ShouldAlmostEqual, 5000+250, 100)
	})
}

func TestMinReturnsLeastServedFlow(t *testing.T) {
	// If a lane's heap were out of order after some sequence of calls, Min would
	// return a flow although another flow of the lane has a lower virtual time.
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
			"activate":   func(t *rapid.T) { s.Activate(flow(t), lane.Draw(t, "lane")) },
			"deactivate": func(t *rapid.T) { s.Deactivate(flow(t), lane.Draw(t, "lane")) },
			"charge":     func(t *rapid.T) { s.Charge(flow(t), rapid.Float64Range(0, 1e4).Draw(t, "cost")) },
			"correct":    func(t *rapid.T) { s.Correct(flow(t), rapid.Float64Range(-1e4, 1e4).Draw(t, "diff")) },
			"weight":     func(t *rapid.T) { flow(t).SetWeight(rapid.Float64Range(0, 10).Draw(t, "weight")) },
			"": func(t *rapid.T) {
				for l := range lanes {
					first := s.Min(l)
					for _, f := range flows {
						if f.WaitsIn(l) && (first == nil || s.VirtualTimeDiff(first, f) > 0) {
							t.Fatalf("lane %d: Min does not return the flow with the least virtual time", l)
						}
					}
					if anyFlow := s.MinWhere(l, func(int) bool { return true }); anyFlow != first {
						t.Fatalf("lane %d: MinWhere and Min return different flows", l)
					}
				}
			},
		})
	})
}
