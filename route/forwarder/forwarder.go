// Package forwarder chooses the nodes that serve requests on behalf of this node, and remembers
// which nodes forward their requests to it. It drives decide/forwarding.
package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/forwarding"
	"github.com/cicadatack/cicadatack/route/reachability"
	"github.com/cicadatack/cicadatack/route/relay"
)

// Forwarder implements relay.Forwarder. Safe for concurrent use.
type Forwarder struct {
	node  string
	reach *reachability.Monitor
	now   func() time.Time

	mu       sync.Mutex
	selector *forwarding.Selector
	cutOff   forwarding.CutOffNodes
	// servedAt is when another node last served a request for this one.
	servedAt time.Time
}

var _ relay.Forwarder = (*Forwarder)(nil)

// New returns the Forwarder of a node in a failure domain, which knows no other nodes.
func New(node, domain string, seed uint64, reach *reachability.Monitor, now func() time.Time) *Forwarder {
	return &Forwarder{node: node, reach: reach, now: now, selector: forwarding.New(domain, seed)}
}

// SetNodes replaces the list of nodes that may serve requests for this one. The node itself and
// nodes without an address are left out.
func (f *Forwarder) SetNodes(list []forwarding.Node) {
	others := slices.DeleteFunc(slices.Clone(list), func(n forwarding.Node) bool { return n.Name == f.node || n.Address == "" })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.selector.SetNodes(others)
}

// Name implements relay.Forwarder.
func (f *Forwarder) Name() string { return f.node }

// CutOff implements relay.Forwarder.
func (f *Forwarder) CutOff(service string) bool { return f.reach.CutOff(service) }

// Choose implements relay.Forwarder.
func (f *Forwarder) Choose(service string, asked []string) (forwarding.Node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.Choose(f.now(), service, asked)
}

// CountServing implements relay.Forwarder.
func (f *Forwarder) CountServing(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.CountServing(f.now(), service)
}

// Serving implements relay.Forwarder.
func (f *Forwarder) Serving(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.Serving(f.now(), service)
}

// Named implements relay.Forwarder.
func (f *Forwarder) Named(service string, nodes []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.selector.Named(f.now(), service, nodes)
}

// Finish implements relay.Forwarder.
func (f *Forwarder) Finish(service string, node forwarding.Node, r forwarding.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.selector.Finish(f.now(), service, node.Name, r)
	if r == forwarding.Served {
		f.servedAt = f.now()
	}
}

// Observe implements relay.Forwarder.
func (f *Forwarder) Observe(service, node string, fromAll bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff.Observe(f.now(), service, node, fromAll)
	f.selector.ForwardsItself(f.now(), service, node)
}

// CutOffFromAll implements relay.Forwarder.
func (f *Forwarder) CutOffFromAll() bool { return f.reach.CutOffFromAll() }

// servedTTL is how long after another node has served a request for this one that node counts as
// reaching endpoints.
const servedTTL = 2 * time.Second

// WorseThanOthers reports whether a node, this one or another, reaches no endpoint of any service
// while another node does, as far as this node knows. If all nodes are cut off, or all endpoints
// are gone, no node is worse than the others.
func (f *Forwarder) WorseThanOthers(node string) bool {
	cutOff := f.CutOffFromAll()
	f.mu.Lock()
	defer f.mu.Unlock()
	if node == f.node {
		return cutOff && f.now().Sub(f.servedAt) < servedTTL
	}
	return !cutOff && f.cutOff.CutOffFromAll(f.now(), node)
}

// Sends reports whether a node sends requests to the endpoints of a service itself, as far as this
// node knows.
func (f *Forwarder) Sends(service, node string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.cutOff.CutOff(f.now(), service, node)
}
