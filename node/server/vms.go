package server

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/state/store"
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
// Without it each read would fetch the whole list, which grows with the fleet.
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

// wholeDue says whether a list of so many VMs has to be read whole again.
func wholeDue(last time.Time, vms int) bool {
	pause := max(wholeInterval, time.Duration(vms)*wholePerVM)
	return time.Since(last) > pause
}

// read brings the list up to date and returns it.
func (c *vmCache) read(ctx context.Context) (map[string]platformVM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	whole := wholeDue(c.wholeAt, len(c.vms))
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

// size is how many VMs the list had when it was last read.
func (c *vmCache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.vms)
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
