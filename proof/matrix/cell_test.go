package matrix

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/proof/harness"
	"github.com/cicadatack/cicadatack/proof/rig"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/standin/plain"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

const (
	// cellTimeout ends a cell that hangs, as a failure.
	cellTimeout = 60 * time.Second
	// pause is how long a frozen node stays frozen: longer than the stall bound
	// of streams and than an exchange between nodes.
	pause = 1500 * time.Millisecond
	// springTimeout bounds the wait for a fault that has begun.
	springTimeout = 10 * time.Second
	// atOnce bounds the cells that run at a time, each with three nodes.
	atOnce    = 6
	nodeCount = 3
	tokens    = 24
	prompt    = "Feeding plan for the north pens, please"
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
	return code
}

// cell is one fault at one step.
type cell struct {
	t   *testing.T
	ctx context.Context
	*rig.Rig
	// chain is the one that the step was seen on.
	chain int
	// plain is the instance that the step was seen on.
	plain  int
	sprung chan struct{}
}

// fault is something that goes wrong at a step.
type fault struct {
	name string
	do   func(c *cell)
}

// step is a moment of a path; arm sets the traps that see it.
type step struct {
	name string
	arm  func(c *cell, spring func())
}

var nodeFaults = []fault{
	{"node killed", func(c *cell) { c.Nodes[0].Kill() }},
	{"node frozen for a while", func(c *cell) { c.freezeNode() }},
	{"node drained", func(c *cell) { c.must(c.Nodes[0].Signal(syscall.SIGTERM)) }},
	{"document promoted", func(c *cell) { c.must(c.Promote(c.ctx, 7)) }},
	{"store down", func(c *cell) { c.Store.SetFaults(storefake.Faults{Outage: true}) }},
	{"store slow", func(c *cell) { c.Store.SetFaults(storefake.Faults{SlowMillis: 300}) }},
	{"store reply lost", func(c *cell) { c.Store.SetFaults(storefake.Faults{LoseReplies: 1}) }},
	{"store request lost", func(c *cell) { c.Store.SetFaults(storefake.Faults{LoseRequests: 1}) }},
}

var engineFaults = []fault{
	{"first stage killed", func(c *cell) { c.Chains[c.chain][0].Kill() }},
	{"second stage killed", func(c *cell) { c.Chains[c.chain][1].Kill() }},
	{"first stage frozen", func(c *cell) { c.Chains[c.chain][0].SetFaults(engine.Faults{Freeze: true}) }},
	{"second stage frozen", func(c *cell) { c.Chains[c.chain][1].SetFaults(engine.Faults{Freeze: true}) }},
	{"first stage cut off", func(c *cell) { c.Chains[c.chain][0].Link.Cut() }},
	{"second stage cut off", func(c *cell) { c.Chains[c.chain][1].Link.Cut() }},
	{"second stage very slow", func(c *cell) { c.Chains[c.chain][1].SetFaults(engine.Faults{SlowPerToken: 2 * time.Second}) }},
}

var plainFaults = []fault{
	{"endpoint killed", func(c *cell) { c.Plains[c.plain].Kill() }},
	{"endpoint cut off", func(c *cell) { c.Plains[c.plain].Link.Cut() }},
	{"endpoint refuses", func(c *cell) { c.eachPlain(plain.Faults{Refuse: true}) }},
	{"endpoint drops the reply", func(c *cell) { c.eachPlain(plain.Faults{DropReply: 1}) }},
	{"caller asks a second node", func(c *cell) { c.askSecondNode() }},
}

// pairs are two faults at one step.
var pairs = []fault{
	both(named(nodeFaults, "store down"), named(nodeFaults, "node killed")),
	both(named(nodeFaults, "store reply lost"), named(nodeFaults, "node frozen for a while")),
	both(named(nodeFaults, "node drained"), named(nodeFaults, "store down")),
	both(named(nodeFaults, "document promoted"), named(nodeFaults, "node drained")),
}

var enginePairs = []fault{
	both(named(engineFaults, "second stage killed"), named(nodeFaults, "node drained")),
	both(named(engineFaults, "second stage frozen"), named(nodeFaults, "store down")),
	both(named(engineFaults, "first stage cut off"), named(nodeFaults, "document promoted")),
}

var plainPairs = []fault{
	both(named(plainFaults, "endpoint drops the reply"), named(nodeFaults, "store reply lost")),
	both(named(plainFaults, "endpoint cut off"), named(nodeFaults, "node drained")),
	both(named(plainFaults, "caller asks a second node"), named(nodeFaults, "node killed")),
}

func both(a, b fault) fault {
	return fault{a.name + " + " + b.name, func(c *cell) { a.do(c); b.do(c) }}
}

func named(list []fault, name string) fault {
	for _, f := range list {
		if f.name == name {
			return f
		}
	}
	panic("no fault is named " + name)
}

func joined(lists ...[]fault) []fault {
	var all []fault
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

func (c *cell) freezeNode() {
	c.must(c.Nodes[0].Freeze())
	time.AfterFunc(pause, func() { _ = c.Nodes[0].Thaw() }) // it may have been killed
}

func (c *cell) eachPlain(f plain.Faults) {
	for i := range c.Plains {
		c.Plains[i].SetFaults(f)
	}
}

func (c *cell) must(err error) {
	if err != nil {
		c.t.Error(err)
	}
}

// eachCell runs body for each step and fault of a path, with the fault armed.
func eachCell(t *testing.T, path string, steps []step, faults []fault, body func(c *cell, f fault)) {
	limit := make(chan struct{}, atOnce)
	for _, s := range steps {
		for _, f := range faults {
			t.Run(s.name+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				limit <- struct{}{}
				defer func() { <-limit }()
				results.begin(path, s.name, f.name)
				c := start(t)
				var once sync.Once
				s.arm(c, func() {
					once.Do(func() {
						f.do(c)
						close(c.sprung)
					})
				})
				body(c, f)
				results.end(path, s.name, f.name, !t.Failed())
			})
		}
	}
}

func start(t *testing.T) *cell {
	ctx, cancel := context.WithTimeout(context.Background(), cellTimeout)
	t.Cleanup(cancel)
	r, err := rig.Start(ctx, rig.Config{
		Bin: bin, Dir: t.TempDir(), Nodes: nodeCount, Chains: 3, Plains: 2,
		Step: 10 * time.Millisecond, Layout: harness.Layout{EntryValidSeconds: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return &cell{t: t, ctx: ctx, Rig: r, sprung: make(chan struct{})}
}

// node is the callers' address of a node.
func (c *cell) node(i int) string { return c.Nodes[i].Addresses.Callers }

// sprang fails the cell if its step was never seen: the fault did not happen.
// The caller may hear of a fault before the fault is done, so it waits.
func (c *cell) sprang() {
	select {
	case <-c.sprung:
	case <-time.After(springTimeout):
		c.t.Error("the step was not reached")
	}
}

// undisturbed is the model's answer when nothing fails.
func undisturbed() string {
	return strings.Join(engine.Answer(harness.Layers, []engineapi.Message{{Role: "user", Content: prompt}}, tokens), "")
}

// nodesSane checks what every node must keep to, whatever the cell: revisions
// never fall, and a node that was drained ended with status 0.
func (c *cell) nodesSane(f fault) {
	for _, n := range c.Nodes {
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
	if strings.Contains(f.name, "drained") && !strings.Contains(f.name, "killed") {
		c.must(c.Nodes[0].Wait(cellTimeout))
	}
}

// results is the table that the run prints.
var results = &table{cells: map[string]string{}}

type table struct {
	mu    sync.Mutex
	cells map[string]string
}

const notEnded = "NOT ENDED"

func key(path, step, fault string) string { return path + " | " + step + " | " + fault }

func (r *table) begin(path, step, fault string) { r.put(key(path, step, fault), notEnded) }

func (r *table) end(path, step, fault string, passed bool) {
	verdict := "passed"
	if !passed {
		verdict = "FAILED"
	}
	r.put(key(path, step, fault), verdict)
}

func (r *table) put(k, verdict string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cells[k] = verdict
}

func (r *table) print() {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	lines := make([]string, 0, len(r.cells))
	for k, verdict := range r.cells {
		counts[verdict]++
		lines = append(lines, fmt.Sprintf("%-9s | %s", verdict, k))
	}
	sort.Strings(lines)
	fmt.Println(strings.Join(lines, "\n"))
	fmt.Printf("fault matrix: %d cells begun, %d passed, %d failed, %d not ended\n",
		len(r.cells), counts["passed"], counts["FAILED"], counts[notEnded])
	if path := os.Getenv("MATRIX_TABLE"); path != "" {
		_ = os.WriteFile(filepath.Clean(path), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
	}
}
