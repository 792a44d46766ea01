// Package harness runs the shipped binaries and the stand-ins as real processes
// on loopback, for the demo and for tests that need signals. It is not shipped,
// and no process of the product starts another.
package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/platform/boot"
)

// Error is the class of this package's errors.
var Error = errs.Class("harness")

// startTimeout bounds the wait for a process to say where it listens.
const startTimeout = 20 * time.Second

// Process is one running program.
type Process struct {
	// Name is for messages.
	Name string
	// Address is where a stand-in listens; Addresses are a node's three.
	Address   string
	Addresses Addresses

	command *exec.Cmd
	lines   *lineLog
	ended   chan struct{}
	err     error
}

// Addresses are the listeners of a node.
type Addresses struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// StartStandin starts a stand-in and waits until it listens.
func StartStandin(bin, program, name string, args ...string) (*Process, error) {
	p, err := start(bin, program, name, args...)
	if err != nil {
		return nil, err
	}
	line, err := p.WaitLine(func(line string) bool { return strings.HasPrefix(line, "listening ") })
	if err != nil {
		p.Kill()
		return nil, err
	}
	p.Address = strings.TrimPrefix(line, "listening ")
	return p, nil
}

// StartNode starts a node from a settings file and waits until it listens.
func StartNode(bin, name, settings string) (*Process, error) {
	p, err := start(bin, "cicadatack", name, "--settings", settings)
	if err != nil {
		return nil, err
	}
	line, err := p.WaitLine(func(line string) bool { return strings.Contains(line, `"@message":"serving"`) })
	if err != nil {
		p.Kill()
		return nil, err
	}
	return p, Error.Wrap(json.Unmarshal([]byte(line), &p.Addresses))
}

// StartOnPlatform starts a node with settings of the users' platform.
func StartOnPlatform(bin, name, settings string) (*Process, error) {
	return startWith(bin, "cicadatack", name, []string{boot.Variable + "=" + settings})
}

func start(bin, program, name string, args ...string) (*Process, error) {
	return startWith(bin, program, name, nil, args...)
}

func startWith(bin, program, name string, env []string, args ...string) (*Process, error) {
	p := &Process{Name: name, lines: newLineLog(), ended: make(chan struct{})}
	p.command = exec.Command(filepath.Join(bin, program), args...)
	p.command.Env = append(os.Environ(), env...)
	p.command.Stderr = os.Stderr
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := p.command.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	go p.follow(out)
	return p, nil
}

// follow keeps the output's lines until the process ends.
func (p *Process) follow(out io.Reader) {
	p.lines.read(out)
	p.err = p.command.Wait()
	close(p.ended)
}

// WaitLine returns the first line of output that fits, waiting for it.
func (p *Process) WaitLine(fits func(string) bool) (string, error) {
	return p.lines.wait(p.Name, fits, startTimeout)
}

// Lines returns the output so far.
func (p *Process) Lines() []string {
	return p.lines.all()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	return Error.Wrap(p.command.Process.Signal(s))
}

// Freeze stops the process without ending it; Thaw lets it go on.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // it may have ended by itself
	<-p.ended
}

// Wait waits until the process has ended by itself and returns how.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.ended:
		return p.err
	case <-time.After(timeout):
		return Error.New("%s has not ended after %s", p.Name, timeout)
	}
}

// lineLog gathers lines and wakes those who wait for one.
type lineLog struct {
	mu    sync.Mutex
	lines []string
	ended bool
	more  chan struct{}
}

func newLineLog() *lineLog {
	return &lineLog{more: make(chan struct{})}
}

// maxLine bounds one line of output.
const maxLine = 1 << 20

func (l *lineLog) read(out io.Reader) {
	scanner := bufio.NewScanner(out)
	scanner.Buffer(make([]byte, 4096), maxLine)
	for scanner.Scan() {
		l.add(scanner.Text(), false)
	}
	l.add("", true)
}

func (l *lineLog) add(line string, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ended {
		l.ended = true
	} else {
		l.lines = append(l.lines, line)
	}
	close(l.more)
	l.more = make(chan struct{})
}

func (l *lineLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.lines...)
}

// ErrEnded reports a process that ended before what was waited for came.
var ErrEnded = errors.New("the process has ended")

func (l *lineLog) wait(name string, fits func(string) bool, timeout time.Duration) (string, error) {
	deadline := time.After(timeout)
	seen := 0
	for {
		l.mu.Lock()
		lines, ended, more := l.lines, l.ended, l.more
		l.mu.Unlock()
		for ; seen < len(lines); seen++ {
			if fits(lines[seen]) {
				return lines[seen], nil
			}
		}
		if ended {
			return "", Error.Wrap(fmt.Errorf("%s: %w", name, ErrEnded))
		}
		select {
		case <-more:
		case <-deadline:
			return "", Error.New("%s: no such line after %s", name, timeout)
		}
	}
}

// Ended says whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// PeakMemory is the most memory, in bytes, that the process has had in use.
func (p *Process) PeakMemory() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	_, figure, _ := strings.Cut(string(text), "VmHWM:")
	var kilobytes int
	if _, err := fmt.Sscan(figure, &kilobytes); err != nil {
		return 0, Error.Wrap(err)
	}
	return kilobytes << 10, nil
}
