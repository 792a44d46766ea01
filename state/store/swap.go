package store

import (
	"context"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/state/wait"
)

// Pauses of Settle between attempts.
const (
	settlePause    = 20 * time.Millisecond
	settleMaxPause = time.Second
)

// ReadSwapper is what resolving a write in doubt needs.
type ReadSwapper interface {
	Reader
	Swapper
}

// SwapReadBack writes value at key if the key is still at revision, and finds
// out what became of the write if its reply is lost.
//
// mine tells whether a value read back is the one written here; it must
// compare an id inside the value that no other writer uses. SwapReadBack
// returns the revision of the write, or:
//
//   - ErrConflict: the key moved on and holds another's value. The write did
//     not take effect, unless it did and was then replaced; a caller for whom
//     this matters keeps what it replaces.
//   - ErrUnknown: ctx ended before the store answered; the write may have
//     taken effect or may still.
//   - ErrUnavailable and others: the write was not sent.
func SwapReadBack(ctx context.Context, s ReadSwapper, key string, revision int64, value []byte, mine func([]byte) bool) (int64, error) {
	written, err := s.CompareAndSwap(ctx, key, revision, value)
	for pause := settlePause; errors.Is(err, ErrUnknown); pause = min(2*pause, settleMaxPause) {
		entry, readErr := s.Get(ctx, key)
		switch {
		case readErr != nil:
		case mine(entry.Value):
			return entry.Revision, nil
		case entry.Revision != revision:
			return 0, Error.Wrap(ErrConflict)
		default:
			// The key is unchanged, yet the first write may still be on its way.
			// Sending it again is safe: both compare the same revision, so one
			// of them at most takes effect, and both carry the same id.
			written, err = resend(ctx, s, key, revision, value, mine)
		}
		if errors.Is(err, ErrUnknown) && !wait.For(ctx, jitter(pause)) {
			return 0, err
		}
	}
	return written, err
}

// resend repeats a write in doubt. Whatever does not settle it leaves it in
// doubt, as the first sending may yet take effect.
func resend(ctx context.Context, s ReadSwapper, key string, revision int64, value []byte, mine func([]byte) bool) (int64, error) {
	written, err := s.CompareAndSwap(ctx, key, revision, value)
	if err == nil {
		return written, nil
	}
	if !errors.Is(err, ErrConflict) {
		return 0, Error.Wrap(ErrUnknown)
	}
	entry, readErr := s.Get(ctx, key)
	if readErr != nil {
		return 0, Error.Wrap(ErrUnknown)
	}
	if mine(entry.Value) {
		return entry.Revision, nil
	}
	return 0, err
}
