package httpapi_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/draining"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// Guards against a call that a node accepts although its drain reaches its limit before the call's
// deadline: the caller of an order would not learn whether it was placed.
func TestCallsThatOutlastTheDrainAreRefused(t *testing.T) {
	n := newTestNode(t, testNodeConfig{chains: 1})
	drain := draining.Drain{Elapsed: 5 * time.Second, AcceptFor: 10 * time.Second, End: 10 * time.Second}
	n.server.Drain = func() draining.Drain { return drain }
	timeout := func(r apiRequest, millis string) apiRequest {
		r.header = map[string]string{outcome.HeaderTimeout: millis, outcome.HeaderIdempotencyKey: millis}
		return r
	}
	for _, c := range []struct {
		name    string
		request apiRequest
		refused bool
	}{
		{"order that ends before the node", timeout(orderRequest("a", "flour"), "3000"), false},
		{"order that may outlast the node", timeout(orderRequest("b", "flour"), "6000"), true},
		{"order without a timeout", orderRequest("c", "flour"), true},
		{"stream that ends before the node", timeout(chatRequest(true), "3000"), false},
		{"stream that may outlast the node", chatRequest(true), true},
	} {
		if got := n.send(c.request); c.refused {
			checkRefusal(t, got, http.StatusServiceUnavailable, "leaving")
		} else if got.status >= http.StatusMultipleChoices {
			t.Errorf("%s: status %d, %s", c.name, got.status, got.body)
		}
	}
	drain = draining.Drain{}
	if got := n.send(orderRequest("d", "flour")); got.status >= http.StatusMultipleChoices {
		t.Errorf("status %d without a drain", got.status)
	}
}
