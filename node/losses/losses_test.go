package losses

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/decisionlog"
)

// at is a log line of node n at a second, with fields in JSON.
func at(second float64, message, fields string) string {
	return fmt.Sprintf(`{"@level":"info","@message":%q,"@timestamp":"2026-01-01T04:00:%09.6fZ","node":"n",%s}`+"\n", message, second, fields)
}

// about is a decision about request r.
func about(second float64, kind, reason, fields string) string {
	return at(second, "decision", fmt.Sprintf(`"request":"r","kind":%q,"reason":%q,"service":"s",%s`, kind, reason, fields))
}

var started = at(0, "started", fmt.Sprintf(`"domain":"d","log_format":%d`, decisionlog.LogFormat))

func lateStream(second, first, longest, took float64, fields string) string {
	return about(second, "finish", "done", fmt.Sprintf(
		`"late":1,"first_ms":%f,"longest_pause_ms":%f,"took_ms":%f,"objective_ms":500,"pause_limit_ms":200,%s`, first, longest, took, fields))
}

const none = `"sends":1`

func read(t *testing.T, log string) *Report {
	t.Helper()
	r := NewReader()
	if err := r.Read("log", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	return r.Report()
}

// Each way to lose a request has one cause, by the rules of the package's page.
func TestCauses(t *testing.T) {
	retried := func(reason, end string) string {
		return about(1, "retry", reason, fmt.Sprintf(`"end":%q,"not_run":1`, end))
	}
	led := func(silent, crossings float64) string {
		return about(2, "detour", "a part of the path is lost", fmt.Sprintf(`"taken":1,"silent_ms":%f,"crossings":%f`, silent, crossings))
	}
	cases := []struct {
		name    string
		log     string
		cause   Cause
		outcome Outcome
	}{
		{"keys not proved", about(1, "refuse", "stale_configuration", `"status":503`), Stale, Refused},
		{"pushed back", about(1, "refuse", "pushed_back", `"status":503`), PushedBack, Refused},
		{"shed", about(1, "refuse", "shed_load", `"status":503`), ShedLoad, Refused},
		{"shed by a second node", retried("allowed", "503 from front-2: unreachable") + about(1, "refuse", "shed_load", `"status":503`), ShedLoad, Refused},
		{"an isolated part", about(1, "refuse", "isolated_part", `"status":503`), CrashingPart, Refused},
		{"a suspect part", retried("suspect_part", "upstream: EOF") + about(1, "refuse", "suspect_part", `"status":502`), CrashingPart, Failed},
		{"cut for a suspect part", about(1, "finish", "answer cut: suspect_part", `"took_ms":3`), CrashingPart, Failed},
		{"no room", about(1, "refuse", "no_room", `"status":503`), NoRoom, Refused},
		{"no holder", about(1, "refuse", "no_endpoint", `"status":503`), NoCover, Refused},
		{"leaving", about(1, "refuse", "leaving", `"status":503`), NodeLeaving, Refused},
		{"ended by a stop", about(1, "refuse", "leaving", `"status":504`), NodeLeaving, Failed},
		{"cut by a stop", retried("allowed", "upstream: EOF") + about(1, "finish", "answer cut: leaving", `"took_ms":3`), NodeLeaving, Failed},
		{"a full replica", retried("too many attempts", `503 from 10.0.0.1:1, at fault: "10.0.0.2:1"`) +
			about(1, "refuse", "no_room", `"status":503`), ReplicaRefused, Refused},
		{"tries spent", retried("budget spent", "503 from 10.0.0.1:1") + about(1, "refuse", "no_room", `"status":503`), BudgetSpent, Refused},
		{"answer lost", retried("may have run", "upstream: EOF") + about(1, "refuse", "unknown", `"status":502`), ReplicaGone, Failed},
		{"refused without proof", retried("may have run", "the endpoint's own status 503") + about(1, "refuse", "unproven_refusal", `"status":502`), ReplicaUnclear, Failed},
		{"own error", about(1, "finish", "done", `"status":500,"took_ms":3`), ReplicaError, Failed},
		{"an answer that is none", retried("allowed", `10.0.0.1:1 (may have run): upstream: unsound answer (request_unwritten): the connection ended`) + lateStream(3, 560, 50, 2000, none), UnsoundAnswer, Late},
		{"stray bytes cut", retried("too many attempts", `stray bytes after event "3" (id): "data: from the endpoint's own"`) +
			about(1, "finish", "answer cut: unknown", `"took_ms":3`), StrayBytes, Failed},
		{"stray bytes and a second try", retried("allowed", `stray bytes after event "" (line): "x"`) + lateStream(3, 560, 50, 2000, none), StrayBytes, Late},
		{"an answer that is no stream", retried("too many attempts", `10.0.0.1:1 (may have run): an answer that is no stream of events: status 200, type "text/plain"`) +
			about(1, "refuse", "unknown", `"status":502`), StrayBytes, Failed},
		{"cut", about(1, "finish", "answer cut: unknown", `"took_ms":3`), LostPart, Failed},
		{"cut after a silent replica was left", retried("allowed", "a part of the path is lost: i-1") +
			about(1, "finish", "answer cut: no_endpoint", `"took_ms":3,"left":"i-1","left_silent_ms":80`), SilentLeft, Failed},
		{"caller left", about(1, "finish", "the caller left", `"took_ms":300,"silent_ms":20`), CallerLeft, Left},
		{"caller left a silent stream", led(150, 2) + about(3, "finish", "the caller left", `"took_ms":3000,"silent_ms":2000`), BusyLinks, Failed},
		{"noticed late", led(280, 0) + lateStream(3, 50, 320, 2000, none), LostPart, Late},
		{"busy links", led(120, 2) + lateStream(3, 50, 900, 2000, none), BusyLinks, Late},
		{"read again", led(120, 0) + lateStream(3, 50, 900, 2000, none), Rereading, Late},
		{"waited for room", lateStream(3, 560, 50, 2000, `"waited_room_ms":500`), NoRoom, Late},
		{"waited for a try", lateStream(3, 560, 50, 2000, `"waited_budget_ms":500`), BudgetSpent, Late},
		{"second try", retried("allowed", "upstream: dial: refused") + lateStream(3, 560, 50, 2000, none), ReplicaGone, Late},
		{"slow replica", lateStream(3, 560, 50, 2000, `"slowest_pace":3`), ReplicaSlow, Late},
		{"slow plain service", about(1, "finish", "done", `"late":1,"status":200,"took_ms":400,"objective_ms":150`), ReplicaSlow, Late},
		{"the node stood still", at(2, "stood still", `"still_ms":700`) + lateStream(3, 560, 50, 2000, none), NodeStill, Late},
		{"nothing tells", lateStream(3, 560, 50, 2000, none), Unexplained, Late},
		{"the node died", about(1, "route", "cheapest path with room", none) + started, NodeLost, Failed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rep := read(t, started+c.log)
			if len(rep.Causes) != 1 || rep.Causes[0].Name != string(c.cause) {
				t.Fatalf("causes %+v, want %s", rep.Causes, c.cause)
			}
			row := rep.Causes[0]
			got := map[Outcome]int{Late: row.Late, Refused: row.Refused, Failed: row.Failed, Left: row.Left}
			if got[c.outcome] != 1 || row.Late+row.Refused+row.Failed+row.Left != 1 {
				t.Errorf("%+v, want one %s", row, c.outcome)
			}
			if rep.Service[0].Name != "s" || rep.Domains[0].Name != "d" {
				t.Errorf("service %q, domain %q", rep.Service[0].Name, rep.Domains[0].Name)
			}
		})
	}
}

// What went well, and what the configuration does not allow, is no loss.
func TestNoLosses(t *testing.T) {
	rep := read(t, started+
		about(1, "finish", "done", `"status":200,"took_ms":3`)+
		about(1, "refuse", "unknown_key", `"status":401`))
	if rep.Total.Lost() != 0 || rep.Denied != 1 {
		t.Errorf("%+v", rep)
	}
}

// Streams are late because replicas read the prompts of others again, which another
// node's log tells, whichever is read first.
func TestCauseInAnotherLog(t *testing.T) {
	late := started + lateStream(3, 560, 50, 2000, none)
	led := strings.ReplaceAll(about(2, "detour", "a part of the path is lost", `"taken":1,"silent_ms":120`), `"r"`, `"other"`)
	led = strings.ReplaceAll(led, `"n"`, `"m"`)
	for _, logs := range [][]string{{late, led}, {led, late}} {
		r := NewReader()
		for _, log := range logs {
			if err := r.Read("log", strings.NewReader(log)); err != nil {
				t.Fatal(err)
			}
		}
		if rep := r.Report(); rep.Causes[0].Name != string(OthersReread) {
			t.Errorf("causes %+v", rep.Causes)
		}
	}
}

// A log is cut in the middle of a line, mixed with other output, or written by another
// version: what can be read counts, and each fault is told with file and line.
func TestFaultyLogs(t *testing.T) {
	whole := about(1, "refuse", "no_room", `"status":503`)
	log := started + whole[:len(whole)/2] + "\npanic: something else\n" + "  12.5 vm-1 " + whole +
		strings.Repeat("x", maxLine+1) + "\n" +
		at(4, "started", `"domain":"d"`) + whole
	rep := read(t, log)
	if rep.Total.Refused != 2 || rep.Unreadable != 3 {
		t.Errorf("%d refused, %d can't be read", rep.Total.Refused, rep.Unreadable)
	}
	var told []string
	for _, f := range rep.Faults {
		told = append(told, f.String())
	}
	for i, want := range []string{"log:2: losses: cut", "log:3: losses: no structured line", "log:5: a line of over", "log:6: a node whose log has format 0"} {
		if i >= len(told) || !strings.HasPrefix(told[i], want) {
			t.Errorf("told %q, want %q at %d", told, want, i)
		}
	}
}

func TestLogsThatTellNothing(t *testing.T) {
	for log, want := range map[string]string{"": "vm.log: the file is empty", "hello\nyou\n": "vm.log: none of its 2 lines is a node's"} {
		err := NewReader().Read("vm.log", strings.NewReader(log))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", log, err)
		}
	}
}

// repeated gives the same text many times over, as a file would.
type repeated struct {
	text []byte
	left int
	rest []byte
}

func (r *repeated) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		if r.left == 0 {
			return 0, fmt.Errorf("read past the end")
		}
		r.left--
		r.rest = r.text
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	if len(r.rest) == 0 && r.left == 0 {
		return n, io.EOF
	}
	return n, nil
}

// An operator reads a day's logs on a small machine: memory does not grow with them,
// also if each request leaves its first lines only.
func TestMemoryStaysBounded(t *testing.T) {
	var block bytes.Buffer
	block.WriteString(started)
	for i := range 2000 {
		request := fmt.Sprintf(`"request":"r%d"`, i)
		block.WriteString(strings.Replace(about(1, "route", "cheapest path with room", none), `"request":"r"`, request, 1))
		if i%2 == 0 {
			block.WriteString(strings.Replace(lateStream(3, 560, 50, 2000, `"waited_room_ms":500`), `"request":"r"`, request, 1))
		}
	}
	blocks := 64 << 20 / block.Len()
	told := 0
	r := NewReader()
	r.Progress = func(string, int64) { told++ }
	if err := r.Read("log", &repeated{text: block.Bytes(), left: blocks + 1}); err != nil {
		t.Fatal(err)
	}
	var after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&after)
	if after.HeapAlloc > 50<<20 {
		t.Errorf("%d MB kept after 64 MB of logs", after.HeapAlloc>>20)
	}
	if told == 0 {
		t.Error("no progress was told")
	}
	if rep := r.Report(); rep.Total.Late != (blocks+1)*1000 {
		t.Errorf("%d late, want %d", rep.Total.Late, (blocks+1)*1000)
	}
}

func TestPlotAndTables(t *testing.T) {
	rep := read(t, started+lateStream(3, 560, 50, 2000, `"waited_room_ms":500`)+about(5, "refuse", "no_room", `"status":503`))
	var svg, text bytes.Buffer
	if err := rep.SVG(&svg); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(svg.String(), "<svg") || !strings.Contains(svg.String(), string(NoRoom)) {
		t.Error("the plot has no legend, or is none")
	}
	if err := rep.Text(&text); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "lost: 1 late, 1 refused, 0 failed") {
		t.Error(text.String())
	}
}

// The logs of a whole year are read at once: the plot has as many bars as fit, not one a
// second.
func TestPlotOfALongTime(t *testing.T) {
	last := strings.Replace(about(5, "refuse", "no_room", `"status":503`), "2026-01-01", "2026-12-31", 1)
	rep := read(t, started+about(5, "refuse", "no_room", `"status":503`)+last)
	if bars := rep.lastSecond()/rep.barSeconds() + 1; bars > mostBars {
		t.Errorf("%d bars", bars)
	}
	var svg bytes.Buffer
	if err := rep.SVG(&svg); err != nil {
		t.Fatal(err)
	}
	if svg.Len() > 1<<20 {
		t.Errorf("a plot of %d bytes", svg.Len())
	}
}

// Guards against a caller whose second refusal is taken for load shedding because the first one
// was.
func TestCauseAfterShedding(t *testing.T) {
	rep := read(t, started+about(1, "refuse", "shed_load", `"status":503`)+about(2, "refuse", "no_room", `"status":503`))
	if len(rep.Causes) != 2 || rep.Causes[0].Name != string(NoRoom) || rep.Causes[1].Name != string(ShedLoad) || rep.Total.Refused != 2 {
		t.Errorf("%+v", rep.Causes)
	}
}

// An operator goes from a cause to the requests behind it: each with the lines of its own
// that decided about it, and no other request's.
func TestRequestsOfACause(t *testing.T) {
	other := strings.ReplaceAll(about(2, "refuse", "no_room", `"status":503`), `"r"`, `"other"`)
	log := started + about(1, "retry", "allowed", `"end":"upstream: dial: refused","not_run":1`) +
		about(3, "refuse", "no_endpoint", `"status":503,"waited_ms":40`) + other
	r := NewReader()
	if err := r.Keep(ReplicaGone, 5); err != nil {
		t.Fatal(err)
	}
	if err := r.Read("log", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	list := r.Report().Examples
	if len(list) != 1 || list[0].Request != "r" || list[0].Second != 3 || list[0].Node != "n" || list[0].LostMillis != 40 {
		t.Fatalf("%+v", list)
	}
	if len(list[0].Lines) != 2 || !strings.Contains(list[0].Lines[0], "dial: refused") {
		t.Errorf("lines %q", list[0].Lines)
	}
	var text bytes.Buffer
	if err := r.Report().Text(&text); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "request r  n  refused") {
		t.Error(text.String())
	}
}

// Guards against a list that grows with the logs.
func TestRequestsOfACauseAreBounded(t *testing.T) {
	r := NewReader()
	if err := r.Keep(NoRoom, 3); err != nil {
		t.Fatal(err)
	}
	log := started + strings.Repeat(about(1, "refuse", "no_room", `"status":503`), 50)
	if err := r.Read("log", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	if n := len(r.Report().Examples); n != 3 {
		t.Errorf("%d requests listed, want 3", n)
	}
	for _, limit := range []int{0, -1, MostExamples + 1} {
		if err := r.Keep(NoRoom, limit); err == nil {
			t.Errorf("a limit of %d is taken", limit)
		}
	}
	if _, err := CauseOf("bad luck"); err == nil || !strings.Contains(err.Error(), `"no room"`) {
		t.Errorf("a cause that is none: %v", err)
	}
}

// All nodes lose power and start again; the replicas still run what they had begun, and
// first events come late without any line of their own that tells why. A single node that
// starts is no such reason.
func TestLateAfterTheFleetStarted(t *testing.T) {
	late := lateStream(12, 620, 50, 2000, none)
	for nodes, want := range map[int]Cause{2: FleetStarted, 9: Unexplained} {
		log := started
		for i := range nodes {
			log += strings.ReplaceAll(at(1, "stopped", `"domain":"d"`), `"n"`, fmt.Sprintf(`"n%d"`, i))
		}
		log += at(9, "started", fmt.Sprintf(`"domain":"d","log_format":%d`, decisionlog.LogFormat)) + late
		if rep := read(t, log); rep.Causes[0].Name != string(want) {
			t.Errorf("one of %d nodes started: %+v, want %s", nodes+1, rep.Causes, want)
		}
	}
}
