package freshness

import (
	"testing"
	"time"
)

// Without a limit on the age of its confirmation, a node that can't reach the store accepts a
// revoked API key for the whole outage. The age counts from the start of the read. If the age
// counted from the arrival of the answer, a node that was stalled before the arrival would
// accept the key for longer than MaxAge.
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

// The answer to an older read arrives after the answer to a newer read. The age of the newest
// confirmation must not change.
func TestRenewalsOutOfOrder(t *testing.T) {
	l := Lease{MaxAge: time.Second}
	l.Renew(5 * time.Second)
	l.Renew(3 * time.Second)
	if age, ok := l.Age(5500 * time.Millisecond); !ok || age != 500*time.Millisecond {
		t.Errorf("age %v, %v; want 500ms", age, ok)
	}
}
