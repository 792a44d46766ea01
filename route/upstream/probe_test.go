package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against a silent host that counts as one that refuses connections, because the dial's own
// timeout ended it before the timer of its context fired. A refusal counts as the crash of the
// replica, and its streams wait ten times as long for another replica.
func TestProbeTellsASilentHostFromARefusal(t *testing.T) {
	for _, c := range []struct {
		name    string
		err     error
		answers bool
	}{
		{"refused", syscall.ECONNREFUSED, true},
		{"reset", syscall.ECONNRESET, true},
		{"timeout of the socket", os.ErrDeadlineExceeded, false},
		{"timeout of the host's network", syscall.ETIMEDOUT, false},
		{"no way to the host", syscall.EHOSTUNREACH, false},
		{"no local port", syscall.EADDRNOTAVAIL, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			reported := 0
			pool := New(time.Now)
			pool.OnDial = func(_ string, connected bool) {
				if connected {
					t.Error("reported as connected")
				}
				reported++
			}
			pool.dial = func(context.Context, string, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", c.err)}
			}
			accepts, answers := pool.Reachable(context.Background(), "10.0.0.1:1", time.Minute)
			if accepts || answers != c.answers {
				t.Errorf("accepts %t, answers %t", accepts, answers)
			}
			if reported != 1 || pool.OpenConns() != 0 {
				t.Errorf("reported %d times, %d connections open", reported, pool.OpenConns())
			}
		})
	}
}
