// Package link is a TCP link that can be cut, frozen or slowed, put between a
// node and what it talks to. It is for tests only.
package link

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// copyBuffer is how many bytes are passed on at a time.
const copyBuffer = 16 << 10

// Link passes connections from its own address on to a target.
type Link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	cond   *sync.Cond
	conns  map[net.Conn]bool
	cut    bool
	frozen bool
	// heldBack are the directions in which bytes are held back.
	heldBack Direction
	delay    time.Duration
	// endAfter is how many bytes from the target a connection passes on before it ends; 0 for no end.
	endAfter int
	passed   int64
	door     door
}

// Listen opens a link on a free port of the target's IP number.
func Listen(target string) (*Link, error) {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return nil, err
	}
	listener, err := listenOnFixedPort(host)
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: listener, conns: map[net.Conn]bool{}}
	l.cond = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// SetTarget changes where new connections are passed on to, for a target whose
// address is known only once it runs.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// Address is where to connect in place of the target.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// Cut closes every connection and refuses new ones until Heal.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	l.closeAll()
}

// Freeze holds back every byte, both ways, with the connections left open.
func (l *Link) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = true
}

// Slow delays each piece of data by d.
func (l *Link) Slow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// EndAfter closes each connection, in the usual way, once it has passed on so many bytes from the target.
func (l *Link) EndAfter(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endAfter = bytes
}

// Heal ends every fault.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
	l.frozen = false
	l.heldBack = 0
	l.delay = 0
	l.endAfter = 0
	l.open()
	l.cond.Broadcast()
}

// Bytes is how many bytes have passed, both ways together.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed
}

// Close ends the link and its connections.
func (l *Link) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	l.frozen = false
	l.heldBack = 0
	l.closeAll()
	l.door.closed = true
	l.cond.Broadcast()
	return l.listener.Close()
}

func (l *Link) closeAll() {
	for c := range l.conns {
		c.Close()
		delete(l.conns, c)
	}
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			if l.awaitOpenDoor() {
				continue
			}
			return
		}
		go l.join(near)
	}
}

func (l *Link) join(near net.Conn) {
	if !l.add(near) {
		return
	}
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	far, err := net.Dial("tcp", target)
	if err != nil || !l.add(far) {
		l.drop(near)
		return
	}
	go l.pass(near, far, ToTarget)
	l.pass(far, near, FromTarget)
}

func (l *Link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		c.Close()
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) drop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Close()
	delete(l.conns, c)
}

func (l *Link) pass(from, to net.Conn, direction Direction) {
	defer l.drop(from)
	defer l.drop(to)
	buffer := make([]byte, copyBuffer)
	for passed := 0; ; {
		n, err := from.Read(buffer)
		if n > 0 {
			l.hold(n, direction)
			allowed, ends := l.allowed(passed, n, direction)
			if _, werr := to.Write(buffer[:allowed]); werr != nil || ends {
				return
			}
			passed += n
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				resetOnClose(to)
			}
			return
		}
	}
}

// resetOnClose makes the coming close of a connection reset it, so that its peer does not take what came
// for the whole.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails if the connection is closed already
	}
}

// allowed returns how many of n bytes a connection passes on that has passed on so many already, and
// whether it ends then.
func (l *Link) allowed(passed, n int, direction Direction) (bytes int, ends bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endAfter == 0 || direction != FromTarget || passed+n < l.endAfter {
		return n, false
	}
	return max(0, l.endAfter-passed), true
}

// hold waits out the faults in force and counts the bytes.
func (l *Link) hold(n int, direction Direction) {
	l.mu.Lock()
	for l.frozen || l.heldBack&direction != 0 {
		l.cond.Wait()
	}
	delay := l.delay
	l.passed += int64(n)
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}
