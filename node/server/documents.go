package server

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/platform/document"
	"github.com/cicadatack/cicadatack/platform/promotion"
	"github.com/cicadatack/cicadatack/platform/store"
	"github.com/cicadatack/cicadatack/route/directory"
	"github.com/cicadatack/cicadatack/route/service"
)

// storeDocuments is the slot of the store that this node serves.
type storeDocuments struct {
	store store.Store
	key   string
	slot  string
}

func (s *Server) documents() storeDocuments {
	key := promotion.ProductionKey(s.settings.Environment)
	if s.settings.Slot == settings.SlotTrial {
		key = promotion.TrialKey(s.settings.Environment)
	}
	return storeDocuments{store: s.store, key: key, slot: s.settings.Environment + "/" + s.settings.Slot}
}

// Get reads the record in force; revision zero means none.
func (d storeDocuments) Get(ctx context.Context) (fleet.Record, error) {
	record, _, err := d.read(ctx)
	return record, err
}

func (d storeDocuments) read(ctx context.Context) (fleet.Record, int64, error) {
	e, err := d.store.Get(ctx, d.key)
	if err != nil || e.Revision == 0 {
		return fleet.Record{}, e.Revision, err
	}
	record, err := d.decode(e.Value)
	return record, e.Revision, err
}

func (d storeDocuments) decode(value []byte) (fleet.Record, error) {
	r, err := document.DecodeRecord(value)
	if err != nil {
		return fleet.Record{}, err
	}
	return fleet.Record{Environment: d.slot, Revision: r.Revision, Digest: r.Digest, Body: r.Text}, nil
}

// Watch hands over the record in force and each later one.
func (d storeDocuments) Watch(ctx context.Context, handle func(fleet.Record)) error {
	record, revision, err := d.read(ctx)
	if err != nil {
		return err
	}
	if record.Revision > 0 {
		handle(record)
	}
	return d.store.Watch(ctx, d.key, revision, func(e store.Event) {
		if e.Deleted || e.Entry.Key != d.key {
			return
		}
		// A record that can't be read is left out: the one in force stays.
		if next, err := d.decode(e.Entry.Value); err == nil {
			handle(next)
		}
	})
}

// apply puts a record in force on this node. A record that does not parse is
// refused and the one in force stays: it can only come from a newer program,
// as promotion checks every text.
func (s *Server) apply(r fleet.Record) {
	doc, err := document.Parse(r.Body)
	if err != nil {
		s.log.Error("document refused, the one in force stays", "revision", r.Revision, "error", err)
		return
	}
	d := directory.Build(doc, r.Revision, r.Digest)
	s.registry.Apply(d)
	s.book.Apply(d)
	s.keeper.Apply(d)
	s.directory.Store(d)
	s.metrics.Revision(r.Revision)
	s.followMembers()
	s.log.Info("document in force", "revision", r.Revision, "digest", r.Digest, "services", len(doc.Services), "teams", len(doc.Teams))
}

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

// vmList reads the platform's lists: the entry VMs for the fleet, and of the
// endpoint VMs those that leave.
type vmList struct {
	store   store.Reader
	slot    string
	leaving *leavingList
}

// VMs returns the entry VMs, and passes on which endpoints leave.
func (l vmList) VMs(ctx context.Context) ([]fleet.VM, error) {
	entries, err := l.read(ctx, entryVMs)
	if err != nil {
		return nil, err
	}
	endpoints, err := l.read(ctx, endpointVMs)
	if err != nil {
		return nil, err
	}
	l.leaving.platformSays(endpoints)
	vms := make([]fleet.VM, 0, len(entries))
	for _, e := range entries {
		if e.slot() != l.slot {
			continue // callers of one slot must not be sent to the other
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

func (l vmList) read(ctx context.Context, prefix string) ([]platformVM, error) {
	stored, err := l.store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	vms := make([]platformVM, 0, len(stored))
	for _, e := range stored {
		var vm platformVM
		// One line that can't be read must not hide the others.
		if json.Unmarshal(e.Value, &vm) != nil || vm.Name != strings.TrimPrefix(e.Key, prefix) {
			continue
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// leavingList turns the platform's list of leaving endpoint VMs, which comes
// whole, into news for the services.
type leavingList struct {
	registry *service.Registry

	mu      sync.Mutex
	leaving map[string]bool
}

func newLeavingList(r *service.Registry) *leavingList {
	return &leavingList{registry: r, leaving: map[string]bool{}}
}

// platformSays takes the platform's list. What it says is passed on each time,
// not only when it changed: a service that a new document brought has not heard.
func (l *leavingList) platformSays(vms []platformVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.State == stateLeaving {
			listed[vm.Name] = true
		}
	}
	for name := range l.leaving {
		if !listed[name] {
			l.tell(name, false)
		}
	}
	for name := range listed {
		l.tell(name, true)
	}
	l.leaving = listed
}

func (l *leavingList) tell(endpoint string, leaving bool) {
	for _, each := range l.registry.All() {
		each.EndpointLeaving(endpoint, balance.SourcePlatform, leaving)
	}
}
