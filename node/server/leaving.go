package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/fleet/drainnotice"
	"github.com/cicadatack/cicadatack/route/service"
	"github.com/cicadatack/cicadatack/state/store"
)

const (
	// leavingFloor is the least time between two looks for leaving endpoint VMs:
	// with it, an endpoint gets nothing new 3 s after the platform says so.
	leavingFloor = 2 * time.Second
	// leavingPerNode spaces the looks in a large fleet, so that all nodes
	// together make at most 20 a second. At 2,200 nodes that is one in 110 s a
	// node; the node that looks first tells the others.
	leavingPerNode = 50 * time.Millisecond
	leavingTimeout = 2 * time.Second
	// wholeTimeout is for a read of the whole list: at the share of one of 2,200
	// nodes its 25 pages take 45 s.
	wholeTimeout = time.Minute
	// hintedPart of a service's replicas, one at least but never the only one, is
	// the most that peers' notices alone may take out of use. Without it one node
	// that reads a wrong list would take a whole service from all others. What goes
	// beyond it waits for this node's own look at the list.
	hintedPart = 0.25
)

// leavingLoop follows the platform's list of endpoint VMs.
func (s *Server) leavingLoop(ctx context.Context) {
	list := &endpointList{store: s.store}
	for {
		s.lookForLeaving(ctx, list)
		select {
		case <-ctx.Done():
			return
		case <-time.After(leavingPause(len(s.fleet.Members()))):
		}
	}
}

// leavingPause is the time between two looks. In a large fleet it is drawn from
// nothing to twice its mean: looks fall at random from the start on, also of nodes
// that started together, and the first of them sees a change. Drawn from half of the
// mean on, no node of 2,200 would look for 55 s after such a start.
func leavingPause(nodes int) time.Duration {
	pause := time.Duration(nodes) * leavingPerNode
	if pause <= leavingFloor {
		return jittered(leavingFloor)
	}
	return rand.N(2 * pause)
}

// jittered draws from nine tenths of d to d, so that nodes started together do
// not look in step.
func jittered(d time.Duration) time.Duration {
	return d - time.Duration(rand.Float64()*float64(d)/10)
}

func (s *Server) lookForLeaving(ctx context.Context, list *endpointList) {
	timeout := leavingTimeout
	if wholeDue(list.wholeAt, list.count) {
		timeout = wholeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	listed, err := list.read(ctx)
	if err != nil {
		s.log.Debug("list of endpoint VMs not read", "error", err)
		return
	}
	s.fleet.EndpointsListed(listed)
}

// endpointList reads the platform's list of endpoint VMs. It keeps how far it has
// read and none of the VMs: of 12,200 only those that leave are of use.
type endpointList struct {
	store    store.ChangeReader
	revision int64
	// count of the VMs when the list was last read whole, at wholeAt.
	count   int
	wholeAt time.Time
}

// read returns what was written since the last read, or the whole list when that
// is due.
func (l *endpointList) read(ctx context.Context) (drainnotice.Listed, error) {
	whole := wholeDue(l.wholeAt, l.count)
	since := l.revision
	if whole {
		since = 0
	}
	entries, revision, err := l.store.Changed(ctx, endpointVMs, since)
	if err != nil {
		return drainnotice.Listed{}, err
	}
	l.revision = revision
	if whole {
		l.count, l.wholeAt = len(entries), time.Now()
	}
	return drainnotice.Listed{VMs: endpointsOf(entries), Revision: revision}, nil
}

// endpointsOf leaves out entries that can't be read; they must not hide the others.
func endpointsOf(entries []store.Entry) []drainnotice.VM {
	vms := make([]drainnotice.VM, 0, len(entries))
	for _, e := range entries {
		var vm platformVM
		if json.Unmarshal(e.Value, &vm) != nil || vm.Name != strings.TrimPrefix(e.Key, endpointVMs) {
			continue
		}
		vms = append(vms, drainnotice.VM{Name: vm.Name, Revision: e.Revision, Leaving: vm.State == stateLeaving})
	}
	return vms
}

// leavingList tells the services which endpoints leave.
type leavingList struct {
	registry *service.Registry
	log      hclog.Logger

	mu sync.Mutex
	// told holds the endpoints that a service was told of, by the service's name.
	told map[string]map[string]bool
}

func newLeavingList(r *service.Registry, log hclog.Logger) *leavingList {
	return &leavingList{registry: r, log: log, told: map[string]map[string]bool{}}
}

// follow asks for the endpoints that leave now; it asks under the lock, so that
// an older answer never comes after a newer one. That one leaves is passed on each
// time, as a service that a new document brought has not heard it.
func (l *leavingList) follow(leaving func() []drainnotice.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := leaving()
	for _, each := range l.registry.All() {
		l.told[each.Name] = l.tell(each, now, l.told[each.Name])
	}
}

// hintRoom is how many of a service's replicas may be left out by hints.
func hintRoom(replicas int) int {
	return min(replicas-1, max(1, int(hintedPart*float64(replicas))))
}

// tell marks a service's endpoints that leave and takes back what was said of
// others before.
func (l *leavingList) tell(s *service.Service, leaving []drainnotice.Endpoint, before map[string]bool) map[string]bool {
	now := map[string]bool{}
	room := hintRoom(s.ReplicaCount())
	for _, e := range leaving {
		replicas := s.ReplicasOf(e.Name)
		if !e.Confirmed {
			if len(replicas) > room {
				continue
			}
			room -= len(replicas)
		}
		now[e.Name] = true
		if !before[e.Name] && len(replicas) > 0 {
			l.log.Info("endpoint leaves", "service", s.Name, "endpoint", e.Name, "confirmed", e.Confirmed)
		}
		s.MarkLeaving(e.Name, balance.SourcePlatform, true)
	}
	for name := range before {
		if !now[name] {
			s.MarkLeaving(name, balance.SourcePlatform, false)
		}
	}
	return now
}
