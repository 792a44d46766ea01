package link

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// Guards against an answer that its sender breaks off and that looks complete behind a link, because the
// link ends the connection in the usual way.
func TestResetIsPassedOn(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	l, err := Listen(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := far.Write([]byte("part")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(near, make([]byte, len("part"))); err != nil {
		t.Fatal(err)
	}
	_ = far.(*net.TCPConn).SetLinger(0) // it is open
	_ = far.Close()
	if _, err := io.ReadAll(near); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v", err)
	}
}
