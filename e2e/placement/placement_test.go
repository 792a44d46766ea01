package placement

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/e2e/rig"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	timeout = 60 * time.Second
	// comeBack is the pause of a caller that is told to come back.
	comeBack = 100 * time.Millisecond
	tokens   = 12
	prompt   = "Which barge goes first at slack tide?"
)

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cicadatack-placement-")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	bin = dir
	out, err := exec.Command("go", "build", "-o", dir, "github.com/cicadatack/cicadatack/node/cmd/...").CombinedOutput()
	code := 1
	if err != nil {
		fmt.Printf("%v: %s\n", err, out)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// openLayers leaves every cut to the planner.
func openLayers(doc *document.Document) {
	for _, s := range doc.Services {
		if s.Model == nil {
			continue
		}
		for _, r := range s.Model.Replicas {
			for i := range r.Stages {
				r.Stages[i].Layers = nil
			}
		}
	}
}

func start(t *testing.T, checkFencing bool) (context.Context, *rig.Rig) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	r, err := rig.Start(ctx, rig.Config{
		Bin: bin, Dir: t.TempDir(), Nodes: 3, Chains: 2, Plains: 1, Step: time.Millisecond, CheckFencing: checkFencing,
		Layout: harness.Layout{EntryValidSeconds: 1, Adjust: openLayers},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return ctx, r
}

// ask comes back as long as the caller is told that the call was not run, and
// fails the test at any answer that is not the model's.
func ask(ctx context.Context, t *testing.T, r *rig.Rig, node int) {
	t.Helper()
	want := answerOf(tokens)
	for ctx.Err() == nil {
		a, err := r.Caller.Chat(ctx, r.Nodes[node].Addresses.Callers, prompt, tokens, nil)
		switch {
		case err != nil:
			t.Fatal(err)
		case a.Whole && a.Text == want:
			return
		case !strings.HasPrefix(want, a.Text):
			t.Fatalf("the caller got %q, want %q", a.Text, want)
		}
		time.Sleep(comeBack)
	}
	t.Fatal("no whole answer came")
}

// A document names engines without saying which layers they hold. One node
// plans, the store agrees, the engines are ordered, and callers of every node
// get whole answers; until then they are told that their calls were not run.
func TestOpenLayersArePlanned(t *testing.T) {
	ctx, r := start(t, true)
	for node := range r.Nodes {
		ask(ctx, t, r, node)
	}
	for _, chain := range r.Chains {
		for _, e := range chain {
			if version := holding(ctx, t, e.Address()).PlacementVersion; version == 0 {
				t.Errorf("an engine holds what no plan says: version %d", version)
			}
		}
	}
}

// Someone else tells an engine to hold all layers, under a higher number. The
// check at use keeps work from it: no caller gets a token with layers run twice.
// The planning node sees the difference and orders anew; an engine that checks
// fencing numbers refuses until the plan has a number above the foreign one.
func TestForeignOrderIsUndone(t *testing.T) {
	for _, checkFencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("checks fencing %t", checkFencing), func(t *testing.T) {
			ctx, r := start(t, checkFencing)
			ask(ctx, t, r, 0)
			e := r.Chains[0][0]
			planned := holding(ctx, t, e.Address())
			foreign := planned
			foreign.Last = harness.Layers - 1
			foreign.PlacementVersion += 5
			if err := e.Engine.Order(engineapi.Order(foreign)); err != nil {
				t.Fatal(err)
			}
			for holding(ctx, t, e.Address()).Last != planned.Last {
				ask(ctx, t, r, 0)
			}
			ask(ctx, t, r, 0)
			after := holding(ctx, t, e.Address()).PlacementVersion
			if checkFencing && after <= foreign.PlacementVersion {
				t.Errorf("the engine took version %d after %d", after, foreign.PlacementVersion)
			}
		})
	}
}

// answerOf is the model's answer to the prompt.
func answerOf(tokens int) string {
	return strings.Join(engine.Answer(harness.Layers, []engineapi.Message{{Role: "user", Content: prompt}}, tokens), "")
}

func holding(ctx context.Context, t *testing.T, address string) engineapi.Holding {
	t.Helper()
	report, err := rig.Engines.HoldingReport(ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	return report.Holding
}
