package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/draining"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
)

// stoppingTargets are targets at which a request waits for capacity until the node was told to stop.
type stoppingTargets struct {
	targets.Targets
	stop func()
}

func (s stoppingTargets) Choose(ctx context.Context, q targets.Query) (targets.Target, error) {
	s.stop()
	return s.Targets.Choose(ctx, q)
}

// Guards against an order that waits for capacity when the node is told to stop, and is sent to a
// replica although the node ends before the order may.
func TestWaitingOrderIsNotSentIfItOutlastsTheNode(t *testing.T) {
	for name, c := range map[string]struct {
		kind    ruleset.RouteKind
		timeout time.Duration
		sent    bool
	}{
		"order that ends before the node": {ruleset.NonIdempotent, 2 * time.Second, true},
		"order that may outlast the node": {ruleset.NonIdempotent, 9 * time.Second, false},
		"read that may outlast the node":  {ruleset.Idempotent, 9 * time.Second, true},
	} {
		s := newShedding(t)
		s.plainAnswers = true
		var drain draining.Drain
		s.Drain = func() draining.Drain { return drain }
		waiting := stoppingTargets{s.targets, func() { drain = draining.Drain{Elapsed: 1, AcceptFor: 6 * time.Second, End: 8 * time.Second} }}
		w := httptest.NewRecorder()
		s.Serve(context.Background(), w, &Request{
			Service: "ledger", Targets: waiting, Method: http.MethodPost, Target: "/", Header: http.Header{},
			Route:  &ruleset.Route{Kind: c.kind, MaxReplicas: 2, Timeout: c.timeout, LatencyObjective: time.Second},
			Budget: retrybudget.New(retry.Config{Burst: 10}, time.Now), Arrived: time.Now(), Deadline: time.Now().Add(c.timeout),
		})
		told := w.Header().Get("Refused")
		if sent := len(s.arrived) > 0; sent != c.sent || !sent && (w.Code != http.StatusServiceUnavailable || told != "leaving not-run") {
			t.Errorf("%s: sent %v, status %d %q", name, sent, w.Code, told)
		}
	}
}
