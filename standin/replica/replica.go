// Package replica stands in for the users' replicas in tests: model replicas that
// hold layers and serve streams along paths, and plain services.
//
//	fleet := replica.NewFleet(80)
//	r := fleet.Add(replica.Config{ID: "i-1", Service: "llm", Domain: "bandung", Kind: "l4"})
//	r.Entry()   // what the replica writes of itself into the store
//	r.SetFault(replica.Fault{...})
//	fleet.Runs("request id")
//
// It checks what engines don't: that a path runs each layer once and in order.
package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Config describes one replica.
type Config struct {
	ID, Service, Domain, Kind string
	// Model replicas serve streams along paths; others answer requests alone.
	Model bool
	// Events and Pause shape the streams of a model replica.
	Events int
	Pause  time.Duration
}

// Fault says how a replica misbehaves from now on.
type Fault struct {
	// Refuse answers every request 503, not run.
	Refuse bool
	// RetryAfter is what these answers state, in seconds; empty for nothing.
	RetryAfter string
	// LoseAnswer runs the request and resets the connection.
	LoseAnswer bool
	// Twice sends every answer of a plain service a second time.
	Twice bool
	// Unproved leaves the proof out of answers.
	Unproved bool
	// Nameless is the status of the answers of a plain service, which then name no request; 0 for none.
	Nameless int
	// Unproven is the status of the answers of a plain service to requests that it has worked on. They don't say that
	// these have not run; 0 for none.
	Unproven int
	// CutAfter ends a stream's connection after that many events, in the middle of
	// the next one; zero does not.
	CutAfter int
	// Work is how long a plain service works on a request. It stops if the connection closes.
	Work time.Duration
	// Prefill is the time to read a prompt. The replica reads one prompt at a time, the most
	// urgent first, so more than one per Prefill wait.
	Prefill time.Duration
	// Unframed sends answers with neither a length nor chunks, which end with their connection.
	Unframed bool
	// EndAfter ends the replica's process after that many events of a stream, or bytes of an
	// unframed plain answer; zero does not.
	EndAfter int
	// Raw returns all bytes of a plain service's answer to a request; kept is the number of requests that
	// its connection has carried before. The connection stays open unless the bytes say that it ends.
	Raw func(request string, kept int) string
	// Stray are bytes that the replica writes into its streams.
	Stray Stray
	// RawStream is what the replica answers to streams on the connection itself; nil for streams.
	RawStream *RawStream
	// NoStream is what the replica answers to streams in place of a stream; nil for streams.
	NoStream *NoStream
	// Early is what the replica answers to long uploads before it has read them; nil for answers.
	Early *Early
	// Endless is what the replica answers to all requests in place of an answer; nil for answers.
	Endless *Endless
	// Hang takes requests and answers nothing.
	Hang bool
	// Leaving says in all answers that the replica leaves, while its entry says nothing of it.
	Leaving bool
	// RateLimit is the limit in requests per second that the replica states in its answers;
	// empty for none. It serves what exceeds the limit all the same.
	RateLimit string
}

// Run is one run of a request at a replica.
type Run struct {
	Replica, Request string
	Header           http.Header
	Method, Target   string
	Body             string
	// At is the time at which the request arrived.
	At time.Time
}

// Arrival is a call that reached a replica, also if the replica refused it.
type Arrival struct {
	Replica string
	// Request is empty for orders and reports.
	Request, Method, Target string
	At                      time.Time
	// RetryAfter is what the refusal of the call stated; empty for nothing.
	RetryAfter string
}

// Fleet is all replicas of a test.
type Fleet struct {
	layers int

	mu     sync.Mutex
	byAddr map[string]*Replica
	// aliases maps the addresses by which some nodes know replicas to the replicas' own.
	aliases  map[string]string
	runs     []Run
	arrivals []Arrival
	problems []string
	crash    Crash
	crashes  []time.Time
	// strays and ignoredStrays are the numbers of runs with stray bytes, by request.
	strays, ignoredStrays map[string]int
}

// NewFleet returns an empty fleet for a model with that many layers.
func NewFleet(layers int) *Fleet {
	return &Fleet{layers: layers, byAddr: map[string]*Replica{}, aliases: map[string]string{}, strays: map[string]int{}, ignoredStrays: map[string]int{}}
}

// Alias makes an address stand for that of a replica in the paths of requests.
func (f *Fleet) Alias(alias, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.aliases[alias] = address
}

// find returns the replica at an address, or nil, and the replica's own address.
func (f *Fleet) find(address string) (*Replica, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if own, ok := f.aliases[address]; ok {
		address = own
	}
	return f.byAddr[address], address
}

// Replica is one stand-in, listening on loopback.
type Replica struct {
	Config
	Address string
	Born    int64
	fleet   *Fleet
	// reserved keeps the replica's port until it is gone for good.
	reserved *portReservation

	mu     sync.Mutex
	server *http.Server
	// listener is the one of the present incarnation.
	listener *net.TCPListener
	// down is set while the replica is gone after a crash, killed if it is gone for good. port is what
	// holds its port while it is gone, nil for nothing.
	down, killed bool
	port         net.Listener
	fault        Fault
	draining     bool
	// announced is set if the replica says that it leaves and serves on.
	announced bool
	orders    int64
	from, to  int
	paths     map[string]chan string // a stream's detours, by request
	prompts   prefillQueue
	// streams is the number of runs that a fault of one run of every so many has counted.
	streams int
	silence silence
}

// Add starts a replica.
func (f *Fleet) Add(c Config) (*Replica, error) {
	reserved, err := reservePort()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", reserved.Address)
	if err != nil {
		return nil, errors.Join(err, reserved.close())
	}
	r := &Replica{
		Config: c, Address: reserved.Address, reserved: reserved, Born: time.Now().UnixMilli(), fleet: f,
		paths: map[string]chan string{},
	}
	r.serve(listener)
	return r, nil
}

// serve accepts connections until the server is closed.
func (r *Replica) serve(listener net.Listener) {
	server := &http.Server{Handler: r}
	r.mu.Lock()
	r.server = server
	r.listener = listener.(*net.TCPListener)
	r.mu.Unlock()
	r.fleet.mu.Lock()
	r.fleet.byAddr[r.Address] = r
	r.fleet.mu.Unlock()
	go func() {
		// It ends with Kill or with a crash.
		_ = server.Serve(&silentListener{Listener: listener, silence: &r.silence, closed: make(chan struct{})})
	}()
}

// Kill ends the replica and all its connections.
func (r *Replica) Kill() {
	r.mu.Lock()
	again := r.killed
	r.killed = true
	r.mu.Unlock()
	r.end()
	if again {
		return
	}
	if err := r.reserved.close(); err != nil {
		r.fleet.problem("the port of %s is not given back: %v", r.ID, err)
	}
}

// end closes the listener and all connections.
func (r *Replica) end() {
	r.fleet.mu.Lock()
	delete(r.fleet.byAddr, r.Address)
	r.fleet.mu.Unlock()
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

// Close ends all replicas.
func (f *Fleet) Close() {
	f.mu.Lock()
	list := make([]*Replica, 0, len(f.byAddr))
	for _, r := range f.byAddr {
		list = append(list, r)
	}
	f.mu.Unlock()
	for _, r := range list {
		r.Kill()
	}
}

// Runs returns the runs of a request, or all if id is empty.
func (f *Fleet) Runs(id string) []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []Run
	for _, run := range f.runs {
		if id == "" || run.Request == id {
			runs = append(runs, run)
		}
	}
	return runs
}

// Arrivals returns the calls that reached a replica, in order.
func (f *Fleet) Arrivals(replica string) []Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Arrival
	for _, a := range f.arrivals {
		if a.Replica == replica {
			list = append(list, a)
		}
	}
	return list
}

// ReplicaIDs returns the replicas that calls have reached, sorted.
func (f *Fleet) ReplicaIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{}
	for _, a := range f.arrivals {
		seen[a.Replica] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Problems tells what replicas were asked to do wrong.
func (f *Fleet) Problems() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.problems...)
}

func (f *Fleet) problem(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.problems = append(f.problems, fmt.Sprintf(format, args...))
}

// SetFault replaces the replica's fault.
func (r *Replica) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

// Drain makes the replica say that it leaves.
func (r *Replica) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// Announce makes the replica say that it leaves. Unlike Drain, the replica serves on.
func (r *Replica) Announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announced = true
}

// saysLeaving reports whether answers say that the replica leaves.
func (r *Replica) saysLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining || r.announced || r.fault.Leaving
}

// Restart makes the replica a new incarnation at the same address, which holds its layers and
// misbehaves in no way.
func (r *Replica) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Born++
	r.fault, r.draining, r.announced = Fault{}, false, false
}

// Holds is the layers held.
func (r *Replica) Holds() (from, to int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.from, r.to
}

// Entry is what the replica writes of itself into the store.
func (r *Replica) Entry() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "ready"
	if r.draining || r.announced {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.Service, "addr": r.Address, "zone": r.Domain, "state": state, "slots": 192,
		"kind": r.Kind, "born": r.Born, "seq": 1, "version": "v1",
	}
	if r.to > r.from {
		entry["layers"] = map[string]int{"from": r.from, "target": r.to, "version": 1}
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return data
}

// ServeHTTP answers orders, reports and requests.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Expect-Replica"); expected != "" && expected != r.ID {
		w.Header().Set("Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.noteArrival(q)
	if r.saysLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case r.Model && q.URL.Path == "/order":
		r.order(w, q)
	case r.Model && q.URL.Path == "/report":
		r.report(w)
	default:
		r.request(w, q)
	}
}

// Serves reports whether the replica is serving a stream.
func (r *Replica) Serves(request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, serves := r.paths[request]
	return serves
}
