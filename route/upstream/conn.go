package upstream

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// readBufferBytes is the size of a connection's read buffer. It fits the head of an answer and
// some events of a stream. A node has some hundred connections open at once, each with a
// buffer.
const readBufferBytes = 4 << 10

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is the time up to which an idle connection may be reused. Later the endpoint
	// may close the connection.
	idleUntil time.Time
	closeOnce sync.Once
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

// clean reports whether an idle connection is still open and has received no unexpected bytes.
// It does not block.
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
