package httpapi_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	standinplain "github.com/cicadatack/cicadatack/standin/plain"
)

// Guards against callers who wait for a retry that helps nobody: all endpoints refuse, and the
// retry budget is spent. Such a caller holds a slot, and learns nothing until it gives up.
func TestCallersAreRefusedWhileAllEndpointsRefuse(t *testing.T) {
	const (
		calls    = 120
		interval = 16 * time.Millisecond
		patience = 5 * time.Second
	)
	n := newTestNode(t, testNodeConfig{})
	n.setPlainFaults(standinplain.Faults{Refuse: true})
	ctx, cancel := context.WithTimeout(context.Background(), calls*interval+patience)
	defer cancel()
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			got, err := n.sendWithContext(ctx, apiRequest{method: http.MethodGet, path: "/services/" + stockLedger + "/items", key: teamKey})
			if err != nil || got.outcome() != "not-run" {
				t.Errorf("%d %s, %v; want a refusal that says not run", got.status, got.outcome(), err)
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
}
