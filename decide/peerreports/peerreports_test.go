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
		Node: node, DomainNodes: domainNodes, ReplicaCount: replicas, SuspectedCount: len(suspected),
		Known: func(r string) bool { return r != "unknown" }, Suspected: func(r string) bool { return suspected[r] },
		Reached: func(string) bool { return false },
	}
}

// Guards against a dead replica that costs each node one stream. Of forty nodes that use
// the replica, three have a stream through it and report that it is unreachable. The
// other nodes accept these reports and lose no stream.
func TestQuorumIsAccepted(t *testing.T) {
	nodes := names(40)
	var hub Aggregator
	for _, node := range nodes[:Quorum] {
		hub.Record(start, node, false, []Observation{{Replica: "r", Unreachable: true, Observers: 1}})
	}
	answer := hub.ReplyTo(start, nil, nodes[30], false)
	if len(answer) != 1 || answer[0].Observers != Quorum {
		t.Fatalf("%+v", answer)
	}
	v := Evaluate(answer, view(nodes[30], nodes, 20, nil))
	if len(v.Accept) != 1 || len(v.Verify) != 0 {
		t.Errorf("%+v", v)
	}
	if v := Evaluate(answer, view(nodes[30], nodes, 20, map[string]bool{"r": true})); len(v.Accept)+len(v.Verify) > 0 {
		t.Errorf("already suspected: %+v", v)
	}
}

// Guards against a wrong observation of a single node, for example of a node whose own
// link fails. No other node accepts the observation, and three of the forty nodes check
// the replica.
func TestSingleNodeOnlyTriggersVerification(t *testing.T) {
	nodes := names(40)
	verifying := 0
	for _, node := range nodes {
		v := Evaluate([]Observation{{Replica: "r", Unreachable: true, Observers: 1}, {Replica: "s", Slowdown: 9, Observers: 1}}, view(node, nodes, 20, nil))
		if len(v.Accept) > 0 {
			t.Fatalf("%s accepts %+v", node, v.Accept)
		}
		for _, o := range v.Verify {
			if o.Replica == "r" {
				verifying++
			}
		}
	}
	if verifying != Verifiers {
		t.Errorf("%d nodes verify, want %d", verifying, Verifiers)
	}
}

// Guards against excluding all replicas of a service when the network between nodes and
// replicas fails for many nodes at once.
func TestExclusionIsBounded(t *testing.T) {
	var observations []Observation
	for i := range 20 {
		observations = append(observations, Observation{Replica: fmt.Sprint("r", i), Unreachable: true, Observers: 30})
	}
	nodes := names(40)
	for suspectedCount, want := range map[int]int{0: 5, 3: 2, 9: 0} {
		suspected := map[string]bool{}
		for i := range suspectedCount {
			suspected[fmt.Sprint("other", i)] = true
		}
		if v := Evaluate(observations, view(nodes[0], nodes, 20, suspected)); len(v.Accept) != want {
			t.Errorf("%d of 20 are suspected: %d more accepted, want %d", suspectedCount, len(v.Accept), want)
		}
	}
}

// Guards against observations whose number of observers grows with each exchange between
// hubs. A hub sends another hub only its own observations and what it received from nodes
// that are not hubs.
func TestObservationsAreNotEchoed(t *testing.T) {
	var a, b Aggregator
	observation := []Observation{{Replica: "r", Unreachable: true, Observers: 1}}
	a.Record(start, "leaf", false, observation)
	for range 10 {
		b.Record(start, "a", true, a.ReplyTo(start, nil, "b", true))
		a.Record(start, "b", true, b.ReplyTo(start, nil, "a", true))
	}
	if got := b.FromOthers(start); len(got) != 1 || got[0].Observers != 1 {
		t.Errorf("%+v", got)
	}
	if got := a.ReplyTo(start, nil, "leaf", false); len(got) != 0 {
		t.Errorf("a node receives its own observation: %+v", got)
	}
}

// Guards against useless checks of a replica that refuses requests: the replica answers
// everything that a check could send. If fewer than Quorum nodes report the replica, no
// node checks it. If Quorum nodes report such replicas, the reports are accepted for at most
// the share MaxExcludedShare of all replicas.
func TestRefusingIsNotVerified(t *testing.T) {
	nodes := names(40)
	for _, node := range nodes {
		if v := Evaluate([]Observation{{Replica: "r", Refusing: true, Observers: Quorum - 1}}, view(node, nodes, 20, nil)); len(v.Accept)+len(v.Verify) > 0 {
			t.Fatalf("%s: %+v", node, v)
		}
	}
	var observations []Observation
	for i := range 20 {
		observations = append(observations, Observation{Replica: fmt.Sprint("r", i), Refusing: true, Observers: Quorum})
	}
	if v := Evaluate(observations, view(nodes[0], nodes, 20, nil)); len(v.Accept) != 20*MaxExcludedShare {
		t.Errorf("%d of 20 reports of refusing replicas are accepted", len(v.Accept))
	}
}

// Guards against observations that never expire because nodes pass them on.
func TestObservationsExpire(t *testing.T) {
	var b Aggregator
	b.Record(start, "leaf", false, []Observation{{Replica: "r", Unreachable: true, Observers: 1, Age: ValidFor / 2}})
	if got := b.FromOthers(start.Add(ValidFor / 4)); len(got) != 1 || got[0].Age != ValidFor*3/4 {
		t.Errorf("%+v", got)
	}
	if got := b.FromOthers(start.Add(ValidFor / 2)); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against observations that no node would send, for example with a negative age or
// with an impossible number of observers. Valid observations in the same message are
// kept.
func TestInvalidObservationsAreDropped(t *testing.T) {
	var b Aggregator
	invalid := []Observation{
		{Unreachable: true, Observers: 1}, {Replica: "r", Unreachable: true}, {Replica: "r", Unreachable: true, Observers: -1}, {Replica: "r", Unreachable: true, Observers: math.MaxInt},
		{Replica: "r", Unreachable: true, Observers: 1, Age: -time.Second}, {Replica: "r", Unreachable: true, Observers: 1, Age: time.Hour},
		{Replica: "r", Observers: 1}, {Replica: "r", Observers: 1, Slowdown: math.NaN()}, {Replica: "r", Observers: 1, Slowdown: math.Inf(1)}, {Replica: "r", Observers: 1, Slowdown: 0.5},
	}
	if dropped := b.Record(start, "leaf", false, append(invalid, Observation{Replica: "good", Slowdown: 2, Observers: 1})); dropped != len(invalid) {
		t.Errorf("%d of %d dropped", dropped, len(invalid))
	}
	if got := b.FromOthers(start); len(got) != 1 || got[0].Replica != "good" {
		t.Errorf("%+v", got)
	}
	var many []Observation
	for i := range 3 * MaxPerMessage {
		many = append(many, Observation{Replica: fmt.Sprint(i), Unreachable: true, Observers: 1})
	}
	b.Record(start, "leaf", false, many)
	if got := b.FromOthers(start); len(got) != MaxPerMessage {
		t.Errorf("%d observations are kept", len(got))
	}
	if v := Evaluate([]Observation{{Replica: "unknown", Unreachable: true, Observers: 9}}, view("n", nil, 20, nil)); len(v.Accept)+len(v.Verify) > 0 {
		t.Errorf("%+v", v)
	}
}

// Guards against a sound replica that all nodes leave out because three nodes, whose own links have
// failed, report it as unreachable.
func TestReportsAreNotAcceptedIfANodeReachesTheReplica(t *testing.T) {
	nodes := names(40)
	claim := Observation{Replica: "r", Unreachable: true, Observers: Quorum}
	for _, c := range []struct {
		name         string
		ownEvidence  bool
		observations []Observation
		wantAccept   bool
		wantVerify   int // of forty nodes
	}{
		{"nobody has reached it", false, []Observation{claim}, true, 0},
		{"another node has", false, []Observation{claim, {Replica: "r", Reached: true, Observers: 1}}, false, Verifiers},
		{"this node has, alone", true, []Observation{claim}, false, 40},
		{"this node and another have", true, []Observation{{Replica: "r", Reached: true, Observers: 1}, claim}, false, Verifiers},
		{"another replica was reached", false, []Observation{claim, {Replica: "s", Reached: true, Observers: 1}}, true, 0},
	} {
		verifying := 0
		for _, node := range nodes {
			v := view(node, nodes, 20, nil)
			v.Reached = func(string) bool { return c.ownEvidence }
			decision := Evaluate(c.observations, v)
			verifying += len(decision.Verify)
			if accepted := len(decision.Accept) > 0; accepted != c.wantAccept {
				t.Errorf("%s: accepted %+v", c.name, decision.Accept)
			}
		}
		if verifying != c.wantVerify {
			t.Errorf("%s: %d nodes verify it, want %d", c.name, verifying, c.wantVerify)
		}
	}
}

// Guards against a report of a reached replica that is lost on its way through a hub.
func TestReachedReplicasAreTold(t *testing.T) {
	var hub Aggregator
	if dropped := hub.Record(start, "n-1", false, []Observation{{Replica: "r", Reached: true, Observers: 1}}); dropped > 0 {
		t.Fatal("dropped")
	}
	hub.Record(start, "n-2", false, []Observation{{Replica: "r", Unreachable: true, Observers: 1}})
	if answer := hub.ReplyTo(start, nil, "n-3", false); len(answer) != 2 {
		t.Errorf("told %+v", answer)
	}
}
