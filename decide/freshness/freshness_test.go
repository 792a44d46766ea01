package freshness

import (
	"testing"
	"time"
)

// No node accepts a revoked key for longer than MaxAge. The age counts from the start of the
// read: a node that was stalled while the answer was on its way must not count from the
// arrival of the answer.
func TestLeaseExpiresAtMaxAge(t *testing.T) {
	l := Lease{MaxAge: 4 * time.Second}
	if l.Fresh(0) {
		t.Fatal("fresh without a confirmation")
	}
	l.Renew(10 * time.Second)
	for _, c := range []struct {
		now  time.Duration
		want bool
	}{
		{10 * time.Second, true},
		{14*time.Second - 1, true},
		{14 * time.Second, false},
		{time.Hour, false},
	} {
		if got := l.Fresh(c.now); got != c.want {
			t.Errorf("at %v: fresh %v, want %v", c.now, got, c.want)
		}
	}
}

// A late answer to an older read doesn't change the age of the newest confirmation.
func TestRenewalsOutOfOrder(t *testing.T) {
	l := Lease{MaxAge: time.Second}
	l.Renew(5 * time.Second)
	l.Renew(3 * time.Second)
	if age, ok := l.Age(5500 * time.Millisecond); !ok || age != 500*time.Millisecond {
		t.Errorf("age %v, %v; want 500ms", age, ok)
	}
}
