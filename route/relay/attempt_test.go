package relay

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
)

// If a non-idempotent request that may have run were retried, it could run twice. Such a request
// is retried only if it provably did not run. An idempotent request is also retried if it may
// have run, at no more replicas than its route allows.
func TestOnlySafeRetriesAreMade(t *testing.T) {
	broken := attemptResult{kind: resultUnknown, feedback: targets.Result{Failure: health.BrokenResponse}}
	refused := attemptResult{kind: resultNotRun, feedback: targets.Result{Failure: health.Unreachable}}
	unsent := attemptResult{kind: resultNotSent, feedback: targets.Result{Failure: health.Unreachable}}
	failed := attemptResult{kind: resultFailed, feedback: targets.Result{Failure: health.Internal}}
	for _, c := range []struct {
		name            string
		kind            ruleset.RouteKind
		mayHaveRunCount int
		last            attemptResult
		wantRetry       bool
	}{
		{"order, unknown", ruleset.NonIdempotent, 1, broken, false},
		{"order, failed", ruleset.NonIdempotent, 1, failed, false},
		{"order, refused", ruleset.NonIdempotent, 0, refused, true},
		{"order, not sent", ruleset.NonIdempotent, 0, unsent, true},
		{"read, unknown", ruleset.Idempotent, 1, broken, true},
		{"read, failed", ruleset.Idempotent, 2, failed, true},
		{"read, replica limit reached", ruleset.Idempotent, 3, failed, false},
	} {
		now := time.Now()
		req := &requestState{
			Request: &Request{
				Route:  &ruleset.Route{Kind: c.kind, MaxReplicas: 3},
				Budget: retrybudget.New(retry.Config{}, func() time.Time { return now }), Deadline: now.Add(time.Minute),
			},
			server:         &Server{Now: func() time.Time { return now }},
			attemptHistory: attemptHistory{attemptCount: 1, mayHaveRunOn: make([]string, c.mayHaveRunCount)},
		}
		if d := req.askBudget(c.last); d.Retry != c.wantRetry {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}
