package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/e2e/harness"
	"github.com/cicadatack/cicadatack/standin/link"
)

// peerPorts are the ports at which nodes ask each other, the same on all VMs.
const peerPorts = "27340,27355"

// vm is an entry VM: a node process, its settings, and its link to the store, which
// outlive the process.
type vm struct {
	name     string
	ip       string
	settings string
	store    *link.Link
	bin      string

	mu      sync.Mutex
	process *harness.Process
	doors   doors
}

// doors are where a node listens, as its log says.
type doors struct {
	Callers   string `json:"callers"`
	Directory string `json:"directory"`
	Ready     string `json:"ready"`
}

func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "github.com/cicadatack/cicadatack/node/cmd/cicadatack").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

// vmPlace is a VM's name and where it stands.
type vmPlace struct{ name, domain, ip string }

// usualGrace is the time between SIGTERM and SIGKILL.
const usualGrace = 8 * time.Second

// newVM writes a VM's settings; start runs its node.
func newVM(t *testing.T, bin string, at vmPlace, store string, grace time.Duration) *vm {
	t.Helper()
	l, err := link.Listen(store)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	v := &vm{name: at.name, ip: at.ip, bin: bin, store: l, settings: filepath.Join(t.TempDir(), at.name+".conf")}
	text := strings.Join([]string{
		"node=" + at.name, "zone=" + at.domain, "ip=" + at.ip, "portRange=" + peerPorts,
		"listen.front=" + at.ip + ":0", "listen.ready=" + at.ip + ":0", "listen.control=" + at.ip + ":0", "listen.directory=" + at.ip + ":0",
		"platform.addr=" + l.Address(), "limits.ramMb=256",
		fmt.Sprint("bounds.revokeMs=", revoke.Milliseconds()), "bounds.applyMs=2000", "bounds.drainMs=2000", fmt.Sprint("bounds.graceS=", int(grace.Seconds())),
		"bounds.retryRatio=0.2", "bounds.retrySlack=1000", "bounds.retryWindowS=10",
	}, "\n")
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.kill)
	return v
}

// setMemory writes how much memory the VM has.
func (v *vm) setMemory(t *testing.T, megabytes int) {
	t.Helper()
	text, err := os.ReadFile(v.settings)
	if err != nil {
		t.Fatal(err)
	}
	edited := strings.Replace(string(text), "limits.ramMb=256", fmt.Sprint("limits.ramMb=", megabytes), 1)
	if err := os.WriteFile(v.settings, []byte(edited), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (v *vm) start(t *testing.T) {
	t.Helper()
	p, err := harness.StartOnPlatform(v.bin, v.name, v.settings)
	if err != nil {
		t.Fatal(err)
	}
	line, err := p.WaitLine(func(line string) bool { return strings.Contains(line, `"@message":"started"`) })
	if err != nil {
		t.Fatal(err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = p
	if err := json.Unmarshal([]byte(line), &v.doors); err != nil {
		t.Fatal(err)
	}
}

func (v *vm) at() doors {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.doors
}

func (v *vm) now() *harness.Process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

func (v *vm) kill() {
	if p := v.now(); p != nil {
		p.Kill()
	}
}

// linesAbout are the lines of the nodes' present processes that name a request.
func (r *run) linesAbout(request string) []string {
	var found []string
	for _, v := range r.vms {
		for _, line := range v.now().Lines() {
			if strings.Contains(line, `"`+request+`"`) {
				found = append(found, line)
			}
		}
	}
	return found
}

// log is the end of the process's output.
func (v *vm) log() string {
	p := v.now()
	if p == nil {
		return ""
	}
	lines := p.Lines()
	return strings.Join(lines[max(0, len(lines)-20):], "\n")
}
