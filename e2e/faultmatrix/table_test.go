package faultmatrix

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/e2e/rig"
)

// Verdicts of a cell. A cell is planned before its path's test runs, so that
// one that never ran is seen.
const (
	notRun = "NOT RUN"
	passed = "passed"
	failed = "FAILED"
	// once is a pass in which the second step never came.
	once = "once"
)

// path is one path through the system: every fault strikes at every step, and
// pairs of faults at two steps.
type path struct {
	name    string
	steps   []step
	faults  []fault
	omitted []omission
	// body plays the operation and judges it.
	body func(c *cell)
	// kinds are the faults that pairs at two steps are made of; noPairs says why
	// a path has none.
	kinds   []kind
	noPairs string
	// adjust, if set, changes the site of the path's cells.
	adjust func(*rig.Config)
}

// omission is faults that a path has no cells of, and why.
type omission struct {
	faults []fault
	why    string
}

// everyFault is each single fault that the matrix knows.
var everyFault = joined(nodeFaults, peerFaults, engineFaults, allPaused, slowEngine, wrongEngine, plainFaults, operatorFaults, commandFaults, ownerFaults)

// paths are all that the matrix covers.
var paths = []path{modelPath, orderPath, ownedPath, promotionPath, drainPath, leavingPath, plainLeavingPath}

// cellKey names a cell.
type cellKey struct{ path, step, fault string }

func (k cellKey) String() string { return k.path + " | " + k.step + " | " + k.fault }

// cellResult is what became of a cell and how long it took.
type cellResult struct {
	verdict        string
	startUp, whole time.Duration
}

// table is what the run prints. Safe for concurrent use.
type table struct {
	mu    sync.Mutex
	cells map[cellKey]cellResult
}

// results holds a row for each cell of every path, from the start on.
var results = planned(paths)

func planned(all []path) *table {
	t := &table{cells: map[cellKey]cellResult{}}
	for _, p := range all {
		pairs, _ := p.pairs()
		for _, planned := range append(p.single(), pairs...) {
			t.plan(planned.key(p.name))
		}
	}
	return t
}

// plan adds a cell. Two of one name would count as one and hide a gap.
func (t *table) plan(k cellKey) {
	if _, twice := t.cells[k]; twice {
		panic("two cells are named " + k.String())
	}
	t.cells[k] = cellResult{verdict: notRun}
}

func (t *table) put(k cellKey, r cellResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, planned := t.cells[k]; !planned {
		panic("no such cell was planned: " + k.String())
	}
	t.cells[k] = r
}

// counts of the cells by verdict.
func (t *table) counts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int{}
	for _, r := range t.cells {
		counts[r.verdict]++
	}
	return counts
}

// missing are the cells that never ran.
func (t *table) missing() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for k, r := range t.cells {
		if r.verdict == notRun {
			names = append(names, k.String())
		}
	}
	sort.Strings(names)
	return names
}

// complete says whether every planned cell ran. Where the run was cut to a part
// by the flags of go test, a part is what was asked for.
func (t *table) complete() bool {
	return len(t.missing()) == 0 || narrowed()
}

func narrowed() bool {
	for _, name := range []string{"test.run", "test.skip"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() != "" {
			return true
		}
	}
	return false
}

func (t *table) print() {
	lines := t.lines()
	fmt.Println(strings.Join(lines, "\n"))
	counts := t.counts()
	ran := counts[passed] + counts[once] + counts[failed]
	fmt.Printf("fault matrix: %d cells planned, %d run, %d passed (in %d of them the first fault kept the second from its step), %d failed, %d not run; mean start-up %s, mean cell %s\n",
		ran+counts[notRun], ran, counts[passed]+counts[once], counts[once], counts[failed], counts[notRun],
		t.mean(func(r cellResult) time.Duration { return r.startUp }),
		t.mean(func(r cellResult) time.Duration { return r.whole }))
	for _, p := range paths {
		for _, o := range p.omitted {
			fmt.Printf("no cells  | %s | %d faults: %s\n", p.name, len(o.faults), o.why)
		}
		p.printPairs()
	}
	if path := os.Getenv("MATRIX_TABLE"); path != "" {
		_ = os.WriteFile(filepath.Clean(path), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
	}
}

func (t *table) lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := make([]string, 0, len(t.cells))
	for k, r := range t.cells {
		lines = append(lines, fmt.Sprintf("%-7s | %s | %s", r.verdict, k, r.whole.Round(time.Millisecond)))
	}
	sort.Strings(lines)
	return lines
}

// mean is over the cells that ran.
func (t *table) mean(of func(cellResult) time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum time.Duration
	ran := 0
	for _, r := range t.cells {
		if r.verdict == notRun {
			continue
		}
		sum += of(r)
		ran++
	}
	if ran == 0 {
		return 0
	}
	return (sum / time.Duration(ran)).Round(time.Millisecond)
}
