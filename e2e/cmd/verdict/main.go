// Command verdict reads the event stream of `go test -json` and decides
// whether the run passed. Failures listed in KNOWN-RED.txt are printed but do
// not fail the run; every other failure, and any build error, does.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

// maxKnownRed is the most failures that may be listed as known.
const maxKnownRed = 3

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "file of known failures")
	exit := flag.Int("exit", 0, "exit status of go test")
	flag.Parse()
	red, err := readKnown(*known)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	if !judge(os.Stdin, os.Stdout, red, *exit) {
		os.Exit(1)
	}
}

// readKnown returns the listed failures as "package test".
func readKnown(path string) (map[string]bool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	red := map[string]bool{}
	for _, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "|")
		red[strings.Join(strings.Fields(name), " ")] = true
	}
	if len(red) > maxKnownRed {
		return nil, fmt.Errorf("%s lists %d failures; at most %d may be known", path, len(red), maxKnownRed)
	}
	return red, nil
}

// tally counts what a run did.
type tally struct {
	passed, failed, skipped, known int
	packageFailed                  map[string]bool
	testFailedIn                   map[string]bool
}

// judge prints the failures and the closing count, and reports whether the
// run passed. A package that failed without any failing test (a build error,
// a panic, a timeout) always fails the run.
func judge(in io.Reader, out io.Writer, red map[string]bool, exit int) bool {
	t := tally{packageFailed: map[string]bool{}, testFailedIn: map[string]bool{}}
	output := map[string]*strings.Builder{}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 1<<20), 1<<26)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		t.take(e, red, output, out)
	}
	unexplained := t.unexplained()
	for _, p := range unexplained {
		fmt.Fprintf(out, "FAIL %s (no single test failed: build error, panic or timeout)\n", p)
		printOutput(out, output[p+" "])
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", t.passed, t.failed+t.known, t.skipped)
	buildBroken := exit != 0 && len(t.packageFailed) == 0
	return t.failed == 0 && len(unexplained) == 0 && !buildBroken && t.passed > 0
}

func (t *tally) take(e event, red map[string]bool, output map[string]*strings.Builder, out io.Writer) {
	name := e.Package + " " + e.Test
	switch e.Action {
	case "output":
		if output[name] == nil {
			output[name] = &strings.Builder{}
		}
		output[name].WriteString(e.Output)
	case "pass":
		if e.Test != "" {
			t.passed++
		}
	case "skip":
		if e.Test != "" {
			t.skipped++
		}
	case "fail":
		t.takeFailure(e, name, red, output[name], out)
	}
}

func (t *tally) takeFailure(e event, name string, red map[string]bool, text *strings.Builder, out io.Writer) {
	if e.Test == "" {
		t.packageFailed[e.Package] = true
		return
	}
	t.testFailedIn[e.Package] = true
	top, _, _ := strings.Cut(e.Test, "/")
	if red[e.Package+" "+top] {
		t.known++
		fmt.Fprintf(out, "KNOWN RED %s\n", name)
		return
	}
	t.failed++
	fmt.Fprintf(out, "FAIL %s\n", name)
	printOutput(out, text)
}

func (t *tally) unexplained() []string {
	var names []string
	for p := range t.packageFailed {
		if !t.testFailedIn[p] {
			names = append(names, p)
		}
	}
	return names
}

func printOutput(out io.Writer, text *strings.Builder) {
	if text != nil {
		fmt.Fprint(out, text.String())
	}
}
