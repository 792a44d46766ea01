package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A loop that waits for its next turn ends with its context, not a turn later.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		if !For(t.Context(), time.Minute) || time.Since(begun) != time.Minute {
			t.Errorf("after %v", time.Since(begun))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun = time.Now()
		if For(ctx, time.Minute) || time.Since(begun) != time.Second {
			t.Errorf("the context ended, and it waited for %v", time.Since(begun))
		}
	})
}
