package promotion

import (
	"context"
	"errors"
	"fmt"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/documentparts"
	"github.com/cicadatack/cicadatack/state/store"
)

// Current returns the record in force in production, or ErrNoRecord.
func (p *Promoter) Current(ctx context.Context, env string) (document.Record, error) {
	index, err := p.InForce(ctx, env)
	if err != nil {
		return document.Record{}, err
	}
	return p.whole(ctx, env, index)
}

// InForce returns the index in force in production, or ErrNoRecord. It is one
// read of the store.
func (p *Promoter) InForce(ctx context.Context, env string) (document.Index, error) {
	return p.existing(ctx, ProductionKey(env))
}

// Tried returns the index on trial, or ErrNoRecord. It is one read of the store.
func (p *Promoter) Tried(ctx context.Context, env string) (document.Index, error) {
	return p.existing(ctx, TrialKey(env))
}

// Revision returns the record that was in force as a revision, or ErrNoRecord.
func (p *Promoter) Revision(ctx context.Context, env string, revision int64) (document.Record, error) {
	index, err := p.earlier(ctx, env, revision)
	if err != nil {
		return document.Record{}, err
	}
	return p.whole(ctx, env, index)
}

// earlier returns the index that was in force as a revision.
func (p *Promoter) earlier(ctx context.Context, env string, revision int64) (document.Index, error) {
	index, err := p.InForce(ctx, env)
	if err == nil && index.Revision != revision {
		index, err = p.existing(ctx, HistoryKey(env, revision))
	}
	return index, err
}

// History returns the index in force and those before it, the latest first,
// at most limit. Each is one read of the store.
func (p *Promoter) History(ctx context.Context, env string, limit int) ([]document.Index, error) {
	current, err := p.InForce(ctx, env)
	if errors.Is(err, ErrNoRecord) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	indexes := []document.Index{current}
	for revision := current.Revision - 1; revision > 0 && len(indexes) < limit; revision-- {
		index, err := p.existing(ctx, HistoryKey(env, revision))
		if errors.Is(err, ErrNoRecord) {
			// A prune has removed it and those before it.
			break
		}
		if err != nil {
			return indexes, err
		}
		indexes = append(indexes, index)
	}
	return indexes, nil
}

// standing is a key as read: the store's entry and the index in it. Both are
// zero for a missing key.
type standing struct {
	stored store.Entry
	index  document.Index
}

// load reads an index. One that cannot be read is an error, so that it is not
// replaced by what would pass for its successor.
func (p *Promoter) load(ctx context.Context, key string) (standing, error) {
	entry, err := p.store.Get(ctx, key)
	if err != nil {
		return standing{}, fromStore(err)
	}
	if entry.Revision == 0 {
		return standing{stored: entry}, nil
	}
	index, err := document.DecodeIndex(entry.Value)
	if err != nil {
		return standing{}, Error.Wrap(fmt.Errorf("%w: %s: %w", ErrBadRecord, key, err))
	}
	return standing{stored: entry, index: index}, nil
}

func (p *Promoter) existing(ctx context.Context, key string) (document.Index, error) {
	stands, err := p.load(ctx, key)
	if err != nil {
		return document.Index{}, err
	}
	if stands.stored.Revision == 0 {
		return document.Index{}, Error.Wrap(fmt.Errorf("%w: %s", ErrNoRecord, key))
	}
	return stands.index, nil
}

// whole reads the text of an index.
func (p *Promoter) whole(ctx context.Context, env string, index document.Index) (document.Record, error) {
	cache := documentparts.Cache{}
	if err := documentparts.Fetch(ctx, p.store, env, index, cache); err != nil {
		return document.Record{}, asPart(err)
	}
	text, err := documentparts.Read(ctx, p.store, env, index, cache)
	if err != nil {
		return document.Record{}, asPart(err)
	}
	return document.Record{Index: index, Text: text}, nil
}
