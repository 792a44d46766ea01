// Package wait pauses until a time has passed or a context has ended.
package wait

import (
	"context"
	"time"
)

// For pauses for d. It returns false, early, if ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
