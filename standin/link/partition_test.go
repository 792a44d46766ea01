package link

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// echo starts a target that returns what it reads, and a link to it.
func echo(t *testing.T) *Link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	l, err := Listen(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func dial(t *testing.T, l *Link) (net.Conn, error) {
	t.Helper()
	c, err := net.DialTimeout("tcp", l.Address(), 200*time.Millisecond)
	if err == nil {
		t.Cleanup(func() { c.Close() })
	}
	return c, err
}

// returned reports whether a byte comes back in time.
func returned(c net.Conn) error {
	if _, err := c.Write([]byte("a")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err
}

// Guards against tests of partitions that test something else: what new and open connections do
// under each fault.
func TestPartitions(t *testing.T) {
	for _, c := range []struct {
		fault        Fault
		openLives    bool
		refuses      bool
		reachesAgain bool
	}{
		{Faults[0], false, true, false},
		{Faults[1], true, true, true},
		{Faults[2], false, false, true},
		{Faults[3], false, false, true},
		{Faults[4], false, false, true},
	} {
		t.Run(c.fault.Name, func(t *testing.T) {
			l := echo(t)
			open, err := dial(t, l)
			if err != nil {
				t.Fatal(err)
			}
			if err := returned(open); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				c.fault.Apply(l)
			}
			if err := returned(open); (err == nil) != c.openLives {
				t.Errorf("the open connection: %v", err)
			}
			_, err = dial(t, l)
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) != c.refuses {
				t.Errorf("a new connection: %v, refused: want %v", err, c.refuses)
			}
			l.Heal()
			fresh, err := dial(t, l)
			if err == nil {
				err = returned(fresh)
			}
			if err != nil {
				t.Errorf("after the fault: %v", err)
			}
			if err := returned(open); (err == nil) != c.reachesAgain {
				t.Errorf("the open connection after the fault: %v", err)
			}
		})
	}
}
