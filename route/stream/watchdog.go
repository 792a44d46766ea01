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
// queue take is not known, so the bound is long; a stage that is frozen is
// found sooner by asking whether it still answers.
type firstWait struct {
	since  time.Time
	until  time.Time
	alive  func(since time.Time) bool
	misses int // answers missed one after the other
}

// maxMisses is how many answers in a row a stage may miss. An engine short of
// processor time can miss one; given up for that, its streams would be sent to
// the other engines just when all are short.
const maxMisses = 2

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
// once alive, asked each interval, has said maxMisses times that the chain
// does not answer.
func (w *watchdog) armFirst(interval, limit time.Duration, alive func(since time.Time) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.first = &firstWait{since: now, until: now.Add(limit), alive: alive}
	w.set(min(interval, limit))
}

func (w *watchdog) set(wait time.Duration) {
	w.wait = wait
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
	alive := first.alive(first.since)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first != first {
		return // the token came meanwhile
	}
	first.misses++
	if alive {
		first.misses = 0
	}
	if first.misses >= maxMisses {
		w.cancel(errStalled)
		return
	}
	first.since = time.Now()
	w.set(min(w.wait, max(time.Until(first.until), 0)))
}

// expired reports whether the wait is over, or returns the first wait that
// has to be looked into.
func (w *watchdog) expired(now time.Time) (*firstWait, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.due.IsZero() || now.Before(w.due) {
		return nil, false // disarmed or armed anew while this call was on its way
	}
	if now.Sub(w.due) > pauseGrace && !w.late {
		w.late = true
		w.set(w.wait)
		return nil, false
	}
	if w.first != nil && now.Before(w.first.until) {
		return w.first, false
	}
	return nil, true
}
