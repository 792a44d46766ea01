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
	var words []string
	for _, n := range list {
		words = append(words, n.Name)
	}
	return strings.Join(words, " ")
}

// Guards against a dead node that is named to callers for long, and against one that
// lives and is not named because two of its calls were lost.
func TestNodeIsListedUntilTTL(t *testing.T) {
	var r List
	r.Heartbeat(start, node(1))
	r.Heartbeat(start, node(2))
	for ms := 0; ms <= 6000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%2400 == 0 {
			r.Heartbeat(now, node(1)) // two of three calls are lost
		}
		want := "n-0001 n-0002"
		if ms >= 3000 {
			want = "n-0001"
		}
		if got := names(r.Nodes(now)); got != want {
			t.Fatalf("at %d ms: %q, want %q", ms, got, want)
		}
	}
	r.Remove("n-0001")
	if got := r.Nodes(start.Add(6 * time.Second)); len(got) != 0 {
		t.Errorf("one that leaves is listed: %v", got)
	}
}

// Guards against a fleet that names a few nodes only after it has lost power: who starts
// again goes on with the list of its last process, and drops who does not call.
func TestRestoreAfterRestart(t *testing.T) {
	var r List
	r.Heartbeat(start, node(3))
	r.Restore(start, []Node{node(1), node(2), {Name: "no address"}})
	if got := names(r.Nodes(start)); got != "n-0001 n-0002 n-0003" {
		t.Fatalf("%q", got)
	}
	later := start.Add(2 * time.Second)
	r.Heartbeat(later, node(2))
	if got := names(r.Nodes(start.Add(TTL))); got != "n-0002" {
		t.Errorf("%q", got)
	}
}

// Guards against a caller of the nodes' door who makes the list grow without end, or
// puts in it what no node would.
func TestListIsBounded(t *testing.T) {
	var r List
	for i := range 3 * MaxNodes {
		if listed := r.Heartbeat(start, node(i)); listed != (i < MaxNodes) {
			t.Fatalf("node %d is listed: %v", i, listed)
		}
	}
	if !r.Heartbeat(start.Add(TTL), node(2*MaxNodes)) {
		t.Error("no room although all others are silent")
	}
	for _, bad := range []Node{{}, {Name: "a"}, {CallerAddress: "b"}, {Name: "a", CallerAddress: "b", LinkMbps: math.NaN()}, {Name: "a", CallerAddress: "b", LinkMbps: math.Inf(1)}, {Name: strings.Repeat("x", 200), CallerAddress: "b"}, {Name: "a", CallerAddress: strings.Repeat("x", 200)}} {
		if r.Heartbeat(start, bad) {
			t.Errorf("%.20v is listed", bad)
		}
	}
}
