package freshness

import (
	"testing"
	"time"
)

// A caller whose key was taken away is served no longer than the limit after it, by
// any node. A proof counts from the beginning of the read that gave it: a node that
// was frozen while the answer was under way must not count from its arrival.
func TestLeaseExpiresAtMaxAge(t *testing.T) {
	l := Lease{MaxAge: 4 * time.Second}
	if l.Fresh(0) {
		t.Fatal("fresh without a proof")
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

// An answer that comes late, after that of a younger read, takes nothing back; and an
// old one does not make the proof look younger.
func TestRenewalsOutOfOrder(t *testing.T) {
	l := Lease{MaxAge: time.Second}
	l.Renew(5 * time.Second)
	l.Renew(3 * time.Second)
	if age, ok := l.Age(5500 * time.Millisecond); !ok || age != 500*time.Millisecond {
		t.Errorf("age %v, %v; want 500ms", age, ok)
	}
}
