package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/go-chi/chi/v5"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("standin engine")

var (
	errClosed    = errors.New("the engine has been closed")
	errFull      = errors.New("all slots and the queue are full")
	errDraining  = errors.New("the engine is draining")
	errCancelled = errors.New("the stream has been cancelled")
	errHolding   = errors.New("the engine holds other layers")
	errUnknown   = errors.New("the stream is not known here")
	errOldOrder  = errors.New("the order's placement version is old")
	errBrokenOff = errors.New("the answer is broken off")
)

const (
	// pathControl replaces the faults in force.
	pathControl = "/control"
	// pathOpen, pathStep and pathClose are the calls between stages.
	pathOpen  = "/stage/open"
	pathStep  = "/stage/step"
	pathClose = "/stage/close"
	// pathBlob serves an exported KV cache to the engine that imports it.
	pathBlob = "/v1/kv/blob/{id}"
)

const (
	maxBodyBytes = 8 << 20
	maxIdleConns = 1024
	// closeTimeout bounds the call that tells the next stage of a stream's end.
	closeTimeout = 2 * time.Second
)

// Engine is one stand-in engine. Its methods may be called at any time.
type Engine struct {
	cfg    Config
	client *http.Client
	router http.Handler
	closed chan struct{}
	once   sync.Once
	wg     sync.WaitGroup

	mu        sync.Mutex
	holding   engineapi.Holding
	faults    Faults
	thaw      chan struct{} // not nil while frozen
	idle      chan struct{} // not nil while busy
	slots     slots
	table     sessionTable
	cache     prefixCache
	exports   map[string]exportedKV
	artifacts artifacts
	load      loadReport
	stats     Stats
}

// Stats counts what an engine did, for tests.
type Stats struct {
	// Opened and Ended count streams that took and gave back a slot.
	Opened, Ended int
	// Steps counts tokens for which layers ran.
	Steps int
	// Ways counts the questions along the chain that were answered.
	Ways int
	// Holdings counts the questions for what the engine holds.
	Holdings int
	// Refused counts streams refused before any work.
	Refused int
	// Cancelled counts streams ended by a cancel or a caller gone.
	Cancelled int
	// Imported and Recomputed count resumed or new streams by the way that
	// their KV cache was built.
	Imported, Recomputed int
}

// New returns an engine that is not yet listening; see Start.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:     cfg,
		closed:  make(chan struct{}),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		holding: engineapi.Holding{Model: cfg.Model, First: cfg.First, Last: cfg.Last, Weights: cfg.Weights, PlacementVersion: cfg.Version},
		exports: map[string]exportedKV{},
	}
	e.slots = slots{free: cfg.Slots, queue: cfg.Queue}
	e.artifacts.uses = map[string]uint64{}
	e.table = newSessionTable()
	e.cache = newPrefixCache(cfg.CacheBlocks, cfg.EventLag, cfg.EventLoss)
	e.router = e.routes()
	return e
}

func (e *Engine) routes() http.Handler {
	r := chi.NewRouter()
	r.Post(pathControl, e.handleControl)
	r.Group(func(r chi.Router) {
		r.Use(e.freezing)
		r.Post(engineapi.PathChat, e.handleChat)
		r.Get(engineapi.PathLoad, e.handleLoad)
		r.Get(engineapi.PathHolding, e.handleHolding)
		r.Post(engineapi.PathOrders, e.handleOrder)
		r.Post(engineapi.PathAdapters, e.handleAdapters)
		if !e.cfg.NoWay {
			r.Post(engineapi.PathWay, e.handleWay)
		}
		r.Post(engineapi.PathCancel, e.handleCancel)
		r.Post(engineapi.PathExport, e.handleExport)
		r.Post(engineapi.PathImport, e.handleImport)
		r.Get(engineapi.PathEvents, e.handleEvents)
		r.Get(pathBlob, e.handleBlob)
		r.Post(pathOpen, e.handleOpen)
		r.Post(pathStep, e.handleStep)
		r.Post(pathClose, e.handleClose)
	})
	return r
}

func (e *Engine) freezing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.waitThawed()
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP answers the calls of docs/PROTOCOL.md and /control.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.begin() {
		panic(http.ErrAbortHandler)
	}
	defer e.wg.Done()
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	e.router.ServeHTTP(w, r)
}

// begin counts a piece of work that Close waits for; false once closed.
func (e *Engine) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.closed:
		return false
	default:
		e.wg.Add(1)
		return true
	}
}

// Close ends every stream and waits for the engine's own goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.once.Do(func() { close(e.closed) })
	for _, s := range e.table.sessions {
		s.cancel()
	}
	e.mu.Unlock()
	e.wg.Wait()
	e.client.CloseIdleConnections()
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Running returns how many streams hold a slot now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.table.sessions)
}

// name is the endpoint's name in spans.
func (e *Engine) name() string { return e.cfg.Name }

func (e *Engine) handleHolding(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.report()
	e.stats.Holdings++
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if !readJSON(w, r, &order) {
		return
	}
	if err := e.Order(order); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// refuse answers before any work was done and says so.
func refuse(w http.ResponseWriter, err error) {
	status := http.StatusTooManyRequests
	var pushback *pushbackError
	switch {
	case errors.As(err, &pushback):
		status = http.StatusServiceUnavailable
		if pushback.retryAfter != "" {
			w.Header().Set(engineapi.HeaderRetryAfter, pushback.retryAfter)
		}
	case errors.Is(err, errDraining), errors.Is(err, errRefusedNext):
		status = http.StatusServiceUnavailable
	case errors.Is(err, errHolding), errors.Is(err, errCancelled):
		status = http.StatusConflict
	}
	w.Header().Set(engineapi.HeaderNotRun, "1")
	http.Error(w, err.Error(), status)
}
