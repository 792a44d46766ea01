package ruleset

import (
	"math"
	"runtime"
	"strconv"
	"testing"
	"time"
)

// Guards against load control of a service whose operator has not stated what goes first, and
// against a target wait from the objective of a less strict route.
func TestLoadControlNeedsRoutesOfDifferentPriorities(t *testing.T) {
	route := func(priority int, objective time.Duration, service string, weight int) *Route {
		return &Route{Kind: Stream, Priority: priority, LatencyObjective: objective, WeightedServices: []WeightedService{{service, weight}}}
	}
	lookup := route(0, 100*time.Millisecond, "one-priority", 1)
	lookup.Kind = Idempotent // its objective is for the whole answer
	teamPriority := 7
	r := Build(1, Limits{}, []*Service{
		{Name: "model", Model: &Model{}}, {Name: "one-priority", Model: &Model{}}, {Name: "plain"}, {Name: "no-route", Model: &Model{}}, {Name: "unused", Model: &Model{}},
	}, []*Route{
		route(1, time.Second, "model", 1), route(0, 500*time.Millisecond, "model", 1), route(1, 2*time.Second, "model", 1),
		route(2, 0, "one-priority", 1), route(2, 0, "one-priority", 1),
		route(0, time.Second, "plain", 1), route(1, time.Second, "plain", 1),
		route(0, time.Second, "unused", 1), route(1, time.Second, "unused", 0),
		route(0, time.Second, "unknown", 1), lookup,
	}, map[string]*Team{"key": {Name: "team", Priority: &teamPriority}})
	for _, s := range r.Services() {
		if s.LoadControl != (s.Name == "model") {
			t.Errorf("%s: load control %t", s.Name, s.LoadControl)
		}
		want := map[string]time.Duration{"model": 500 * time.Millisecond, "one-priority": DefaultTimeout, "unused": time.Second}[s.Name]
		if s.LatencyObjective != want {
			t.Errorf("%s: objective %v, want %v", s.Name, s.LatencyObjective, want)
		}
	}
}

// Guards against routes without an order of priority where the operator gives all teams the same
// one, and against a route that goes before a more urgent team.
func TestTeamPriorityGoesBeforeRoutePriority(t *testing.T) {
	urgentTeam, usualTeam := 0, 1
	urgent, usual, plain := &Team{Priority: &urgentTeam}, &Team{Priority: &usualTeam}, &Team{}
	first, last := &Route{Priority: 0}, &Route{Priority: 2}
	r := Build(1, Limits{}, nil, []*Route{last, first}, map[string]*Team{"a": urgent, "b": usual, "c": plain})
	order := []struct {
		team  *Team
		route *Route
	}{{urgent, first}, {urgent, last}, {usual, first}, {usual, last}, {plain, last}}
	for i, each := range order {
		if rank := r.Rank(each.team, each.route); rank != i {
			t.Errorf("rank %d, want %d", rank, i)
		}
	}
	if r.Rank(plain, first) != r.Rank(urgent, first) || r.Rank(nil, last) != r.Rank(plain, last) {
		t.Error("a team without a priority is not ranked by the route's")
	}
}

// Guards against a service without weight that gets requests since the sum of the others' weights
// overflows.
func TestWeightsWhoseSumOverflows(t *testing.T) {
	route := &Route{WeightedServices: []WeightedService{{"none", 0}, {"a", math.MaxInt}, {"b", math.MaxInt}, {"neither", 0}}}
	for random, want := range map[float64]string{0: "a", 0.49: "a", 0.51: "b", 0.999: "b", math.Nextafter(1, 0): "b"} {
		if got := route.PickService(random); got != want {
			t.Errorf("%v chooses %q, want %q", random, got, want)
		}
	}
}

// Guards against a node that runs out of memory by a configuration with many priorities, since it
// keeps all pairs of them.
func TestManyPrioritiesTakeLittleMemory(t *testing.T) {
	const many = 1500
	var routes []*Route
	teams := map[string]*Team{}
	for i := range many {
		priority := i + many/2
		routes = append(routes, &Route{Host: "h", Prefix: "/" + strconv.Itoa(i) + "/", Priority: i})
		teams[strconv.Itoa(i)] = &Team{Priority: &priority}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	r := Build(1, Limits{}, nil, routes, teams)
	runtime.ReadMemStats(&after)
	if mb := (after.TotalAlloc - before.TotalAlloc) >> 20; mb > 16 {
		t.Errorf("%d MB are allocated", mb)
	}
	// Requests of routes that are more urgent than all teams have one rank for each priority,
	// those of each team one for each route.
	for _, c := range []struct {
		team        *Team
		route, want int
	}{
		{nil, 0, 0}, {nil, 749, 749}, {teams["0"], 0, 750}, {teams["0"], many - 1, 750 + many - 1},
		{teams["1"], 0, 750 + many}, {nil, 751, 750 + many + 751},
	} {
		if got := r.Rank(c.team, routes[c.route]); got != c.want {
			t.Errorf("rank %d on route %d, want %d", got, c.route, c.want)
		}
	}
}
