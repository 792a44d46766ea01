package rig

import (
	"bytes"
	"fmt"
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
	// AtToken is before a token of its answer leaves.
	AtToken
)

// Trap springs once, at one moment of the first call that fits, or with Each at that moment of
// each of them.
type Trap struct {
	// Path is the end of the call's path, Body a part of its body.
	Path string
	Body string
	// Skip lets that many calls that fit pass first.
	Skip int
	When When
	// Token is its number in the answer, from 1 on, also if an earlier stream of
	// the same answer had the tokens before it: a chain that is left for slowness
	// on a busy machine must not take the step away.
	Token int
	// Each lets the trap stay for further calls that fit, so that a call that ends before
	// its moment does not take it away.
	Each bool
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

// ServeHTTP serves a call, springing the traps that fit it.
func (t *trapped) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.note(r.URL.Path)
	var after []*Trap
	for _, trap := range t.match(r) {
		switch trap.When {
		case Before:
			trap.Spring()
		case After:
			after = append(after, trap)
		case AtToken:
			w = &tokenWatcher{ResponseWriter: w, trap: trap, mark: fmt.Appendf(nil, `"position":%d,`, trap.Token-1)}
		}
	}
	if len(after) == 0 {
		t.next.ServeHTTP(w, r)
		return
	}
	reply := httptest.NewRecorder()
	// A stand-in that loses the reply ends the call by a panic, as net/http has
	// it. The traps spring all the same.
	defer func() {
		for _, trap := range after {
			trap.Spring()
		}
		if lost := recover(); lost != nil {
			panic(lost)
		}
		copyReply(w, reply)
	}()
	t.next.ServeHTTP(reply, r)
}

// match takes the traps that fit the call. Each counts calls for itself, so that
// two traps may wait for different moments of one call.
func (t *trapped) match(r *http.Request) []*Trap {
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
	var fit, rest []*Trap
	for _, trap := range t.traps {
		switch {
		case !strings.HasSuffix(r.URL.Path, trap.Path) || !bytes.Contains(body, []byte(trap.Body)):
			rest = append(rest, trap)
		case trap.Skip > 0:
			trap.Skip--
			rest = append(rest, trap)
		case trap.Each:
			fit, rest = append(fit, trap), append(rest, trap)
		default:
			fit = append(fit, trap)
		}
	}
	t.traps = rest
	return fit
}

func copyReply(w http.ResponseWriter, reply *httptest.ResponseRecorder) {
	for name, values := range reply.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(reply.Code)
	// The node may be gone by now: that is what the trap may have done.
	_, _ = w.Write(reply.Body.Bytes())
}

// tokenWatcher springs its trap before its token.
type tokenWatcher struct {
	http.ResponseWriter
	trap *Trap
	// mark is in the token's event and in no other.
	mark []byte
	seen bool
}

// Write implements http.ResponseWriter.
func (t *tokenWatcher) Write(data []byte) (int, error) {
	if !t.seen && bytes.Contains(data, t.mark) {
		t.seen = true
		t.trap.Spring()
	}
	return t.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (t *tokenWatcher) Flush() {
	if f, ok := t.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap lets http.ResponseController reach the writer below.
func (t *tokenWatcher) Unwrap() http.ResponseWriter {
	return t.ResponseWriter
}
