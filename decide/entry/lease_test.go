package entry

import (
	"testing"
	"time"
)

// Renewals are paid for by all nodes. With one lease for every size a fleet of 88 nodes
// pays twelve times as much as one of 7; callers meet each of its nodes twelve times
// more seldom.
func TestLease(t *testing.T) {
	for _, c := range []struct {
		near int
		want time.Duration
	}{{0, mostLease}, {1, leastLease}, {3, leastLease}, {10, leastLease}, {20, 6 * time.Second}, {29, 8700 * time.Millisecond}, {700, mostLease}} {
		if got := Lease(c.near); got != c.want {
			t.Errorf("%d nodes: %v, want %v", c.near, got, c.want)
		}
	}
}
