package paths

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
)

// threeMiddleReplicas is a domain whose middle layers three replicas hold; a token is read there in
// a thousandth of a millisecond a layer.
func threeMiddleReplicas() *Selector {
	b := New(1)
	list := []Replica{replica("first", "d", 0, 30), replica("last", "d", 50, 80)}
	for _, id := range []string{"lost", "m1", "m2"} {
		list = append(list, replica(id, "d", 30, 50))
	}
	for i := range list {
		list[i].PrefillMillis = 0.001
	}
	b.Update(list)
	return b
}

// A replica dies under forty streams, and two others hold its layers. Chosen by room alone
// either may be given more than it reads in time; both share the reading evenly, and how
// long it takes is known before it is ordered.
func TestPrefillIsSharedEvenly(t *testing.T) {
	b := threeMiddleReplicas()
	previous := Path{{Replica: "first", Layers: allLayers}, {Replica: "lost", Layers: allLayers}}
	previous[0].Layers.To, previous[1].Layers.From = 30, 30
	b.Suspect(start, "lost", false)
	count := map[string]int{}
	var waits []time.Duration
	for range 40 {
		path := choose(t, b, Query{Domain: "d", Tokens: 1000})
		waits = append(waits, b.PrefillWait(start, path, previous, 1000, 1))
		b.AddPrefill(start, path, previous, 1000, 1)
		for _, part := range path {
			count[part.Replica]++
		}
	}
	if count["m1"] < 15 || count["m2"] < 15 {
		t.Errorf("%v", count)
	}
	// The last replica reads too, as the path before ended elsewhere: 30 ms a request.
	if waits[0] != 30*time.Millisecond || waits[39] != 40*30*time.Millisecond {
		t.Errorf("the first waits %v, the last %v", waits[0], waits[39])
	}
	path := choose(t, b, Query{Domain: "d", Tokens: 1000})
	if wait := b.PrefillWait(start.Add(2*time.Second), path, previous, 1000, 1); wait != waits[0] {
		t.Errorf("%v when all is read", wait)
	}
}

// One of two replicas that hold the lost layers has much to read already. Those that go on
// take the other one.
func TestReplicaWithPrefillBacklogIsAvoided(t *testing.T) {
	b := threeMiddleReplicas()
	b.Suspect(start, "lost", false)
	b.AddPrefill(start, Path{{Replica: "m1", Layers: layers.Span{From: 30, To: 50}}}, nil, 50000, 1)
	for range 10 {
		for _, part := range choose(t, b, Query{Domain: "d", Tokens: 1000}) {
			if part.Replica == "m1" {
				t.Fatal("it goes to the replica that reads for a second")
			}
		}
	}
}

// What keeps its replica and layers reads nothing again, and what is not told costs
// nothing.
func TestUnchangedStagesNeedNoPrefill(t *testing.T) {
	b := threeMiddleReplicas()
	path := choose(t, b, Query{Domain: "d", Tokens: 1000})
	if wait := b.PrefillWait(start, path, path, 1000, 9); wait != 0 {
		t.Errorf("%v for the same path", wait)
	}
	if wait := twoDomains().PrefillWait(start, path, nil, 1000, 9); wait != 0 {
		t.Errorf("%v where no replica's speed is known", wait)
	}
}

// simulateReturningCallers plays two domains with a replica each, a prompt of a thousand tokens a
// millisecond for a quarter of a second in one of them, and returns for how long the last
// of all is read behind the others.
func simulateReturningCallers(countPrefill bool) time.Duration {
	b := New(1)
	near, far := replica("near", "near", 0, 80), replica("far", "far", 0, 80)
	near.PrefillMillis, far.PrefillMillis = 0.00005, 0.00005
	near.Capacity, far.Capacity = 1e9, 1e9
	b.Update([]Replica{near, far})
	backlogs := map[string]*prefillBacklog{"near": {}, "far": {}}
	var slowest time.Duration
	for ms := range 250 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		path, _ := b.Choose(now, Query{Domain: "near", Layers: allLayers, Tokens: 1000})
		if countPrefill {
			b.AddPrefill(now, path, nil, 1000, 1)
		}
		backlog := backlogs[path[0].Replica]
		backlog.add(now, 1000*80*near.PrefillMillis)
		slowest = max(slowest, time.Duration(backlog.remaining(now)*float64(time.Millisecond)))
	}
	return slowest
}

// All nodes of a failure domain lost power, and its callers come back at once. Chosen by
// room alone, which is free, all are read one after the other at home, and first events are
// late; reckoned with, those who would wait are read elsewhere.
func TestReturningCallersSpreadByPrefillBacklog(t *testing.T) {
	with, without := simulateReturningCallers(true), simulateReturningCallers(false)
	t.Logf("the last waits %v, %v without the rule", with, without)
	if with > without*7/10 {
		t.Errorf("the last waits %v, %v without the rule", with, without)
	}
}
