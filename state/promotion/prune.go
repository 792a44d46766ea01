package promotion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/documentparts"
	"github.com/cicadatack/cicadatack/state/store"
)

// PruneStore is what a prune needs of the platform's store.
type PruneStore interface {
	Store
	store.ChangeReader
	store.KeyReader
}

// PruneRule says what is kept. Production, the trial and whatever a trial or
// promotion underway names are kept in any case.
type PruneRule struct {
	// Newest is how many indexes of the history are kept at least, and Younger
	// how old one must be to go.
	Newest  int
	Younger time.Duration
	// DryRun removes nothing.
	DryRun bool
}

// Pruned counts what a prune removed, or would.
type Pruned struct {
	Kept, Indexes, Parts, Pins int
}

const (
	// planParts bounds a plan: 110 bytes a part in JSON are half of a value.
	planParts = 5000
	// pinAge is when a pin is taken for one of a command that died. A command
	// that is paused for longer, and then names parts, can name one that is gone;
	// nodes refuse such an index, and a trial of the text puts it right.
	pinAge = 24 * time.Hour
	// clearAttempts bounds how often a part is read and written to clear a plan.
	clearAttempts = 8
)

// Prune removes the parts and the indexes of the history that are not kept. It
// can be ended at any point and run again, also by two operators at once: a run
// first carries out what an earlier one had planned.
func (p *Promoter) Prune(ctx context.Context, s PruneStore, env string, rule PruneRule) (Pruned, error) {
	if !document.ValidName(env) {
		return Pruned{}, Error.Wrap(fmt.Errorf("%w: %q is not the name of an environment", ErrInvalid, env))
	}
	r := &prune{Promoter: p, store: s, env: env, rule: rule}
	if !rule.DryRun {
		// What an earlier run left.
		if err := r.carryOut(ctx); err != nil {
			return r.done, err
		}
	}
	if err := r.history(ctx); err != nil {
		return r.done, err
	}
	return r.done, r.parts(ctx)
}

// prune is one run.
type prune struct {
	*Promoter
	store PruneStore
	env   string
	rule  PruneRule
	done  Pruned
	// keptFrom is the store's revision of the oldest history key that is kept.
	keptFrom int64
}

// history removes the indexes that are neither among the newest nor young.
func (r *prune) history(ctx context.Context) error {
	keys, err := r.store.Keys(ctx, HistoryPrefix(r.env))
	if err != nil {
		return fromStore(err)
	}
	slices.SortFunc(keys, func(a, b store.Entry) int { return int(revisionOf(a.Key) - revisionOf(b.Key)) })
	oldest, err := r.oldestKept(ctx, keys)
	if err != nil {
		return err
	}
	r.done.Kept = len(keys) - oldest
	if oldest < len(keys) {
		r.keptFrom = keys[oldest].Revision
	}
	return r.removeAll(ctx, keys[:oldest], &r.done.Indexes)
}

// oldestKept returns the number of the oldest index that is kept. The keys are
// in the order of their revisions, and so of their ages.
func (r *prune) oldestKept(ctx context.Context, keys []store.Entry) (int, error) {
	before := r.now().Add(-r.rule.Younger)
	// The newest one may be production's, about to be replaced.
	old := max(0, len(keys)-max(1, r.rule.Newest))
	low, high := 0, old
	for low < high {
		middle := (low + high) / 2
		stands, err := r.load(ctx, keys[middle].Key)
		if err != nil {
			return 0, err
		}
		if stands.index.At.Before(before) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, nil
}

func revisionOf(historyKey string) int64 {
	// A key of another form sorts as the oldest.
	revision, _ := strconv.ParseInt(historyKey[strings.LastIndexByte(historyKey, '/')+1:], 10, 64)
	return revision
}

// parts plans and removes the parts that nothing names, so many at a time.
func (r *prune) parts(ctx context.Context) error {
	prefix := documentparts.Prefix(r.env)
	keys, err := r.store.Keys(ctx, prefix)
	if err != nil {
		return fromStore(err)
	}
	named, err := r.named(ctx)
	if err != nil {
		return err
	}
	keys = slices.DeleteFunc(keys, func(e store.Entry) bool { return named[strings.TrimPrefix(e.Key, prefix)] })
	if r.rule.DryRun {
		r.done.Parts = len(keys)
		return nil
	}
	for chunk := range slices.Chunk(keys, planParts) {
		next := plan{Parts: map[string]int64{}}
		for _, e := range chunk {
			next.Parts[strings.TrimPrefix(e.Key, prefix)] = e.Revision
		}
		if err := r.write(ctx, next); err != nil {
			return err
		}
		if err := r.carryOut(ctx); err != nil {
			return err
		}
	}
	return nil
}

// write puts a plan where none stands.
func (r *prune) write(ctx context.Context, next plan) error {
	value, err := json.Marshal(next)
	if err != nil {
		return Error.Wrap(err)
	}
	mine := func(read []byte) bool { return slices.Equal(read, value) }
	_, err = store.SwapReadBack(ctx, r.store, PlanKey(r.env), 0, value, mine)
	if errors.Is(err, store.ErrConflict) {
		return Error.Wrap(fmt.Errorf("%w: another prune is underway; run this one again after it", ErrNotDone))
	}
	return asWritten(err)
}

// carryOut removes the parts of the plan that stands, but for those that
// something names by now, and then the plan.
//
// Before the plan goes, each of its parts is gone or stands at another revision:
// a run that was paused here, or a removal that is still on its way, compares
// the planned one and removes nothing that was named since.
func (r *prune) carryOut(ctx context.Context) error {
	stands, entry, err := loadPlan(ctx, r.store, r.env)
	if err != nil || entry.Revision == 0 {
		return err
	}
	named, err := r.named(ctx)
	if err != nil {
		return err
	}
	for digest, revision := range stands.Parts {
		clear := r.remove
		if named[digest] {
			clear = r.touch
		}
		if err := clear(ctx, documentparts.Prefix(r.env)+digest, revision); err != nil {
			return err
		}
	}
	err = r.store.CompareAndRemove(ctx, PlanKey(r.env), entry.Revision)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return asWritten(err)
}

// remove removes a part that stands at a revision, and reads back a lost reply.
func (r *prune) remove(ctx context.Context, key string, revision int64) error {
	for range clearAttempts {
		err := r.store.CompareAndRemove(ctx, key, revision)
		switch {
		case err == nil:
			r.done.Parts++
			return nil
		case errors.Is(err, store.ErrConflict):
			return nil
		case !errors.Is(err, store.ErrUnknown):
			return fromStore(err)
		}
	}
	return Error.Wrap(ErrUnknown)
}

// touch writes a part again, so that it stands at another revision.
func (r *prune) touch(ctx context.Context, key string, revision int64) error {
	for range clearAttempts {
		entry, err := r.store.Get(ctx, key)
		if err != nil || entry.Revision != revision {
			return asWritten(err)
		}
		_, err = r.store.CompareAndSwap(ctx, key, revision, entry.Value)
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if !errors.Is(err, store.ErrUnknown) {
			return fromStore(err)
		}
	}
	return Error.Wrap(ErrUnknown)
}

// removeAll removes and counts keys that are still as they were listed; a dry
// run only counts them.
func (r *prune) removeAll(ctx context.Context, keys []store.Entry, count *int) error {
	if r.rule.DryRun {
		*count += len(keys)
		return nil
	}
	for _, e := range keys {
		err := r.store.CompareAndRemove(ctx, e.Key, e.Revision)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return asWritten(err)
		}
		*count++
	}
	return nil
}

// named returns the digests of all parts that something names. The order
// matters: an index goes from its pin to the trial or to production, and from
// production to the history, and is in the later place before it leaves the
// earlier one.
func (r *prune) named(ctx context.Context) (map[string]bool, error) {
	named := map[string]bool{}
	if err := r.pins(ctx, named); err != nil {
		return nil, err
	}
	for _, key := range []string{TrialKey(r.env), ProductionKey(r.env)} {
		stands, err := r.load(ctx, key)
		if err != nil {
			return nil, err
		}
		name(stands.index, named)
	}
	since := max(r.keptFrom-1, 0)
	kept, _, err := r.store.Changed(ctx, HistoryPrefix(r.env), since)
	if err != nil {
		return nil, fromStore(err)
	}
	for _, entry := range kept {
		index, err := document.DecodeIndex(entry.Value)
		if err != nil {
			return nil, Error.Wrap(fmt.Errorf("%w: %s: %w", ErrBadRecord, entry.Key, err))
		}
		name(index, named)
	}
	return named, nil
}

// pins names what trials and promotions underway are about to name, and removes
// the pins of commands that died long ago.
func (r *prune) pins(ctx context.Context, named map[string]bool) error {
	entries, err := r.store.List(ctx, PinPrefix(r.env))
	if err != nil {
		return fromStore(err)
	}
	for _, entry := range entries {
		index, err := document.DecodeIndex(entry.Value)
		if err != nil {
			return Error.Wrap(fmt.Errorf("%w: %s: %w", ErrBadRecord, entry.Key, err))
		}
		if index.At.After(r.now().Add(-pinAge)) {
			name(index, named)
			continue
		}
		if err := r.removeAll(ctx, []store.Entry{entry}, &r.done.Pins); err != nil {
			return err
		}
	}
	return nil
}

func name(index document.Index, named map[string]bool) {
	for _, ref := range index.Parts {
		named[ref.Digest.String()] = true
	}
}
