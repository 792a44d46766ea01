package reroute

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// crossingEstimate returns the estimate for a request of 900 tokens whose bypass crosses
// twice: a transfer of 53 MB at 1.4 GB a second.
func crossingEstimate(nodeCount int) Estimate {
	return Estimate{Bytes: 53e6, BytesPerSecond: 1.4e9, Nodes: nodeCount, MaxWait: maxWait}
}

// maxWait is the part of an allowed pause of 0.3 s that is left when the loss has been
// detected.
const maxWait = 120 * time.Millisecond

// Forty streams of a failure domain lose a stage at once, twenty at each of two nodes. If
// all of them bypass the lost replica, their transfers follow one after the other, and the
// last stream waits for about 1.5 s. So the first streams bypass, the others migrate,
// and no stream waits longer than allowed.
func TestSimultaneousLossesSplitBetweenActions(t *testing.T) {
	var links LinkBacklog
	actionCounts := map[Action]int{}
	longestWait := time.Duration(0)
	for range 20 {
		estimate := crossingEstimate(2)
		action := links.Decide(start, true, estimate, true)
		actionCounts[action]++
		if action == Bypass {
			longestWait = max(longestWait, links.TransferTime(start, estimate))
			links.AddTransfer(start, estimate)
		}
	}
	if actionCounts[Bypass] < 1 || actionCounts[Bypass] > 2 || actionCounts[Stay] > 0 || longestWait > maxWait {
		t.Errorf("actions %v, longest wait %v", actionCounts, longestWait)
	}
	// If no stream can migrate, all streams bypass, and their transfers queue.
	var bypassOnlyLinks LinkBacklog
	for range 20 {
		if action := bypassOnlyLinks.Decide(start, true, crossingEstimate(2), false); action != Bypass {
			t.Fatalf("action %v without another first replica", action)
		}
		bypassOnlyLinks.AddTransfer(start, crossingEstimate(2))
	}
	if wait := bypassOnlyLinks.TransferTime(start, crossingEstimate(2)); wait < 1400*time.Millisecond {
		t.Errorf("the last stream waits %v", wait)
	}
}

func TestDecide(t *testing.T) {
	noAddedCrossings := Estimate{BytesPerSecond: 1.4e9, Nodes: 6}
	for _, c := range []struct {
		name       string
		canBypass  bool
		estimate   Estimate
		canMigrate bool
		want       Action
	}{
		{"no added crossings", true, noAddedCrossings, true, Bypass},
		{"a single crossing by one node", true, crossingEstimate(1), true, Bypass},
		{"crossings by nine nodes", true, crossingEstimate(9), true, Migrate},
		{"the prefill on the bypass is too long", true, Estimate{BypassPrefill: 300 * time.Millisecond, MigratePrefill: 90 * time.Millisecond, MaxWait: maxWait}, true, Migrate},
		{"the prefill after a migration is longer", true, Estimate{BypassPrefill: 300 * time.Millisecond, MigratePrefill: 400 * time.Millisecond, MaxWait: maxWait}, true, Bypass},
		{"the prefill on the bypass is on time", true, Estimate{BypassPrefill: 100 * time.Millisecond, MigratePrefill: 10 * time.Millisecond, MaxWait: maxWait}, true, Bypass},
		{"no other first replica", true, crossingEstimate(9), false, Bypass},
		{"no bypass", false, Estimate{}, true, Migrate},
		{"no bypass and no migration", false, Estimate{}, false, Stay},
		{"links without a limit", true, Estimate{Bytes: 1e12}, true, Bypass},
	} {
		var links LinkBacklog
		if got := links.Decide(start, c.canBypass, c.estimate, c.canMigrate); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The backlog of transfers shrinks at the bandwidth of the links.
func TestBacklogDrains(t *testing.T) {
	var links LinkBacklog
	for range 10 {
		links.AddTransfer(start, crossingEstimate(1))
	}
	if wait := links.TransferTime(start, Estimate{BytesPerSecond: 1.4e9}); wait < 370*time.Millisecond || wait > 390*time.Millisecond {
		t.Errorf("transfer time %v for 530 MB", wait)
	}
	if wait := links.TransferTime(start.Add(time.Second), Estimate{BytesPerSecond: 1.4e9}); wait != 0 {
		t.Errorf("transfer time %v a second later", wait)
	}
}

// Forty streams of two nodes run through a draining replica, and no other replica of the
// domain holds its layers. If all streams cross at once, each pauses for a second. If they
// cross one at a time, each waits only for its own transfer. All streams must have left the
// replica before it stops.
func TestStreamsLeaveDrainingReplicaOneAtATime(t *testing.T) {
	var links LinkBacklog
	crossedStreams := 0
	for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += 10 * time.Millisecond {
		now := start.Add(elapsed)
		if !links.Idle(now, crossingEstimate(2)) {
			continue
		}
		if wait := links.TransferTime(now, crossingEstimate(2)); wait > 80*time.Millisecond {
			t.Errorf("at %v a stream would wait %v", elapsed, wait)
		}
		links.AddTransfer(now, crossingEstimate(2))
		crossedStreams++
	}
	if crossedStreams < 20 {
		t.Errorf("%d of 20 streams moved within two seconds", crossedStreams)
	}
	if !links.Idle(start, Estimate{}) {
		t.Error("a stream without added crossings must not wait")
	}
}
