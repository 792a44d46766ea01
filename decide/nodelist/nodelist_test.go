package nodelist

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func node(i int) Node {
	return Node{Name: fmt.Sprintf("n-%04d", i), CallerAddress: fmt.Sprintf("10.1.0.%d:8000", i)}
}

func names(list []Node) string {
	var nodeNames []string
	for _, n := range list {
		nodeNames = append(nodeNames, n.Name)
	}
	return strings.Join(nodeNames, " ")
}

// Guards against a dead node that callers are still told to connect to. Also guards
// against removing a live node because two of its heartbeats in a row were lost.
func TestNodeIsListedUntilTTL(t *testing.T) {
	var l List
	l.Heartbeat(start, node(1))
	l.Heartbeat(start, node(2))
	for ms := 0; ms <= 6000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%2400 == 0 {
			l.Heartbeat(now, node(1)) // two of three heartbeats are lost
		}
		want := "n-0001 n-0002"
		if ms >= 3000 {
			want = "n-0001"
		}
		if got := names(l.Nodes(now)); got != want {
			t.Fatalf("at %d ms: %q, want %q", ms, got, want)
		}
	}
	l.Remove("n-0001")
	if got := l.Nodes(start.Add(6 * time.Second)); len(got) != 0 {
		t.Errorf("a node that has left is listed: %v", got)
	}
}

// Guards against a fleet that names only a few nodes to callers after a loss of power. A
// restarted node continues with the list of its previous process and drops the nodes that
// send no heartbeat.
func TestRestoreAfterRestart(t *testing.T) {
	var l List
	l.Heartbeat(start, node(3))
	l.Restore(start, []Node{node(1), node(2), {Name: "no address"}})
	if got := names(l.Nodes(start)); got != "n-0001 n-0002 n-0003" {
		t.Fatalf("%q", got)
	}
	later := start.Add(2 * time.Second)
	l.Heartbeat(later, node(2))
	if got := names(l.Nodes(start.Add(TTL))); got != "n-0002" {
		t.Errorf("%q", got)
	}
}

// Guards against a client of the API between nodes that makes the list grow without
// bound, or adds invalid nodes.
func TestListIsBounded(t *testing.T) {
	var l List
	for i := range 3 * MaxNodes {
		if listed := l.Heartbeat(start, node(i)); listed != (i < MaxNodes) {
			t.Fatalf("node %d is listed: %v", i, listed)
		}
	}
	if !l.Heartbeat(start.Add(TTL), node(2*MaxNodes)) {
		t.Error("the list is full although all other nodes have expired")
	}
	for _, invalid := range []Node{{}, {Name: "a"}, {CallerAddress: "b"}, {Name: "a", CallerAddress: "b", LinkMbps: math.NaN()}, {Name: "a", CallerAddress: "b", LinkMbps: math.Inf(1)}, {Name: strings.Repeat("x", 200), CallerAddress: "b"}, {Name: "a", CallerAddress: strings.Repeat("x", 200)}} {
		if l.Heartbeat(start, invalid) {
			t.Errorf("%.20v is listed", invalid)
		}
	}
}
