// Package isolation keeps the parts of prompts that are sent to no replica in the store, so that
// nodes which start, and operators, find them. Only isolations are kept there; the evidence for
// them is exchanged between the nodes.
package isolation

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strings"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/state/store"
)

// Error is the class of this layer's errors.
var Error = errs.Class("isolation")

// ErrChanged means that another node or an operator has changed the isolation meanwhile.
var ErrChanged = errors.New("the isolation has changed")

// Prefix is the beginning of the keys of all isolations.
const Prefix = "cicadatack/isolated/"

// Store is what this package needs of the store. *store.Client implements it.
type Store interface {
	List(ctx context.Context, prefix string) ([]store.Entry, error)
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (int64, error)
	CompareAndRemove(ctx context.Context, key string, revision int64) error
}

// Table holds the isolations of one deployment or environment.
type Table struct {
	Store Store
	// Prefix is the beginning of the keys of its isolations.
	Prefix string
}

// record is the value of an isolation in the store.
type record struct {
	Service  string   `json:"service"`
	Part     string   `json:"part"`
	Crashes  []ended  `json:"crashes,omitempty"`
	Versions []string `json:"versions,omitempty"`
	Trials   int      `json:"trials,omitempty"`
}

// ended is a replica's process that ended under the part.
type ended struct {
	Replica     string `json:"replica"`
	Incarnation int64  `json:"incarnation,omitempty"`
}

// maxTrials is more than nodes ever count. A higher number counts as this one, so that adding to it
// can't make it negative.
const maxTrials = 1 << 20

// keyBytes of a hash stand for a part in its key, whose length the store limits.
const keyBytes = 16

func (t Table) key(p poison.Part) string {
	sum := sha256.Sum256([]byte(p.Service + "\x00" + p.ID))
	return t.Prefix + hex.EncodeToString(sum[:keyBytes])
}

// Decode reads an entry of the store. known is false if the entry is no isolation. An entry that
// can't be read isolates nothing.
func (t Table) Decode(e store.Entry) (i poison.Isolation, known bool, err error) {
	if !strings.HasPrefix(e.Key, t.Prefix) {
		return i, false, nil
	}
	var r record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return i, true, Error.Wrap(err)
	}
	if r.Service == "" || r.Part == "" || r.Trials < 0 {
		return i, true, Error.New("%s names no part", e.Key)
	}
	i = poison.Isolation{Part: poison.Part{Service: r.Service, ID: r.Part}, Versions: r.Versions, Trials: min(r.Trials, maxTrials), Revision: e.Revision}
	for _, c := range r.Crashes {
		i.Crashes = append(i.Crashes, poison.Process{Replica: c.Replica, Incarnation: c.Incarnation})
	}
	return i, true, nil
}

// List reads all isolations. Entries that can't be read are left out, and err joins their faults.
func (t Table) List(ctx context.Context) (list []poison.Isolation, faults error, err error) {
	entries, err := t.Store.List(ctx, t.Prefix)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	for _, e := range entries {
		i, _, err := t.Decode(e)
		if err != nil {
			faults = errors.Join(faults, err)
			continue
		}
		list = append(list, i)
	}
	return list, faults, nil
}

// Put stores an isolation in place of its revision, or as a new one if that is 0. It returns the
// new revision, or ErrChanged.
func (t Table) Put(ctx context.Context, i poison.Isolation) (int64, error) {
	r := record{Service: i.Part.Service, Part: i.Part.ID, Versions: i.Versions, Trials: i.Trials}
	for _, c := range i.Crashes {
		r.Crashes = append(r.Crashes, ended{Replica: c.Replica, Incarnation: c.Incarnation})
	}
	value, err := json.Marshal(r)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	revision, err := t.Store.CompareAndSwap(ctx, t.key(i.Part), i.Revision, value)
	return revision, wrap(err)
}

// Remove ends an isolation. It fails with ErrChanged if its revision is not the present one.
func (t Table) Remove(ctx context.Context, i poison.Isolation) error {
	return wrap(t.Store.CompareAndRemove(ctx, t.key(i.Part), i.Revision))
}

func wrap(err error) error {
	if errors.Is(err, store.ErrConflict) {
		return ErrChanged
	}
	return Error.Wrap(err)
}
