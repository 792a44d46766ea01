// Package plain is a stand-in for a plain service, such as a booking system:
// it records every order that it was given, so that a test can count what
// really arrived. It is for tests only.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// maxBody bounds what one order may carry.
const maxBody = 1 << 20

// Order is one order as it arrived.
type Order struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Faults are the ways in which the service can be made to misbehave.
type Faults struct {
	// DropReply takes the order and closes the connection without an answer,
	// for this many orders.
	DropReply int `json:"drop_reply"`
	// Refuse answers 503 before any work, with the header that says so.
	Refuse bool `json:"refuse"`
	// RetryAfter is what refusals state, in seconds; empty for nothing.
	RetryAfter string `json:"retry_after,omitempty"`
	// FailAfterWork takes the order and answers 500.
	FailAfterWork bool `json:"fail_after_work"`
	// DelayMillis is how long each call takes.
	DelayMillis int `json:"delay_ms"`
	// Draining is reported in the load; work is still done. Leaving is said in all answers.
	Draining bool `json:"draining"`
	Leaving  bool `json:"leaving"`
}

// Server is the stand-in. Safe for concurrent use.
type Server struct {
	name   string
	slots  int
	router chi.Router

	mu      sync.Mutex
	faults  Faults
	orders  []Order
	running int
	reads   int
	arrived chan struct{}
}

// New returns a stand-in with the given name and number of slots.
func New(name string, slots int) *Server {
	s := &Server{name: name, slots: slots, arrived: make(chan struct{}, 1)}
	s.router = chi.NewRouter()
	s.router.Get("/v1/load", s.load)
	s.router.Get("/standin/orders", s.list)
	s.router.Post("/control", s.control)
	s.router.Get("/*", s.read)
	s.router.Post("/*", s.order)
	s.router.Put("/*", s.order)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	leaving := s.faults.Leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Cicadatack-Leaving", "1")
	}
	s.router.ServeHTTP(w, r)
}

// SetFaults puts faults in force for the calls that follow.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Orders returns every order that arrived and was worked on, in order.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// Arrived receives a value after an order arrived; it does not count them.
func (s *Server) Arrived() <-chan struct{} {
	return s.arrived
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"running":  s.running,
		"slots":    s.slots,
		"draining": s.faults.Draining,
	})
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Orders())
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	faults := s.begin()
	defer s.end()
	pause(r, faults)
	if faults.Refuse {
		refuse(w, faults)
		return
	}
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"service": s.name, "path": r.URL.Path})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	faults := s.begin()
	defer s.end()
	if faults.Refuse {
		refuse(w, faults)
		return
	}
	number, drop := s.take(r, body)
	pause(r, faults)
	if drop {
		panic(http.ErrAbortHandler)
	}
	if faults.FailAfterWork {
		http.Error(w, "failed after work", http.StatusInternalServerError)
		return
	}
	writeJSON(w, http.StatusCreated, map[string]any{"service": s.name, "order": number})
}

// take records an order and says whether its reply is to be dropped.
func (s *Server) take(r *http.Request, body []byte) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, Order{
		Key:    r.Header.Get("Idempotency-Key"),
		Method: r.Method,
		Path:   r.URL.Path,
		Body:   string(body),
	})
	select {
	case s.arrived <- struct{}{}:
	default:
	}
	if s.faults.DropReply == 0 {
		return len(s.orders), false
	}
	s.faults.DropReply--
	return len(s.orders), true
}

func (s *Server) begin() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.faults
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func pause(r *http.Request, f Faults) {
	if f.DelayMillis == 0 {
		return
	}
	select {
	case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
	case <-r.Context().Done():
	}
}

func refuse(w http.ResponseWriter, f Faults) {
	if f.RetryAfter != "" {
		w.Header().Set("Retry-After", f.RetryAfter)
	}
	w.Header().Set("Cicadatack-Not-Run", "1")
	http.Error(w, "no work taken", http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone; a stand-in has nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
