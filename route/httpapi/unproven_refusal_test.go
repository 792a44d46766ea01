package httpapi_test

import (
	"net/http"
	"testing"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// Guards against an order that counts as not run, and is sent again under its key, because an endpoint that has worked
// on it answers with the status of a refusal. The outcome says that it was placed, also where it is repeated.
func TestStatusOfAnEndpointDoesNotMakeAnOrderNotRun(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
		for _, proven := range []bool{false, true} {
			n := newTestNode(t, testNodeConfig{})
			n.respond = func(w http.ResponseWriter, _ *http.Request) {
				if proven {
					w.Header().Set(engineapi.HeaderNotRun, "1")
				}
				w.Header().Set("Retry-After", "0")
				w.WriteHeader(status)
			}
			for _, key := range []string{"k", "k", ""} {
				before := len(n.plainRequests)
				got := n.send(orderRequest(key, "flour"))
				sent := len(n.plainRequests) - before
				switch {
				case proven && got.outcome() != outcome.NotRun:
					t.Errorf("%d with proof, key %q: %d, %s", status, key, got.status, got.outcome())
				case !proven && (got.status != status || got.outcome() != outcome.Done):
					t.Errorf("%d without proof, key %q: %d, %s", status, key, got.status, got.outcome())
				case !proven && sent > 1:
					t.Errorf("%d without proof, key %q: sent %d times", status, key, sent)
				}
			}
			if !proven && len(n.plainRequests) != 2 {
				t.Errorf("%d without proof: two orders arrived %d times", status, len(n.plainRequests))
			}
		}
	}
}
