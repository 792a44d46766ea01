// Package documentparts reads and writes the parts of documents' texts in the store.
//
//	err := documentparts.Write(ctx, store, "dawn", document.Parts(text))
//	text, err := documentparts.Read(ctx, store, "dawn", index, cache)
//
// A part stands at a key named by its digest and never changes, so that texts
// share what they have in common and a reader can check what it got.
//
// Failure answered: an index in force whose parts are not all there. Nodes
// could not take it and a starting node would have nothing, so whoever writes
// an index first writes, or has read, every part that it names.
package documentparts

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/store"
)

// Error is the class of every error of this layer.
var Error = errs.Class("parts")

// ErrMissing reports a part that the store does not have. A damaged one is
// document.ErrPart.
var ErrMissing = errors.New("the store does not have a part of the document")

// Key is the store's key of an environment's part.
func Key(env string, digest document.PartDigest) string {
	return Prefix(env) + digest.String()
}

// Prefix is what the store's keys of an environment's parts start with.
func Prefix(env string) string { return "/cicadatack/" + env + "/parts/" }

// Condemned are parts that a prune may be removing (package promotion), each with
// the revision at which it removes it. Whoever is about to name such a part
// writes it again, so that it stands at another revision.
type Condemned map[document.PartDigest]int64

// Write puts parts into the store and returns once every one is there, whole and
// not condemned. One that is there already is only read.
func Write(ctx context.Context, s store.ReadSwapper, env string, list []document.Part, condemned Condemned) error {
	entries := make([]store.Entry, len(list))
	err := each(ctx, len(list), func(ctx context.Context, i int) (err error) {
		entries[i], err = s.Get(ctx, Key(env, list[i].Ref.Digest))
		return err
	})
	if err != nil {
		return Error.Wrap(err)
	}
	for i, part := range list {
		if err := write(ctx, s, entries[i], part, condemned[part.Ref.Digest]); err != nil {
			return err
		}
	}
	return nil
}

// writeAttempts is how often a part is read and written. Two operators with
// the same part meet once; a part that changes again and again is not ours.
const writeAttempts = 3

// write makes a part stand whole at a revision that is not the condemned one.
func write(ctx context.Context, s store.ReadSwapper, entry store.Entry, part document.Part, condemned int64) error {
	value, err := part.Encode()
	if err != nil {
		return Error.Wrap(err)
	}
	for range writeAttempts {
		if entry.Revision != 0 && entry.Revision != condemned && whole(part.Ref, entry.Value) {
			return nil
		}
		// In place of a damaged or condemned value, or of none. Whatever becomes of
		// the write, reading tells: it does not matter whose write stands.
		_, err = s.CompareAndSwap(ctx, entry.Key, entry.Revision, value)
		if err == nil || !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return Error.Wrap(err)
		}
		if entry, err = s.Get(ctx, entry.Key); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(store.ErrConflict)
}

func whole(ref document.PartRef, value []byte) bool {
	_, err := document.DecodePart(ref, value)
	return err == nil
}

// callsAtOnce is how many calls of the store are underway to parts. An operator's
// command has 64 places for calls; eight calls at once take a text of 55 parts
// in seven round trips and leave the platform's 2,000 reads a second to others.
const callsAtOnce = 8

// each calls do for every number below n, some at once. The first error ends it.
func each(ctx context.Context, n int, do func(ctx context.Context, i int) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	places := make(chan struct{}, callsAtOnce)
	var underway sync.WaitGroup
	for i := range n {
		places <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		underway.Go(func() {
			defer func() { <-places }()
			if err := do(ctx, i); err != nil {
				cancel(err)
			}
		})
	}
	underway.Wait()
	return context.Cause(ctx)
}

// Fetch reads what a cache lacks of an index's parts, several at a time, for a
// Read that follows. Getter is called by several goroutines.
func Fetch(ctx context.Context, s Getter, env string, index document.Index, cache Cache) error {
	texts := make([][]byte, len(index.Parts))
	err := each(ctx, len(texts), func(ctx context.Context, i int) (err error) {
		if cache[index.Parts[i].Digest] == nil {
			texts[i], err = readPart(ctx, s, env, index.Parts[i])
		}
		return err
	})
	for i, ref := range index.Parts {
		if texts[i] != nil {
			cache[ref.Digest] = texts[i]
		}
	}
	return err
}

// Getter reads single keys of the store.
type Getter interface {
	Get(ctx context.Context, key string) (store.Entry, error)
}

// Cache holds parts that a reader has, by digest, in the memory of the text
// that they were cut from. It is not safe for use by several goroutines.
type Cache map[document.PartDigest][]byte

// Keep makes the cache hold the parts of a text and nothing else, so that it
// keeps no older text alive.
func (c Cache) Keep(refs []document.PartRef, text []byte) {
	clear(c)
	for _, ref := range refs {
		c[ref.Digest] = text[:ref.Bytes:ref.Bytes]
		text = text[ref.Bytes:]
	}
}

// cacheSpare is how many parts of other texts a cache may hold.
const cacheSpare = 64

// trim bounds what is left of texts that were never whole: each failed index
// may have left some parts.
func (c Cache) trim(refs []document.PartRef) {
	if len(c) <= 2*len(refs)+cacheSpare {
		return
	}
	named := map[document.PartDigest]bool{}
	for _, ref := range refs {
		named[ref.Digest] = true
	}
	maps.DeleteFunc(c, func(d document.PartDigest, _ []byte) bool { return !named[d] })
}

// Read returns the text that an index names. It reads what the cache does not
// have, and leaves there what it got: after an error the next call goes on
// where this one ended. The error matches ErrMissing, document.ErrPart or one
// of package store.
func Read(ctx context.Context, s Getter, env string, index document.Index, cache Cache) ([]byte, error) {
	cache.trim(index.Parts)
	list := make([][]byte, 0, len(index.Parts))
	for _, ref := range index.Parts {
		text, known := cache[ref.Digest]
		if !known || len(text) != ref.Bytes {
			var err error
			if text, err = readPart(ctx, s, env, ref); err != nil {
				return nil, err
			}
			cache[ref.Digest] = text
		}
		list = append(list, text)
	}
	text, err := index.Join(list)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cache.Keep(index.Parts, text)
	return text, nil
}

func readPart(ctx context.Context, s Getter, env string, ref document.PartRef) ([]byte, error) {
	entry, err := s.Get(ctx, Key(env, ref.Digest))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if entry.Revision == 0 {
		return nil, Error.Wrap(fmt.Errorf("%w: part %s", ErrMissing, ref.Digest))
	}
	text, err := document.DecodePart(ref, entry.Value)
	return text, Error.Wrap(err)
}
