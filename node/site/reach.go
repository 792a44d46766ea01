package site

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/reach"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

// reachability tells of which services this node reaches no replica. Safe for concurrent use.
type reachability struct {
	seed uint64
	log  hclog.Logger
	// verify is sent to when a service may be out of reach.
	verify chan struct{}

	mu       sync.Mutex
	services map[string]*reach.Tracker
	// owners finds the replica at an address, addresses the address of a replica.
	owners    map[string]replicaOwner
	addresses map[string]string
}

// replicaOwner is a replica with its service.
type replicaOwner struct{ service, replica string }

func newReachability(seed uint64, log hclog.Logger) *reachability {
	return &reachability{
		seed: seed, log: log, verify: make(chan struct{}, 1),
		services: map[string]*reach.Tracker{}, owners: map[string]replicaOwner{}, addresses: map[string]string{},
	}
}

// setReplicas replaces the lists of the services' replicas.
func (r *reachability) setReplicas(services []*ruleset.Service, replicas map[string][]*replicalist.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.services
	r.services = map[string]*reach.Tracker{}
	clear(r.owners)
	clear(r.addresses)
	for _, service := range services {
		tracker := known[service.Name]
		if tracker == nil {
			tracker = reach.New(r.seed)
		}
		var ids []string
		for _, each := range replicas[service.Name] {
			ids = append(ids, each.ID)
			r.owners[each.Address] = replicaOwner{service: service.Name, replica: each.ID}
			r.addresses[each.ID] = each.Address
		}
		tracker.SetReplicas(ids)
		r.services[service.Name] = tracker
	}
}

// observeDial records the result of opening a connection.
func (r *reachability) observeDial(address string, connected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owner, known := r.owners[address]
	if !known {
		return
	}
	now, tracker := time.Now(), r.services[owner.service]
	if connected {
		cutFor, _ := tracker.CutOffFor(now)
		if tracker.Connected(owner.replica) {
			r.log.Info("replicas are reached again", "service", owner.service, "replica", owner.replica, "cut_off_ms", cutFor.Milliseconds())
		}
		return
	}
	if tracker.Failed(now, owner.replica) {
		r.log.Warn("no replica is reached", "service", owner.service, "last_tried", owner.replica)
	}
	if len(tracker.ToVerify(now)) > 0 {
		select {
		case r.verify <- struct{}{}:
		default: // a verification is due already
		}
	}
}

// CutOff reports whether this node reaches no replica of a service.
func (r *reachability) CutOff(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	tracker := r.services[service]
	if tracker == nil {
		return false
	}
	_, cutOff := tracker.CutOffFor(time.Now())
	return cutOff
}

// cutOffMillis returns the services of which no replica is reached, with the time for which none
// has been reached.
func (r *reachability) cutOffMillis() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, all := time.Now(), map[string]int64{}
	for service, tracker := range r.services {
		if cutFor, cutOff := tracker.CutOffFor(now); cutOff {
			all[service] = cutFor.Milliseconds()
		}
	}
	return all
}

// toProbe returns the addresses to probe now.
func (r *reachability) toProbe(choose func(*reach.Tracker) []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for _, service := range slices.Sorted(maps.Keys(r.services)) {
		for _, id := range choose(r.services[service]) {
			list = append(list, r.addresses[id])
		}
	}
	return list
}

// verifyReach probes replicas of services that may be out of reach or are, until the context
// ends. The pool reports the results to observeDial.
func (n *Node) verifyReach(ctx context.Context) {
	tick := time.NewTicker(recheckEvery)
	defer tick.Stop()
	for {
		choose := (*reach.Tracker).ToRecheck
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-n.reach.verify:
			choose = func(t *reach.Tracker) []string { return t.ToVerify(time.Now()) }
		}
		if addresses := n.reach.toProbe(choose); len(addresses) > 0 {
			n.prober.FindUnreachable(ctx, connprobe.ReasonCutOff, addresses)
		}
	}
}
