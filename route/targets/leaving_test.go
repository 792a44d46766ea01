package targets

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/route/replicalist"
)

// Guards against requests to a model's replica that has said that it is leaving, by all ways to
// it, until it has started anew. The requests that run through it are rerouted.
func TestReplicaThatSaysItLeavesIsInNoPath(t *testing.T) {
	m := twoStageModel()
	underway := choose(t, m, 10)
	later := underway.Path[1].Replica
	rerouted := make(chan string, 1)
	underway.Active.SetCallbacks(func(string) {}, func(replica string) { rerouted <- replica })
	for _, replica := range []string{"a1", later} {
		if !m.MarkLeaving(Target{Replica: replica}) || m.MarkLeaving(Target{Replica: replica}) {
			t.Fatalf("the first answer of %s alone is news", replica)
		}
	}
	if got := <-rerouted; got != later {
		t.Errorf("a request is rerouted around %s, want %s", got, later)
	}
	list := []*replicalist.Replica{newReplica("a1", 0, 4), newReplica("a2", 0, 4), newReplica("b1", 4, 8), newReplica("b2", 4, 8)}
	for range 2 {
		for range 5 {
			if path := choose(t, m, 10).Path; path[0].Replica != "a2" || path[1].Replica == later {
				t.Fatalf("the path is %v, want none through a1 and %s", path, later)
			}
		}
		m.Update(testModel, list, soleNode(10)) // the list shows both as ready
	}
	if !m.LayersLost("a1") {
		t.Error("nobody takes over the layers of a1")
	}
	list[0].Incarnation = 1
	m.Update(testModel, []*replicalist.Replica{list[0], list[2], list[3]}, soleNode(10))
	if got := choose(t, m, 10).Replica; got != "a1" {
		t.Errorf("the path begins at %s, want a1, which has started anew", got)
	}
}

// Guards against a load report, or a list that shows the replica as ready, that ends what a
// plain service's replica has said of its leaving.
func TestPlainReplicaThatSaysItLeavesGetsNoRequests(t *testing.T) {
	p := plainReplicas()
	p.MarkLeaving(Target{Replica: "p1"})
	list := []*replicalist.Replica{{ID: "p1", Domain: "d", Slots: 6}, {ID: "p2", Domain: "d", Slots: 6}}
	for range 2 {
		for range 10 {
			target, err := p.Choose(t.Context(), Query{})
			if err != nil || target.Replica != "p2" {
				t.Fatalf("%v, %v; want p2", target.Replica, err)
			}
			p.Finish(target, Result{Complete: true, Duration: time.Millisecond, Load: &Load{}})
		}
		p.picker.Report("p1", balance.LoadReport{})
		p.Update(list, 10, []string{"entry-1"}, 1)
	}
	p.Update(list[1:], 10, []string{"entry-1"}, 1)
	p.Update(list, 10, []string{"entry-1"}, 1)
	for range 10 {
		if target, err := p.Choose(t.Context(), Query{}); err != nil || target.Replica != "p2" {
			t.Fatalf("%v, %v; want p2 after p1 was missing for a moment", target.Replica, err)
		}
	}
}
