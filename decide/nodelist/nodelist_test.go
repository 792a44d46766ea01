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
	return Node{Name: fmt.Sprintf("n-%04d", i), Callers: fmt.Sprintf("10.1.0.%d:8000", i)}
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
func TestNodesAreListedWhileTheyAreHeard(t *testing.T) {
	var r Roll
	r.Tell(start, node(1))
	r.Tell(start, node(2))
	for ms := 0; ms <= 6000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%2400 == 0 {
			r.Tell(now, node(1)) // two of three calls are lost
		}
		want := "n-0001 n-0002"
		if ms >= 3000 {
			want = "n-0001"
		}
		if got := names(r.List(now)); got != want {
			t.Fatalf("at %d ms: %q, want %q", ms, got, want)
		}
	}
	r.Leaves("n-0001")
	if got := r.List(start.Add(6 * time.Second)); len(got) != 0 {
		t.Errorf("one that leaves is listed: %v", got)
	}
}

// Guards against a fleet that names a few nodes only after it has lost power: who starts
// again goes on with the list of its last process, and drops who does not call.
func TestStartGoesOnWithTheLastList(t *testing.T) {
	var r Roll
	r.Tell(start, node(3))
	r.Adopt(start, []Node{node(1), node(2), {Name: "no address"}})
	if got := names(r.List(start)); got != "n-0001 n-0002 n-0003" {
		t.Fatalf("%q", got)
	}
	later := start.Add(2 * time.Second)
	r.Tell(later, node(2))
	if got := names(r.List(start.Add(Lives))); got != "n-0002" {
		t.Errorf("%q", got)
	}
}

// Guards against a caller of the nodes' door who makes the list grow without end, or
// puts in it what no node would.
func TestListIsBounded(t *testing.T) {
	var r Roll
	for i := range 3 * Most {
		if listed := r.Tell(start, node(i)); listed != (i < Most) {
			t.Fatalf("node %d is listed: %v", i, listed)
		}
	}
	if !r.Tell(start.Add(Lives), node(2*Most)) {
		t.Error("no room although all others are silent")
	}
	for _, bad := range []Node{{}, {Name: "a"}, {Callers: "b"}, {Name: "a", Callers: "b", Link: math.NaN()}, {Name: "a", Callers: "b", Link: math.Inf(1)}, {Name: strings.Repeat("x", 200), Callers: "b"}, {Name: "a", Callers: strings.Repeat("x", 200)}} {
		if r.Tell(start, bad) {
			t.Errorf("%.20v is listed", bad)
		}
	}
}
