package link

import (
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"
)

// Direction is a direction in which bytes pass, or both.
type Direction uint8

// The directions of a link.
const (
	ToTarget   Direction = 1
	FromTarget Direction = 2
	Both                 = ToTarget | FromTarget
)

// Fault is a way in which the network between a node and a host fails.
type Fault struct {
	Name  string
	Apply func(*Link)
}

// Faults are the ways in which a node can lose its link to a host that others reach.
var Faults = []Fault{
	{"reset", (*Link).Reset},
	{"new connections refused", (*Link).Refuse},
	{"silent", func(l *Link) { l.Partition(Both) }},
	{"silent to the host", func(l *Link) { l.Partition(ToTarget) }},
	{"silent from the host", func(l *Link) { l.Partition(FromTarget) }},
}

// door is the state of a link's listener.
type door struct {
	// shut is set while new connections are refused or hang, closed once the link has ended.
	shut, closed bool
	// fillers keep the listener's queue full, so that new connections hang.
	fillers []net.Conn
}

// Refuse lets open connections live and refuses new ones, as a host without a listener does,
// until Heal.
func (l *Link) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shutDoor()
}

// Reset refuses new connections and resets all open ones, until Heal.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shutDoor()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection is closed next
		}
	}
	l.closeAll()
}

// Partition lets new connections hang and holds back the bytes of open ones in the given
// directions, as the loss of all packets does, until Heal.
func (l *Link) Partition(direction Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldBack = direction
	if l.door.shut {
		return
	}
	l.door.shut = true
	_ = l.listener.(*net.TCPListener).SetDeadline(time.Unix(1, 0)) // Accept returns
	l.control(func(fd int) error { return syscall.Listen(fd, 0) })
	l.fillQueue()
}

// fillerTimeout is how long a connection to the link's own listener may take. Once one takes
// longer, the queue is full.
const fillerTimeout = 20 * time.Millisecond

// fillQueue opens connections to the listener until its queue is full. The kernel then drops the
// first packet of further ones.
func (l *Link) fillQueue() {
	const most = 16
	for range most {
		c, err := net.DialTimeout("tcp", l.Address(), fillerTimeout)
		if err != nil {
			return
		}
		l.door.fillers = append(l.door.fillers, c)
	}
}

// shutDoor makes the kernel refuse new connections. The listener keeps its port.
func (l *Link) shutDoor() {
	if l.door.shut {
		return
	}
	l.door.shut = true
	l.control(func(fd int) error { return syscall.Shutdown(fd, syscall.SHUT_RD) })
}

// open accepts new connections again.
func (l *Link) open() {
	if !l.door.shut || l.door.closed {
		return
	}
	l.door.shut = false
	for _, c := range l.door.fillers {
		c.Close()
	}
	l.door.fillers = nil
	l.control(func(fd int) error { return syscall.Listen(fd, syscall.SOMAXCONN) })
	_ = l.listener.(*net.TCPListener).SetDeadline(time.Time{}) // it is open
}

// awaitOpenDoor waits until new connections are accepted again. It returns false if the link has
// ended.
func (l *Link) awaitOpenDoor() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.door.shut && !l.door.closed {
		l.cond.Wait()
	}
	return !l.door.closed
}

func (l *Link) control(call func(fd int) error) {
	raw, err := l.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		panic(err) // a listener has one
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = call(int(fd)) }); err == nil && failed != nil {
		panic(failed) // the call is allowed on any listener
	}
}

// listenOnFixedPort listens on a free port that the kernel keeps for the listener while the
// listener refuses connections: it gives back a port that it has chosen itself.
func listenOnFixedPort(host string) (net.Listener, error) {
	for {
		probe, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		if err := probe.Close(); err != nil {
			return nil, err
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
	}
}
