package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Watch implements Watcher. The connection is renewed after WatchLifetime
// without the caller noticing; each renewal is a call.
func (h *HTTP) Watch(ctx context.Context, prefix string, revision int64, handle func(Event)) error {
	for {
		err := h.watchOnce(ctx, prefix, &revision, handle)
		if ctx.Err() != nil {
			return Error.Wrap(ctx.Err())
		}
		if !errors.Is(err, errLifetimeOver) {
			return err
		}
	}
}

// errLifetimeOver ends one connection of a watch.
var errLifetimeOver = errors.New("the watch's lifetime is over")

func (h *HTTP) watchOnce(ctx context.Context, prefix string, revision *int64, handle func(Event)) error {
	ctx, cancel := context.WithTimeoutCause(ctx, h.config.WatchLifetime, errLifetimeOver)
	defer cancel()
	release, err := h.admit(ctx, h.shares.reads)
	if err != nil {
		return err
	}
	defer release()
	response, err := h.openWatch(ctx, cancel, prefix, *revision)
	if err != nil {
		return asWatch(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return asRead(refusal(response.StatusCode, nil))
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var message WatchResponse
		if err := decoder.Decode(&message); err != nil {
			return asWatch(ctx, err)
		}
		if err := deliver(message.Result, revision, handle); err != nil {
			return err
		}
	}
}

// openWatch waits for the answer's header no longer than any other call.
func (h *HTTP) openWatch(ctx context.Context, cancel context.CancelFunc, prefix string, revision int64) (*http.Response, error) {
	timer := time.AfterFunc(h.config.CallTimeout, cancel)
	defer timer.Stop()
	create := WatchCreate{
		Key:           []byte(prefix),
		RangeEnd:      []byte(PrefixEnd(prefix)),
		StartRevision: revision + 1,
	}
	return h.post(ctx, PathWatch, WatchRequest{Create: create})
}

func deliver(result WatchResult, revision *int64, handle func(Event)) error {
	if result.Canceled {
		return Error.Wrap(&CompactedError{Revision: result.CompactRevision})
	}
	for _, event := range result.Events {
		handle(Event{Entry: event.KV.entry(), Deleted: event.Type == TypeDelete})
		*revision = max(*revision, event.KV.ModRevision)
	}
	return nil
}

func asWatch(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errLifetimeOver) {
		return errLifetimeOver
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
}
