package upstream

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// readBufferBytes holds the head of an answer and some events of a stream. Some hundred
// connections a node are open at once.
const readBufferBytes = 4 << 10

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is when the endpoint may close it.
	idleUntil time.Time
	closeOnce sync.Once
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

// clean says whether nothing has come on an idle connection: neither its end nor
// bytes that nobody asked for. It does not block.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
