package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/node/settings"
)

// loopback is where everything listens.
const loopback = "127.0.0.1:0"

// statusPause is between two questions for a node's state, which nothing
// pushes. It is the resolution of times found by asking.
const statusPause = 2 * time.Millisecond

// node is one node process. Its log is read and dropped: the harness would keep
// hundreds of thousands of lines.
type node struct {
	name      string
	domain    string
	addresses harness.Addresses
	command   *exec.Cmd
	relay     *relay
	ended     chan struct{}
	// started is when the process was started.
	started time.Time
}

// startNode starts a node with the given settings and waits until it serves.
func (s *suite) startNode(cfg settings.Settings, r *relay) (*node, error) {
	text, err := json.Marshal(cfg)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	path := filepath.Join(s.dir, cfg.Name+".json")
	if err := os.WriteFile(path, text, fileMode); err != nil {
		return nil, Error.Wrap(err)
	}
	n := &node{name: cfg.Name, relay: r, ended: make(chan struct{}), started: time.Now()}
	n.command = exec.Command(filepath.Join(s.cfg.Bin, "cicadatack"), "--settings", path)
	n.command.Stderr = os.Stderr
	out, err := n.command.StdoutPipe()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := n.command.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	return n, n.follow(out)
}

// follow waits for the line with the addresses and drops what comes after.
func (n *node) follow(out io.Reader) error {
	lines := bufio.NewReader(out)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return Error.New("%s ended before it served: %v", n.name, err)
		}
		if !strings.Contains(line, `"@message":"serving"`) {
			continue
		}
		go n.drop(lines)
		return Error.Wrap(json.Unmarshal([]byte(line), &n.addresses))
	}
}

func (n *node) drop(out io.Reader) {
	_, _ = io.Copy(io.Discard, out) // ends with the process
	_ = n.command.Wait()            // killed on purpose
	close(n.ended)
}

func (n *node) pid() int { return n.command.Process.Pid }

// kill ends the process at once and waits until it is gone.
func (n *node) kill() {
	_ = n.command.Process.Kill() // it may have ended by itself
	<-n.ended
	n.relay.close()
}

func (n *node) status(ctx context.Context) (operators.Status, error) {
	var status operators.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addresses.Operators+"/v1/status", nil)
	if err != nil {
		return status, Error.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, Error.Wrap(err)
	}
	defer response.Body.Close()
	return status, Error.Wrap(json.NewDecoder(response.Body).Decode(&status))
}

// wait waits until the node's state fits.
func (n *node) wait(ctx context.Context, fits func(operators.Status) bool) error {
	for {
		status, err := n.status(ctx)
		if err == nil && fits(status) {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("%s: the state did not come about: %+v", n.name, status)
		case <-time.After(statusPause):
		}
	}
}

func liveMembers(s operators.Status) int {
	live := 0
	for _, m := range s.Members {
		if m.State == "live" {
			live++
		}
	}
	return live
}
