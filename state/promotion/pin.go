package promotion

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/documentparts"
	"github.com/cicadatack/cicadatack/state/store"
)

// A trial or promotion finds parts in the store and then names them; a prune
// finds that nothing names parts and then removes them. Without more, the two
// can pass each other, and production names a part that is gone: a starting node
// has nothing to serve.
//
// So each says first what it is about to do, and then looks. A trial or
// promotion writes a pin, which names its parts, and then reads the plan of a
// prune; a part in the plan is written again and so stands at another revision.
// A prune writes its plan, which names parts and their revisions, and then reads
// the pins and all indexes; a part that one of them names is kept, and the others
// are removed by comparing the revision. Whichever comes second sees the other.
// spec/prune.pml is the model of it.

// PinPrefix is what the store's keys of pins start with.
func PinPrefix(env string) string { return "/cicadatack/" + env + "/pins/" }

// PlanKey is the store's key of the plan of a prune.
func PlanKey(env string) string { return "/cicadatack/" + env + "/prune" }

// releaseTimeout bounds the removal of a pin: a pin that stays does no harm.
const releaseTimeout = 2 * time.Second

// pin says that an index is about to be put somewhere. The release that it
// returns is for an index that is in its place, or will never be.
func (p *Promoter) pin(ctx context.Context, env string, index document.Index) (release func(), err error) {
	// By digest too: a second run of a promotion may find another text on trial
	// while a write of the first is still on its way.
	key := PinPrefix(env) + index.PromotionID + "/" + index.Digest
	index.Revision = max(index.Revision, 1)
	value, err := index.Encode()
	if err != nil {
		return nil, err
	}
	stands, err := p.store.Get(ctx, key)
	if err != nil {
		return nil, fromStore(err)
	}
	revision := stands.Revision
	if !bytes.Equal(stands.Value, value) {
		mine := func(read []byte) bool { return bytes.Equal(read, value) }
		revision, err = store.SwapReadBack(ctx, p.store, key, stands.Revision, value, mine)
		if err != nil {
			return nil, Error.Wrap(fmt.Errorf("%w: the pin could not be written: %v", ErrNotDone, err))
		}
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		_ = p.store.CompareAndRemove(ctx, key, revision)
	}, nil
}

// settles says whether an error leaves nothing of a write underway, so that its
// pin can go.
func settles(err error) bool { return !errors.Is(err, ErrUnknown) }

// plan is what a prune is about to remove.
type plan struct {
	// Parts by the hex of their digests, with the revisions of the keys.
	Parts map[string]int64 `json:"parts"`
}

// loadPlan returns the plan that stands and its entry.
func loadPlan(ctx context.Context, s store.Reader, env string) (plan, store.Entry, error) {
	entry, err := s.Get(ctx, PlanKey(env))
	if err != nil {
		return plan{}, entry, fromStore(err)
	}
	var read plan
	if entry.Revision == 0 {
		return read, entry, nil
	}
	if err := json.Unmarshal(entry.Value, &read); err != nil {
		return plan{}, entry, Error.Wrap(fmt.Errorf("%w: %s: %w", ErrBadRecord, entry.Key, err))
	}
	return read, entry, nil
}

// condemned are the parts that a prune may be removing. It is read after a pin
// was written.
func (p *Promoter) condemned(ctx context.Context, env string, refs []document.PartRef) (documentparts.Condemned, error) {
	found, _, err := loadPlan(ctx, p.store, env)
	if err != nil {
		return nil, err
	}
	condemned := documentparts.Condemned{}
	for _, ref := range refs {
		if revision, planned := found.Parts[ref.Digest.String()]; planned {
			condemned[ref.Digest] = revision
		}
	}
	return condemned, nil
}

// secure reads the text of an index that is about to be named, and makes sure
// that none of its parts is removed before. It is called with a pin.
func (p *Promoter) secure(ctx context.Context, env string, index document.Index) (document.Record, error) {
	condemned, err := p.condemned(ctx, env, index.Parts)
	if err != nil {
		return document.Record{}, err
	}
	record, err := p.whole(ctx, env, index)
	if err != nil || len(condemned) == 0 {
		return record, err
	}
	if err := documentparts.Write(ctx, p.store, env, index.Cut(record.Text), condemned); err != nil {
		return document.Record{}, asPart(err)
	}
	return record, nil
}
