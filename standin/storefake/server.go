// Package storefake stands in for the platform's key-value service in tests:
// an http.Handler that speaks its protocol (docs/PROTOCOL.md) over an in-memory
// store.
//
//	fake := storefake.New()
//	defer fake.Close()
//	server := httptest.NewServer(fake)
//	fake.SetFaults(storefake.Faults{Outage: true})
//
// Faults are also set from outside by POST /control with the JSON of Faults;
// GET /control returns Status.
package storefake

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// PathControl sets and shows faults and counts.
const PathControl = "/control"

// maxRequestBytes leaves room for a value of the largest size in base64.
const maxRequestBytes = 2 * store.MaxValueBytes

// Faults says how the store misbehaves from now on. The zero value is a sound
// store.
type Faults struct {
	// Outage cuts the connection of every call, watches underway included.
	Outage bool `json:"outage"`
	// Refuse answers every call 429 without effect.
	Refuse bool `json:"refuse"`
	// Freeze holds every call without effect or answer until it is lifted. The
	// calls held then take effect, also those whose callers have given up.
	Freeze bool `json:"freeze"`
	// FreezeWrites does the same to the calls that change the store: transactions and
	// those about leases. Reads and watches are answered.
	FreezeWrites bool `json:"freeze_writes"`
	// SlowMillis delays each call before it takes effect. A call whose caller
	// gave up meanwhile still takes effect, late.
	SlowMillis int `json:"slow_ms"`
	// LoseReplies lets that many transactions take effect and cuts their
	// connections instead of answering.
	LoseReplies int `json:"lose_replies"`
	// LoseRequests cuts that many transactions before they take effect.
	LoseRequests int `json:"lose_requests"`
}

// holds says whether a call is held until the faults change.
func (f Faults) holds(path string) bool {
	return f.Freeze || f.FreezeWrites && writes[path]
}

// writes are the calls that change the store.
var writes = map[string]bool{PathTxn: true, PathLease: true, PathKeep: true, PathLeaseEnd: true}

// Status is what GET /control answers.
type Status struct {
	Faults  Faults           `json:"faults"`
	Calls   int64            `json:"calls"`
	ByPath  map[string]int64 `json:"by_path"`
	Watches int              `json:"watches"`
}

// Server is the handler. It is safe for use by several goroutines.
type Server struct {
	memory   *storetest.Memory
	handlers map[string]http.HandlerFunc

	mu      sync.Mutex
	faults  Faults
	lifted  chan struct{}
	byPath  map[string]int64
	watches int
}

// New returns an empty sound store.
func New() *Server {
	s := &Server{
		memory: storetest.NewMemory(),
		lifted: make(chan struct{}),
		byPath: map[string]int64{},
	}
	s.handlers = map[string]http.HandlerFunc{
		"GET " + PathKey:         s.getKey,
		"GET " + PathRange:       s.rangeKeys,
		"GET " + PathWatch:       s.watch,
		"POST " + PathTxn:        s.txn,
		"POST " + PathLease:      s.grant,
		"POST " + PathKeep:       s.keepAlive,
		"DELETE " + PathLeaseEnd: s.endLease,
	}
	return s
}

// Close ends watches and frozen calls and stops all leases.
func (s *Server) Close() {
	s.SetFaults(Faults{Outage: true})
	s.memory.Close()
}

// Memory is the store behind the handler, for tests that read it directly.
func (s *Server) Memory() *storetest.Memory { return s.memory }

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.lifted)
	s.lifted = make(chan struct{})
}

// Status returns the faults in force and the calls so far. A watch counts as
// one call.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Faults: s.faults, Watches: s.watches, ByPath: map[string]int64{}}
	for path, n := range s.byPath {
		status.ByPath[path] = n
		status.Calls += n
	}
	return status
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathControl {
		s.control(w, r)
		return
	}
	path := callOf(r.URL.Path)
	handler := s.handlers[r.Method+" "+path]
	if handler == nil {
		fail(w, http.StatusNotFound, "no such call")
		return
	}
	faults, lose := s.begin(path)
	if faults.holds(path) && !s.thaw(path) {
		cut()
	}
	switch {
	case faults.Outage, lose == loseRequest:
		cut()
	case faults.Refuse:
		fail(w, http.StatusTooManyRequests, "too many requests")
		return
	case lose == loseReply:
		handler(discard{}, r)
		cut()
	}
	pause(r, faults.SlowMillis)
	handler(w, r)
}

// callOf is the path without the lease that it may end with.
func callOf(path string) string {
	for _, call := range []string{PathKeep, PathLeaseEnd} {
		if strings.HasPrefix(path, call+"/") {
			return call
		}
	}
	return path
}

type loss int

const (
	loseNothing loss = iota
	loseRequest
	loseReply
)

// begin counts a call and takes the faults that apply to it.
func (s *Server) begin(path string) (Faults, loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byPath[path]++
	if path != PathTxn {
		return s.faults, loseNothing
	}
	switch {
	case s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		return s.faults, loseRequest
	case s.faults.LoseReplies > 0:
		s.faults.LoseReplies--
		return s.faults, loseReply
	}
	return s.faults, loseNothing
}

// thaw waits until the store no longer holds a call; false if an outage came
// first.
func (s *Server) thaw(path string) bool {
	for {
		s.mu.Lock()
		faults, lifted := s.faults, s.lifted
		s.mu.Unlock()
		if !faults.holds(path) {
			return !faults.Outage
		}
		<-lifted
	}
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var faults Faults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			fail(w, http.StatusBadRequest, err.Error())
			return
		}
		s.SetFaults(faults)
	}
	answer(w, s.Status())
}

// cut ends the connection without an answer.
func cut() { panic(http.ErrAbortHandler) }

// pause waits as long as the store is slow, unless the caller leaves.
func pause(r *http.Request, millis int) {
	if millis <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// discard is the answer that the caller never gets.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func decode(w http.ResponseWriter, r *http.Request, request any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, request)
	}
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func answer(w http.ResponseWriter, body any) { answerWith(w, http.StatusOK, body) }

func answerWith(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have left; there is no one to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, status int, message string) {
	answerWith(w, status, map[string]string{"error": message})
}
