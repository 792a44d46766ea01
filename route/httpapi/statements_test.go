package httpapi_test

import (
	"net/http"
	"testing"

	standinengine "github.com/cicadatack/cicadatack/standin/engine"
	standinplain "github.com/cicadatack/cicadatack/standin/plain"
)

// pushback is longer than the test.
const pushback = "600"

// Guards against requests to engines that have stated that they want none, because no other
// chain is left. Callers are refused at once.
func TestEnginesThatWantNoRequestsGetNone(t *testing.T) {
	n := newTestNode(t, testNodeConfig{chains: 2})
	n.engines[0][0].Engine.SetFaults(standinengine.Faults{Refuse: true, RetryAfter: pushback})
	for range 10 {
		if answer := readStream(t, n.send(chatRequest(true)).body); answer.text != referenceAnswer() {
			t.Errorf("%q, want the answer of the other chain", answer.text)
		}
	}
	n.engines[1][0].Engine.SetFaults(standinengine.Faults{Refuse: true, RetryAfter: pushback})
	for range 10 {
		checkRefusal(t, n.send(chatRequest(true)), http.StatusServiceUnavailable, "no_chain")
	}
	for i, pair := range n.engines {
		if refused := pair[0].Engine.Stats().Refused; refused != 1 {
			t.Errorf("engine %d refused %d requests, want the first one only", i, refused)
		}
	}
}

// Guards against calls and orders to endpoints of a plain service that have stated that they
// want none. Callers are refused at once, and are told when to return.
func TestPlainEndpointsThatWantNoRequestsGetNone(t *testing.T) {
	n := newTestNode(t, testNodeConfig{})
	n.setPlainFaults(standinplain.Faults{Refuse: true, RetryAfter: pushback})
	read := apiRequest{method: http.MethodGet, path: "/services/" + stockLedger + "/items", key: teamKey}
	for i := range 10 {
		for _, request := range []apiRequest{read, orderRequest("", "{}"), orderRequest(string(rune('a'+i)), "{}")} {
			got := n.send(request)
			if got.status != http.StatusServiceUnavailable || got.outcome() != "not-run" || got.header.Get("Retry-After") == "" {
				t.Errorf("%d, %s, Retry-After %q; want a refusal that says not run and when to return", got.status, got.outcome(), got.header.Get("Retry-After"))
			}
		}
	}
	if got := len(n.plainRequests); got != len(n.plainEndpoints) {
		t.Errorf("%d requests reached the %d endpoints, want one each", got, len(n.plainEndpoints))
	}
}

// Guards against calls to an endpoint of a plain service that says in its answers that it is
// leaving, also if it is the last one.
func TestPlainEndpointsThatLeaveGetNoRequests(t *testing.T) {
	n := newTestNode(t, testNodeConfig{})
	n.setPlainFaults(standinplain.Faults{Leaving: true})
	read := apiRequest{method: http.MethodGet, path: "/services/" + stockLedger + "/items", key: teamKey}
	for i := range 10 {
		got, served := n.send(read), i < len(n.plainEndpoints)
		if served && got.status != http.StatusOK || !served && got.outcome() != "not-run" {
			t.Errorf("call %d: %d, %s; want the first call of each endpoint served, all others refused", i, got.status, got.outcome())
		}
	}
	if got := len(n.plainRequests); got != len(n.plainEndpoints) {
		t.Errorf("%d calls reached the %d endpoints, want one each", got, len(n.plainEndpoints))
	}
}
