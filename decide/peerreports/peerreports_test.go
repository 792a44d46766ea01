package peerreports

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("n-%02d", i))
	}
	return list
}

func view(node string, domainNodes []string, replicas int, suspected map[string]bool) View {
	return View{
		Node: node, DomainNodes: domainNodes, Replicas: replicas, SuspectedCount: len(suspected),
		Known: func(r string) bool { return r != "unknown" }, Suspected: func(r string) bool { return suspected[r] },
	}
}

// Forty nodes send to a replica that dies, and three of them have a stream through it. The
// others take their word instead of losing a stream each.
func TestQuorumIsAccepted(t *testing.T) {
	near := names(40)
	var hub Aggregator
	for _, node := range near[:Quorum] {
		hub.Record(start, node, false, []Observation{{Replica: "r", Unreachable: true, Nodes: 1}})
	}
	answer := hub.ReplyTo(start, nil, near[30], false)
	if len(answer) != 1 || answer[0].Nodes != Quorum {
		t.Fatalf("%+v", answer)
	}
	v := Evaluate(answer, view(near[30], near, 20, nil))
	if len(v.Accept) != 1 || len(v.Verify) != 0 {
		t.Errorf("%+v", v)
	}
	if v := Evaluate(answer, view(near[30], near, 20, map[string]bool{"r": true})); len(v.Accept)+len(v.Verify) > 0 {
		t.Errorf("known already: %+v", v)
	}
}

// Guards against one node's wrong view, such as that of one whose own link fails: nobody
// takes its word, and of forty nodes three look for themselves.
func TestSingleNodeOnlyTriggersVerification(t *testing.T) {
	near := names(40)
	verifying := 0
	for _, node := range near {
		v := Evaluate([]Observation{{Replica: "r", Unreachable: true, Nodes: 1}, {Replica: "s", Slowdown: 9, Nodes: 1}}, view(node, near, 20, nil))
		if len(v.Accept) > 0 {
			t.Fatalf("%s believes %+v", node, v.Accept)
		}
		for _, c := range v.Verify {
			if c.Replica == "r" {
				verifying++
			}
		}
	}
	if verifying != Verifiers {
		t.Errorf("%d nodes look, want %d", verifying, Verifiers)
	}
}

// Guards against a service that is taken out whole because the network between nodes and
// replicas fails for many nodes at once.
func TestExclusionIsBounded(t *testing.T) {
	var observations []Observation
	for i := range 20 {
		observations = append(observations, Observation{Replica: fmt.Sprint("r", i), Unreachable: true, Nodes: 30})
	}
	near := names(40)
	for suspectedCount, want := range map[int]int{0: 5, 3: 2, 9: 0} {
		suspected := map[string]bool{}
		for i := range suspectedCount {
			suspected[fmt.Sprint("other", i)] = true
		}
		if v := Evaluate(observations, view(near[0], near, 20, suspected)); len(v.Accept) != want {
			t.Errorf("%d of 20 are lost: %d more are believed to be, want %d", suspectedCount, len(v.Accept), want)
		}
	}
}

// A hub tells another what was told to it and not what hubs told it: a claim that went
// round would count more nodes each time.
func TestObservationsAreNotEchoed(t *testing.T) {
	var a, b Aggregator
	observation := []Observation{{Replica: "r", Unreachable: true, Nodes: 1}}
	a.Record(start, "leaf", false, observation)
	for range 10 {
		b.Record(start, "a", true, a.ReplyTo(start, nil, "b", true))
		a.Record(start, "b", true, b.ReplyTo(start, nil, "a", true))
	}
	if got := b.FromOthers(start); len(got) != 1 || got[0].Nodes != 1 {
		t.Errorf("%+v", got)
	}
	if got := a.ReplyTo(start, nil, "leaf", false); len(got) != 0 {
		t.Errorf("a node is told its own claim: %+v", got)
	}
}

// Guards against rumors about replicas that turn requests away: they answer all that could
// be asked instead, so fewer than enough nodes send nobody there, and enough are believed
// for a bounded part of the replicas.
func TestRefusingIsNotVerified(t *testing.T) {
	near := names(40)
	for _, node := range near {
		if v := Evaluate([]Observation{{Replica: "r", Refusing: true, Nodes: Quorum - 1}}, view(node, near, 20, nil)); len(v.Accept)+len(v.Verify) > 0 {
			t.Fatalf("%s: %+v", node, v)
		}
	}
	var claims []Observation
	for i := range 20 {
		claims = append(claims, Observation{Replica: fmt.Sprint("r", i), Refusing: true, Nodes: Quorum})
	}
	if v := Evaluate(claims, view(near[0], near, 20, nil)); len(v.Accept) != 20*MaxExcludedShare {
		t.Errorf("%d of 20 are believed to turn requests away", len(v.Accept))
	}
}

// What was seen long ago does not count, however often it is passed on.
func TestObservationsExpire(t *testing.T) {
	var b Aggregator
	b.Record(start, "leaf", false, []Observation{{Replica: "r", Unreachable: true, Nodes: 1, Age: ValidFor / 2}})
	if got := b.FromOthers(start.Add(ValidFor / 4)); len(got) != 1 || got[0].Age != ValidFor*3/4 {
		t.Errorf("%+v", got)
	}
	if got := b.FromOthers(start.Add(ValidFor / 2)); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against claims that no node would make: dated ahead, of nobody, without end. The
// others hold.
func TestInvalidObservationsAreDropped(t *testing.T) {
	var b Aggregator
	bad := []Observation{
		{Unreachable: true, Nodes: 1}, {Replica: "r", Unreachable: true}, {Replica: "r", Unreachable: true, Nodes: -1}, {Replica: "r", Unreachable: true, Nodes: math.MaxInt},
		{Replica: "r", Unreachable: true, Nodes: 1, Age: -time.Second}, {Replica: "r", Unreachable: true, Nodes: 1, Age: time.Hour},
		{Replica: "r", Nodes: 1}, {Replica: "r", Nodes: 1, Slowdown: math.NaN()}, {Replica: "r", Nodes: 1, Slowdown: math.Inf(1)}, {Replica: "r", Nodes: 1, Slowdown: 0.5},
	}
	if dropped := b.Record(start, "leaf", false, append(bad, Observation{Replica: "good", Slowdown: 2, Nodes: 1})); dropped != len(bad) {
		t.Errorf("%d of %d dropped", dropped, len(bad))
	}
	if got := b.FromOthers(start); len(got) != 1 || got[0].Replica != "good" {
		t.Errorf("%+v", got)
	}
	var many []Observation
	for i := range 3 * MaxPerMessage {
		many = append(many, Observation{Replica: fmt.Sprint(i), Unreachable: true, Nodes: 1})
	}
	b.Record(start, "leaf", false, many)
	if got := b.FromOthers(start); len(got) != MaxPerMessage {
		t.Errorf("%d claims are kept", len(got))
	}
	if v := Evaluate([]Observation{{Replica: "unknown", Unreachable: true, Nodes: 9}}, view("n", nil, 20, nil)); len(v.Accept)+len(v.Verify) > 0 {
		t.Errorf("%+v", v)
	}
}
