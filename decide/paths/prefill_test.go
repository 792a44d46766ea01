package paths

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// threeMiddleReplicas returns a Selector for a domain in which three replicas hold the
// middle layers. Prefill takes a thousandth of a millisecond per token and layer.
func threeMiddleReplicas() *Selector {
	s := New(1)
	list := []Replica{replica("first", "d", 0, 30), replica("last", "d", 50, 80)}
	for _, id := range []string{"lost", "m1", "m2"} {
		list = append(list, replica(id, "d", 30, 50))
	}
	for i := range list {
		list[i].PrefillMillis = 0.001
	}
	s.Update(list)
	return s
}

// A replica with forty streams dies, and two others hold its layers. Selected by capacity
// alone, one of them may get more prefill than it can do in time. Both must get about half,
// and the wait must be known before the reroute is ordered.
func TestPrefillIsSharedEvenly(t *testing.T) {
	s := threeMiddleReplicas()
	previous := Path{{Replica: "first", Layers: allLayers}, {Replica: "lost", Layers: allLayers}}
	previous[0].Layers.To, previous[1].Layers.From = 30, 30
	s.Suspect(start, "lost", false)
	requestsByReplica := map[string]int{}
	var waits []time.Duration
	for range 40 {
		path := choose(t, s, Query{Domain: "d", Tokens: 1000})
		waits = append(waits, s.PrefillWait(start, path, previous, 1000, 1))
		s.AddPrefill(start, path, previous, 1000, 1)
		for _, stage := range path {
			requestsByReplica[stage.Replica]++
		}
	}
	if requestsByReplica["m1"] < 15 || requestsByReplica["m2"] < 15 {
		t.Errorf("requests by replica %v, want about half on each of m1 and m2", requestsByReplica)
	}
	// The replica "last" prefills too, because the previous path didn't run on it: 30 ms a
	// request.
	if waits[0] != 30*time.Millisecond || waits[39] != 40*30*time.Millisecond {
		t.Errorf("the first request waits %v, the last %v", waits[0], waits[39])
	}
	path := choose(t, s, Query{Domain: "d", Tokens: 1000})
	if wait := s.PrefillWait(start.Add(2*time.Second), path, previous, 1000, 1); wait != waits[0] {
		t.Errorf("wait %v after the backlog is done", wait)
	}
}

// One of two replicas that hold the lost layers has a large prefill backlog. The streams
// of the lost replica go to the other one.
func TestReplicaWithPrefillBacklogIsAvoided(t *testing.T) {
	s := threeMiddleReplicas()
	s.Suspect(start, "lost", false)
	s.AddPrefill(start, Path{{Replica: "m1", Layers: layers.Span{From: 30, To: 50}}}, nil, 50000, 1)
	for range 10 {
		for _, stage := range choose(t, s, Query{Domain: "d", Tokens: 1000}) {
			if stage.Replica == "m1" {
				t.Fatal("path goes to the replica with a second of prefill backlog")
			}
		}
	}
}

// A stage that keeps its replica and layers needs no prefill. Without a known prefill speed
// the wait is zero.
func TestUnchangedStagesNeedNoPrefill(t *testing.T) {
	s := threeMiddleReplicas()
	path := choose(t, s, Query{Domain: "d", Tokens: 1000})
	if wait := s.PrefillWait(start, path, path, 1000, 9); wait != 0 {
		t.Errorf("wait %v for an unchanged path, want 0", wait)
	}
	if wait := twoDomains().PrefillWait(start, path, nil, 1000, 9); wait != 0 {
		t.Errorf("wait %v without a known prefill speed, want 0", wait)
	}
}

// simulateReturningCallers simulates two domains with a replica each. For a quarter of a
// second, a prompt of a thousand tokens arrives in one domain each millisecond. It returns
// the longest prefill backlog. countPrefill adds the prompts to the Selector's backlog.
func simulateReturningCallers(countPrefill bool) time.Duration {
	s := New(1)
	near, far := replica("near", "near", 0, 80), replica("far", "far", 0, 80)
	near.PrefillMillis, far.PrefillMillis = 0.00005, 0.00005
	near.Capacity, far.Capacity = 1e9, 1e9
	s.Update([]Replica{near, far})
	backlogs := map[string]*prefillBacklog{"near": {}, "far": {}}
	var longest time.Duration
	for ms := range 250 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		path, _ := s.Choose(now, Query{Domain: "near", Layers: allLayers, Tokens: 1000})
		if countPrefill {
			s.AddPrefill(now, path, nil, 1000, 1)
		}
		backlog := backlogs[path[0].Replica]
		backlog.add(now, 1000*80*near.PrefillMillis)
		longest = max(longest, time.Duration(backlog.remaining(now)*float64(time.Millisecond)))
	}
	return longest
}

// All nodes of a failure domain lost power, and its callers return at once. Selected by
// free capacity alone, all prompts queue for prefill in their own domain and first events
// are late. With the prefill backlog in the cost, the surplus goes to another domain.
func TestReturningCallersSpreadByPrefillBacklog(t *testing.T) {
	longestWithCost, longestWithoutCost := simulateReturningCallers(true), simulateReturningCallers(false)
	t.Logf("longest backlog %v, %v without the cost of the backlog", longestWithCost, longestWithoutCost)
	if longestWithCost > longestWithoutCost*7/10 {
		t.Errorf("longest backlog %v, %v without the cost of the backlog", longestWithCost, longestWithoutCost)
	}
}
