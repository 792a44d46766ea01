package rig

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// When says at which moment of a call a trap springs.
type When uint8

// Moments of a call as its server sees them.
const (
	// Before the call takes effect.
	Before When = iota
	// After it took effect and before its reply leaves.
	After
	// AtEvent is before the n-th server-sent event of its answer leaves.
	AtEvent
)

// Trap springs once, at one moment of the first call that fits.
type Trap struct {
	// Path is the end of the call's path, Body a part of its body.
	Path string
	Body string
	// Skip lets that many calls that fit pass first.
	Skip  int
	When  When
	Event int
	// Spring is run at that moment; the call waits for it.
	Spring func()
}

// trapped puts traps around a stand-in. Safe for concurrent use.
type trapped struct {
	next http.Handler

	mu    sync.Mutex
	traps []*Trap
	// last is when each path was last called.
	last map[string]time.Time
}

func newTrapped(next http.Handler) *trapped {
	return &trapped{next: next, last: map[string]time.Time{}}
}

func (t *trapped) note(path string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[path] = time.Now()
}

func (t *trapped) lastCall(suffix string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var latest time.Time
	for path, at := range t.last {
		if strings.HasSuffix(path, suffix) && at.After(latest) {
			latest = at
		}
	}
	return latest
}

func (t *trapped) set(trap *Trap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.traps = append(t.traps, trap)
}

// ServeHTTP serves a call, springing the trap that fits it.
func (t *trapped) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.note(r.URL.Path)
	trap := t.match(r)
	if trap == nil {
		t.next.ServeHTTP(w, r)
		return
	}
	switch trap.When {
	case Before:
		trap.Spring()
		t.next.ServeHTTP(w, r)
	case After:
		reply := httptest.NewRecorder()
		t.next.ServeHTTP(reply, r)
		trap.Spring()
		copyReply(w, reply)
	case AtEvent:
		t.next.ServeHTTP(&eventCounter{ResponseWriter: w, trap: trap}, r)
	}
}

// match takes the first trap that fits the call.
func (t *trapped) match(r *http.Request) *Trap {
	t.mu.Lock()
	armed := len(t.traps) > 0
	t.mu.Unlock()
	if !armed {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, trap := range t.traps {
		if !strings.HasSuffix(r.URL.Path, trap.Path) || !bytes.Contains(body, []byte(trap.Body)) {
			continue
		}
		if trap.Skip > 0 {
			trap.Skip--
			return nil
		}
		t.traps = append(t.traps[:i:i], t.traps[i+1:]...)
		return trap
	}
	return nil
}

func copyReply(w http.ResponseWriter, reply *httptest.ResponseRecorder) {
	for name, values := range reply.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(reply.Code)
	// The node may be gone by now: that is what the trap may have done.
	_, _ = w.Write(reply.Body.Bytes())
}

// eventCounter springs its trap before the n-th event.
type eventCounter struct {
	http.ResponseWriter
	trap   *Trap
	events int
}

// Write implements http.ResponseWriter.
func (c *eventCounter) Write(data []byte) (int, error) {
	for range bytes.Count(data, []byte("data: ")) {
		c.events++
		if c.events == c.trap.Event {
			c.trap.Spring()
		}
	}
	return c.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (c *eventCounter) Flush() {
	if f, ok := c.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap lets http.ResponseController reach the writer below.
func (c *eventCounter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}
