package fleet

import (
	"context"
	"encoding/json"

	"github.com/cicadatack/cicadatack/platform/store"
)

// vmPrefix is where the platform keeps its list of VMs.
const vmPrefix = "/platform/vms/"

// stateLeaving is the platform's word for a VM that goes away soon.
const stateLeaving = "leaving"

// storeVMs reads the platform's list from the store.
type storeVMs struct {
	reader store.Reader
	keep   func(VM) bool
}

// NewStoreVMs returns the platform's list as the store holds it, reduced to
// the VMs that keep accepts: those that run this program. keep may be nil.
func NewStoreVMs(reader store.Reader, keep func(VM) bool) VMs {
	return storeVMs{reader: reader, keep: keep}
}

type vmLine struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// VMs implements VMs. A line that cannot be read is left out: one bad line
// must not hide all the others.
func (s storeVMs) VMs(ctx context.Context) ([]VM, error) {
	entries, err := s.reader.List(ctx, vmPrefix)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	vms := make([]VM, 0, len(entries))
	for _, entry := range entries {
		var line vmLine
		if json.Unmarshal(entry.Value, &line) != nil || line.Name == "" || line.Address == "" {
			continue
		}
		vm := VM{Name: line.Name, Address: line.Address, FailureDomain: line.FailureDomain, Leaving: line.State == stateLeaving}
		if s.keep == nil || s.keep(vm) {
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

// ReadWatcher is what of the store a record needs.
type ReadWatcher interface {
	store.Reader
	store.Watcher
}

// storeDocuments reads and watches one record at one key.
type storeDocuments struct {
	store  ReadWatcher
	key    string
	decode func([]byte) (Record, error)
}

// NewStoreDocuments returns the record at a key of the store. decode turns
// the stored value into a Record; a value that it refuses is an error of Get
// and skipped by Watch, so that the record in force stays.
func NewStoreDocuments(s ReadWatcher, key string, decode func([]byte) (Record, error)) Documents {
	return storeDocuments{store: s, key: key, decode: decode}
}

// Get implements Documents.
func (s storeDocuments) Get(ctx context.Context) (Record, error) {
	record, _, err := s.read(ctx)
	return record, err
}

func (s storeDocuments) read(ctx context.Context) (Record, int64, error) {
	entry, err := s.store.Get(ctx, s.key)
	if err != nil {
		return Record{}, 0, Error.Wrap(err)
	}
	if entry.Revision == 0 {
		return Record{}, 0, nil
	}
	record, err := s.decode(entry.Value)
	return record, entry.Revision, Error.Wrap(err)
}

// Watch implements Documents. It reads the key first and follows from the
// revision that it read, so that no change falls between the two.
func (s storeDocuments) Watch(ctx context.Context, handle func(Record)) error {
	record, revision, err := s.read(ctx)
	if err != nil && revision == 0 {
		return err
	}
	if err == nil && record.Revision > 0 {
		handle(record)
	}
	err = s.store.Watch(ctx, s.key, revision, func(event store.Event) {
		if event.Deleted || event.Entry.Key != s.key {
			return
		}
		if record, err := s.decode(event.Entry.Value); err == nil {
			handle(record)
		}
	})
	return Error.Wrap(err)
}
