package server

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/platform/store"
	"github.com/cicadatack/cicadatack/route/service"
)

// Prefixes of the platform's lists.
const (
	entryVMs    = "/platform/vms/entry/"
	endpointVMs = "/platform/vms/endpoint/"
)

// stateLeaving is a VM's state in the platform's lists before it goes.
const stateLeaving = "leaving"

// platformVM is one line of the platform's lists.
type platformVM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// Slot is the slot that an entry VM serves; empty means production.
	Slot string `json:"slot,omitempty"`
}

// vmCache keeps one of the platform's lists and fetches what has changed. Safe
// for concurrent use.
//
// Without it each read would fetch the whole list: 205 KB/s a node with 5,000
// endpoints (make bench, section control), a hundred times the budget.
type vmCache struct {
	store  store.ChangeReader
	prefix string

	mu       sync.Mutex
	vms      map[string]platformVM
	revision int64
	wholeAt  time.Time
}

const (
	// wholeInterval is how often a short list is read whole, as removed VMs are
	// not among what has changed.
	wholeInterval = 5 * time.Minute
	// wholePerVM spaces the whole reads of a long list: at about 200 bytes a VM
	// they take 50 bytes a second at any length. Until the read, VMs that have gone
	// stand on in the list and cost their memory only.
	wholePerVM = 4 * time.Second
)

// wholeDue says whether the list has to be read whole again.
func (c *vmCache) wholeDue() bool {
	pause := max(wholeInterval, time.Duration(len(c.vms))*wholePerVM)
	return time.Since(c.wholeAt) > pause
}

// read brings the list up to date and returns it.
func (c *vmCache) read(ctx context.Context) (map[string]platformVM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	whole := c.wholeDue()
	since := c.revision
	if whole {
		since = 0
	}
	changed, revision, err := c.store.Changed(ctx, c.prefix, since)
	if err != nil {
		return nil, err
	}
	if !whole && len(changed) == 0 {
		// Nearly every read; to copy 10,000 VMs each two seconds was the largest
		// part of an idle node's processor time that grew with the replicas.
		c.revision = revision
		return c.vms, nil
	}
	next := map[string]platformVM{}
	if !whole {
		maps.Copy(next, c.vms)
	}
	for _, e := range changed {
		c.put(next, e)
	}
	if whole {
		c.wholeAt = time.Now()
	}
	c.vms, c.revision = next, revision
	return next, nil
}

// put reads one line. One that can't be read must not hide the others.
func (c *vmCache) put(vms map[string]platformVM, e store.Entry) {
	var vm platformVM
	if json.Unmarshal(e.Value, &vm) != nil || vm.Name != strings.TrimPrefix(e.Key, c.prefix) {
		return
	}
	vms[vm.Name] = vm
}

// vmList reads the platform's list of entry VMs for the fleet.
type vmList struct {
	cache *vmCache
	slot  string
}

// VMs returns the entry VMs of this node's slot: callers of one slot must not be
// sent to the other.
func (l vmList) VMs(ctx context.Context) ([]fleet.VM, error) {
	entries, err := l.cache.read(ctx)
	if err != nil {
		return nil, err
	}
	vms := make([]fleet.VM, 0, len(entries))
	for _, e := range entries {
		if e.slot() != l.slot {
			continue
		}
		vms = append(vms, fleet.VM{
			Name:          e.Name,
			Address:       e.Address,
			FailureDomain: e.FailureDomain,
			Leaving:       e.State == stateLeaving,
		})
	}
	return vms, nil
}

func (vm platformVM) slot() string {
	if vm.Slot == "" {
		return settings.SlotProduction
	}
	return vm.Slot
}

const (
	// leavingFloor is the least time between two looks for leaving endpoint VMs:
	// with it, an endpoint gets nothing new 3 s after the platform says so.
	leavingFloor = 2 * time.Second
	// leavingPerNode spaces the looks in a large fleet, so that all nodes
	// together make at most 20 a second. At 2,200 nodes that is one in 110 s a
	// node; endpoints' own word is quicker there.
	leavingPerNode = 50 * time.Millisecond
	leavingTimeout = 2 * time.Second
)

// leavingLoop follows the platform's list of endpoint VMs.
func (s *Server) leavingLoop(ctx context.Context) {
	list := &vmCache{store: s.store, prefix: endpointVMs}
	for {
		s.lookForLeaving(ctx, list)
		pause := max(leavingFloor, time.Duration(len(s.fleet.Members()))*leavingPerNode)
		select {
		case <-ctx.Done():
			return
		case <-time.After(jittered(pause)):
		}
	}
}

// jittered draws from nine tenths of d to d, so that nodes started together do
// not look in step.
func jittered(d time.Duration) time.Duration {
	return d - time.Duration(rand.Float64()*float64(d)/10)
}

func (s *Server) lookForLeaving(ctx context.Context, list *vmCache) {
	ctx, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	vms, err := list.read(ctx)
	if err != nil {
		s.log.Debug("list of endpoint VMs not read", "error", err)
		return
	}
	s.leaving.platformSays(vms)
}

// leavingList turns the platform's list of endpoint VMs into news for the
// services.
type leavingList struct {
	registry *service.Registry

	mu      sync.Mutex
	leaving map[string]bool
}

func newLeavingList(r *service.Registry) *leavingList {
	return &leavingList{registry: r, leaving: map[string]bool{}}
}

// platformSays takes the platform's list. That a VM leaves is passed on each
// time, as a service that a new document brought has not heard it; and it stands
// until the list calls the VM live again, as one that has gone from the list has
// left.
func (l *leavingList) platformSays(vms map[string]platformVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, vm := range vms {
		switch {
		case vm.State == stateLeaving:
			l.leaving[name] = true
		case l.leaving[name]:
			delete(l.leaving, name)
			l.tell(name, false)
		}
	}
	for name := range l.leaving {
		l.tell(name, true)
	}
}

func (l *leavingList) tell(endpoint string, leaving bool) {
	for _, each := range l.registry.All() {
		each.EndpointLeaving(endpoint, balance.SourcePlatform, leaving)
	}
}
