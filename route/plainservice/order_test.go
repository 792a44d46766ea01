package plainservice

import (
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/outcome"
)

// A caller asks again for an order without a result. While the first request may
// still be underway it is told when to come back; later that it is in doubt, with
// no time to come back, as the result will not come. Neither says "not run".
func TestOrderWithoutResult(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		code string
		back bool
	}{
		{-time.Second, "in_progress", true}, // the claiming node's clock is ahead
		{0, "in_progress", true},
		{inProgressTime - 1, "in_progress", true},
		{inProgressTime, "in_doubt", false},
		{time.Hour, "in_doubt", false},
	} {
		got := noResultRefusal(c.age)
		if got.Code != c.code || got.RetryAfter > 0 != c.back || got.Outcome != outcome.Unknown {
			t.Errorf("after %v: %+v", c.age, got)
		}
	}
}
