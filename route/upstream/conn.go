package upstream

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// readBuffer holds the head of an answer and some events of a stream. Some hundred
// connections a node are open at once.
const readBuffer = 4 << 10

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is when the endpoint may close it.
	idleUntil time.Time
	once      sync.Once
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
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
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
