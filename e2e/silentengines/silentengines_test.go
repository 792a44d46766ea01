package silentengines

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	testTimeout = 3 * time.Minute
	nodes       = 3
	replicas    = 5
	tokens      = 100
	stepMicros  = 5000
	// callsBefore are the calls before the engines stop, callsMeanwhile those that come
	// while they stand still. All of them have room at the engines at once.
	callsBefore, callsMeanwhile = 30, 42
	callInterval                = 20 * time.Millisecond // before the engines stop
)

// Guards against calls that nodes refuse, and streams that they cut, because the processes
// of sound engines stand still for a while, with and without new documents meanwhile.
func TestCallsOutliveStoppedEngines(t *testing.T) {
	s := start(t)
	for _, c := range []struct {
		name       string
		stopped    int
		lasts      time.Duration
		promotions int
	}{
		{"all for 1 s", replicas, time.Second, 0},
		{"all for 1.9 s, two documents", replicas, 1900 * time.Millisecond, 2},
		{"three fifths for 1.3 s, a document", replicas * 3 / 5, 1300 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls := &calls{site: s, name: strings.ReplaceAll(c.name, " ", "-")}
			calls.start(t, callsBefore, callInterval)
			s.signal(t, c.stopped, (*harness.Process).Freeze)
			for range c.promotions {
				calls.start(t, callsMeanwhile/(c.promotions+1), c.lasts/callsMeanwhile)
				go s.promote(t)
			}
			calls.start(t, callsMeanwhile/(c.promotions+1), c.lasts/callsMeanwhile)
			s.signal(t, c.stopped, (*harness.Process).Thaw)
			calls.check(t)
		})
	}
}

// site is a running site and its caller.
type site struct {
	*harness.Site
	ctx    context.Context
	caller harness.Caller

	mu       sync.Mutex
	revision int
}

func start(t *testing.T) *site {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "github.com/cicadatack/cicadatack/node/cmd/...", "github.com/cicadatack/cicadatack/standin/cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	running, err := harness.StartSite(harness.Config{
		Bin: bin, Dir: t.TempDir(), Nodes: nodes, Replicas: replicas, Plains: 1, StepMicros: stepMicros, EntryValidSeconds: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	s := &site{Site: running, ctx: ctx, caller: harness.Caller{Key: harness.TeamKey, Client: &http.Client{}}}
	s.promote(t)
	for _, node := range s.Nodes {
		if _, err := harness.WaitStatus(ctx, node, allReady); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func allReady(status operators.Status) bool {
	live := 0
	for _, m := range status.Members {
		if m.State == "live" {
			live++
		}
	}
	return status.Ready && status.Revision == 1 && live == nodes
}

// promote puts a document in force that differs from the last one.
func (s *site) promote(t *testing.T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	text, err := s.Document(float64(s.revision))
	if err != nil {
		t.Error(err)
		return
	}
	path := filepath.Join(s.Config.Dir, "document.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Error(err)
		return
	}
	out, err := s.Ctl("check", path)
	if err != nil {
		t.Error(err)
		return
	}
	fields := strings.Fields(out)
	for _, args := range [][]string{{"trial", path}, {"promote", "--digest", fields[len(fields)-1]}} {
		if _, err := s.Ctl(args...); err != nil {
			t.Error(err)
			return
		}
	}
}

// signal sends a signal to the engines of the first replicas.
func (s *site) signal(t *testing.T, count int, send func(*harness.Process) error) {
	t.Helper()
	for _, pair := range s.Engines[:count] {
		for _, e := range pair {
			if err := send(e); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// calls are the calls of one case.
type calls struct {
	site    *site
	name    string
	started int
	running sync.WaitGroup

	mu      sync.Mutex
	answers []timedAnswer
}

type timedAnswer struct {
	prompt string
	node   *harness.Process
	harness.Answer
	took time.Duration
	err  error
}

// start starts calls at an interval, and returns after the last interval.
func (c *calls) start(t *testing.T, n int, interval time.Duration) {
	for range n {
		node := c.site.Nodes[c.started%nodes]
		prompt := fmt.Sprintf("Tide windows for %s %d", c.name, c.started)
		c.started++
		c.running.Go(func() {
			begun := time.Now()
			answer, err := c.site.caller.Chat(c.site.ctx, node.Addresses.Callers, prompt, tokens, nil)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.answers = append(c.answers, timedAnswer{prompt, node, answer, time.Since(begun), err})
		})
		time.Sleep(interval)
	}
}

// check waits for all calls and fails the test for each that is not answered whole.
func (c *calls) check(t *testing.T) {
	t.Helper()
	c.running.Wait()
	refused, cut := 0, 0
	for _, a := range c.answers {
		want := strings.Join(engine.Answer(harness.Layers, []engineapi.Message{{Role: "user", Content: a.prompt}}, tokens), "")
		switch {
		case a.err == nil && a.Whole && a.Text == want:
			continue
		case a.Status == http.StatusOK:
			cut++
		default:
			refused++
		}
		t.Errorf("status %d after %s, %d tokens: %v %s", a.Status, a.took, a.Tokens, a.err, a.Error)
		if refused+cut == 1 {
			t.Log(strings.Join(linesWith(a.node, a.Request), "\n"))
		}
	}
	t.Logf("%d calls, %d refused, %d cut", len(c.answers), refused, cut)
}

// linesWith returns a node's log lines about a request.
func linesWith(node *harness.Process, request string) []string {
	var found []string
	for _, line := range node.Lines() {
		if request != "" && strings.Contains(line, request) {
			found = append(found, line)
		}
	}
	return found
}
