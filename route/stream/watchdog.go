package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

var (
	errStalled      = errors.New("no token in time")
	errUnresponsive = fmt.Errorf("%w: the chain does not answer", errStalled)
)

// maxTimerDelay is how late the watchdog may run before it takes itself, not the
// chain, to have stood still.
const maxTimerDelay = 50 * time.Millisecond

// watchdog ends an epoch that brings nothing in time. If this node was paused
// all its timers fire at once when it wakes, while tokens that came meanwhile
// wait unread; cutting then would move every stream for nothing. A watchdog
// that runs late therefore waits once more, but only once, or a node that is
// always late would never find a stall.
type watchdog struct {
	cancel context.CancelCauseFunc

	mu           sync.Mutex
	timer        *time.Timer
	expiresAt    time.Time // zero while disarmed
	timeout      time.Duration
	firstToken   *firstTokenWait // not nil until the first token
	delayExcused bool            // a late run has been excused since arm
}

// firstTokenWait is the wait for a first token. How long prefill and the engine's
// queue take is not known, so the bound is long; a stage that is frozen, or a
// link that is lost, is found sooner by asking along the way, see wayCheck.
type firstTokenWait struct {
	silentSince  time.Time
	deadline     time.Time
	unresponsive func(since time.Time) bool
}

func newWatchdog(cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{cancel: cancel}
}

// arm starts the wait for the next token anew.
func (w *watchdog) arm(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstToken = nil
	w.delayExcused = false
	w.restart(timeout)
}

// armFirstToken starts the wait for the first token, which ends after limit, or
// once silent, called each interval, says that the chain has not been heard of
// for too long. silent must not block.
func (w *watchdog) armFirstToken(interval, limit time.Duration, unresponsive func(since time.Time) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.firstToken = &firstTokenWait{silentSince: now, deadline: now.Add(limit), unresponsive: unresponsive}
	w.restart(min(interval, limit))
}

func (w *watchdog) restart(timeout time.Duration) {
	w.timeout = timeout
	w.schedule(timeout)
}

func (w *watchdog) schedule(delay time.Duration) {
	w.expiresAt = time.Now().Add(delay)
	if w.timer == nil {
		w.timer = time.AfterFunc(delay, w.fire)
		return
	}
	w.timer.Reset(delay)
}

// disarm stops the wait, while the caller reads or when the epoch is over.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expiresAt = time.Time{}
	w.firstToken = nil
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) fire() {
	firstToken, timedOut := w.expired(time.Now())
	if timedOut {
		w.cancel(errStalled)
		return
	}
	if firstToken == nil {
		return
	}
	unresponsive := firstToken.unresponsive(firstToken.silentSince)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstToken != firstToken {
		return // the token came meanwhile
	}
	if unresponsive {
		w.cancel(errUnresponsive)
		return
	}
	// From when this look was due: late by a little each time, ten of them would
	// add up to a tenth of the wait.
	delay := min(time.Until(w.expiresAt)+w.timeout, time.Until(firstToken.deadline))
	w.schedule(max(delay, 0))
}

// expired reports whether the wait is over, or returns the first wait that
// has to be looked into.
func (w *watchdog) expired(now time.Time) (*firstTokenWait, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expiresAt.IsZero() || now.Before(w.expiresAt) {
		return nil, false // disarmed or armed anew while this call was on its way
	}
	delayed := now.Sub(w.expiresAt) > maxTimerDelay
	waiting := w.firstToken != nil && now.Before(w.firstToken.deadline)
	if delayed && waiting {
		// The answers that this node did not read count for nothing against the
		// chain: the silence is counted anew. It may happen again and again,
		// because until ends the wait all the same.
		w.firstToken.silentSince = now
		w.restart(w.timeout)
		return nil, false
	}
	if delayed && !w.delayExcused {
		w.delayExcused = true
		w.restart(w.timeout)
		return nil, false
	}
	if waiting {
		return w.firstToken, false
	}
	return nil, true
}
