package paths

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// threeMiddleReplicas returns a Selector for a domain in which three replicas hold the
// layers 30 to 49. Prefill takes a thousandth of a millisecond per token and layer.
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

// A replica with forty streams dies, and two other replicas hold its layers. If paths were
// selected by capacity alone, one of these two might get more prefill than it can do in
// time. Each of them must get about half of the streams. PrefillWait must return how long a
// stream will wait for prefill if it is rerouted now.
func TestPrefillIsSharedEvenly(t *testing.T) {
	s := threeMiddleReplicas()
	previous := Path{{Replica: "first", Layers: allLayers}, {Replica: "lost", Layers: allLayers}}
	previous[0].Layers.To, previous[1].Layers.From = 30, 30
	s.Suspect(start, "lost", false)
	requestsByReplica := map[string]int{}
	var waits []time.Duration
	for range 40 {
		path := choosePath(t, s, Query{Domain: "d", Tokens: 1000})
		waits = append(waits, s.PrefillWait(start, path, previous, 1000, 1))
		s.AddPrefill(start, path, previous, 1000, 1)
		for _, stage := range path {
			requestsByReplica[stage.Replica]++
		}
	}
	if requestsByReplica["m1"] < 15 || requestsByReplica["m2"] < 15 {
		t.Errorf("requests by replica %v, want about half on each of m1 and m2", requestsByReplica)
	}
	// The previous path didn't run on the replica "last". So besides m1 or m2, this replica must
	// prefill every request, and needs 30 ms for each.
	if waits[0] != 30*time.Millisecond || waits[39] != 40*30*time.Millisecond {
		t.Errorf("the first request waits %v, the last %v", waits[0], waits[39])
	}
	path := choosePath(t, s, Query{Domain: "d", Tokens: 1000})
	if wait := s.PrefillWait(start.Add(2*time.Second), path, previous, 1000, 1); wait != waits[0] {
		t.Errorf("wait %v after the backlog is done", wait)
	}
}

// Two replicas hold the layers of a lost replica, and one of them has a large prefill
// backlog. The streams of the lost replica must go to the replica without a backlog.
func TestReplicaWithPrefillBacklogIsAvoided(t *testing.T) {
	s := threeMiddleReplicas()
	s.Suspect(start, "lost", false)
	s.AddPrefill(start, Path{{Replica: "m1", Layers: layers.Span{From: 30, To: 50}}}, nil, 50000, 1)
	for range 10 {
		for _, stage := range choosePath(t, s, Query{Domain: "d", Tokens: 1000}) {
			if stage.Replica == "m1" {
				t.Fatal("path goes to the replica with a second of prefill backlog")
			}
		}
	}
}

// A stage that keeps its replica and layers needs no prefill. For a replica whose prefill
// time per token is unknown, PrefillWait returns zero.
func TestUnchangedStagesNeedNoPrefill(t *testing.T) {
	s := threeMiddleReplicas()
	path := choosePath(t, s, Query{Domain: "d", Tokens: 1000})
	if wait := s.PrefillWait(start, path, path, 1000, 9); wait != 0 {
		t.Errorf("wait %v for an unchanged path, want 0", wait)
	}
	if wait := twoDomains().PrefillWait(start, path, nil, 1000, 9); wait != 0 {
		t.Errorf("wait %v without a known prefill speed, want 0", wait)
	}
}

// longestBacklogInBurst simulates a burst of prompts and returns the longest prefill backlog
// that a replica had. There are two domains with one replica each. For a quarter of a second,
// a prompt of a thousand tokens arrives each millisecond in the domain "near". With
// countPrefill, each prompt is added to the backlogs that the Selector counts.
func longestBacklogInBurst(countPrefill bool) time.Duration {
	s := New(1)
	near, far := replica("near", "near", 0, 80), replica("far", "far", 0, 80)
	near.PrefillMillis, far.PrefillMillis = 0.00005, 0.00005
	near.Capacity, far.Capacity = 1e9, 1e9
	s.Update([]Replica{near, far})
	backlogs := map[string]*prefillBacklog{"near": {}, "far": {}}
	var longestBacklog time.Duration
	for ms := range 250 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		path, _ := s.Choose(now, Query{Domain: "near", Layers: allLayers, Tokens: 1000})
		if countPrefill {
			s.AddPrefill(now, path, nil, 1000, 1)
		}
		backlog := backlogs[path[0].Replica]
		backlog.add(now, 1000*80*near.PrefillMillis)
		longestBacklog = max(longestBacklog, time.Duration(backlog.remaining(now)*float64(time.Millisecond)))
	}
	return longestBacklog
}

// All nodes of a failure domain lost power, and after the outage all callers of the domain
// return at the same time. If paths were selected by free capacity alone, all prompts would
// queue for prefill in their own domain, and the first events of the answers would be late.
// Because the prefill backlog is part of the cost, some prompts go to another domain.
func TestReturningCallersSpreadByPrefillBacklog(t *testing.T) {
	longestWithBacklogCost, longestWithoutBacklogCost := longestBacklogInBurst(true), longestBacklogInBurst(false)
	t.Logf("longest backlog %v, %v without the cost of the backlog", longestWithBacklogCost, longestWithoutBacklogCost)
	if longestWithBacklogCost > longestWithoutBacklogCost*7/10 {
		t.Errorf("longest backlog %v, %v without the cost of the backlog", longestWithBacklogCost, longestWithoutBacklogCost)
	}
}
