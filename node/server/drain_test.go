package server

import (
	"testing"
	"time"
)

// A node that serves on while it leaves is frozen until its time is over. Callers
// connect meanwhile, and the kernel takes their connections. If the node closed
// its listener as it wakes, they would be reset; so it serves on for a while.
func TestStandstillIsNotServing(t *testing.T) {
	for _, row := range []struct{ left, since, want time.Duration }{
		{5 * time.Second, servingTick, 5*time.Second - servingTick},
		{servingTick, 2 * servingTick, -servingTick},
		{5 * time.Second, time.Minute, 5 * time.Second},
		{servingTick, time.Minute, afterStandstill},
	} {
		left := servingTime(row.left)
		left.passed(row.since)
		if time.Duration(left) != row.want {
			t.Errorf("%s left, %s passed: %s left, want %s", row.left, row.since, time.Duration(left), row.want)
		}
	}
}
