// Package reach finds out which endpoints of a path that has gone silent no longer
// answer, by opening connections to them. That asks the endpoints for nothing, so it
// works also where their health answers can't be trusted or wait for a slot.
package reach

import (
	"context"
	"sync"
	"time"
)

const (
	// within is how long an endpoint has to accept a connection: some ten times what it
	// takes between failure domains of a region.
	within = 25 * time.Millisecond
	// tries in a row must fail: one packet may be lost on the way.
	tries = 2
	// validFor is how long an answer is shared among the requests that ask: when an
	// endpoint dies, all that run through it ask at once.
	validFor = 250 * time.Millisecond
	// maxKnown bounds what is remembered.
	maxKnown = 4096
)

// Dialer opens a connection to an endpoint; upstream.Pool is one.
type Dialer interface {
	Reachable(ctx context.Context, address string, within time.Duration) bool
}

// Prober asks endpoints. Safe for concurrent use.
type Prober struct {
	dialer Dialer
	now    func() time.Time

	mu    sync.Mutex
	known map[string]*probe
}

type probe struct {
	begun     time.Time
	done      chan struct{}
	reachable bool // once done is closed
}

// New returns a Prober.
func New(dialer Dialer, now func() time.Time) *Prober {
	return &Prober{dialer: dialer, now: now, known: map[string]*probe{}}
}

// Lost returns those of the addresses that accept no connection, twice in a row: one
// packet may be lost on the way.
func (p *Prober) Lost(ctx context.Context, addresses []string) []string {
	probes := make([]*probe, len(addresses))
	for i, address := range addresses {
		probes[i] = p.probe(ctx, address)
	}
	var lost []string
	for i, each := range probes {
		select {
		case <-each.done:
			if !each.reachable {
				lost = append(lost, addresses[i])
			}
		case <-ctx.Done():
			return lost
		}
	}
	return lost
}

// Reachable says whether an address accepts connections.
func (p *Prober) Reachable(ctx context.Context, address string) bool {
	return len(p.Lost(ctx, []string{address})) == 0
}

// probe returns a young probe of an address, or begins one.
func (p *Prober) probe(ctx context.Context, address string) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if known, ok := p.known[address]; ok && now.Sub(known.begun) < validFor {
		return known
	}
	if len(p.known) >= maxKnown {
		clear(p.known)
	}
	fresh := &probe{begun: now, done: make(chan struct{})}
	p.known[address] = fresh
	// The answer is for all who ask, so one of them who leaves must not end it.
	go p.run(context.WithoutCancel(ctx), address, fresh)
	return fresh
}

func (p *Prober) run(ctx context.Context, address string, fresh *probe) {
	defer close(fresh.done)
	for range tries {
		if p.dialer.Reachable(ctx, address, within) {
			fresh.reachable = true
			return
		}
	}
}
