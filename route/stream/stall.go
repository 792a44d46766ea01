package stream

import (
	"context"
	"errors"
	"hash/maphash"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/platform/engineapi"
)

var errStalled = errors.New("no token in time")

const (
	// The wait for a token is gapFactor times the mean gap plus devFactor
	// times its mean deviation: far outside what a steady chain does.
	gapFactor = 4
	devFactor = 8
	// A sample moves the mean by 1/8 and the deviation by 1/4, as in TCP's
	// retransmission timer.
	meanWeight = 1.0 / 8
	devWeight  = 1.0 / 4
)

// gapEstimate follows the time between tokens of a chain, in nanoseconds.
type gapEstimate struct {
	mean, dev float64
	known     bool
}

func (g *gapEstimate) sample(gap time.Duration) {
	x := float64(gap)
	if !g.known {
		*g = gapEstimate{mean: x, dev: x / 2, known: true}
		return
	}
	g.dev += devWeight * (abs(x-g.mean) - g.dev)
	g.mean += meanWeight * (x - g.mean)
}

// bound is the wait after which a chain counts as stalled. It follows what
// was measured, so that a slow accelerator is not cut off for being slow.
func (g *gapEstimate) bound(floor, ceiling time.Duration) time.Duration {
	if !g.known {
		return ceiling
	}
	wait := time.Duration(gapFactor*g.mean + devFactor*g.dev)
	return min(max(wait, floor), max(ceiling, floor))
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// gapOf is the gap that a token shows: the wait for it, or the time that the
// stages say it took if that is longer. The wait alone is too short when the
// caller reads slowly and tokens pile up.
func gapOf(wait time.Duration, spans []engineapi.Span) time.Duration {
	micros := int64(0)
	for i := range spans {
		micros += spans[i].Micros
	}
	return max(wait, time.Duration(micros)*time.Microsecond)
}

const (
	gapShards      = 16
	maxGapsInShard = 512
)

// gapTable keeps the estimates of all replicas between streams.
type gapTable struct {
	seed   maphash.Seed
	shards [gapShards]gapShard
}

type gapShard struct {
	mu   sync.Mutex
	gaps map[string]gapEstimate
}

func newGapTable() *gapTable {
	t := &gapTable{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].gaps = map[string]gapEstimate{}
	}
	return t
}

func (t *gapTable) shard(replica string) *gapShard {
	return &t.shards[maphash.String(t.seed, replica)%gapShards]
}

func (t *gapTable) get(replica string) gapEstimate {
	s := t.shard(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gaps[replica]
}

func (t *gapTable) put(replica string, g gapEstimate) {
	s := t.shard(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.gaps) >= maxGapsInShard {
		clear(s.gaps)
	}
	s.gaps[replica] = g
}

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
	since time.Time
	until time.Time
	alive func(since time.Time) bool
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
// once alive, asked each interval, says that the chain does not answer.
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
	if !alive {
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
