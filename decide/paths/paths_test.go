package paths

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/layers"
)

var (
	start     = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)
	allLayers = layers.Span{To: 80}
)

func replica(id, domain string, from, to int) Replica {
	return Replica{
		ID: id, Address: id, Domain: domain, Holds: layers.Span{From: from, To: to},
		Capacity: 100000 * float64(to-from), LayerMillis: 0.17,
	}
}

// twoDomains has a whole chain in each; near holds the middle twice.
func twoDomains() *Selector {
	b := New(1)
	b.Update([]Replica{
		replica("n1", "near", 0, 30), replica("n2", "near", 30, 60), replica("n3", "near", 60, 80),
		replica("n4", "near", 25, 62),
		replica("f1", "far", 0, 40), replica("f2", "far", 40, 80),
	})
	return b
}

func choose(t *testing.T, b *Selector, q Query) Path {
	t.Helper()
	q.Layers = allLayers
	path, reason := b.Choose(start, q)
	if reason != Found {
		t.Fatalf("no path: %v", reason)
	}
	if !path.Covers(allLayers) {
		t.Fatalf("%v does not run each layer once and in order", path)
	}
	return path
}

func domainsIn(path Path) map[string]bool {
	in := map[string]bool{}
	for _, part := range path {
		in[part.Domain] = true
	}
	return in
}

// A path stays in the node's own domain while that has a whole chain: what passes
// between layers is many times what passes to the caller, and the pipe between
// domains is shared by all.
func TestPathStaysInDomain(t *testing.T) {
	path := choose(t, twoDomains(), Query{Domain: "near", Tokens: 1000})
	if in := domainsIn(path); len(in) != 1 || !in["near"] {
		t.Errorf("path %v leaves its domain", path)
	}
}

// The caller of a domain that has lost some layers sees nothing of it: its requests
// run wholly in another domain, not through it and back at every token.
func TestLostLayersMoveWholePathToOtherDomain(t *testing.T) {
	b := twoDomains()
	b.Suspect(start, "n3", false)
	path := choose(t, b, Query{Domain: "near", Tokens: 1000})
	if in := domainsIn(path); len(in) != 1 || !in["far"] {
		t.Errorf("path %v, want one in the far domain", path)
	}
}

// Where no domain is whole any more, a path crosses: slow is better than refused.
func TestPathCrossesWhenNoDomainHoldsAllLayers(t *testing.T) {
	b := twoDomains()
	b.Suspect(start, "n3", false)
	b.Suspect(start, "f1", false)
	path := choose(t, b, Query{Domain: "near", Tokens: 1000})
	if len(domainsIn(path)) != 2 {
		t.Errorf("path %v", path)
	}
}

// A replica that says that it is slower than its kind is left alone while another
// holds its layers.
func TestSlowReplicaIsAvoided(t *testing.T) {
	b := twoDomains()
	b.SetSlowdown("n2", 12)
	for _, part := range choose(t, b, Query{Domain: "near", Tokens: 1000}) {
		if part.Replica == "n2" {
			t.Errorf("it goes through the slow replica")
		}
	}
}

// Requests fill two holders of the same layers at about the same rate, whatever their
// speed: were the fast one taken alone, it would preempt its newest request while the
// slow one stands empty.
func TestFastAndSlowReplicasFillEvenly(t *testing.T) {
	b := New(1)
	fast, slow := replica("fast", "d", 0, 80), replica("slow", "d", 0, 80)
	fast.LayerMillis = 0.015
	b.Update([]Replica{fast, slow})
	count := map[string]int{}
	for range 120 {
		path := choose(t, b, Query{Domain: "d", Tokens: 1000})
		b.Reserve(path, 1000)
		count[path[0].Replica]++
	}
	if count["slow"] < 30 || count["fast"] < count["slow"] {
		t.Errorf("fast %d, slow %d", count["fast"], count["slow"])
	}
}

// What does not fit is refused before it is sent, and fits again when others end.
func TestFullReplicasAreNotChosen(t *testing.T) {
	b := New(1)
	b.Update([]Replica{replica("r", "d", 0, 80)})
	var reserved []Path
	for range 200 {
		path, reason := b.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 1000})
		if reason == NoCapacity {
			break
		}
		b.Reserve(path, 1000)
		reserved = append(reserved, path)
	}
	if len(reserved) < 100 || len(reserved) > 115 {
		t.Fatalf("%d requests of 1,000 tokens in a room of 100,000", len(reserved))
	}
	for _, path := range reserved {
		b.Release(path, 1000)
	}
	choose(t, b, Query{Domain: "d", Tokens: 1000})
}

// Two nodes fill one replica, each without seeing the other's bookings. Refusals teach
// each to take less; when they end, the room comes back within seconds.
func TestRejectionsLowerUsableCapacity(t *testing.T) {
	b := New(1)
	b.Update([]Replica{replica("r", "d", 0, 80)})
	now := start
	fits := func(now time.Time) bool {
		_, reason := b.Choose(now, Query{Domain: "d", Layers: allLayers, Tokens: 30000})
		return reason == Found
	}
	b.Reserve(choose(t, b, Query{Domain: "d", Tokens: 70000}), 70000)
	if !fits(now) {
		t.Fatal("it does not fit before the refusals")
	}
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		b.RecordRejection(now, "r")
	}
	if fits(now) {
		t.Error("as much of the room is reckoned with after ten refusals")
	}
	if !fits(now.Add(10 * time.Second)) {
		t.Error("the room has not come back after ten seconds without a refusal")
	}
}

// A request goes on at the replica that was handed it, and the new part does not hold
// that one's layers again.
func TestChooseRemainingLayers(t *testing.T) {
	b := twoDomains()
	rest, reason := b.Choose(start, Query{Domain: "near", Layers: layers.Span{From: 30, To: 80}, Tokens: 10, Exclude: []string{"n1", "n2"}})
	if reason != Found || !rest.Covers(layers.Span{From: 30, To: 80}) || rest[0].Replica != "n4" {
		t.Errorf("%v, %v", rest, reason)
	}
}

func TestFirstReplicasRestrictsFirstStage(t *testing.T) {
	b := twoDomains()
	if path := choose(t, b, Query{Domain: "near", Tokens: 10, FirstReplicas: []string{"f1"}}); path[0].Replica != "f1" {
		t.Errorf("%v", path)
	}
}

// A suspicion lasts until the replica is reached; a new life under the same id is
// another replica.
func TestSuspicionEnds(t *testing.T) {
	b := New(1)
	r := replica("r", "d", 0, 80)
	b.Update([]Replica{r})
	if !b.Suspect(start, "r", false) || b.Suspect(start, "r", false) {
		t.Error("a second sign is no news")
	}
	if !b.SuspectedFor(start.Add(time.Second), "r", 600*time.Millisecond) || b.SuspectedFor(start, "r", 600*time.Millisecond) {
		t.Error("it counts as lost after the time, and not before")
	}
	if _, reason := b.Choose(start, Query{Domain: "d", Layers: allLayers}); reason != LayersUnavailable {
		t.Errorf("reason %v", reason)
	}
	b.MarkAlive("r")
	choose(t, b, Query{Domain: "d", Tokens: 1})
	b.Suspect(start, "r", false)
	r.Incarnation++
	b.Update([]Replica{r})
	choose(t, b, Query{Domain: "d", Tokens: 1})
}

// A replica was started anew under its address and holds nothing, while the list still
// says that it does. It refuses; asking its machine whether it answers would send the
// next request there again. Its next account of itself counts.
func TestReplicaMissingListedLayersIsSkipped(t *testing.T) {
	b := New(1)
	r := replica("r", "d", 0, 80)
	b.Update([]Replica{r})
	b.MarkLayersMissing("r")
	b.MarkAlive("r")
	b.Update([]Replica{r})
	if _, reason := b.Choose(start, Query{Domain: "d", Layers: allLayers}); reason != LayersUnavailable {
		t.Errorf("reason %v", reason)
	}
	r.Revision++
	b.Update([]Replica{r})
	choose(t, b, Query{Domain: "d", Tokens: 1})
}

// Whatever the replicas hold, a path that is given runs every layer once and in
// order, names no replica twice and only what each holds: engines check none of it,
// and an answer made along another path would be wrong.
func TestEveryPathIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(7)
		holds := map[string]layers.Span{}
		var replicas []Replica
		for i := range rapid.IntRange(1, 25).Draw(t, "replicas") {
			from := rapid.IntRange(0, 75).Draw(t, "from")
			to := rapid.IntRange(from+1, 80).Draw(t, "to")
			r := replica(fmt.Sprint("r", i), []string{"a", "b", "c"}[rapid.IntRange(0, 2).Draw(t, "domain")], from, to)
			r.LayerMillis = rapid.SampledFrom([]float64{0.015, 0.03, 0.17}).Draw(t, "speed")
			r.Draining = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			holds[r.ID] = r.Holds
			replicas = append(replicas, r)
		}
		b.Update(replicas)
		for range 20 {
			path, reason := b.Choose(start, Query{Domain: "a", Layers: allLayers, Tokens: 3000})
			if reason != Found {
				return
			}
			if !path.Covers(allLayers) || len(path) > MaxStages {
				t.Fatalf("unsound: %v", path)
			}
			for _, part := range path {
				if !holds[part.Replica].Covers(part.Layers) {
					t.Fatalf("%v holds %v", part, holds[part.Replica])
				}
			}
			b.Reserve(path, 3000)
		}
	})
}

// simulateNodes is n nodes of one failure domain before one replica with room for 100 requests;
// the first node has half of the callers. Each books what it may, a request at a time in
// turn, and tells the others after each round if they exchange bookings.
func simulateNodes(n int, shareReservations bool) (reserved float64, first float64) {
	books := make([]*Selector, n)
	for i := range books {
		books[i] = New(uint64(i + 1))
		books[i].Update([]Replica{replica("r", "d", 0, 80)})
		books[i].SetShare("d", 1/float64(n))
	}
	sends := func(i, round int) bool { return i == 0 || round%(n-1) == i-1 }
	for round := range 40 * n {
		for i, b := range books {
			if !sends(i, round) {
				continue
			}
			if path, reason := b.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 1000}); reason == Found {
				b.Reserve(path, 1000)
			}
		}
		if !shareReservations {
			continue
		}
		for i, b := range books {
			others := 0.0
			for j, other := range books {
				if j != i {
					others += other.Reserved()["r"]
				}
			}
			b.SetPeerReservations("d", n-1, map[string]float64{"r": others})
		}
	}
	for _, b := range books {
		reserved += b.Reserved()["r"] / 80000
	}
	return reserved, books[0].Reserved()["r"] / 80000
}

// Nine nodes share a replica and one of them has half of the callers. By even parts its
// callers are refused while the others' parts stand half empty, until those fill too;
// where nodes tell each other what they have booked, the room goes to whoever asks, and
// no more is booked than by the parts.
func TestSharedReservationsGiveBusyNodeMoreCapacity(t *testing.T) {
	static, staticBusy := simulateNodes(9, false)
	shared, sharedBusy := simulateNodes(9, true)
	t.Logf("by parts %.0f requests, %.0f of the busy node; told %.0f and %.0f", static, staticBusy, shared, sharedBusy)
	if sharedBusy < 3*staticBusy {
		t.Errorf("the busy node has %.0f requests, %.0f by parts", sharedBusy, staticBusy)
	}
	if shared < 95 || shared > 112 {
		t.Errorf("%.0f requests in a room for 100 to 110", shared)
	}
}

// All nodes find the same room free at once. Until they have told each other what they
// took, no more than a little is booked beyond what there is.
func TestNodesDoNotOverfillFreeCapacity(t *testing.T) {
	const n = 20
	total := 0.0
	for i := range n {
		b := New(uint64(i + 1))
		b.Update([]Replica{replica("r", "d", 0, 80)})
		b.SetShare("d", 1.0/n)
		b.SetPeerReservations("d", n-1, map[string]float64{"r": 60000 * 80})
		for range 100 {
			if path, reason := b.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 1000}); reason == Found {
				b.Reserve(path, 1000)
			}
		}
		total += b.Reserved()["r"] / 80
	}
	if total > 110000 {
		t.Errorf("%.0f tokens booked where 50,000 were free", total)
	}
	// A request that is larger than the node's parts is taken while half of the room is free.
	b := New(1)
	b.Update([]Replica{replica("r", "d", 0, 80)})
	b.SetShare("d", 1.0/n)
	b.SetPeerReservations("d", n-1, map[string]float64{"r": 60000 * 80})
	if _, reason := b.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 20000}); reason != Found {
		t.Errorf("a large request: %v", reason)
	}
	if _, reason := b.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 60000}); reason != NoCapacity {
		t.Errorf("one larger than the room: %v", reason)
	}
}

// requestsToRejecting plays one holder of a domain's layers that refuses all it is sent for three
// seconds, with a request each 20 ms, and returns how many were sent to it.
func requestsToRejecting(useBackoff bool) (sent int) {
	b := twoDomains()
	for ms := 0; ms < 3000; ms += 20 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		path, reason := b.Choose(now, Query{Domain: "near", Layers: allLayers, Tokens: 1000})
		if reason != Found {
			continue
		}
		for _, part := range path {
			if part.Replica != "n3" {
				continue
			}
			sent++
			if useBackoff {
				b.RecordRejection(now, "n3")
			} else {
				b.Avoid(now, "n3")
			}
		}
	}
	return sent
}

// A replica is about to leave, and the store that would tell is away. It refuses all it is
// sent, and answers all who ask whether it lives. Without the rule every
// node sends one there each 150 ms for as long as the store is away, and each costs a try
// that others need.
func TestRejectingReplicaIsBackedOff(t *testing.T) {
	with, without := requestsToRejecting(true), requestsToRejecting(false)
	t.Logf("%d sent, %d without the rule", with, without)
	if with > 6 || without < 3*with {
		t.Errorf("%d sent, %d without the rule", with, without)
	}
}

// A replica whose room is booked refuses for want of it, and is not taken for one that
// turns requests away.
func TestFullReplicaIsNotBackedOff(t *testing.T) {
	b := New(1)
	b.Update([]Replica{replica("r", "d", 0, 80)})
	if !b.RecordRejection(start, "r") {
		t.Error("an empty one refuses, and that says nothing")
	}
	later := start.Add(time.Second)
	b.Reserve(chooseLarge(t, b, later), 80000)
	if b.RecordRejection(later, "r") {
		t.Error("a full one counts as one that turns away")
	}
}

func chooseLarge(t *testing.T, b *Selector, now time.Time) Path {
	t.Helper()
	path, reason := b.Choose(now, Query{Domain: "d", Layers: allLayers, Tokens: 80000})
	if reason != Found {
		t.Fatalf("no path: %v", reason)
	}
	return path
}

// Nobody else holds the layers of one that turns requests away: those who come wait for it
// instead of being told that there is no holder.
func TestOnlyHolderInBackoffReportsNoCapacity(t *testing.T) {
	b := New(1)
	b.Update([]Replica{replica("r", "d", 0, 80)})
	b.RecordRejection(start, "r")
	if _, reason := b.Choose(start, Query{Domain: "d", Layers: allLayers, Tokens: 1000}); reason != NoCapacity {
		t.Errorf("%v, want %v", reason, NoCapacity)
	}
	chooseLarge(t, b, start.Add(backoffBase))
}
