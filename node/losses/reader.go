package losses

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cicadatack/cicadatack/route/decisionlog"
)

const (
	// maxLine is the longest line that is read; what is longer counts as unreadable.
	maxLine = 1 << 20
	// maxFaults bounds the faults that are told one by one.
	maxFaults = 10
	// progressEvery is between two calls of Progress, in bytes.
	progressEvery = 64 << 20
	// maxUnderway bounds the requests of one node that are followed at once; beyond it
	// their earlier lines are forgotten. Requests that ended without a line leave a trace
	// until their node starts anew.
	maxUnderway = 50_000
)

// Fault is a line that could not be read, or not whole.
type Fault struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Text string `json:"text"`
}

// String is the fault as a compiler would tell it.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Text) }

// Reader takes log files and keeps what a Report needs. It is not safe for concurrent
// use.
type Reader struct {
	// Progress, if set, is told now and then how many bytes of a file have been read.
	Progress func(file string, bytes int64)

	totals totals
	faults []Fault
	nodes  map[string]*node
	losses tally
	// pending are losses whose cause is looked for once all is read.
	pending []pending
	// led counts the streams of a service that were led around, by second.
	led map[string]map[int64]int
	// restarts are when nodes started that had run before.
	restarts []time.Time
	examples examples
}

// totals counts what was read.
type totals struct {
	files, lines, unreadable, denied int
	from, to                         time.Time
}

// NewReader returns a Reader that has read nothing.
func NewReader() *Reader {
	return &Reader{nodes: map[string]*node{}, losses: tally{}, led: map[string]map[int64]int{}}
}

// Read reads one log to its end. It fails if the file can't be read, is empty, or holds
// no line of a node; lines that can't be read are counted and told as Faults.
func (r *Reader) Read(name string, from io.Reader) error {
	lines := bufio.NewReaderSize(from, maxLine)
	readable, number := 0, 0
	length, told := int64(0), int64(0)
	for {
		text, err := lines.ReadSlice('\n')
		if len(text) > 0 {
			number++
			length += int64(len(text))
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			skipped, skipErr := skipLine(lines)
			length += skipped
			r.unreadable(name, number, fmt.Sprintf("a line of over %d bytes", maxLine))
			err = skipErr
		case len(text) > 0 && r.take(name, number, text):
			readable++
		}
		if r.Progress != nil && length-told >= progressEvery {
			told = length
			r.Progress(name, length)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Error.New("%s:%d: %v", name, number, err)
		}
	}
	r.totals.files++
	switch {
	case number == 0:
		return Error.New("%s: the file is empty", name)
	case readable == 0:
		return Error.New("%s: none of its %d lines is a node's", name, number)
	}
	return nil
}

// skipLine reads up to the end of a line.
func skipLine(lines *bufio.Reader) (int64, error) {
	skipped := int64(0)
	for {
		text, err := lines.ReadSlice('\n')
		skipped += int64(len(text))
		if !errors.Is(err, bufio.ErrBufferFull) {
			return skipped, err
		}
	}
}

// take reads one line. It says whether that could be done.
func (r *Reader) take(name string, number int, text []byte) bool {
	if len(text) <= 1 {
		return false // an empty line tells nothing and is no fault
	}
	l, err := parse(text)
	if err != nil {
		r.unreadable(name, number, err.Error())
		return false
	}
	r.totals.lines++
	if r.totals.from.IsZero() || l.At.Before(r.totals.from) {
		r.totals.from = l.At
	}
	if l.At.After(r.totals.to) {
		r.totals.to = l.At
	}
	if r.examples.wanted() {
		l.text = string(bytes.TrimSpace(text))
	}
	r.apply(name, number, l)
	return true
}

func (r *Reader) unreadable(name string, number int, text string) {
	r.totals.unreadable++
	r.fault(name, number, text)
}

func (r *Reader) fault(name string, number int, text string) {
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, Fault{File: name, Line: number, Text: text})
	}
}

func (r *Reader) apply(name string, number int, l line) {
	n := r.node(l.Node)
	switch l.Message {
	case messageStarted:
		if l.Format != decisionlog.LogFormat {
			r.fault(name, number, fmt.Sprintf("a node whose log has format %d (this command reads %d): late answers may be missing", l.Format, decisionlog.LogFormat))
		}
		r.started(n, l)
	case messageStopped:
		n.underway = map[string]*trace{}
	case messageStill:
		n.stoodStill(l)
	case messageDecision:
		r.decided(n, l)
	}
	n.ran = true
}

func (r *Reader) node(name string) *node {
	n, ok := r.nodes[name]
	if !ok {
		n = &node{name: name, underway: map[string]*trace{}}
		r.nodes[name] = n
	}
	return n
}

// started ends what was underway on a node that starts anew.
func (r *Reader) started(n *node, l line) {
	for request, t := range n.underway {
		r.lose(loss{
			cause: NodeLost, outcome: Failed, service: t.service, domain: n.domain, second: t.last.Unix(),
		}, t.example(n, request))
	}
	if n.ran {
		r.restarts = append(r.restarts, l.At)
	}
	n.domain, n.underway = l.Domain, map[string]*trace{}
}

// decided takes a decision about a request.
func (r *Reader) decided(n *node, l line) {
	if l.Request == "" {
		return
	}
	switch l.Kind {
	case kindRefuse:
		r.refused(n, l)
	case kindFinish:
		r.finished(n, l)
	case kindRetry:
		n.trace(l).retried(l)
	case kindDetour:
		n.trace(l).led(l)
		r.countLed(l)
	default:
		n.trace(l)
	}
}

// trace is what is known of the line's request.
func (n *node) trace(l line) *trace {
	t, ok := n.underway[l.Request]
	if !ok {
		if len(n.underway) >= maxUnderway {
			n.underway = map[string]*trace{}
		}
		t = &trace{}
		n.underway[l.Request] = t
	}
	t.last = l.At
	if l.text != "" && len(t.lines) < mostLines {
		t.lines = append(t.lines, l.text)
	}
	if l.Service != "" {
		t.service = l.Service
	}
	return t
}

// end takes a request out.
func (n *node) end(l line) *trace {
	t := n.trace(l)
	delete(n.underway, l.Request)
	return t
}

// countLed notes that a stream was led around.
func (r *Reader) countLed(l line) {
	if l.Taken == 0 {
		return
	}
	bySecond := r.led[l.Service]
	if bySecond == nil {
		bySecond = map[int64]int{}
		r.led[l.Service] = bySecond
	}
	bySecond[l.At.Unix()]++
}

func (r *Reader) refused(n *node, l line) {
	t := n.end(l)
	if denials[l.Reason] {
		r.totals.denied++
		return
	}
	outcome := Refused
	if l.Status == statusBadGateway || l.Status == statusGatewayTimeout {
		outcome = Failed // it may have run
	}
	r.lose(loss{
		cause: t.ofRefusal(l), outcome: outcome, service: t.service, domain: n.domain,
		second: l.At.Unix(), lostMillis: l.WaitedMillis,
	}, t.example(n, l.Request))
}

// lose counts a loss.
func (r *Reader) lose(l loss, x Example) {
	r.losses.add(l)
	r.examples.add(l, x)
}

// Statuses that say that a request may have run, and the first of an endpoint's own
// failures.
const (
	statusServerError    = 500
	statusBadGateway     = 502
	statusGatewayTimeout = 504
)

func (r *Reader) finished(n *node, l line) {
	t := n.end(l)
	found := loss{service: t.service, domain: n.domain, second: l.At.Unix(), lostMillis: l.TookMillis}
	switch {
	case l.Reason == reasonLeft:
		r.left(n, t, l, found)
		return
	case l.Reason == reasonDone && l.Status >= statusServerError:
		found.outcome, found.cause = Failed, ReplicaError
	case l.Reason == reasonDone && l.Late > 0:
		found.outcome, found.lostMillis = Late, l.lateness()
		r.late(n, t, l, found)
		return
	case l.Reason == reasonDone:
		return
	default:
		found.outcome, found.cause = Failed, t.ofCut(l)
	}
	r.lose(found, t.example(n, l.Request))
}

// longSilence is the silence of a stream, in milliseconds, before its caller left that
// is taken for the reason.
const longSilence = 1000

// left takes a request whose caller went.
func (r *Reader) left(n *node, t *trace, l line, found loss) {
	if l.SilentMillis < longSilence {
		found.outcome, found.cause = Left, CallerLeft
		r.lose(found, t.example(n, l.Request))
		return
	}
	found.outcome = Failed
	l.LongestMillis, l.PauseLimitMillis = l.SilentMillis, longSilence
	r.late(n, t, l, found)
}

// late takes an answer that came late: its own lines tell the cause, or what happened
// meanwhile, which may stand in a file that has not been read yet.
func (r *Reader) late(n *node, t *trace, l line, found loss) {
	cause, ok := t.ofLate(l)
	if ok {
		found.cause = cause
		r.lose(found, t.example(n, l.Request))
		return
	}
	r.pending = append(r.pending, pending{
		loss: found, node: n, during: interval{l.At.Add(-millis(l.TookMillis)), l.At}, example: t.example(n, l.Request),
	})
}
