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

// maxTimerDelay is how late the timer may fire. If the timer fires later, the watchdog
// assumes that this node was paused, and not the chain.
const maxTimerDelay = 50 * time.Millisecond

// watchdog cancels an epoch that produces no token in time.
//
// When this node resumes after a pause, all its timers fire at once, while tokens that
// arrived during the pause are still unread. If each watchdog cancelled its epoch, every
// stream would move to another chain without need. A watchdog whose timer fires late
// therefore waits for one more timeout. The wait is extended only once per token, because
// otherwise a node whose timers are always late would never detect a stall. The wait for the
// first token may be extended more often, because it has a deadline.
//
// The watchdog cancels the epoch only if mayLeave allows it. Otherwise nothing can take the
// epoch's place, and the epoch goes on waiting.
type watchdog struct {
	cancel context.CancelCauseFunc
	// mayLeave reports whether an epoch that has waited since a time may be cancelled. It
	// must not block.
	mayLeave func(since time.Time) bool

	mu                 sync.Mutex
	timer              *time.Timer
	expiresAt          time.Time // when the timer is due, or zero while disarmed
	timeout            time.Duration
	firstToken         *firstTokenWait // the wait for the first token, or nil after that token
	extendedAfterDelay bool            // the wait was extended since arm, because the timer fired late
	armedAt            time.Time       // when the wait for the present token started
	draining           bool            // the answer is complete, and only the end of the body is awaited
}

// firstTokenWait is the wait for an epoch's first token. The time for prefill and in the
// engine's queue is not known beforehand, so the deadline must be long. chainProber
// detects a frozen stage or a failed link sooner.
type firstTokenWait struct {
	startedAt    time.Time
	silentSince  time.Time // the time without a reply or token is counted from here at the earliest
	deadline     time.Time
	unresponsive func(since time.Time) bool
}

func newWatchdog(cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{cancel: cancel, mayLeave: func(time.Time) bool { return true }}
}

// arm starts the wait for the next token, which ends after timeout.
func (w *watchdog) arm(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstToken = nil
	w.extendedAfterDelay = false
	w.armedAt = time.Now()
	w.restart(timeout)
}

// armDrain starts the wait for the end of the body after the closing event. When the wait
// ends, the epoch is cancelled whatever mayLeave says.
func (w *watchdog) armDrain(timeout time.Duration) {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.arm(timeout)
}

// armFirstToken starts the wait for the first token. The wait ends after limit, or when
// unresponsive returns true. unresponsive is called each interval and must not block.
func (w *watchdog) armFirstToken(interval, limit time.Duration, unresponsive func(since time.Time) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.armedAt = now
	w.firstToken = &firstTokenWait{startedAt: now, silentSince: now, deadline: now.Add(limit), unresponsive: unresponsive}
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
		w.leave(errStalled)
		return
	}
	if firstToken == nil {
		return
	}
	unresponsive := firstToken.unresponsive(firstToken.silentSince) && w.mayLeave(firstToken.startedAt)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstToken != firstToken {
		return // the first token arrived, or the epoch ended, while unresponsive ran
	}
	if unresponsive {
		w.cancel(errUnresponsive)
		return
	}
	// The interval to the next check counts from the time when this check was due, not
	// from now. Otherwise the small delays of ten checks would add up to a tenth of the
	// timeout.
	delay := min(time.Until(w.expiresAt)+w.timeout, time.Until(firstToken.deadline))
	w.schedule(max(delay, 0))
}

// leave cancels the epoch, or restarts the wait if the epoch may not be cancelled.
func (w *watchdog) leave(cause error) {
	w.mu.Lock()
	expiresAt, armedAt, draining := w.expiresAt, w.armedAt, w.draining
	w.mu.Unlock()
	if draining || w.mayLeave(armedAt) {
		w.cancel(cause)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expiresAt.Equal(expiresAt) && !expiresAt.IsZero() {
		w.restart(w.timeout)
	}
}

// expired is called when the timer has fired. expired returns one of three results:
//   - nil, true: The wait has timed out, and the caller cancels the epoch.
//   - nil, false: The wait was stopped, restarted or extended, and the caller returns.
//   - the wait for the first token, false: A check is due, and the caller calls the
//     function unresponsive of that wait.
func (w *watchdog) expired(now time.Time) (*firstTokenWait, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expiresAt.IsZero() || now.Before(w.expiresAt) {
		return nil, false // disarmed or armed again before this call took the lock
	}
	delayed := now.Sub(w.expiresAt) > maxTimerDelay
	waiting := w.firstToken != nil && now.Before(w.firstToken.deadline)
	if delayed && waiting {
		// Probe replies may have arrived that this node has not read yet, so the
		// chain's time without replies is counted from now. This branch may run
		// any number of times, because the deadline still ends the wait.
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
