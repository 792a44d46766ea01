package placement

import (
	"context"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/e2e/rig"
	"github.com/cicadatack/cicadatack/state/plan"
)

const (
	// slowLink is what each piece of data takes on the bad link, twice a token.
	slowLink = 20 * time.Millisecond
	// quietAsks are the answers after the move in which nothing may move again.
	quietAsks = 60
	// longTokens take over ten seconds across the bad link: about as long as a
	// gain must last before layers move.
	longTokens = 400
)

// Callers of every node get whole answers throughout. The link between two engines
// of a replica turns slow and stays so. The streams' hop times show it; after the
// gain has lasted, the node whose turn it is moves the layers to one side of the
// link, by one plan under one higher version, and the engine is ordered. A stream
// that was open all the time goes on whole. Nothing moves again.
func TestLayersLeaveABadLink(t *testing.T) {
	ctx, r := start(t, true)
	for node := range r.Nodes {
		ask(ctx, t, r, node)
	}
	before := planned(ctx, t, r)
	if len(before.Stages) != 2 {
		t.Fatalf("the first plan uses %d engines", len(before.Stages))
	}
	r.Chains[0][1].Link.Slow(slowLink)
	stop, spanned := make(chan struct{}), make(chan int, 1)
	go func() { spanned <- stayOpen(ctx, t, r, stop) }()
	moved := before
	for moved.Version == before.Version {
		for node := range r.Nodes {
			ask(ctx, t, r, node)
		}
		moved = planned(ctx, t, r)
	}
	if len(moved.Stages) != 1 {
		t.Errorf("the plan still crosses the link: %+v", moved.Stages)
	}
	for i := range quietAsks {
		ask(ctx, t, r, i%len(r.Nodes))
	}
	r.Chains[0][1].Link.Heal()
	close(stop)
	if <-spanned == 0 {
		t.Error("no answer was open while the layers moved")
	}
	if after := planned(ctx, t, r); after.Version != moved.Version {
		t.Errorf("moved again: version %d after %d", after.Version, moved.Version)
	}
	for stage, e := range r.Chains[0] {
		if harness.EngineName(0, stage) != moved.Stages[0].Endpoint {
			continue
		}
		if h := holding(ctx, t, e.Address()); h.PlacementVersion != moved.Version || h.Last != harness.Layers-1 {
			t.Errorf("the engine holds %+v, the plan is version %d", h, moved.Version)
		}
	}
}

// stayOpen keeps one long answer after the other open until stop is closed, and
// returns how many were open while the plan changed.
func stayOpen(ctx context.Context, t *testing.T, r *rig.Rig, stop <-chan struct{}) int {
	want := answerOf(longTokens)
	spanned := 0
	for {
		select {
		case <-stop:
			return spanned
		case <-ctx.Done():
			return spanned
		default:
		}
		before := planned(ctx, t, r).Version
		a, err := r.Caller.Chat(ctx, r.Nodes[0].Addresses.Callers, prompt, longTokens, nil)
		switch {
		case err != nil:
			t.Error(err)
		case a.Tokens == 0: // refused as not run; it comes back
		case !a.Whole || a.Text != want:
			t.Errorf("a long answer ended after %d tokens, whole %t: %s", a.Tokens, a.Whole, a.Error)
		case planned(ctx, t, r).Version != before:
			spanned++
		}
	}
}

// planned is the plan of the replica whose link is bad.
func planned(ctx context.Context, t *testing.T, r *rig.Rig) plan.Replica {
	t.Helper()
	record, _, err := plan.Load(ctx, r.Client, plan.Key(harness.Environment, harness.Model, "bandung"))
	if err != nil {
		t.Error(err)
	}
	return record.Replicas["replica-1"]
}
