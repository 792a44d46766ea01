package replica

import (
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The lengths of the queue of new connections of a silent replica.
const (
	LongQueue  = syscall.SOMAXCONN
	ShortQueue = 2
)

// Silence makes the replica silent for a time, as a stopped process is: it reads nothing and sends
// nothing, and then goes on with everything. Connections wait in a queue of the given length, and
// further ones hang. It reports false if the replica is silent already.
func (r *Replica) Silence(lasts time.Duration, queue int) bool {
	if !r.silence.begin() {
		return false
	}
	r.setQueue(queue)
	time.AfterFunc(lasts, func() {
		r.setQueue(LongQueue)
		r.silence.end()
	})
	return true
}

// setQueue changes the length of the queue of new connections.
func (r *Replica) setQueue(length int) {
	r.mu.Lock()
	listener := r.listener
	r.mu.Unlock()
	raw, err := listener.SyscallConn()
	if err != nil {
		return // the replica has ended
	}
	// It fails if the replica has ended meanwhile.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) })
}

// silence is a time in which nothing is read or sent. The zero value is none.
type silence struct {
	mu sync.Mutex
	// over is closed at the end of the silence; nil if there is none.
	over chan struct{}
}

func (s *silence) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over != nil {
		return false
	}
	s.over = make(chan struct{})
	return true
}

func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.over)
	s.over = nil
}

// underway returns a channel that is closed at the end of the silence, nil if there is none.
func (s *silence) underway() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over
}

// wait returns at the end of the silence, or false once closed is closed.
func (s *silence) wait(closed <-chan struct{}) bool {
	for over := s.underway(); over != nil; over = s.underway() {
		select {
		case <-over:
		case <-closed:
			return false
		}
	}
	return true
}

// silentPart returns a channel that is closed at the end of the silence of a replica of a path, nil
// if none is silent.
func (f *Fleet) silentPart(path string) <-chan struct{} {
	for part := range strings.SplitSeq(path, ",") {
		address, _, _, err := parsePart(part)
		if err != nil {
			continue
		}
		if other, _ := f.find(address); other != nil {
			if over := other.silence.underway(); over != nil {
				return over
			}
		}
	}
	return nil
}

// silentListener accepts nothing while its replica is silent.
type silentListener struct {
	net.Listener
	silence *silence
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for the next connection.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.silence.wait(l.closed) {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return &silentConn{Conn: conn, silence: l.silence, closed: make(chan struct{})}, nil
}

// Close ends the listener.
func (l *silentListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// silentConn passes nothing on while its replica is silent.
type silentConn struct {
	net.Conn
	silence *silence
	closed  chan struct{}
	once    sync.Once
}

// Read returns what came, once the replica is not silent.
func (c *silentConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !c.silence.wait(c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends once the replica is not silent.
func (c *silentConn) Write(data []byte) (int, error) {
	if !c.silence.wait(c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// SetLinger sets what happens to unsent bytes when the connection is closed.
func (c *silentConn) SetLinger(seconds int) error {
	return c.Conn.(*net.TCPConn).SetLinger(seconds)
}

// Close ends the connection.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
