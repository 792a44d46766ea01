package upstream

import (
	"bufio"
	"bytes"
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

// maxHeadBytes bounds the head of an answer, with the heads of interim answers before it. An endpoint
// in trouble may send bytes that are no answer without end.
const maxHeadBytes = 64 << 10

// maxHeadLines bounds the lines of a head. Once it is parsed, each line takes many times its bytes.
const maxHeadLines = 512

// errHeadTooLong means that more than maxHeadBytes or maxHeadLines came without the end of a head.
var errHeadTooLong = errors.New("the head of the answer has no end within the size limit")

// headLimiter passes on what is read from a connection, up to a number of bytes and lines while a head is
// read.
type headLimiter struct {
	net.Conn
	limited         bool
	left, linesLeft int
}

// Read reads from the connection. It fails with errHeadTooLong beyond the limit.
func (l *headLimiter) Read(data []byte) (int, error) {
	if l.limited && (l.left <= 0 || l.linesLeft <= 0) {
		return 0, errHeadTooLong
	}
	n, err := l.Conn.Read(data)
	if l.limited {
		l.left -= n
		l.linesLeft -= bytes.Count(data[:n], []byte{'\n'})
	}
	return n, err
}

func (l *headLimiter) limit() { l.limited, l.left, l.linesLeft = true, maxHeadBytes, maxHeadLines }
func (l *headLimiter) lift()  { l.limited = false }

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	head   *headLimiter
	// idleUntil is the time up to which an idle connection may be reused. Later the endpoint
	// may close the connection.
	idleUntil time.Time
	closeOnce sync.Once
}

func newConn(c net.Conn) *conn {
	head := &headLimiter{Conn: c}
	return &conn{Conn: c, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}
}

// clean reports whether an idle connection is still open and has received no unexpected bytes.
// It does not block.
func (c *conn) clean() bool {
	if _, ok := c.Conn.(syscall.Conn); !ok {
		return c.reader.Buffered() == 0
	}
	_, err := c.peek()
	return c.reader.Buffered() == 0 && errors.Is(err, syscall.EAGAIN)
}

// received reports whether bytes that were not read yet have been received. It does not block.
func (c *conn) received() bool {
	n, err := c.peek()
	return c.reader.Buffered() > 0 || err == nil && n > 0
}

// peek looks at the next byte that the kernel has received, without blocking.
func (c *conn) peek() (n int, err error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	controlErr := control.Read(func(fd uintptr) bool {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return n, errors.Join(controlErr, err)
}
