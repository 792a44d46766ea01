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

func view(node string, near []string, replicas int, lost map[string]bool) View {
	return View{
		Node: node, Near: near, Replicas: replicas, Taken: len(lost),
		Known: func(r string) bool { return r != "unknown" }, Lost: func(r string) bool { return lost[r] },
	}
}

// Forty nodes send to a replica that dies, and three of them have a stream through it. The
// others take their word instead of losing a stream each.
func TestWhatEnoughHaveSeenIsBelieved(t *testing.T) {
	near := names(40)
	var hub Board
	for _, node := range near[:Enough] {
		hub.Tell(start, node, false, []Claim{{Replica: "r", Lost: true, Nodes: 1}})
	}
	answer := hub.Answer(start, nil, near[30], false)
	if len(answer) != 1 || answer[0].Nodes != Enough {
		t.Fatalf("%+v", answer)
	}
	v := Judge(answer, view(near[30], near, 20, nil))
	if len(v.Believe) != 1 || len(v.Look) != 0 {
		t.Errorf("%+v", v)
	}
	if v := Judge(answer, view(near[30], near, 20, map[string]bool{"r": true})); len(v.Believe)+len(v.Look) > 0 {
		t.Errorf("known already: %+v", v)
	}
}

// Guards against one node's wrong view, such as that of one whose own link fails: nobody
// takes its word, and of forty nodes three look for themselves.
func TestOneNodeConvincesNobody(t *testing.T) {
	near := names(40)
	looked := 0
	for _, node := range near {
		v := Judge([]Claim{{Replica: "r", Lost: true, Nodes: 1}, {Replica: "s", Pace: 9, Nodes: 1}}, view(node, near, 20, nil))
		if len(v.Believe) > 0 {
			t.Fatalf("%s believes %+v", node, v.Believe)
		}
		for _, c := range v.Look {
			if c.Replica == "r" {
				looked++
			}
		}
	}
	if looked != Confirmers {
		t.Errorf("%d nodes look, want %d", looked, Confirmers)
	}
}

// Guards against a service that is taken out whole because the network between nodes and
// replicas fails for many nodes at once.
func TestAFloorOfReplicasStays(t *testing.T) {
	var claims []Claim
	for i := range 20 {
		claims = append(claims, Claim{Replica: fmt.Sprint("r", i), Lost: true, Nodes: 30})
	}
	near := names(40)
	for taken, want := range map[int]int{0: 5, 3: 2, 9: 0} {
		lost := map[string]bool{}
		for i := range taken {
			lost[fmt.Sprint("other", i)] = true
		}
		if v := Judge(claims, view(near[0], near, 20, lost)); len(v.Believe) != want {
			t.Errorf("%d of 20 are lost: %d more are believed to be, want %d", taken, len(v.Believe), want)
		}
	}
}

// A hub tells another what was told to it and not what hubs told it: a claim that went
// round would count more nodes each time.
func TestClaimsDoNotGoRound(t *testing.T) {
	var a, b Board
	claim := []Claim{{Replica: "r", Lost: true, Nodes: 1}}
	a.Tell(start, "leaf", false, claim)
	for range 10 {
		b.Tell(start, "a", true, a.Answer(start, nil, "b", true))
		a.Tell(start, "b", true, b.Answer(start, nil, "a", true))
	}
	if got := b.Others(start); len(got) != 1 || got[0].Nodes != 1 {
		t.Errorf("%+v", got)
	}
	if got := a.Answer(start, nil, "leaf", false); len(got) != 0 {
		t.Errorf("a node is told its own claim: %+v", got)
	}
}

// Guards against rumors about replicas that turn requests away: they answer all that could
// be asked instead, so fewer than enough nodes send nobody there, and enough are believed
// for a bounded part of the replicas.
func TestTurningAwayIsNotLookedAt(t *testing.T) {
	near := names(40)
	for _, node := range near {
		if v := Judge([]Claim{{Replica: "r", TurnsAway: true, Nodes: Enough - 1}}, view(node, near, 20, nil)); len(v.Believe)+len(v.Look) > 0 {
			t.Fatalf("%s: %+v", node, v)
		}
	}
	var claims []Claim
	for i := range 20 {
		claims = append(claims, Claim{Replica: fmt.Sprint("r", i), TurnsAway: true, Nodes: Enough})
	}
	if v := Judge(claims, view(near[0], near, 20, nil)); len(v.Believe) != 20*MostTaken {
		t.Errorf("%d of 20 are believed to turn requests away", len(v.Believe))
	}
}

// What was seen long ago does not count, however often it is passed on.
func TestClaimsGrowOld(t *testing.T) {
	var b Board
	b.Tell(start, "leaf", false, []Claim{{Replica: "r", Lost: true, Nodes: 1, Age: ValidFor / 2}})
	if got := b.Others(start.Add(ValidFor / 4)); len(got) != 1 || got[0].Age != ValidFor*3/4 {
		t.Errorf("%+v", got)
	}
	if got := b.Others(start.Add(ValidFor / 2)); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against claims that no node would make: dated ahead, of nobody, without end. The
// others hold.
func TestClaimsThatAreNone(t *testing.T) {
	var b Board
	bad := []Claim{
		{Lost: true, Nodes: 1}, {Replica: "r", Lost: true}, {Replica: "r", Lost: true, Nodes: -1}, {Replica: "r", Lost: true, Nodes: math.MaxInt},
		{Replica: "r", Lost: true, Nodes: 1, Age: -time.Second}, {Replica: "r", Lost: true, Nodes: 1, Age: time.Hour},
		{Replica: "r", Nodes: 1}, {Replica: "r", Nodes: 1, Pace: math.NaN()}, {Replica: "r", Nodes: 1, Pace: math.Inf(1)}, {Replica: "r", Nodes: 1, Pace: 0.5},
	}
	if dropped := b.Tell(start, "leaf", false, append(bad, Claim{Replica: "good", Pace: 2, Nodes: 1})); dropped != len(bad) {
		t.Errorf("%d of %d dropped", dropped, len(bad))
	}
	if got := b.Others(start); len(got) != 1 || got[0].Replica != "good" {
		t.Errorf("%+v", got)
	}
	var many []Claim
	for i := range 3 * Most {
		many = append(many, Claim{Replica: fmt.Sprint(i), Lost: true, Nodes: 1})
	}
	b.Tell(start, "leaf", false, many)
	if got := b.Others(start); len(got) != Most {
		t.Errorf("%d claims are kept", len(got))
	}
	if v := Judge([]Claim{{Replica: "unknown", Lost: true, Nodes: 9}}, view("n", nil, 20, nil)); len(v.Believe)+len(v.Look) > 0 {
		t.Errorf("%+v", v)
	}
}
