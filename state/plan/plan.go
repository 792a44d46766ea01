// Package plan keeps the placement of layers in the platform's store: which
// engine of a replica holds which layers, agreed by compare-and-swap.
//
//	record, err := plan.Agree(ctx, store, plan.Key(env, model, domain), "vm-1", func(r *plan.Record) bool {
//		return r.Put("replica-1", stages, "v2")
//	})
//
// The failure that it answers: two nodes that both believe to be the one that
// plans. Whoever writes second reads the first one's plan and starts from it,
// so there is one plan at a time; its version is the fencing number of the
// orders that carry it out, and only rises.
package plan

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/state/store"
)

// Error is the class of this layer's errors.
var Error = errs.Class("plan")

// ErrBadRecord reports a record that can't be read. It is left as it is.
var ErrBadRecord = errors.New("the placement record can't be read")

// Format is the version of the record that this program reads.
const Format = 1

const (
	// maxReported is the highest version of a report that a plan is raised above. Engines that
	// report more took it from nobody who plans.
	maxReported = 1 << 53
	// maxVersion is the highest version of a record. Changes add to it one at a time.
	maxVersion = 1 << 62
)

// agreeAttempts bounds how often a change starts again from another's plan.
const agreeAttempts = 8

// Stage is an engine and the layers, both inclusive, that it is to hold.
type Stage struct {
	Endpoint string `json:"endpoint"`
	First    int    `json:"first"`
	Last     int    `json:"last"`
}

// Replica is the plan of one replica. Version is that of the record when the
// replica's stages last changed.
type Replica struct {
	Version int64   `json:"version"`
	Stages  []Stage `json:"stages"`
	// Weights is the version of the weights, empty if the document names none.
	Weights string `json:"weights,omitempty"`
	// Adapters are to be held beside the layers, the oldest first. They have a
	// fencing number of their own: a new adapter does not stop the replica, as a
	// new Version does until every engine has taken it.
	Adapters       []Adapter `json:"adapters,omitempty"`
	AdapterVersion int64     `json:"adapter_version,omitempty"`
}

// Adapter is one version of an adapter.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Record holds the plans of one model's replicas in one failure domain.
type Record struct {
	Format  int   `json:"format"`
	Version int64 `json:"version"`
	// ID is unique to the write, so that its writer knows it again after a
	// lost reply; Writer is the node, for operators.
	ID       string             `json:"id"`
	Writer   string             `json:"writer"`
	Replicas map[string]Replica `json:"replicas"`
}

// Raise puts a replica's plan under a version above the one given, with the
// stages as they are. It returns false, and changes nothing, if it already is.
// An engine that checks fencing numbers and took a higher one from someone else
// would otherwise refuse the plan for ever. Above maxReported no plan is raised: a version that
// overflows would make all engines refuse.
func (r *Record) Raise(replica string, above int64) bool {
	planned, ok := r.Replicas[replica]
	if !ok || planned.Version > above || above > maxReported {
		return false
	}
	r.Version = max(r.Version, above) + 1
	planned.Version = r.Version
	r.Replicas[replica] = planned
	return true
}

// RaiseAdapters does the same for the fencing number of a replica's adapters.
func (r *Record) RaiseAdapters(replica string, above int64) bool {
	planned, ok := r.Replicas[replica]
	if !ok || planned.AdapterVersion > above || above > maxReported {
		return false
	}
	r.Version = max(r.Version, above) + 1
	planned.AdapterVersion = r.Version
	r.Replicas[replica] = planned
	return true
}

// Key is the store's key of a record.
func Key(environment, model, failureDomain string) string {
	return "/cicadatack/" + environment + "/placement/" + model + "/" + failureDomain
}

// Put sets a replica's stages and weights under the next version. It returns
// false, and changes nothing, if they are in the plan already.
func (r *Record) Put(replica string, stages []Stage, weights string) bool {
	planned := r.Replicas[replica]
	if slices.Equal(planned.Stages, stages) && planned.Weights == weights {
		return false
	}
	r.Version++
	planned.Version, planned.Stages, planned.Weights = r.Version, stages, weights
	r.Replicas[replica] = planned
	return true
}

// PutAdapters sets a planned replica's adapters under the next version, or returns
// false.
func (r *Record) PutAdapters(replica string, adapters []Adapter) bool {
	planned, ok := r.Replicas[replica]
	if !ok || slices.Equal(planned.Adapters, adapters) {
		return false
	}
	r.Version++
	planned.AdapterVersion, planned.Adapters = r.Version, adapters
	r.Replicas[replica] = planned
	return true
}

// Load reads the record at key; a missing one is empty. The number is the
// store's revision, for compare-and-swap.
func Load(ctx context.Context, s store.Reader, key string) (Record, int64, error) {
	entry, err := s.Get(ctx, key)
	if err != nil {
		return Record{}, 0, Error.Wrap(err)
	}
	record, err := decode(entry.Value)
	return record, entry.Revision, err
}

func decode(value []byte) (Record, error) {
	record := Record{Format: Format, Replicas: map[string]Replica{}}
	if len(value) == 0 {
		return record, nil
	}
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, Error.Wrap(fmt.Errorf("%w: %w", ErrBadRecord, err))
	}
	if record.Format != Format {
		return Record{}, Error.Wrap(fmt.Errorf("%w: format %d, this program reads %d", ErrBadRecord, record.Format, Format))
	}
	if record.Version < 0 || record.Version > maxVersion {
		return Record{}, Error.Wrap(fmt.Errorf("%w: version %d", ErrBadRecord, record.Version))
	}
	if record.Replicas == nil {
		record.Replicas = map[string]Replica{}
	}
	return record, nil
}

// Agree applies change to the record in force and writes it, starting again
// from the winner's if another node was first. change returns false if there is
// nothing to do. The record returned is in force, or was a moment ago.
func Agree(ctx context.Context, s store.ReadSwapper, key, writer string, change func(*Record) bool) (Record, error) {
	for range agreeAttempts {
		record, revision, err := Load(ctx, s, key)
		if err != nil {
			return Record{}, err
		}
		if !change(&record) {
			return record, nil
		}
		err = write(ctx, s, key, revision, writer, &record)
		if err == nil {
			return record, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return Record{}, Error.Wrap(err)
		}
	}
	return Record{}, Error.Wrap(store.ErrConflict)
}

func write(ctx context.Context, s store.ReadSwapper, key string, revision int64, writer string, record *Record) error {
	record.ID = rand.Text()
	record.Writer = writer
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = store.SwapReadBack(ctx, s, key, revision, value, func(stored []byte) bool {
		read, err := decode(stored)
		return err == nil && read.ID == record.ID
	})
	return err
}
