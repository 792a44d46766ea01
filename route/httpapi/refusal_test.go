package httpapi_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/document"
)

// If a refused call reached an endpoint, the outcome "not run" would be false, and a
// retry could run the call twice. Each refusal has a status, a code and the outcome.
func TestRefusedCallsReachNoEndpoint(t *testing.T) {
	const chatPath = "/v1/chat/completions"
	const stockLedgerOrdersPath = "/services/stock-ledger/orders"
	good := `{"model":"pastry-llm","messages":[{"role":"user","content":"flour"}]}`
	huge := strings.Repeat("x", 4<<20+1)
	cases := []struct {
		name    string
		request apiRequest
		status  int
		code    string
	}{
		{"no key", apiRequest{http.MethodPost, chatPath, "", good, nil}, 401, "unknown_key"},
		{"unknown key", apiRequest{http.MethodPost, chatPath, "no-key", good, nil}, 401, "unknown_key"},
		{"unknown key asks for entry", apiRequest{http.MethodGet, "/v1/entry", "no-key", "", nil}, 401, "unknown_key"},
		{"unknown key orders", apiRequest{http.MethodPost, stockLedgerOrdersPath, "no-key", "", nil}, 401, "unknown_key"},
		{"bad JSON", apiRequest{http.MethodPost, chatPath, teamKey, `{"model":`, nil}, 400, "bad_json"},
		{"no messages", apiRequest{http.MethodPost, chatPath, teamKey, `{"model":"pastry-llm"}`, nil}, 400, "no_messages"},
		{"negative length", apiRequest{http.MethodPost, chatPath, teamKey, `{"messages":[{}],"max_tokens":-1}`, nil}, 400, "bad_max_tokens"},
		{"unknown model", apiRequest{http.MethodPost, chatPath, teamKey, `{"model":"x","messages":[{}]}`, nil}, 404, "unknown_service"},
		{"unknown adapter", apiRequest{http.MethodPost, chatPath, teamKey, `{"model":"pastry-llm:x","messages":[{}]}`, nil}, 404, "unknown_adapter"},
		{"adapter that no replica holds", apiRequest{http.MethodPost, chatPath, teamKey, `{"model":"pastry-llm:notes","messages":[{}]}`, nil}, 503, "no_adapter"},
		{"unknown service", apiRequest{http.MethodPost, "/services/x/orders", teamKey, "", nil}, 404, "unknown_service"},
		{"unknown path", apiRequest{http.MethodGet, "/v2", teamKey, "", nil}, 404, "unknown_path"},
		{"wrong method", apiRequest{http.MethodGet, chatPath, teamKey, "", nil}, 405, "method_not_allowed"},
		{"unknown method", apiRequest{"BREW", stockLedgerOrdersPath, teamKey, "", nil}, 405, "method_not_allowed"},
		{"model that is plain", apiRequest{http.MethodPost, chatPath, teamKey, `{"model":"stock-ledger","messages":[{}]}`, nil}, 400, "not_a_model"},
		{"plain that is a model", apiRequest{http.MethodPost, "/services/pastry-llm/x", teamKey, "", nil}, 400, "not_plain"},
		{"service that the team may not call", apiRequest{http.MethodPost, stockLedgerOrdersPath, assistantOnlyKey, "", nil}, 403, "not_allowed"},
		{"prompt too large", apiRequest{http.MethodPost, chatPath, teamKey, huge, nil}, 413, "body_too_large"},
		{"order too large", apiRequest{http.MethodPost, stockLedgerOrdersPath, teamKey, huge, nil}, 413, "body_too_large"},
		{"bad class", apiRequest{http.MethodPost, chatPath, teamKey, good, map[string]string{outcome.HeaderClass: "urgent"}}, 400, "bad_class"},
		{"bad timeout", apiRequest{http.MethodPost, stockLedgerOrdersPath, teamKey, "", map[string]string{outcome.HeaderTimeout: "soon"}}, 400, "bad_timeout"},
	}
	n := newTestNode(t, testNodeConfig{chains: 1})
	n.document.Services[0].Model.Adapters = []document.Adapter{{Name: "notes", Version: "1"}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { checkRefusal(t, n.send(c.request), c.status, c.code) })
	}
	if n := len(n.plainRequests) + n.openedStreams(); n != 0 {
		t.Errorf("%d refused calls reached an endpoint", n)
	}
}

// A node without a document can't check keys and does not know the services. If it
// answered 401 or 404, valid callers would take the refusal for final. Every call gets
// a Retry-After.
func TestNodeWithoutDocumentRefuses(t *testing.T) {
	n := newTestNode(t, testNodeConfig{chains: 1})
	n.documentIndex.Store(nil)
	for _, path := range []string{"/v1/entry", "/v1/chat/completions", "/services/stock-ledger/orders"} {
		method := http.MethodPost
		if path == "/v1/entry" {
			method = http.MethodGet
		}
		got := n.send(apiRequest{method, path, teamKey, "{}", nil})
		checkRefusal(t, got, http.StatusServiceUnavailable, "not_ready")
		if got.header.Get("Retry-After") != "1" {
			t.Errorf("%s: Retry-After is %q", path, got.header.Get("Retry-After"))
		}
	}
}

// checkRefusal checks the status and the code of a refusal, and that header and body
// give the outcome "not run".
func checkRefusal(t *testing.T, got apiResponse, status int, code string) {
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
