package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this layer's errors.
var Error = errs.Class("upstream")

const (
	// dialTimeout is a hundred round trips between failure domains of a region; a
	// lost packet is sent again only after a second, and another endpoint is there
	// sooner.
	dialTimeout = 300 * time.Millisecond
	// defaultKeep is how long an idle connection is kept if the endpoint does not
	// say, keepMargin how much sooner than it says.
	defaultKeep = 4 * time.Second
	keepMargin  = time.Second
)

// Pool holds the connections of one node to endpoints. Safe for concurrent use.
type Pool struct {
	now  func() time.Time
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	hosts  map[string]*host
	opened int64
}

// host is one endpoint's connections.
type host struct {
	idle []*conn // the last used is taken first, so that spare ones grow old
	open int
}

// New returns a Pool without connections. now is the steady clock.
func New(now func() time.Time) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Pool{now: now, dial: dialer.DialContext, hosts: map[string]*host{}}
}

// get returns an idle connection, or a new one; fresh asks for a new one.
func (p *Pool) get(ctx context.Context, address string, fresh bool, most int) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	if !p.reserve(address, most) {
		return nil, &Failure{Address: address, NotSent: true, Full: true, Cause: Error.New("%d connections are open", most)}
	}
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, &Failure{Address: address, NotSent: true, Unreachable: ctx.Err() == nil, Cause: Error.Wrap(err)}
	}
	return newConn(raw), nil
}

// takeIdle returns a usable idle connection, or nil. Those that have ended or have
// brought bytes unasked are closed.
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
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	h.idle = h.idle[:last]
	return c
}

// reserve counts a connection that is about to be opened. Beyond the bound the
// oldest idle one makes room.
func (p *Pool) reserve(address string, most int) bool {
	p.mu.Lock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	var spare *conn
	if most > 0 && h.open >= most {
		if len(h.idle) == 0 {
			p.mu.Unlock()
			return false
		}
		spare = h.idle[0]
		h.idle = h.idle[1:]
		h.open--
	}
	h.open++
	p.opened++
	p.mu.Unlock()
	if spare != nil {
		spare.Close()
	}
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// discard closes a connection for good. Only the first call counts.
func (p *Pool) discard(address string, c *conn) {
	c.once.Do(func() {
		c.Close()
		p.release(address)
	})
}

// keep makes a connection idle.
func (p *Pool) keep(address string, c *conn, keepFor time.Duration) {
	if keepFor <= 0 {
		keepFor = defaultKeep
	}
	c.idleUntil = p.now().Add(max(0, keepFor-keepMargin))
	if err := c.SetDeadline(time.Time{}); err != nil {
		p.discard(address, c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.idle = append(h.idle, c)
}

// Prune closes idle connections that are past their time. It is called now and
// then.
func (p *Pool) Prune() {
	p.closeIdle(p.now())
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.closeIdle(p.now().Add(forever))
}

// forever is longer than any connection is kept.
const forever = 24 * time.Hour

// closeIdle closes the idle connections whose time is past at a given one.
func (p *Pool) closeIdle(at time.Time) {
	for address, c := range p.expired(at) {
		for _, each := range c {
			p.discard(address, each)
		}
	}
}

func (p *Pool) expired(now time.Time) map[string][]*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := map[string][]*conn{}
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old[address] = append(old[address], c)
			}
		}
		h.idle = kept
	}
	return old
}

// Reachable opens a connection to an endpoint and keeps it idle. It says whether the
// endpoint accepts it, and whether its machine answers at all, without asking the
// endpoint for anything.
func (p *Pool) Reachable(ctx context.Context, address string, within time.Duration) (accepts, answers bool) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c, err := p.get(ctx, address, true, 0)
	if err != nil {
		return false, ctx.Err() == nil
	}
	p.keep(address, c, 0)
	return true, true
}

// Connected says whether a connection to an endpoint is open.
func (p *Pool) Connected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[address] != nil
}

// Opened is how many connections were begun in all, for metrics.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Open is the number of connections, for metrics.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range p.hosts {
		n += h.open
	}
	return n
}
