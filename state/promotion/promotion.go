// Package promotion puts environment documents in force: first on trial, then
// in production.
//
//	promoter := promotion.New(store)
//	tried, err := promoter.Trial(ctx, "dawn", text, "siti")
//	id := promotion.NewID()
//	index, err := promoter.Promote(ctx, "dawn", tried.Digest, base, id, "siti")
//
// The failures that it answers: two operators who promote at the same moment
// (the second gets a *ConflictError with the difference), a store that takes
// the write and loses the reply (the promotion id inside the index is read
// back, so that a promotion is neither applied twice nor reported failed when
// it is in force), and a text that was changed between trial and promotion
// (the digest has to fit the bytes on trial).
//
// A text is stored in parts (package documentparts). Every part is in the store, and was
// seen there by this promotion, before the index that names them is swapped:
// nodes that see an index find all of it, and a promotion that ends midway
// leaves nothing but parts that nobody names.
//
// A production index's predecessor is put into the history before it is
// replaced, so whatever was ever in force can be read there by its revision.
package promotion

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/documentparts"
	"github.com/cicadatack/cicadatack/state/store"
)

// maxIDBytes bounds operators' names and promotion ids.
const maxIDBytes = 128

// trialAttempts bounds how often a trial tries to replace another's.
const trialAttempts = 8

// Promoter works on the records of all environments. It keeps nothing between
// calls and is safe for use by several goroutines.
type Promoter struct {
	store Store
	now   func() time.Time
}

// Store is what trials and promotions need of the platform's store.
type Store interface {
	store.ReadSwapper
	store.Remover
}

// New returns a promoter on a store.
func New(s Store) *Promoter {
	return &Promoter{store: s, now: time.Now}
}

// NewID returns a promotion id that no other call returns.
func NewID() string { return rand.Text() }

// ProductionKey is the store's key of the record in force.
func ProductionKey(env string) string { return "/cicadatack/" + env + "/production" }

// TrialKey is the store's key of the record on trial.
func TrialKey(env string) string { return "/cicadatack/" + env + "/trial" }

// HistoryPrefix is what the store's keys of earlier records start with.
func HistoryPrefix(env string) string { return "/cicadatack/" + env + "/history/" }

// HistoryKey is the store's key of an earlier record.
func HistoryKey(env string, revision int64) string {
	return HistoryPrefix(env) + strconv.FormatInt(revision, 10)
}

// Trial checks a text and puts it on trial, whatever was there. Of two at the
// same moment the later stays.
func (p *Promoter) Trial(ctx context.Context, env string, text []byte, operator string) (document.Index, error) {
	if err := checkText(env, text, operator); err != nil {
		return document.Index{}, err
	}
	base, err := p.base(ctx, env)
	if err != nil {
		return document.Index{}, err
	}
	cut := document.Parts(text)
	index := p.index(document.Digest(text), document.Refs(cut), NewID(), operator)
	index.Base = base
	release, err := p.pin(ctx, env, index)
	if err != nil {
		return document.Index{}, err
	}
	index, err = p.tryPinned(ctx, env, cut, index)
	if settles(err) {
		release()
	}
	return index, err
}

// tryPinned writes a text's parts and then its index on trial.
func (p *Promoter) tryPinned(ctx context.Context, env string, cut []document.Part, index document.Index) (document.Index, error) {
	condemned, err := p.condemned(ctx, env, index.Parts)
	if err != nil {
		return document.Index{}, err
	}
	if err := documentparts.Write(ctx, p.store, env, cut, condemned); err != nil {
		return document.Index{}, asPart(err)
	}
	for range trialAttempts {
		stands, err := p.load(ctx, TrialKey(env))
		if err != nil {
			return document.Index{}, err
		}
		index.Revision = stands.index.Revision + 1
		_, err = p.swap(ctx, TrialKey(env), stands.stored, index)
		if !errors.Is(err, store.ErrConflict) {
			return index, asWritten(err)
		}
	}
	return document.Index{}, Error.Wrap(fmt.Errorf("%w: %d other trials came first", ErrNotDone, trialAttempts))
}

// Promote puts the text on trial, if its digest is the one given, in force in
// production as revision base+1. base is the production revision that the
// operator has seen, zero for none.
//
// promotionID is unique to this promotion; calling again with it after
// ErrUnknown or a crash returns its index if it took effect, else tries
// again. Errors match ErrConflict, ErrNotTried, ErrUnknown, ErrNotDone,
// ErrBadRecord or ErrInvalid. All but ErrUnknown say that this call wrote
// nothing; once a call has returned ErrUnknown, only one that finds the index
// or an ErrConflict settles that promotion id.
func (p *Promoter) Promote(ctx context.Context, env, digest string, base int64, promotionID, operator string) (document.Index, error) {
	find := func() (document.Index, error) {
		tried, err := p.Tried(ctx, env)
		if err != nil {
			return document.Index{}, err
		}
		if tried.Digest != digest {
			return document.Index{}, Error.Wrap(fmt.Errorf("%w: on trial is %s by %s, asked for is %s", ErrNotTried, tried.Digest, tried.Operator, digest))
		}
		return tried, nil
	}
	return p.promote(ctx, env, base, promotionID, operator, find)
}

// Rollforward puts the text of an earlier revision in force again, as the new
// revision base+1. Revisions only rise; nodes never take a lower one.
func (p *Promoter) Rollforward(ctx context.Context, env string, earlier, base int64, promotionID, operator string) (document.Index, error) {
	find := func() (document.Index, error) { return p.earlier(ctx, env, earlier) }
	return p.promote(ctx, env, base, promotionID, operator, find)
}

// promote does the work of both; find returns the index whose text it is.
//
// Every part of the text is read under a pin, so each is in the store when the
// index that names it is swapped, and no prune removes it after it (pin.go).
func (p *Promoter) promote(ctx context.Context, env string, base int64, promotionID, operator string, find func() (document.Index, error)) (document.Index, error) {
	if err := checkNames(env, operator, promotionID); err != nil {
		return document.Index{}, err
	}
	stands, err := p.load(ctx, ProductionKey(env))
	if err != nil {
		return document.Index{}, err
	}
	applied, found, err := p.applied(ctx, env, stands.index, base, promotionID)
	if found || err != nil {
		return applied, err
	}
	from, err := find()
	if err != nil {
		return document.Index{}, err
	}
	index := p.index(from.Digest, from.Parts, promotionID, operator)
	index.Revision = base + 1
	index.Base = base
	release, err := p.pin(ctx, env, index)
	if err != nil {
		return document.Index{}, err
	}
	index, err = p.promotePinned(ctx, env, stands, index)
	if settles(err) {
		release()
	}
	return index, err
}

// promotePinned puts an index in force in place of what stands.
func (p *Promoter) promotePinned(ctx context.Context, env string, stands standing, index document.Index) (document.Index, error) {
	from, err := p.secure(ctx, env, index)
	if err != nil {
		return document.Index{}, err
	}
	if err := checkText(env, from.Text, index.Operator); err != nil {
		return document.Index{}, err
	}
	base := index.Base
	if stands.index.Revision != base {
		return document.Index{}, p.conflict(ctx, env, base, stands.index, from.Text)
	}
	if err := p.keep(ctx, env, stands); err != nil {
		return document.Index{}, err
	}
	return p.replace(ctx, env, stands.stored, from)
}

// replace puts a record in force in place of the entry read before.
func (p *Promoter) replace(ctx context.Context, env string, stored store.Entry, record document.Record) (document.Index, error) {
	_, err := p.swap(ctx, ProductionKey(env), stored, record.Index)
	if err == nil {
		return record.Index, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return document.Index{}, asWritten(err)
	}
	// The write may have taken effect and been replaced before it was read
	// back; the history then has it.
	stands, err := p.load(ctx, ProductionKey(env))
	if err != nil {
		return document.Index{}, inDoubt(err)
	}
	applied, found, err := p.applied(ctx, env, stands.index, record.Base, record.PromotionID)
	if err != nil {
		return document.Index{}, inDoubt(err)
	}
	if found {
		return applied, nil
	}
	return document.Index{}, p.conflict(ctx, env, record.Base, stands.index, record.Text)
}

// applied looks for the promotion of a base: it is the index in force or, if
// that is already a later one, in the history.
func (p *Promoter) applied(ctx context.Context, env string, current document.Index, base int64, promotionID string) (document.Index, bool, error) {
	revision := base + 1
	if current.Revision < revision {
		return document.Index{}, false, nil
	}
	if current.Revision == revision {
		return current, current.PromotionID == promotionID, nil
	}
	index, err := p.existing(ctx, HistoryKey(env, revision))
	if err != nil {
		return document.Index{}, false, err
	}
	return index, index.PromotionID == promotionID, nil
}

// keep puts the index in force into the history. It is called before the index
// is replaced, so that none is in force and later missing. Indexes never
// change, so a second writer writes the same.
func (p *Promoter) keep(ctx context.Context, env string, stands standing) error {
	if stands.index.Revision == 0 {
		return nil
	}
	key := HistoryKey(env, stands.index.Revision)
	_, err := p.swapValue(ctx, key, 0, stands.stored.Value, stands.index.PromotionID)
	if err == nil || errors.Is(err, store.ErrConflict) {
		return nil
	}
	// Whatever became of this write, production has not been touched.
	return Error.Wrap(fmt.Errorf("%w: the history could not be written: %v", ErrNotDone, err))
}

func (p *Promoter) index(digest string, refs []document.PartRef, promotionID, operator string) document.Index {
	return document.Index{
		PromotionID: promotionID,
		Digest:      digest,
		Operator:    operator,
		At:          p.now().UTC().Truncate(time.Millisecond),
		Parts:       refs,
	}
}

// swap writes an index in place of an entry and reads back a lost reply.
func (p *Promoter) swap(ctx context.Context, key string, stored store.Entry, index document.Index) (int64, error) {
	value, err := index.Encode()
	if err != nil {
		return 0, err
	}
	return p.swapValue(ctx, key, stored.Revision, value, index.PromotionID)
}

func (p *Promoter) swapValue(ctx context.Context, key string, revision int64, value []byte, promotionID string) (int64, error) {
	mine := func(value []byte) bool {
		read, err := document.DecodeIndex(value)
		return err == nil && read.PromotionID == promotionID
	}
	return store.SwapReadBack(ctx, p.store, key, revision, value, mine)
}

// base returns the production revision, zero for none.
func (p *Promoter) base(ctx context.Context, env string) (int64, error) {
	stands, err := p.load(ctx, ProductionKey(env))
	return stands.index.Revision, err
}

// conflict reads the text that came first, for the difference. If that cannot be
// read its error is returned: this call wrote nothing either way.
func (p *Promoter) conflict(ctx context.Context, env string, base int64, winner document.Index, text []byte) error {
	record, err := p.whole(ctx, env, winner)
	if err != nil {
		return err
	}
	return Error.Wrap(&ConflictError{
		Base:    base,
		Winner:  record,
		Changes: document.Diff(text, record.Text),
	})
}

// asWritten turns the error of a write that was tried to its end.
func asWritten(err error) error {
	if err == nil {
		return nil
	}
	return fromStore(err)
}

// inDoubt turns the error of a read that was to settle a write.
func inDoubt(err error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", ErrUnknown, err))
}
