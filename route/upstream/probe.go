package upstream

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

// Reachable opens a connection to an endpoint. It reports whether the endpoint accepts the
// connection, and whether the endpoint's host answers at all. It sends no request. The pool keeps
// the connection only if it has no idle one and the requests' bound allows another.
func (p *Pool) Reachable(ctx context.Context, address string, timeout time.Duration) (accepts, answers bool) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p.beginProbe(address)
	raw, err := p.dial(dialCtx, "tcp", address)
	if err != nil {
		p.endProbe(address, nil)
		accepts, answers = dialShows(err)
		if ctx.Err() == nil {
			p.reportDial(address, accepts)
		}
		return accepts, answers
	}
	p.reportDial(address, true)
	if !p.endProbe(address, newConn(raw)) {
		raw.Close()
	}
	return true, true
}

// keepsFor is how long an endpoint must keep a connection to count as one that keeps it. A port
// without a process behind it closes connections as it accepts them.
const keepsFor = 15 * time.Millisecond

// Keeps reports whether an endpoint keeps a new connection open for keepsFor. It also returns true if
// no connection can be opened.
func (p *Pool) Keeps(ctx context.Context, address string, timeout time.Duration) bool {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p.beginProbe(address)
	defer p.endProbe(address, nil)
	raw, err := p.dial(dialCtx, "tcp", address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNRESET)
	}
	defer raw.Close()
	if err := raw.SetReadDeadline(time.Now().Add(keepsFor)); err != nil {
		return true
	}
	n, err := raw.Read(make([]byte, 1))
	return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)
}

// beginProbe counts the connection that a probe is about to open. At the requests' bound it closes
// the oldest idle connection to make room. If there is none, the probe exceeds the bound until it
// ends: a host that is lost while requests use all connections must be found as well.
func (p *Pool) beginProbe(address string) {
	p.mu.Lock()
	conns := p.endpoint(address)
	conns.probing++
	p.openedCount++
	var oldest *conn
	if conns.maxConns > 0 && conns.open+conns.probing > conns.maxConns && len(conns.idle) > 0 {
		oldest = conns.idle[0]
		conns.idle = conns.idle[1:]
		conns.open--
	}
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// endProbe ends a probe, whose connection is nil if it failed. It reports whether the pool keeps
// the connection.
func (p *Pool) endProbe(address string, c *conn) (kept bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.endpoints[address]
	conns.probing--
	kept = c != nil && len(conns.idle) == 0 && (conns.maxConns == 0 || conns.open < conns.maxConns)
	if kept {
		c.idleUntil = p.now().Add(defaultIdleTime - idleTimeMargin)
		conns.idle = append(conns.idle, c)
		conns.open++
	}
	if conns.unused() {
		delete(p.endpoints, address)
	}
	return kept
}

// dialShows returns what the error of opening a connection shows about an endpoint. A connection that
// was reset had been accepted. Other errors than a refusal, such as a timeout or a lack of local
// ports, don't show that the host is up. The state of the dial's context tells nothing: a dial can
// return before its context has expired.
func dialShows(err error) (accepts, answers bool) {
	accepts = errors.Is(err, syscall.ECONNRESET)
	return accepts, accepts || errors.Is(err, syscall.ECONNREFUSED)
}
