package engine

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// maxCancelled bounds the cancelled streams that an engine remembers.
const maxCancelled = 16384

// session is one epoch of one stream on this engine. It holds a slot from
// open until end.
type session struct {
	stream      string
	epoch       uint32
	chain       []engineapi.Stage
	index       int
	first, last int // what the engine held when the stream was opened
	artifact    engineapi.Artifact
	ctx         context.Context
	cancel      context.CancelFunc

	// Guarded by Engine.mu.
	lastUsed   time.Time
	prefillDue time.Duration
	tokens     int // prompt and answer so far
}

type sessionKey struct {
	stream string
	epoch  uint32
}

func (s *session) key() sessionKey { return sessionKey{s.stream, s.epoch} }

// next returns the stage after this one, if there is one.
func (s *session) next() (engineapi.Stage, bool) {
	if s.index+1 >= len(s.chain) {
		return engineapi.Stage{}, false
	}
	return s.chain[s.index+1], true
}

// sessionTable holds the streams underway, and the last epoch of each stream
// that was cancelled. A cancel can overtake the open that it is meant for;
// without the memory of it that open would take a slot that nobody frees.
type sessionTable struct {
	sessions  map[sessionKey]*session
	newest    map[string]uint32
	cancelled map[string]uint32
	oldest    []string // order in which streams were cancelled
	// retained are ended sessions whose KV cache is still there.
	retained map[string]*session
}

// maxRetained bounds the ended sessions whose KV cache an engine keeps.
const maxRetained = 1024

func newSessionTable() sessionTable {
	return sessionTable{
		sessions:  map[sessionKey]*session{},
		newest:    map[string]uint32{},
		cancelled: map[string]uint32{},
		retained:  map[string]*session{},
	}
}

func (t *sessionTable) rememberCancel(stream string, epoch uint32) {
	if _, known := t.cancelled[stream]; !known {
		t.oldest = append(t.oldest, stream)
	}
	t.cancelled[stream] = max(epoch, t.cancelled[stream])
	if len(t.oldest) > maxCancelled {
		delete(t.cancelled, t.oldest[0])
		t.oldest = t.oldest[1:]
	}
}

// stale reports whether an epoch may no longer run: it was cancelled, or a
// later one has been opened.
func (t *sessionTable) stale(stream string, epoch uint32) bool {
	if last, ok := t.cancelled[stream]; ok && epoch <= last {
		return true
	}
	newest, ok := t.newest[stream]
	return ok && epoch < newest
}

func (t *sessionTable) add(s *session) {
	t.sessions[s.key()] = s
	t.newest[s.stream] = max(s.epoch, t.newest[s.stream])
}

// remove reports whether the session was still there.
func (t *sessionTable) remove(s *session) bool {
	if t.sessions[s.key()] != s {
		return false
	}
	delete(t.sessions, s.key())
	if t.newest[s.stream] == s.epoch {
		delete(t.newest, s.stream)
	}
	if len(t.retained) >= maxRetained {
		clear(t.retained)
	}
	t.retained[s.stream] = s
	return true
}

// upTo lists the sessions of a stream with epochs up to the given one.
func (t *sessionTable) upTo(stream string, epoch uint32) []*session {
	newest, ok := t.newest[stream]
	if !ok {
		return nil
	}
	var found []*session
	for e := range min(epoch, newest) + 1 {
		if s := t.sessions[sessionKey{stream, e}]; s != nil {
			found = append(found, s)
		}
	}
	return found
}

// slots are the places of the batch and the queue before them.
type slots struct {
	free    int
	queue   int
	waiting []chan struct{}
}

// acquire takes a slot, waiting in the queue if wait is set.
func (e *Engine) acquire(ctx context.Context, wait bool) error {
	e.mu.Lock()
	if e.slots.free == 0 {
		e.reapIdle()
	}
	if e.slots.free > 0 {
		e.slots.free--
		e.mu.Unlock()
		return nil
	}
	if !wait || len(e.slots.waiting) >= e.slots.queue {
		e.mu.Unlock()
		return errFull
	}
	granted := make(chan struct{})
	e.slots.waiting = append(e.slots.waiting, granted)
	e.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	case <-e.closed:
	}
	e.leaveQueue(granted)
	return errCancelled
}

func (e *Engine) leaveQueue(granted chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.slots.waiting {
		if w == granted {
			e.slots.waiting = append(e.slots.waiting[:i], e.slots.waiting[i+1:]...)
			return
		}
	}
	e.release()
}

// release gives a slot to the first in the queue. The caller holds mu.
func (e *Engine) release() {
	if len(e.slots.waiting) == 0 {
		e.slots.free++
		return
	}
	close(e.slots.waiting[0])
	e.slots.waiting = e.slots.waiting[1:]
}

// reapIdle frees the slots of streams whose earlier stages have gone silent.
// The caller holds mu.
func (e *Engine) reapIdle() {
	now := time.Now()
	for _, s := range e.table.sessions {
		if s.index > 0 && now.Sub(s.lastUsed) > e.cfg.SessionIdle {
			e.drop(s)
		}
	}
}

// drop ends a session and frees its slot, once. The caller holds mu.
func (e *Engine) drop(s *session) {
	if !e.table.remove(s) {
		return
	}
	s.cancel()
	e.release()
	e.stats.Ended++
}

// find returns the session of an epoch, and marks it as used.
func (e *Engine) find(key sessionKey) (*session, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.table.sessions[key]
	if !ok {
		return nil, errUnknown
	}
	s.lastUsed = time.Now()
	return s, nil
}
