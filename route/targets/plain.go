package targets

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/drainmark"
	"github.com/cicadatack/cicadatack/decide/endpointrate"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/endpointlimits"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/replicapicker"
	"github.com/cicadatack/cicadatack/state/wait"
)

// PlainTargets chooses among the replicas of a plain service, where one replica serves the
// whole request. It is safe for concurrent use.
type PlainTargets struct {
	picker   *replicapicker.Picker
	replicas *replicaTable
	limits   *endpointlimits.Limits
	now      func() time.Time

	// leavingMu guards leaving and the order in which its marks are passed on to picker.
	leavingMu sync.Mutex
	// leaving marks the replicas that have said in an answer that they are leaving.
	leaving *drainmark.Tracker
}

// healthConfig ejects replicas for a shorter time than the defaults, which are meant for
// services of many replicas. If a service has three replicas, each of them gets a third of all
// requests. The capacity of a recovered replica is therefore needed soon.
var healthConfig = health.Config{
	BaseEjection: time.Second,
	MaxEjection:  8 * time.Second,
	// Half of three replicas, rounded down, is one: one failing replica can be ejected.
	MaxEjectedShare:      0.5,
	MaxUnresponsiveShare: 0.75,
}

// NewPlainTargets returns PlainTargets without replicas, for a node in a failure domain.
func NewPlainTargets(node, domain string, seed uint64, now func() time.Time) *PlainTargets {
	balancer := balance.New(balance.Config{
		Node: node, FailureDomain: domain, Seed: seed, Health: healthConfig,
		SlowStart: time.Second,
	})
	return &PlainTargets{
		picker:   replicapicker.New(balancer, now, func() {}),
		replicas: newReplicaTable(),
		limits:   endpointlimits.New(endpointrate.Node{Name: node, Domain: domain}, seed, now),
		now:      now,
		leaving:  drainmark.New(),
	}
}

// Update replaces the list of replicas. maxConns bounds this node's connections to each
// replica. domainNodes are the nodes of this node's failure domain, and nodes is the number of
// all nodes that send requests to the service.
func (p *PlainTargets) Update(list []*replicalist.Replica, maxConns int, domainNodes []string, nodes int) {
	p.replicas.set(list, maxConns)
	p.limits.SetReplicas(domainsByID(list))
	p.picker.SetPeers(domainNodes, nodes)
	replicas := make([]balance.Replica, 0, len(list))
	for _, r := range list {
		replicas = append(replicas, balance.Replica{ID: r.ID, FailureDomain: r.Domain, Slots: r.Slots})
	}
	p.leavingMu.Lock()
	defer p.leavingMu.Unlock()
	p.leaving.SetListed(p.now(), incarnationsByID(list))
	// The marks come first: a replica that is listed again must not be picked before its mark.
	for _, r := range list {
		p.picker.MarkLeaving(r.ID, balance.SourcePlatform, r.Draining)
		p.picker.MarkLeaving(r.ID, balance.SourceDrainMark, p.leaving.Marked(r.ID, r.Incarnation))
	}
	p.picker.SetReplicas(replicas)
}

// Choose implements Targets. It does not wait for capacity: plain services have their own
// queue, and refuse requests when that queue is full. If rate limits or pushbacks block the
// replicas, it waits until one of them may be sent a request, or fails at once if that is
// after Query.WaitUntil.
func (p *PlainTargets) Choose(ctx context.Context, q Query) (Target, error) {
	for {
		blocked := p.limits.Blocked()
		t, err := p.pick(q, blocked)
		if errors.Is(err, errBlockedMeanwhile) {
			continue
		}
		if !errors.Is(err, ErrNoCapacity) {
			return t, err
		}
		awaited := p.usable(q, blocked)
		next := p.limits.NextSendAt(awaited)
		if len(awaited) == 0 || next.After(q.WaitUntil) {
			return Target{}, BlockedError(p.limits, blocked)
		}
		// A limit may end during the wait.
		if !wait.For(ctx, min(next.Sub(p.now()), capacityPollInterval)) {
			return Target{}, ctx.Err()
		}
	}
}

// usable returns those of the replicas that could serve the request if they were not blocked.
func (p *PlainTargets) usable(q Query, replicas []string) []string {
	return slices.DeleteFunc(slices.Clone(replicas), func(id string) bool {
		r, _ := p.replicas.get(id)
		return r == nil || r.Draining || slices.Contains(q.Exclude, id)
	})
}

// errBlockedMeanwhile means that a replica became blocked after it was picked. Another replica
// may not be blocked.
var errBlockedMeanwhile = errors.New("the picked replica became blocked")

// pick picks a replica that is not blocked by its rate limit or pushback. It fails with
// ErrNoCapacity if only such replicas are left, and with errBlockedMeanwhile.
func (p *PlainTargets) pick(q Query, blocked []string) (Target, error) {
	exclude := append(slices.Clone(q.Exclude), blocked...)
	choice, ok := p.picker.Pick(balance.Query{Cost: 1, Exclude: exclude, NoProbe: q.NonIdempotent})
	if !ok && len(blocked) > 0 {
		return Target{}, ErrNoCapacity
	}
	if !ok {
		return Target{}, ErrNoEndpoint
	}
	if !p.limits.Take(choice.ReplicaID) {
		// Another request has taken what the limit allowed, or was refused with a pushback.
		p.picker.Finished(choice.ReplicaID, balance.Result{Cost: 1, Failure: health.Canceled})
		return Target{}, errBlockedMeanwhile
	}
	r, maxConns := p.replicas.get(choice.ReplicaID)
	if r == nil {
		p.picker.Finished(choice.ReplicaID, balance.Result{Cost: 1, Failure: health.Canceled})
		return Target{}, ErrNoEndpoint
	}
	return Target{Replica: r.ID, Incarnation: r.Incarnation, Version: r.Version, Address: r.Address, Domain: r.Domain, MaxConns: maxConns, Choice: &choice}, nil
}

// Limits implements Targets.
func (p *PlainTargets) Limits() *endpointlimits.Limits { return p.limits }

// Finish implements Targets.
func (p *PlainTargets) Finish(t Target, r Result) {
	p.picker.Finished(t.Replica, balance.Result{
		Cost: 1, TimeToFirstToken: r.Duration, TotalTime: r.Duration, Started: r.Complete, Failure: r.Failure,
	})
	if r.Load != nil {
		p.picker.Report(t.Replica, balance.LoadReport{RunningRequests: r.Load.Running, WaitingRequests: r.Load.Waiting})
	}
}

// Changes returns the replicas that were ejected or returned to service since the last call,
// for the log.
func (p *PlainTargets) Changes() []balance.ReplicaStateChange { return p.picker.Changes() }
