package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

// A key that is missing or wrong, and a listener that speaks TLS to a command
// that does not: each message names the option that is left out.
func TestNodeRefusals(t *testing.T) {
	locked := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "an operator's key is needed", http.StatusUnauthorized)
	}))
	defer locked.Close()
	secure := httptest.NewTLSServer(http.NotFoundHandler())
	defer secure.Close()

	d := &desk{t: t}
	at := strings.TrimPrefix(locked.URL, "http://")
	d.fails(&statusCommand{Node: at}, "401", "--operator-key")
	d.fails(&drainCommand{Node: at}, "401", "--operator-key")
	d.fails(&explainCommand{Node: at, Request: "r"}, "401", "--operator-key")
	d.fails(&entryCommand{Node: at, Key: "k"}, "401", "--key")
	d.fails(&statusCommand{Node: strings.TrimPrefix(secure.URL, "https://")}, "--authorities FILE")
}

// The address of the wrong listener: callers' for status, operators' for entry.
func TestWrongListener(t *testing.T) {
	operatorsListener := httptest.NewServer(http.NotFoundHandler())
	defer operatorsListener.Close()
	callers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, `{"error":{"code":"unknown_path"}}`, http.StatusNotFound)
	}))
	defer callers.Close()

	d := &desk{t: t}
	d.fails(&entryCommand{Node: strings.TrimPrefix(operatorsListener.URL, "http://"), Key: "k"}, "callers' address")
	d.fails(&statusCommand{Node: strings.TrimPrefix(callers.URL, "http://")}, "operators'")
}

// Guards against a state of the node that the command asks for and does not show.
func TestStatusShowsLoadControl(t *testing.T) {
	var out strings.Builder
	printStatus(&out, operators.Status{
		CutOff:      map[string]int64{"llm": 700},
		LoadControl: map[string]operators.LoadControl{"llm": {Saturated: true, WaitMillis: 812, FirstEventsPerSecond: 40, AdmittedPerSecond: 31, Nodes: 3}},
	})
	for _, want := range []string{"reached for 700 ms", "saturated, 31 requests", "wait 812 ms, 40 first events per second, figures of 3 nodes"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q lacks %q", out.String(), want)
		}
	}
}

// A node that is up and has no document, and an address where nobody listens: the
// message says what to do, and shows no JSON.
func TestNodeNotThereYet(t *testing.T) {
	waiting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, `{"error":{"code":"not_ready","message":"no document yet"}}`, http.StatusServiceUnavailable)
	}))
	at := strings.TrimPrefix(waiting.URL, "http://")
	d := &desk{t: t}
	err := d.fails(&entryCommand{Node: at, Key: "k"}, "503 Service Unavailable: no document yet", "trial and promote")
	if strings.Contains(err.Error(), "{") {
		t.Errorf("the message shows JSON: %v", err)
	}
	waiting.Close()
	d.fails(&statusCommand{Node: at}, "connection refused", "is the node up")
}

// Guards against answers of nodes whose head is none, and that are shown as the node's state.
func TestBrokenHeadsAreNotShown(t *testing.T) {
	d := &desk{t: t}
	for _, answer := range answertest.Broken("{}") {
		d.fails(&statusCommand{Node: answertest.Serve(t, func(string) string { return answer })})
	}
}
