package placement

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/e2e/rig"
)

// Callers who share the beginning of a prompt are sent where it is cached. The
// engine that ran it says so in its cache events; the node polls them, and the log
// line of a later call names the hint that it went by.
func TestCacheEventsAreHints(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := rig.Start(ctx, rig.Config{
		Bin: bin, Dir: t.TempDir(), Nodes: 1, Chains: 2, Plains: 1, Step: time.Millisecond,
		Layout: harness.Layout{EntryValidSeconds: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	long := strings.Repeat("barge ", 40)
	hinted := func() bool {
		for _, line := range r.Nodes[0].Lines() {
			if strings.Contains(line, "prefix held") && strings.Contains(line, "held_blocks") {
				return true
			}
		}
		return false
	}
	for !hinted() {
		answer, err := r.Caller.Chat(ctx, r.Nodes[0].Addresses.Callers, long, tokens, nil)
		if err != nil || !answer.Whole {
			t.Fatalf("%+v: %v", answer, err)
		}
	}
}
