package plainservice

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/outcome"
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
