package targets

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/replicapicker"
)

// Plain chooses among the replicas of a service that each serve a request alone.
// Safe for concurrent use.
type Plain struct {
	picker *replicapicker.Picker
	// addresses and conns change with the list only.
	state *plainState
}

// plainHealth ejects sooner and for shorter than the defaults, which are for
// services of many replicas: of three, one that fails takes a third of all requests
// until it is out, and one that is well again is missed.
var plainHealth = health.Config{
	BaseEjection: time.Second,
	MaxEjection:  8 * time.Second,
	// With three replicas one may always be out.
	MaxEjectedShare:      0.5,
	MaxUnresponsiveShare: 0.75,
}

// NewPlain returns a Plain without replicas for a node in a failure domain.
func NewPlain(node, domain string, seed uint64, now func() time.Time) *Plain {
	balancer := balance.New(balance.Config{
		Node: node, FailureDomain: domain, Seed: seed, Health: plainHealth,
		SlowStart: time.Second,
	})
	return &Plain{
		picker: replicapicker.New(balancer, now, func() {}),
		state:  newPlainState(),
	}
}

// Update puts a new list in force. conns bounds this node's connections to each
// replica; nodes are all that send here.
func (p *Plain) Update(list []*replicalist.Replica, conns int, near []string, nodes int) {
	p.state.set(list, conns)
	p.picker.SetPeers(near, nodes)
	replicas := make([]balance.Replica, 0, len(list))
	for _, r := range list {
		replicas = append(replicas, balance.Replica{ID: r.ID, FailureDomain: r.Domain, Slots: r.Slots})
	}
	p.picker.SetReplicas(replicas)
	for _, r := range list {
		p.picker.Leaving(r.ID, balance.SourcePlatform, r.Draining)
	}
}

// Choose implements Targets. It does not wait: plain services queue by themselves
// and say when they are full.
func (p *Plain) Choose(_ context.Context, q Query) (Target, error) {
	choice, ok := p.picker.Pick(balance.Query{Cost: 1, Exclude: q.Exclude, NoProbe: q.Once})
	if !ok {
		return Target{}, ErrNoEndpoint
	}
	r, conns := p.state.get(choice.Replica)
	if r == nil {
		p.picker.Finished(choice.Replica, balance.Result{Cost: 1, Failure: health.Canceled})
		return Target{}, ErrNoEndpoint
	}
	return Target{Replica: r.ID, Address: r.Address, Domain: r.Domain, MostConns: conns, Choice: &choice}, nil
}

// Ended implements Targets.
func (p *Plain) Ended(t Target, r Result) {
	p.picker.Finished(t.Replica, balance.Result{
		Cost: 1, FirstToken: r.Took, Total: r.Took, Started: r.Whole, Failure: r.Failure,
	})
	if r.Load != nil {
		p.picker.Report(t.Replica, balance.Load{Running: r.Load.Running, Waiting: r.Load.Waiting})
	}
}

// Changes returns the replicas that were left out or have returned since the last
// call, for the log.
func (p *Plain) Changes() []balance.Change { return p.picker.Changes() }
