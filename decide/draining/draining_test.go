package draining

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against a request that is accepted although its node ends before the request's deadline,
// and against callers who are refused without need.
func TestRequestsAreAcceptedWhileTheyEndBeforeTheNode(t *testing.T) {
	for _, c := range []struct {
		name               string
		elapsed, remaining time.Duration
		idempotent, want   bool
	}{
		{"not told to stop", 0, time.Hour, false, true},
		{"short order, at once", 1 * ms, 1500 * ms, false, true},
		{"short order, late", 5900 * ms, 1500 * ms, false, true},
		{"short order, callers have no address any more", 6000 * ms, 10 * ms, false, false},
		{"order that ends with the node", 4500 * ms, 3000 * ms, false, true},
		{"order that ends after the node", 4501 * ms, 3000 * ms, false, false},
		{"long order, at once", 1 * ms, 20_000 * ms, false, false},
		{"long stream, early", 2500 * ms, 20_000 * ms, true, true},
		{"long stream, later", 2600 * ms, 20_000 * ms, true, false},
		{"stream with a near deadline, later", 5000 * ms, 2000 * ms, true, true},
	} {
		d := Drain{Elapsed: c.elapsed, AcceptFor: 6 * time.Second, End: 7600 * ms}
		if got := d.Accepts(c.remaining, c.idempotent); got != c.want {
			t.Errorf("%s: accepted: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against an order that has waited since it was accepted and is sent although the node ends before
// the order's deadline, and against reads and streams that are given up for it.
func TestOnlyOrdersThatEndBeforeTheNodeAreSent(t *testing.T) {
	for _, c := range []struct {
		name               string
		elapsed, remaining time.Duration
		idempotent, want   bool
	}{
		{"not told to stop", 0, time.Hour, false, true},
		{"order that ends with the node", 4500 * ms, 3000 * ms, false, true},
		{"order that ends after the node", 4501 * ms, 3000 * ms, false, false},
		{"order that ends in time, callers have no address any more", 6500 * ms, 900 * ms, false, true},
		{"long stream, late", 7000 * ms, time.Hour, true, true},
	} {
		d := Drain{Elapsed: c.elapsed, AcceptFor: 6 * time.Second, End: 7600 * ms}
		if got := d.MaySend(c.remaining, c.idempotent); got != c.want {
			t.Errorf("%s: sent: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against periods that suit one grace period only: whatever it is, an accepted order ends
// before the node does, and long streams are accepted in its first third, for 3 s at most. Callers must be
// answered who send one later.
func TestPeriodsFollowTheGracePeriod(t *testing.T) {
	for _, end := range []time.Duration{500 * ms, 3 * time.Second, 7600 * ms, 30 * time.Second, 5 * time.Minute} {
		for part := 1; part < 100; part++ {
			d := Drain{Elapsed: end * time.Duration(part) / 100, AcceptFor: end, End: end}
			for _, remaining := range []time.Duration{10 * ms, 800 * ms, 3 * time.Second, 20 * time.Second, time.Hour} {
				if d.Accepts(remaining, false) && d.Elapsed+remaining >= end {
					t.Errorf("end after %v: an order with %v left is accepted after %v", end, remaining, d.Elapsed)
				}
			}
			if got, want := d.Accepts(time.Hour, true), part < 34 && d.Elapsed < 3*time.Second; got != want {
				t.Errorf("end after %v: long streams are accepted after %v: %v, want %v", end, d.Elapsed, got, want)
			}
		}
	}
}
