package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

var (
	errStalled      = errors.New("no token within the stall timeout")
	errUnresponsive = fmt.Errorf("%w: the chain answers no probe", errStalled)
)

// maxTimerDelay is how late the timer may fire before the watchdog assumes that this
// node was paused, and not the chain.
const maxTimerDelay = 50 * time.Millisecond

// watchdog cancels an epoch that produces no token in time.
//
// When this node resumes after a pause, all its timers fire at once, while tokens that
// arrived during the pause are still unread. Cancelling then would move every stream
// to another chain without need. A watchdog whose timer fires late therefore waits
// for one more timeout. It does so only once, because otherwise a node whose timers
// are always late would never detect a stall.
type watchdog struct {
	cancel context.CancelCauseFunc

	mu                 sync.Mutex
	timer              *time.Timer
	expiresAt          time.Time // zero while disarmed
	timeout            time.Duration
	firstToken         *firstTokenWait // not nil until the first token
	extendedAfterDelay bool            // a late timer has been excused since arm
}

// firstTokenWait is the wait for a first token. The time of prefill and of the
// engine's queue is not known, so the deadline is late. chainProber detects a frozen
// stage or a failed link sooner.
type firstTokenWait struct {
	silentSince  time.Time // the chain's silence is counted from this time at the earliest
	deadline     time.Time
	unresponsive func(since time.Time) bool
}

func newWatchdog(cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{cancel: cancel}
}

// arm restarts the wait for the next token.
func (w *watchdog) arm(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstToken = nil
	w.extendedAfterDelay = false
	w.restart(timeout)
}

// armFirstToken starts the wait for the first token. It ends after limit, or when
// unresponsive returns true, which is called each interval and must not block.
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

// disarm stops the wait, while a token is delivered or when the epoch has ended.
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
		return // the token arrived in the meantime
	}
	if unresponsive {
		w.cancel(errUnresponsive)
		return
	}
	// The next check is scheduled from the time when this one was due. Otherwise the
	// small delays of ten checks would add up to a tenth of the timeout.
	delay := min(time.Until(w.expiresAt)+w.timeout, time.Until(firstToken.deadline))
	w.schedule(max(delay, 0))
}

// expired reports whether the wait has timed out. While a first token is awaited it
// returns the wait for which unresponsive has to be called.
func (w *watchdog) expired(now time.Time) (*firstTokenWait, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expiresAt.IsZero() || now.Before(w.expiresAt) {
		return nil, false // disarmed or armed again before this call took the lock
	}
	delayed := now.Sub(w.expiresAt) > maxTimerDelay
	waiting := w.firstToken != nil && now.Before(w.firstToken.deadline)
	if delayed && waiting {
		// Replies that this node has not read yet must not count against the
		// chain, so the silence is counted from now. This may happen any number
		// of times, because the deadline still ends the wait.
		w.firstToken.silentSince = now
		w.restart(w.timeout)
		return nil, false
	}
	if delayed && !w.extendedAfterDelay {
		w.extendedAfterDelay = true
		w.restart(w.timeout)
		return nil, false
	}
	if waiting {
		return w.firstToken, false
	}
	return nil, true
}
