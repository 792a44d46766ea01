package plainservice

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/ledger"
)

// If an order in progress were in doubt at once, a person would have to check an order
// whose result arrives a moment later. If a lost order stayed in progress, its caller
// would retry for good. Neither answer says "not run".
func TestOrderWithoutResult(t *testing.T) {
	for _, c := range []struct {
		age           time.Duration
		code          string
		hasRetryAfter bool
	}{
		{-time.Second, "in_progress", true}, // the clock of the claiming node is ahead
		{0, "in_progress", true},
		{inProgressTime - 1, "in_progress", true},
		{inProgressTime, "in_doubt", false},
		{time.Hour, "in_doubt", false},
	} {
		got := noResultRefusal(c.age)
		if got.Code != c.code || got.RetryAfter > 0 != c.hasRetryAfter || got.Outcome != outcome.Unknown {
			t.Errorf("after %v: %+v", c.age, got)
		}
	}
}

// Guards against callers who get no answer, since the HTTP server panics at the status that is kept of
// a placed order's answer.
func TestKeptStatusThatIsNone(t *testing.T) {
	for _, status := range []int{math.MinInt, -1, 0, 99, 100, 199, 600, 1000, math.MaxInt} {
		for _, truncated := range []bool{false, true} {
			got := notKeptRefusal(&ledger.Result{Status: status, Truncated: truncated})
			if got == nil || got.Status != http.StatusBadGateway || got.Outcome != outcome.Done {
				t.Errorf("status %d: %+v", status, got)
			}
		}
	}
	if got := notKeptRefusal(&ledger.Result{Status: 201}); got != nil {
		t.Errorf("a kept answer: %+v", got)
	}
	if got := notKeptRefusal(&ledger.Result{Status: 201, Truncated: true}); got == nil || got.Status != 201 || got.Outcome != outcome.Done {
		t.Errorf("an answer that was too long: %+v", got)
	}
}
