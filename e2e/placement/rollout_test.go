package placement

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/e2e/rig"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// layerMegabytes at weightRate take layerLoad: a replica's eight layers one
	// second, and six replicas six.
	layerMegabytes = 4
	weightRate     = 32
	layerLoad      = time.Second * layerMegabytes / weightRate
	rolloutTokens  = 40
	callersPerNode = 3
)

// versioned is a site whose document names a version and an adapter.
type versioned struct {
	*rig.Rig
	version atomic.Value // string
}

func startVersioned(t *testing.T, checkFencing bool) (context.Context, *versioned) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*timeout)
	t.Cleanup(cancel)
	v := &versioned{}
	v.version.Store("v1")
	var err error
	v.Rig, err = rig.Start(ctx, rig.Config{
		Bin: bin, Dir: t.TempDir(), Nodes: 3, Chains: 6, Plains: 1, Step: time.Millisecond, CheckFencing: checkFencing,
		Layout: harness.Layout{EntryValidSeconds: 1, Adjust: v.adjust},
		AdjustEngine: func(cfg *engine.Config) {
			cfg.LayerLoad, cfg.AdapterLoad = layerLoad, layerLoad
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	return ctx, v
}

func (v *versioned) adjust(doc *document.Document) {
	openLayers(doc)
	doc.Policy.WeightMegabytesPerSecond = weightRate
	m := doc.Services[0].Model
	m.LayerMegabytes = layerMegabytes
	m.Version = v.version.Load().(string)
	m.Adapters = []document.Adapter{{Name: "notes", Version: "1", Bytes: layerMegabytes << 20, Replicas: 1}}
}

// on says whether every engine holds a version and takes streams.
func (v *versioned) on(ctx context.Context, t *testing.T, version string) bool {
	for _, chain := range v.Chains {
		for _, e := range chain {
			if h := holding(ctx, t, e.Address()); h.Weights != version || h.Role != engineapi.RoleBoth {
				return false
			}
		}
	}
	return true
}

func answerOn(a engineapi.Artifact) string {
	return strings.Join(engine.AnswerBy(a, harness.Layers, []engineapi.Message{{Role: "user", Content: prompt}}, rolloutTokens), "")
}

// traffic is callers of every node, one call after the other each.
type traffic struct {
	done  chan struct{}
	all   sync.WaitGroup
	mu    sync.Mutex
	calls int
	fails []string
}

func (v *versioned) callers(ctx context.Context, adapter string, right ...string) *traffic {
	tr := &traffic{done: make(chan struct{})}
	caller := *v.Caller
	caller.Adapter = adapter
	for _, n := range v.Nodes {
		for range callersPerNode {
			tr.all.Go(func() {
				for {
					select {
					case <-tr.done:
						return
					default:
					}
					a, err := caller.Chat(ctx, n.Addresses.Callers, prompt, rolloutTokens, nil)
					tr.note(a, err, right)
				}
			})
		}
	}
	return tr
}

func (tr *traffic) note(a harness.Answer, err error, right []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.calls++
	switch {
	case err != nil:
		tr.fails = append(tr.fails, err.Error())
	case !a.Whole:
		tr.fails = append(tr.fails, string(a.Outcome)+" "+a.Error)
	case !slices.Contains(right, a.Text):
		tr.fails = append(tr.fails, "an answer of no version: "+a.Text)
	}
}

func (tr *traffic) stop(t *testing.T) {
	close(tr.done)
	tr.all.Wait()
	t.Logf("%d calls, %d failed", tr.calls, len(tr.fails))
	for i, f := range tr.fails {
		if i < 5 {
			t.Error(f)
		}
	}
}

// Callers of every node get whole answers, each of one version, all through a
// roll-out, whether the engines check fencing numbers or not. Each failure domain
// takes one of its two replicas, lets it finish, loads it at the weight store's rate
// and goes on with the other; an answer whose replica is gone goes on where the old
// version is.
func TestVersionRollsOutUnderTraffic(t *testing.T) {
	for _, checkFencing := range []bool{true, false} {
		t.Run(map[bool]string{true: "engines that check", false: "engines that do not"}[checkFencing], func(t *testing.T) {
			ctx, v := startVersioned(t, checkFencing)
			for !v.on(ctx, t, "v1") {
				time.Sleep(comeBack)
			}
			first := time.Now()
			tr := v.callers(ctx, "", answerOn(engineapi.Artifact{Weights: "v1"}), answerOn(engineapi.Artifact{Weights: "v2"}))
			v.version.Store("v2")
			if err := v.Promote(ctx, 2); err != nil {
				t.Fatal(err)
			}
			for !v.on(ctx, t, "v2") {
				if ctx.Err() != nil {
					t.Fatal("the roll-out has no end")
				}
				time.Sleep(comeBack)
			}
			t.Logf("in force after %v; the weight store's rate alone takes %v", time.Since(first), 6*harness.Layers*layerLoad)
			tr.stop(t)
		})
	}
}

// Callers of an adapter are refused as not run until a replica holds it, then get
// its answers from every node. Its engines, which check nothing, lose it and tell
// nobody. A call that reaches one before it is asked again runs the bare model in
// vain, which its caller is told as unknown; no token of it is delivered, and the
// adapter comes back.
func TestAdapterIsServed(t *testing.T) {
	ctx, v := startVersioned(t, false)
	caller := *v.Caller
	caller.Adapter = "notes"
	want := answerOn(engineapi.Artifact{Weights: "v1", Adapter: "notes@1"})
	served := func(node int, refused ...string) {
		for ctx.Err() == nil {
			a, err := caller.Chat(ctx, v.Nodes[node].Addresses.Callers, prompt, rolloutTokens, nil)
			switch {
			case err != nil:
				t.Fatal(err)
			case a.Whole && a.Text == want:
				return
			case a.Text != "" || !slices.Contains(refused, string(a.Outcome)):
				t.Fatalf("%+v", a)
			}
			time.Sleep(comeBack)
		}
		t.Fatal("no answer")
	}
	for node := range v.Nodes {
		served(node, "not-run")
	}
	for _, chain := range v.Chains {
		for _, e := range chain {
			e.Engine.DropAdapters()
		}
	}
	for node := range v.Nodes {
		served(node, "not-run", "unknown")
	}
}
