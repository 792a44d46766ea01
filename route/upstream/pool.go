package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// Error is the class of the errors of this package.
var Error = errs.Class("upstream")

const (
	// dialTimeout is a hundred round trips between failure domains of a region. If a packet is
	// lost while a connection is being opened, it is sent again only after a second. Using
	// another endpoint is faster than waiting for the second packet.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTime is how long an endpoint is assumed to keep an idle connection, if its
	// answer does not say how long. This node stops using an idle connection idleTimeMargin
	// before the endpoint would close it.
	defaultIdleTime = 4 * time.Second
	idleTimeMargin  = time.Second
)

// Pool holds the connections of one node to endpoints. It is safe for concurrent use.
type Pool struct {
	// OnDial, if not nil, is called with the result of each attempt to open a connection, unless
	// the caller ended the attempt. It is set before use.
	OnDial func(address string, connected bool)
	// OnFault, if not nil, is told of answers that are none. It is set before use.
	OnFault httpanswer.OnFault

	now  func() time.Time
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu          sync.Mutex
	endpoints   map[string]*endpointConns
	openedCount int64
}

// endpointConns holds the connections to one endpoint.
type endpointConns struct {
	idle []*conn // the last used is reused first, so that surplus connections expire
	// open counts the connections that are idle, carry a request or are being opened for one.
	// probing counts those that probes are opening. They don't take the place of a request's.
	open, probing int
	// maxConns is the last bound that a request gave; zero if none did.
	maxConns int
}

// bound records the bound that a request gave; requests without one leave it as it is.
func (e *endpointConns) bound(maxConns int) {
	if maxConns > 0 {
		e.maxConns = maxConns
	}
}

func (e *endpointConns) unused() bool { return e.open == 0 && e.probing == 0 && len(e.idle) == 0 }

// New returns a Pool without connections. now is a monotonic clock.
func New(now func() time.Time) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Pool{now: now, dial: dialer.DialContext, endpoints: map[string]*endpointConns{}}
}

// get returns an idle connection or a new connection. If newOnly is set, it returns a new one.
func (p *Pool) get(ctx context.Context, address string, newOnly bool, maxConns int) (*conn, error) {
	p.setBound(address, maxConns)
	if !newOnly {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	if !p.reserve(address, maxConns) {
		return nil, &Failure{Address: address, NotSent: true, AtConnLimit: true, Cause: Error.New("connection limit reached: %d are open", maxConns)}
	}
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		callerEnded := ended(ctx)
		if !callerEnded {
			p.reportDial(address, false)
		}
		return nil, &Failure{Address: address, NotSent: true, Unreachable: !callerEnded, Cause: Error.Wrap(err)}
	}
	p.reportDial(address, true)
	return newConn(raw), nil
}

// ended reports whether a context has ended. A dial can return at the deadline of its context before
// the timer of the context has fired.
func ended(ctx context.Context) bool {
	deadline, has := ctx.Deadline()
	return ctx.Err() != nil || has && !time.Now().Before(deadline)
}

// setBound records the bound of a request on the connections to an endpoint, for later probes.
func (p *Pool) setBound(address string, maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.endpoints[address]; conns != nil {
		conns.bound(maxConns)
	}
}

// endpoint returns the connections to an endpoint. The caller holds the lock.
func (p *Pool) endpoint(address string) *endpointConns {
	conns := p.endpoints[address]
	if conns == nil {
		conns = &endpointConns{}
		p.endpoints[address] = conns
	}
	return conns
}

// failure returns the failure of a request whose answer could not be read.
func (p *Pool) failure(address string, err error) *Failure {
	if fault := (*httpanswer.Fault)(nil); errors.As(err, &fault) && p.OnFault != nil {
		p.OnFault(address, fault)
	}
	return &Failure{Address: address, TimedOut: errors.Is(err, os.ErrDeadlineExceeded), Cause: Error.Wrap(err)}
}

func (p *Pool) reportDial(address string, connected bool) {
	if p.OnDial != nil {
		p.OnDial(address, connected)
	}
}

// takeIdle returns a usable idle connection, or nil. Connections that have expired, were closed
// by the endpoint or have received unexpected bytes are closed.
func (p *Pool) takeIdle(address string) *conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if p.now().Before(c.idleUntil) && c.clean() {
			return c
		}
		p.discard(address, c)
	}
}

func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.endpoints[address]
	if conns == nil || len(conns.idle) == 0 {
		return nil
	}
	last := len(conns.idle) - 1
	c := conns.idle[last]
	conns.idle = conns.idle[:last]
	return c
}

// reserve counts a connection that is about to be opened. At the limit it closes the oldest
// idle connection to make room, and returns false if there is no idle connection.
func (p *Pool) reserve(address string, maxConns int) bool {
	p.mu.Lock()
	conns := p.endpoint(address)
	conns.bound(maxConns)
	var oldest *conn
	if maxConns > 0 && conns.open >= maxConns {
		if len(conns.idle) == 0 {
			p.mu.Unlock()
			return false
		}
		oldest = conns.idle[0]
		conns.idle = conns.idle[1:]
		conns.open--
	}
	conns.open++
	p.openedCount++
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.endpoints[address]
	conns.open--
	if conns.unused() {
		delete(p.endpoints, address)
	}
}

// discard closes a connection and no longer counts it. Only the first call for a connection has
// an effect.
func (p *Pool) discard(address string, c *conn) {
	c.closeOnce.Do(func() {
		c.Close()
		p.release(address)
	})
}

// putIdle returns a connection to the pool. keepFor is how long the endpoint keeps the
// connection open while it is idle; zero stands for defaultIdleTime, and longer times than
// maxIdleTime for that.
func (p *Pool) putIdle(address string, c *conn, keepFor time.Duration) {
	if keepFor <= 0 {
		keepFor = defaultIdleTime
	}
	c.idleUntil = p.now().Add(max(0, min(keepFor, maxIdleTime)-idleTimeMargin))
	if err := c.SetDeadline(time.Time{}); err != nil {
		p.discard(address, c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.endpoints[address]
	conns.idle = append(conns.idle, c)
}

// Prune closes expired idle connections. It must be called periodically.
func (p *Pool) Prune() {
	p.closeIdle(p.now())
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.closeIdle(p.now().Add(beyondAnyIdleTime))
}

// beyondAnyIdleTime is longer than any idle connection is kept.
const beyondAnyIdleTime = 2 * maxIdleTime

// maxIdleTime is the longest time that an idle connection is kept. Without the bound, connections
// to an endpoint that states decades are neither pruned nor closed with the pool.
const maxIdleTime = 10 * time.Minute

// closeIdle closes the idle connections that have expired at the given time.
func (p *Pool) closeIdle(at time.Time) {
	for address, conns := range p.takeExpired(at) {
		for _, c := range conns {
			p.discard(address, c)
		}
	}
}

func (p *Pool) takeExpired(at time.Time) map[string][]*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := map[string][]*conn{}
	for address, conns := range p.endpoints {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if at.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				expired[address] = append(expired[address], c)
			}
		}
		conns.idle = kept
	}
	return expired
}

// Connected reports whether a connection to an endpoint is open or being opened.
func (p *Pool) Connected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[address] != nil
}

// OpenedConns returns how many connections this pool has begun to open, for metrics.
func (p *Pool) OpenedConns() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedCount
}

// OpenConns returns how many connections are open or being opened, for metrics.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, conns := range p.endpoints {
		n += conns.open + conns.probing
	}
	return n
}
