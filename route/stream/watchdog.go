package stream

import (
	"context"
	"errors"
	"sync"
	"time"
)

var errStalled = errors.New("no token in time")

// pauseGrace is how late the watchdog may run before it takes itself, not the
// chain, to have stood still.
const pauseGrace = 50 * time.Millisecond

// watchdog ends an epoch that brings nothing in time. If this node was paused
// all its timers fire at once when it wakes, while tokens that came meanwhile
// wait unread; cutting then would move every stream for nothing. A watchdog
// that runs late therefore waits once more, but only once, or a node that is
// always late would never find a stall.
type watchdog struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time // zero while disarmed
	wait  time.Duration
	first *firstWait // not nil until the first token
	late  bool       // a late run has been excused since arm
}

// firstWait is the wait for a first token. How long prefill and the engine's
// queue take is not known, so the bound is long; a stage that is frozen, or a
// link that is lost, is found sooner by asking along the way, see wayCheck.
type firstWait struct {
	since  time.Time
	until  time.Time
	silent func(since time.Time) bool
}

func newWatchdog(cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{cancel: cancel}
}

// arm starts the wait for the next token anew.
func (w *watchdog) arm(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.first = nil
	w.late = false
	w.set(wait)
}

// armFirst starts the wait for the first token, which ends after limit, or
// once silent, called each interval, says that the chain has not been heard of
// for too long. silent must not block.
func (w *watchdog) armFirst(interval, limit time.Duration, silent func(since time.Time) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.first = &firstWait{since: now, until: now.Add(limit), silent: silent}
	w.set(min(interval, limit))
}

func (w *watchdog) set(wait time.Duration) {
	w.wait = wait
	w.schedule(wait)
}

func (w *watchdog) schedule(wait time.Duration) {
	w.due = time.Now().Add(wait)
	if w.timer == nil {
		w.timer = time.AfterFunc(wait, w.fire)
		return
	}
	w.timer.Reset(wait)
}

// disarm stops the wait, while the caller reads or when the epoch is over.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Time{}
	w.first = nil
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) fire() {
	first, over := w.expired(time.Now())
	if over {
		w.cancel(errStalled)
		return
	}
	if first == nil {
		return
	}
	silent := first.silent(first.since)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first != first {
		return // the token came meanwhile
	}
	if silent {
		w.cancel(errStalled)
		return
	}
	// From when this look was due: late by a little each time, ten of them would
	// add up to a tenth of the wait.
	next := min(time.Until(w.due)+w.wait, time.Until(first.until))
	w.schedule(max(next, 0))
}

// expired reports whether the wait is over, or returns the first wait that
// has to be looked into.
func (w *watchdog) expired(now time.Time) (*firstWait, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.due.IsZero() || now.Before(w.due) {
		return nil, false // disarmed or armed anew while this call was on its way
	}
	late := now.Sub(w.due) > pauseGrace
	waiting := w.first != nil && now.Before(w.first.until)
	if late && waiting {
		// The answers that this node did not read count for nothing against the
		// chain: the silence is counted anew. It may happen again and again,
		// because until ends the wait all the same.
		w.first.since = now
		w.set(w.wait)
		return nil, false
	}
	if late && !w.late {
		w.late = true
		w.set(w.wait)
		return nil, false
	}
	if waiting {
		return w.first, false
	}
	return nil, true
}
