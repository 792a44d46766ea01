package reroute

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// crossingEstimate is a prompt of 900 tokens that crosses twice: 53 MB over 1.4 GB a second.
func crossingEstimate(nodes int) Estimate {
	return Estimate{Bytes: 53e6, BytesPerSecond: 1.4e9, Nodes: nodes, MaxWait: maxWait}
}

// maxWait is what is left of a pause of 0.3 s.
const maxWait = 120 * time.Millisecond

// Forty streams of a failure domain lose a part at once, at two nodes that see twenty
// each. Led around one behind the other, the last would wait for three seconds. Those
// that go first fit; the others go on elsewhere, and nobody waits longer than is on time.
func TestSimultaneousLossesSplitBetweenActions(t *testing.T) {
	var links LinkBacklog
	ways := map[Action]int{}
	longest := time.Duration(0)
	for range 20 {
		load := crossingEstimate(2)
		way := links.Decide(start, true, load, true)
		ways[way]++
		if way == Bypass {
			longest = max(longest, links.TransferTime(start, load))
			links.AddTransfer(start, load)
		}
	}
	if ways[Bypass] < 1 || ways[Bypass] > 2 || ways[Stay] > 0 || longest > maxWait {
		t.Errorf("%v, the longest wait %v", ways, longest)
	}
	// Without another first replica all cross and wait their turn.
	var alone LinkBacklog
	for range 20 {
		if way := alone.Decide(start, true, crossingEstimate(2), false); way != Bypass {
			t.Fatalf("%v", way)
		}
		alone.AddTransfer(start, crossingEstimate(2))
	}
	if wait := alone.TransferTime(start, crossingEstimate(2)); wait < 1400*time.Millisecond {
		t.Errorf("the last is reckoned to wait %v", wait)
	}
}

func TestDecide(t *testing.T) {
	near := Estimate{BytesPerSecond: 1.4e9, Nodes: 6}
	for _, c := range []struct {
		name      string
		around    bool
		load      Estimate
		elsewhere bool
		want      Action
	}{
		{"in the same domains, links busy or not", true, near, true, Bypass},
		{"a single crossing of one node", true, crossingEstimate(1), true, Bypass},
		{"nine nodes in the same case", true, crossingEstimate(9), true, Migrate},
		{"the replica near has much to read", true, Estimate{BypassPrefill: 300 * time.Millisecond, MigratePrefill: 90 * time.Millisecond, MaxWait: maxWait}, true, Migrate},
		{"those elsewhere have more", true, Estimate{BypassPrefill: 300 * time.Millisecond, MigratePrefill: 400 * time.Millisecond, MaxWait: maxWait}, true, Bypass},
		{"it has read in time", true, Estimate{BypassPrefill: 100 * time.Millisecond, MigratePrefill: 10 * time.Millisecond, MaxWait: maxWait}, true, Bypass},
		{"no other first replica", true, crossingEstimate(9), false, Bypass},
		{"no way around", false, Estimate{}, true, Migrate},
		{"no way at all", false, Estimate{}, false, Stay},
		{"links without a bound", true, Estimate{Bytes: 1e12}, true, Bypass},
	} {
		var links LinkBacklog
		if got := links.Decide(start, c.around, c.load, c.elsewhere); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// What was sent over the links is through after its time.
func TestBacklogDrains(t *testing.T) {
	var links LinkBacklog
	for range 10 {
		links.AddTransfer(start, crossingEstimate(1))
	}
	if wait := links.TransferTime(start, Estimate{BytesPerSecond: 1.4e9}); wait < 370*time.Millisecond || wait > 390*time.Millisecond {
		t.Errorf("%v for 530 MB", wait)
	}
	if wait := links.TransferTime(start.Add(time.Second), Estimate{BytesPerSecond: 1.4e9}); wait != 0 {
		t.Errorf("%v a second later", wait)
	}
}

// Forty streams of two nodes run through a replica that leaves, and nobody near holds its
// layers. Sent over the links at once all of them would pause for a second; one at a time
// each waits for its own transfer, and all are through before the replica ends.
func TestDrainingStreamsCrossOneAtATime(t *testing.T) {
	var links LinkBacklog
	crossed := 0
	for at := time.Duration(0); at < 2*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		if !links.Idle(now, crossingEstimate(2)) {
			continue
		}
		if wait := links.TransferTime(now, crossingEstimate(2)); wait > 80*time.Millisecond {
			t.Errorf("at %v it would wait %v", at, wait)
		}
		links.AddTransfer(now, crossingEstimate(2))
		crossed++
	}
	if crossed < 20 {
		t.Errorf("%d of 20 streams were led away in two seconds", crossed)
	}
	if !links.Idle(start, Estimate{}) {
		t.Error("one that crosses no more often than before waits")
	}
}
