// Package connprobe finds out which endpoints of a path that has gone silent no longer
// answer, by opening connections to them. That asks the endpoints for nothing, so it
// works also where their health answers can't be trusted or wait for a slot.
package connprobe

import (
	"context"
	"maps"
	"sync"
	"time"
)

const (
	// within is how long an endpoint has to accept a connection: some ten times what it
	// takes between failure domains of a region.
	within = 25 * time.Millisecond
	// tries must all fail: one packet may be lost on the way. The next one begins when the
	// one before has failed, or after again.
	tries = 2
	again = 8 * time.Millisecond
	// validFor is how long an answer is shared among the requests that ask: when an
	// endpoint dies, all that run through it ask at once. One that was reached may have
	// died since, so that is good for aliveFor only.
	validFor = 250 * time.Millisecond
	aliveFor = 60 * time.Millisecond
	// maxKnown bounds what is remembered.
	maxKnown = 4096
)

// Dialer opens a connection to an endpoint; upstream.Pool is one.
type Dialer interface {
	// Reachable says whether the endpoint accepts a connection, and whether its machine
	// answers at all: one that refuses does.
	Reachable(ctx context.Context, address string, within time.Duration) (accepts, answers bool)
}

// UnreachableEndpoint is an endpoint that accepts no connection.
type UnreachableEndpoint struct {
	Address string
	// HostUnreachable says that nothing answered: no process there goes on with anything. One that
	// refuses may only be leaving.
	HostUnreachable bool
}

// Prober asks endpoints. Safe for concurrent use.
type Prober struct {
	dialer Dialer
	now    func() time.Time

	mu    sync.Mutex
	known map[string]*probe
	made  map[Reason]int64
}

// Reason is why an endpoint was probed.
type Reason string

// Reasons.
const (
	// ReasonStalledStream is a stream that has gone silent.
	ReasonStalledStream Reason = "silence"
	// ReasonReportedFault is an endpoint that another one named as at fault.
	ReasonReportedFault Reason = "named"
	// ReasonPeerReport is one that other nodes have seen lost.
	ReasonPeerReport Reason = "told"
	// ReasonRecheck is one that is suspected.
	ReasonRecheck Reason = "again"
)

type probe struct {
	begun time.Time
	done  chan struct{}
	// reachable and answers are set once done is closed.
	reachable, answers bool
}

// New returns a Prober.
func New(dialer Dialer, now func() time.Time) *Prober {
	return &Prober{dialer: dialer, now: now, known: map[string]*probe{}, made: map[Reason]int64{}}
}

// FindUnreachable returns those of the addresses that accept no connection at any of the tries.
func (p *Prober) FindUnreachable(ctx context.Context, why Reason, addresses []string) []UnreachableEndpoint {
	probes := make([]*probe, len(addresses))
	for i, address := range addresses {
		probes[i] = p.probe(ctx, why, address)
	}
	var lost []UnreachableEndpoint
	for i, each := range probes {
		select {
		case <-each.done:
			if !each.reachable {
				lost = append(lost, UnreachableEndpoint{Address: addresses[i], HostUnreachable: !each.answers})
			}
		case <-ctx.Done():
			return lost
		}
	}
	return lost
}

// Reachable says whether an address accepts connections.
func (p *Prober) Reachable(ctx context.Context, why Reason, address string) bool {
	return len(p.FindUnreachable(ctx, why, []string{address})) == 0
}

// ProbeCounts is how many probes were begun, by reason.
func (p *Prober) ProbeCounts() map[Reason]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.made)
}

// probe returns a young probe of an address, or begins one.
func (p *Prober) probe(ctx context.Context, why Reason, address string) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if known, ok := p.known[address]; ok && known.valid(now) {
		return known
	}
	if len(p.known) >= maxKnown {
		clear(p.known)
	}
	p.made[why]++
	fresh := &probe{begun: now, done: make(chan struct{})}
	p.known[address] = fresh
	// The answer is for all who ask, so one of them who leaves must not end it.
	go p.run(context.WithoutCancel(ctx), address, fresh)
	return fresh
}

// valid says whether what the probe found, or is about to, still counts.
func (p *probe) valid(now time.Time) bool {
	age := now.Sub(p.begun)
	select {
	case <-p.done:
		return age < aliveFor || !p.reachable && age < validFor
	default:
		return age < validFor
	}
}

// run tries an address until it is reached or all tries have failed.
func (p *Prober) run(ctx context.Context, address string, fresh *probe) {
	defer close(fresh.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type end struct{ accepts, answers bool }
	ended := make(chan end, tries)
	try := func() {
		accepts, answers := p.dialer.Reachable(ctx, address, within)
		ended <- end{accepts, answers}
	}
	go try()
	next := time.NewTimer(again)
	defer next.Stop()
	for begun, failed := 1, 0; failed < tries; {
		begin := false
		select {
		case e := <-ended:
			fresh.reachable, fresh.answers = e.accepts, fresh.answers || e.answers
			if e.accepts {
				return
			}
			failed++
			begin = begun < tries
		case <-next.C:
			begin = begun < tries
		}
		if begin {
			begun++
			go try()
		}
	}
}
