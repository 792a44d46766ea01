package faultmatrix

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/e2e/rig"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// cellTimeout ends a cell that hangs, as a failure.
	cellTimeout = 60 * time.Second
	// pause is how long a frozen node stays frozen: longer than the stall bound
	// of streams and than an exchange between nodes.
	pause = 1500 * time.Millisecond
	// springTimeout bounds the wait for a fault that has begun.
	springTimeout = 10 * time.Second
	// cellsAtOnce is how many cells run at a time, each with three nodes.
	cellsAtOnce = 12
	nodeCount   = 3
	tokens      = 24
	prompt      = "Feeding plan for the north pens, please"
)

// bin holds the binaries under test, built once by TestMain.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cicadatack-matrix-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	out, err := exec.Command("go", "build", "-o", dir, "github.com/cicadatack/cicadatack/node/cmd/...").CombinedOutput()
	if err != nil {
		fmt.Printf("%v: %s\n", err, out)
		return 1
	}
	code := m.Run()
	results.print()
	if !results.complete() && code == 0 {
		fmt.Println("fault matrix: cells were left out, so it proves nothing")
		code = 1
	}
	return code
}

// cell is one fault at one step, or two faults at two steps.
type cell struct {
	t   *testing.T
	ctx context.Context
	*rig.Rig
	plan plan
	// strikes are the plan's faults, in its order.
	strikes []*strike
	// chain and plain are those that a step was last seen on, serving the node
	// that the caller asks now.
	chain, plain, serving atomic.Int32
	// draining is closed once the first node has said that it drains.
	draining  chan struct{}
	drainOnce sync.Once
	// command is the run of the operators' command that is under way.
	command atomic.Pointer[harness.Command]
	// leftAt is when an endpoint began to leave.
	leftAt time.Time

	mu sync.Mutex
	// told is what callers were told by other nodes, inForce the digests that
	// other operators were told to be in force.
	told    []outcome.Outcome
	inForce []string
	// weight tells the documents of other operators apart.
	weight float64
	// killed and drained are the nodes that this happened to.
	killed, drained [nodeCount]bool
}

// answered is a model's answer as the caller received it.
type answered = harness.Answer

// step is a moment of a path; arm sets the traps that see it.
type step struct {
	name string
	arm  func(c *cell, spring func())
}

// healStore ends the store's faults.
func (c *cell) healStore() { c.Store.SetFaults(storefake.Faults{}) }

func (c *cell) must(err error) {
	if err != nil {
		c.t.Error(err)
	}
}

// atOnce bounds the cells that run at a time, over all paths.
var atOnce = make(chan struct{}, cellsAtOnce)

// each runs every cell of the path that has one fault. The paths run side by
// side, so that the last cells of one don't leave processors idle.
func (p path) each(t *testing.T) {
	t.Parallel()
	p.all(t, p.single())
}

func (p path) all(t *testing.T, plans []plan) {
	for _, planned := range plans {
		t.Run(planned.stepName()+"/"+planned.faultName(), func(t *testing.T) {
			t.Parallel()
			atOnce <- struct{}{}
			defer func() { <-atOnce }()
			p.run(t, planned)
		})
	}
}

func (p path) run(t *testing.T, planned plan) {
	begun := time.Now()
	result := cellResult{verdict: failed}
	defer func() {
		result.whole = time.Since(begun)
		results.put(planned.key(p.name), result)
	}()
	c := start(t, p.adjust)
	result.startUp = time.Since(begun)
	c.arm(planned)
	p.body(c)
	if t.Failed() {
		c.explain()
		return
	}
	result.verdict = passed
	if !c.allStruck() {
		result.verdict = once
	}
}

// explained is how many of a node's last decisions a failed cell logs.
const explained = 12

// explain logs why the nodes left chains and refused, and what they thought of
// replicas: a failure that comes once in many runs is not to be had again for the
// asking.
func (c *cell) explain() {
	for _, n := range c.Nodes {
		var told []string
		for _, line := range n.Lines() {
			if strings.Contains(line, `"kind":"resume"`) || strings.Contains(line, `"kind":"refuse"`) ||
				strings.Contains(line, `"@message":"health"`) || strings.Contains(line, `"kind":"finish"`) && !strings.Contains(line, `"reason":"done"`) {
				told = append(told, line)
			}
		}
		c.t.Log(strings.Join(told[max(0, len(told)-explained):], "\n"))
	}
}

// quickFirstToken makes the nodes leave a chain without a first token after a
// second instead of ten.
func quickFirstToken(d *document.Document) { d.Policy.FirstTokenMillis = 1000 }

// start starts the site of a cell; adjust, which may be nil, changes it.
func start(t *testing.T, adjust func(*rig.Config)) *cell {
	ctx, cancel := context.WithTimeout(context.Background(), cellTimeout)
	t.Cleanup(cancel)
	config := rig.Config{
		Bin: bin, Dir: t.TempDir(), Nodes: nodeCount, Chains: 3, Plains: 2,
		Step: 10 * time.Millisecond, Layout: harness.Layout{EntryValidSeconds: 1, Adjust: quickFirstToken},
	}
	if adjust != nil {
		adjust(&config)
	}
	r, err := rig.Start(ctx, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return &cell{t: t, ctx: ctx, Rig: r, draining: make(chan struct{}), weight: 7}
}

// node is the callers' address of a node.
func (c *cell) node(i int) string { return c.Nodes[i].Addresses.Callers }

// undisturbed is the model's answer of a length when nothing fails.
func undisturbed(length int) string {
	return strings.Join(engine.Answer(harness.Layers, []engineapi.Message{{Role: "user", Content: prompt}}, length), "")
}

// nodesSane checks what every node must keep to, whatever the cell: revisions
// never fall, and a node that was drained ended with status 0.
func (c *cell) nodesSane() {
	for i, n := range c.Nodes {
		c.neverBack(n)
		if c.wasDrained(i) && !c.wasKilled(i) {
			c.must(n.Wait(cellTimeout))
		}
	}
}

// neverBack checks that a node's revisions never fell.
func (c *cell) neverBack(n *harness.Process) {
	last := -1
	for _, line := range n.Lines() {
		var revision int
		at := strings.Index(line, `"revision":`)
		if !strings.Contains(line, `"document in force"`) || at < 0 {
			continue
		}
		if _, err := fmt.Sscanf(line[at:], `"revision":%d`, &revision); err != nil {
			c.t.Error(err)
		}
		if revision < last {
			c.t.Errorf("%s went from revision %d back to %d", n.Name, last, revision)
		}
		last = revision
	}
}
