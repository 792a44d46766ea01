package httpapi_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/document"
)

// The caller gets a refusal that it can act on: a status, a code, and the
// statement that nothing was run, which is true, as no endpoint saw the call.
func TestRefusals(t *testing.T) {
	const chat = "/v1/chat/completions"
	const orders = "/services/stock-ledger/orders"
	good := `{"model":"pastry-llm","messages":[{"role":"user","content":"flour"}]}`
	huge := strings.Repeat("x", 4<<20+1)
	cases := []struct {
		name   string
		ask    asked
		status int
		code   string
	}{
		{"no key", asked{http.MethodPost, chat, "", good, nil}, 401, "unknown_key"},
		{"unknown key", asked{http.MethodPost, chat, "no-key", good, nil}, 401, "unknown_key"},
		{"unknown key asks for entry", asked{http.MethodGet, "/v1/entry", "no-key", "", nil}, 401, "unknown_key"},
		{"unknown key orders", asked{http.MethodPost, orders, "no-key", "", nil}, 401, "unknown_key"},
		{"bad JSON", asked{http.MethodPost, chat, teamKey, `{"model":`, nil}, 400, "bad_json"},
		{"no messages", asked{http.MethodPost, chat, teamKey, `{"model":"pastry-llm"}`, nil}, 400, "no_messages"},
		{"negative length", asked{http.MethodPost, chat, teamKey, `{"messages":[{}],"max_tokens":-1}`, nil}, 400, "bad_max_tokens"},
		{"unknown model", asked{http.MethodPost, chat, teamKey, `{"model":"x","messages":[{}]}`, nil}, 404, "unknown_service"},
		{"unknown adapter", asked{http.MethodPost, chat, teamKey, `{"model":"pastry-llm:x","messages":[{}]}`, nil}, 404, "unknown_adapter"},
		{"adapter that nobody holds", asked{http.MethodPost, chat, teamKey, `{"model":"pastry-llm:notes","messages":[{}]}`, nil}, 503, "no_adapter"},
		{"unknown service", asked{http.MethodPost, "/services/x/orders", teamKey, "", nil}, 404, "unknown_service"},
		{"unknown path", asked{http.MethodGet, "/v2", teamKey, "", nil}, 404, "unknown_path"},
		{"wrong method", asked{http.MethodGet, chat, teamKey, "", nil}, 405, "method_not_allowed"},
		{"unknown method", asked{"BREW", orders, teamKey, "", nil}, 405, "method_not_allowed"},
		{"model that is plain", asked{http.MethodPost, chat, teamKey, `{"model":"stock-ledger","messages":[{}]}`, nil}, 400, "not_a_model"},
		{"plain that is a model", asked{http.MethodPost, "/services/pastry-llm/x", teamKey, "", nil}, 400, "not_plain"},
		{"service of others", asked{http.MethodPost, orders, notesKey, "", nil}, 403, "not_allowed"},
		{"prompt too large", asked{http.MethodPost, chat, teamKey, huge, nil}, 413, "body_too_large"},
		{"order too large", asked{http.MethodPost, orders, teamKey, huge, nil}, 413, "body_too_large"},
		{"bad class", asked{http.MethodPost, chat, teamKey, good, map[string]string{outcome.HeaderClass: "urgent"}}, 400, "bad_class"},
		{"bad timeout", asked{http.MethodPost, orders, teamKey, "", map[string]string{outcome.HeaderTimeout: "soon"}}, 400, "bad_timeout"},
	}
	s := newSite(t, siteConfig{chains: 1})
	s.document.Services[0].Model.Adapters = []document.Adapter{{Name: "notes", Version: "1"}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { refusedAs(t, s.ask(c.ask), c.status, c.code) })
	}
	if n := len(s.seen) + s.opened(); n != 0 {
		t.Errorf("%d refused calls reached an endpoint", n)
	}
}

// The caller of a node that has no document yet is told to come back, whatever
// it asks: the node would have to guess who may call and what exists.
func TestNotReady(t *testing.T) {
	s := newSite(t, siteConfig{chains: 1})
	s.directory.Store(nil)
	for _, path := range []string{"/v1/entry", "/v1/chat/completions", "/services/stock-ledger/orders"} {
		method := http.MethodPost
		if path == "/v1/entry" {
			method = http.MethodGet
		}
		got := s.ask(asked{method, path, teamKey, "{}", nil})
		refusedAs(t, got, http.StatusServiceUnavailable, "not_ready")
		if got.header.Get("Retry-After") != "1" {
			t.Errorf("%s: Retry-After is %q", path, got.header.Get("Retry-After"))
		}
	}
}

// refusedAs checks a refusal that says, in header and body, that nothing ran.
func refusedAs(t *testing.T, got received, status int, code string) {
	t.Helper()
	var body outcome.Body
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatalf("%v: %s", err, got.body)
	}
	e := body.Error
	if got.status != status || e.Code != code || e.Outcome != outcome.NotRun || got.outcome() != outcome.NotRun || e.Message == "" {
		t.Errorf("got %d, outcome %q, %+v; want %d %s not-run", got.status, got.outcome(), e, status, code)
	}
}
