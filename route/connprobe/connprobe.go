// Package connprobe finds the endpoints of a stalled request path that accept no
// connection. A probe opens a connection and sends no request. It therefore also works if
// the health responses of the endpoint are unreliable or wait for a free request slot.
package connprobe

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/probebudget"
)

const (
	// dialTimeout is how long an endpoint has to accept a connection. It is about ten
	// times the usual connect time between failure domains of a region.
	dialTimeout = 25 * time.Millisecond
	// attemptsPerProbe is the number of connection attempts per probe. An endpoint counts as
	// unreachable only if all attempts fail, because a single packet may be lost. The
	// second attempt starts when the first attempt has failed, or after attemptDelay.
	attemptsPerProbe = 2
	attemptDelay     = 8 * time.Millisecond
	// unreachableTTL is how long callers share a probe that is running or has found the
	// endpoint unreachable. When an endpoint dies, all requests that use the endpoint ask
	// for a probe at once. A reachable endpoint may die right after its probe, so callers
	// share a probe that reached the endpoint for reachableTTL only, or during a Silence up to
	// maxReachableTTL.
	unreachableTTL = 250 * time.Millisecond
	reachableTTL   = 60 * time.Millisecond
	// brokenOffTTL replaces reachableTTL where an answer has broken off: a probe before that says
	// nothing. The answers of a process that ends break off within milliseconds.
	brokenOffTTL    = 5 * time.Millisecond
	maxReachableTTL = probebudget.MinInterval
	// maxCachedProbes bounds the number of probes kept in memory.
	maxCachedProbes = 4096
)

// Dialer opens connections to endpoints. upstream.Pool implements Dialer.
type Dialer interface {
	// Reachable reports whether the endpoint accepts a connection, and whether the
	// endpoint's host answers at all. A host that refuses the connection answers.
	Reachable(ctx context.Context, address string, timeout time.Duration) (accepts, hostAnswers bool)
}

// UnreachableEndpoint is an endpoint that accepts no connection.
type UnreachableEndpoint struct {
	Address string
	// HostUnreachable reports that the host did not answer, so no process on the host
	// continues any work. If the host refuses connections instead, the endpoint may only
	// be shutting down.
	HostUnreachable bool
	// Resets reports that connections are accepted and closed at once: the process behind the port
	// has ended, or it has as many connections as it keeps. Only probes for ReasonBrokenOff find it.
	Resets bool
}

// connectionWatcher is a Dialer that can find out whether an endpoint keeps a connection.
type connectionWatcher interface {
	// Keeps reports whether an endpoint keeps a new connection open for a while.
	Keeps(ctx context.Context, address string, timeout time.Duration) bool
}

// Prober probes endpoints. Safe for concurrent use.
type Prober struct {
	dialer Dialer
	now    func() time.Time

	mu sync.Mutex
	// probes holds the last probe of each address.
	probes      map[string]*probe
	probeCounts map[Reason]int64
	// contacts holds the last contact with each address.
	contacts map[string]probebudget.Contact
}

// Reason is why an endpoint is probed.
type Reason string

const (
	// ReasonStalledStream means that a stream through the endpoint has stalled.
	ReasonStalledStream Reason = "silence"
	// ReasonReportedFault means that another endpoint reported the probed endpoint as the
	// cause of an error.
	ReasonReportedFault Reason = "named"
	// ReasonPeerReport means that another node reported the endpoint as unreachable.
	ReasonPeerReport Reason = "told"
	// ReasonRecheck means that this node suspects the endpoint of having failed. The probe
	// finds out whether the endpoint has recovered.
	ReasonRecheck Reason = "again"
	// ReasonCutOff means that this node may be cut off from all endpoints of a service. The
	// probes of some of them find out whether it is, and when that ends.
	ReasonCutOff Reason = "cut_off"
	// ReasonHedge means that a stream may continue at the endpoint because its own replica is
	// silent.
	ReasonHedge Reason = "hedge"
	// ReasonBrokenOff means that an answer of the endpoint broke off. The probe finds out whether
	// the endpoint's process has ended.
	ReasonBrokenOff Reason = "broken_off"
	// ReasonUnframed means that an answer has ended with its connection. The probe finds out whether
	// the endpoint's process has ended with it.
	ReasonUnframed Reason = "unframed"
)

type probe struct {
	startedAt time.Time
	done      chan struct{}
	// Read reachable, hostAnswers and resets only after done is closed.
	reachable, hostAnswers, resets bool
}

// New returns a Prober.
func New(dialer Dialer, now func() time.Time) *Prober {
	return &Prober{
		dialer: dialer, now: now,
		probes: map[string]*probe{}, probeCounts: map[Reason]int64{}, contacts: map[string]probebudget.Contact{},
	}
}

// FindUnreachable returns the addresses that accept no connection in any attempt. If ctx
// ends before the probes do, FindUnreachable returns the unreachable addresses found so far.
func (p *Prober) FindUnreachable(ctx context.Context, reason Reason, addresses []string) []UnreachableEndpoint {
	ttl := reachableTTL
	if reason == ReasonBrokenOff || reason == ReasonUnframed {
		ttl = brokenOffTTL
	}
	return p.find(ctx, reason, addresses, func(time.Time) time.Duration { return ttl })
}

func (p *Prober) find(ctx context.Context, reason Reason, addresses []string, ttl reachedTTL) []UnreachableEndpoint {
	probes := make([]*probe, len(addresses))
	for i, address := range addresses {
		probes[i] = p.probe(ctx, reason, address, ttl)
	}
	var unreachable []UnreachableEndpoint
	for i, pr := range probes {
		select {
		case <-pr.done:
			if !pr.reachable || pr.resets && reason == ReasonBrokenOff {
				unreachable = append(unreachable, UnreachableEndpoint{Address: addresses[i], HostUnreachable: !pr.hostAnswers, Resets: pr.resets})
			}
		case <-ctx.Done():
			return unreachable
		}
	}
	return unreachable
}

// Reachable reports whether an address accepts connections. Reachable also returns true if
// ctx ends before the probe does.
func (p *Prober) Reachable(ctx context.Context, reason Reason, address string) bool {
	return len(p.FindUnreachable(ctx, reason, []string{address})) == 0
}

// ProbeCounts returns the number of probes started since New, by reason.
func (p *Prober) ProbeCounts() map[Reason]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.probeCounts)
}

// ObserveDial records the result of opening a connection to an address.
func (p *Prober) ObserveDial(address string, connected bool) {
	if !connected {
		return // a probe tells more reliably than one attempt
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordContact(address, func(c *probebudget.Contact) { c.ReachedAt, c.Failed = p.now(), false })
}

// Contact returns the last contact of this node with an address.
func (p *Prober) Contact(address string) probebudget.Contact {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contacts[address]
}

// recordContact changes the contact of an address. The caller holds the lock.
func (p *Prober) recordContact(address string, change func(*probebudget.Contact)) {
	contact, known := p.contacts[address]
	if !known && len(p.contacts) >= maxCachedProbes {
		clear(p.contacts)
	}
	change(&contact)
	p.contacts[address] = contact
}

// reachedTTL returns how long a caller shares a probe that reached its endpoint, by its start.
type reachedTTL func(startedAt time.Time) time.Duration

// probe returns the last probe of an address if its result is still valid, or starts a new
// probe.
func (p *Prober) probe(ctx context.Context, reason Reason, address string, ttl reachedTTL) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if cached, ok := p.probes[address]; ok && cached.valid(now, ttl) {
		return cached
	}
	if len(p.probes) >= maxCachedProbes {
		clear(p.probes)
	}
	p.probeCounts[reason]++
	newProbe := &probe{startedAt: now, done: make(chan struct{})}
	p.probes[address] = newProbe
	p.recordContact(address, func(c *probebudget.Contact) { c.ProbedAt = now })
	// Several callers may wait for this probe, so the probe continues when the context of
	// the first caller is canceled.
	go p.run(context.WithoutCancel(ctx), reason, address, newProbe)
	return newProbe
}

// valid reports whether callers may still share the result of the probe, or wait for the
// result of a running probe.
func (p *probe) valid(now time.Time, ttl reachedTTL) bool {
	age := now.Sub(p.startedAt)
	select {
	case <-p.done:
		return p.reachable && age < ttl(p.startedAt) || !p.reachable && age < unreachableTTL
	default:
		return age < unreachableTTL
	}
}

// run tries to connect to an address until one attempt succeeds or all attempts have
// failed, and stores the result in pr.
func (p *Prober) run(ctx context.Context, reason Reason, address string, pr *probe) {
	defer close(pr.done)
	defer p.recordResult(address, pr)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type attemptResult struct{ accepts, hostAnswers bool }
	results := make(chan attemptResult, attemptsPerProbe)
	attempt := func() {
		accepts, hostAnswers := p.dialer.Reachable(ctx, address, dialTimeout)
		results <- attemptResult{accepts, hostAnswers}
	}
	go attempt()
	delay := time.NewTimer(attemptDelay)
	defer delay.Stop()
	for started, failed := 1, 0; failed < attemptsPerProbe; {
		startNext := false
		select {
		case r := <-results:
			pr.reachable, pr.hostAnswers = r.accepts, pr.hostAnswers || r.hostAnswers
			if r.accepts {
				watcher, watches := p.dialer.(connectionWatcher)
				pr.resets = watches && reason == ReasonBrokenOff && !watcher.Keeps(ctx, address, dialTimeout)
				return
			}
			failed++
			startNext = started < attemptsPerProbe
		case <-delay.C:
			startNext = started < attemptsPerProbe
		}
		if startNext {
			started++
			go attempt()
		}
	}
}

func (p *Prober) recordResult(address string, pr *probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordContact(address, func(c *probebudget.Contact) {
		if c.Failed = !pr.reachable; pr.reachable {
			c.ReachedAt = p.now()
		}
	})
}
