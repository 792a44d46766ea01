package reroute

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// usual is a prompt of 900 tokens that crosses twice: 53 MB over 1.4 GB a second.
func usual(nodes int) Load { return Load{Bytes: 53e6, PerSecond: 1.4e9, Nodes: nodes, Free: free} }

// free is what is left of a pause of 0.3 s.
const free = 120 * time.Millisecond

// Forty streams of a failure domain lose a part at once, at two nodes that see twenty
// each. Led around one behind the other, the last would wait for three seconds. Those
// that go first fit; the others go on elsewhere, and nobody waits longer than is on time.
func TestStormOfDetours(t *testing.T) {
	var links Links
	ways := map[Way]int{}
	longest := time.Duration(0)
	for range 20 {
		load := usual(2)
		way := links.Decide(start, true, load, true)
		ways[way]++
		if way == Around {
			longest = max(longest, links.Wait(start, load))
			links.Crossed(start, load)
		}
	}
	if ways[Around] < 1 || ways[Around] > 2 || ways[Stay] > 0 || longest > free {
		t.Errorf("%v, the longest wait %v", ways, longest)
	}
	// Without another first replica all cross and wait their turn.
	var alone Links
	for range 20 {
		if way := alone.Decide(start, true, usual(2), false); way != Around {
			t.Fatalf("%v", way)
		}
		alone.Crossed(start, usual(2))
	}
	if wait := alone.Wait(start, usual(2)); wait < 1400*time.Millisecond {
		t.Errorf("the last is reckoned to wait %v", wait)
	}
}

func TestDecide(t *testing.T) {
	near := Load{PerSecond: 1.4e9, Nodes: 6}
	for _, c := range []struct {
		name      string
		around    bool
		load      Load
		elsewhere bool
		want      Way
	}{
		{"in the same domains, links busy or not", true, near, true, Around},
		{"a single crossing of one node", true, usual(1), true, Around},
		{"nine nodes in the same case", true, usual(9), true, Elsewhere},
		{"the replica near has much to read", true, Load{Reading: 300 * time.Millisecond, Elsewhere: 90 * time.Millisecond, Free: free}, true, Elsewhere},
		{"those elsewhere have more", true, Load{Reading: 300 * time.Millisecond, Elsewhere: 400 * time.Millisecond, Free: free}, true, Around},
		{"it has read in time", true, Load{Reading: 100 * time.Millisecond, Elsewhere: 10 * time.Millisecond, Free: free}, true, Around},
		{"no other first replica", true, usual(9), false, Around},
		{"no way around", false, Load{}, true, Elsewhere},
		{"no way at all", false, Load{}, false, Stay},
		{"links without a bound", true, Load{Bytes: 1e12}, true, Around},
	} {
		var links Links
		if got := links.Decide(start, c.around, c.load, c.elsewhere); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// What was sent over the links is through after its time.
func TestLinksBecomeFree(t *testing.T) {
	var links Links
	for range 10 {
		links.Crossed(start, usual(1))
	}
	if wait := links.Wait(start, Load{PerSecond: 1.4e9}); wait < 370*time.Millisecond || wait > 390*time.Millisecond {
		t.Errorf("%v for 530 MB", wait)
	}
	if wait := links.Wait(start.Add(time.Second), Load{PerSecond: 1.4e9}); wait != 0 {
		t.Errorf("%v a second later", wait)
	}
}

// Forty streams of two nodes run through a replica that leaves, and nobody near holds its
// layers. Sent over the links at once all of them would pause for a second; one at a time
// each waits for its own transfer, and all are through before the replica ends.
func TestThoseThatHaveTimeCrossOneAtATime(t *testing.T) {
	var links Links
	crossed := 0
	for at := time.Duration(0); at < 2*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		if !links.Idle(now, usual(2)) {
			continue
		}
		if wait := links.Wait(now, usual(2)); wait > 80*time.Millisecond {
			t.Errorf("at %v it would wait %v", at, wait)
		}
		links.Crossed(now, usual(2))
		crossed++
	}
	if crossed < 20 {
		t.Errorf("%d of 20 streams were led away in two seconds", crossed)
	}
	if !links.Idle(start, Load{}) {
		t.Error("one that crosses no more often than before waits")
	}
}
