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
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	// LoseAnswer runs the request and resets the connection.
	LoseAnswer bool
	// Twice sends every answer of a plain service a second time.
	Twice bool
	// Unproved leaves the proof out of answers.
	Unproved bool
	// CutAfter ends a stream's connection after that many events, in the middle of
	// the next one; zero does not.
	CutAfter int
	// Hang takes requests and answers nothing.
	Hang bool
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

// Fleet is all replicas of a test.
type Fleet struct {
	layers int

	mu       sync.Mutex
	byAddr   map[string]*Replica
	runs     []Run
	problems []string
}

// NewFleet returns an empty fleet for a model with that many layers.
func NewFleet(layers int) *Fleet {
	return &Fleet{layers: layers, byAddr: map[string]*Replica{}}
}

// Replica is one stand-in, listening on loopback.
type Replica struct {
	Config
	Address string
	Born    int64
	fleet   *Fleet
	server  *http.Server

	mu       sync.Mutex
	fault    Fault
	draining bool
	// announced is set if the replica says that it leaves and serves on.
	announced bool
	orders    int64
	from, to  int
	paths     map[string]chan string // a stream's detours, by request
}

// Add starts a replica.
func (f *Fleet) Add(c Config) (*Replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{
		Config: c, Address: listener.Addr().String(), Born: time.Now().UnixMilli(), fleet: f,
		paths: map[string]chan string{},
	}
	r.server = &http.Server{Handler: r}
	f.mu.Lock()
	f.byAddr[r.Address] = r
	f.mu.Unlock()
	go func() {
		// It ends with Kill.
		_ = r.server.Serve(listener)
	}()
	return r, nil
}

// Kill ends the replica and all its connections.
func (r *Replica) Kill() {
	r.fleet.mu.Lock()
	delete(r.fleet.byAddr, r.Address)
	r.fleet.mu.Unlock()
	_ = r.server.Close()
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
		"kind": r.Kind, "born": r.Born, "seq": 1,
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
	switch {
	case r.Model && q.URL.Path == "/order":
		r.order(w, q)
	case r.Model && q.URL.Path == "/report":
		r.report(w)
	default:
		r.request(w, q)
	}
}

func (r *Replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op, ID, Path string
		From, Target int
		Expected     *int64
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch o.Op {
	case "place":
		r.place(w, o.From, o.Target, o.Expected)
	case "repath":
		r.repath(w, o.ID, o.Path)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (r *Replica) place(w http.ResponseWriter, from, to int, expected *int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if expected != nil && *expected != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	r.from, r.to = from, to
	w.WriteHeader(http.StatusAccepted)
}

func (r *Replica) repath(w http.ResponseWriter, id, path string) {
	r.mu.Lock()
	detours, ok := r.paths[id]
	r.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if fault := r.checkPath(path); fault != "" {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprintf(w, `{"addr":%q}`, fault)
		return
	}
	detours <- path
	w.WriteHeader(http.StatusOK)
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, `{"seq":%d,"born":%d,"busy":false,"pace":1,"kvUsed":0,"kvTotal":1000000,"layers":{"from":%d,"target":%d,"version":1}}`,
		r.orders, r.Born, r.from, r.to)
}

func (r *Replica) request(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	fault, draining := r.fault, r.draining
	r.mu.Unlock()
	if fault.RateLimit != "" {
		w.Header().Set("Server-Limit", fault.RateLimit)
	}
	if fault.Refuse || draining && r.Model {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault.Hang {
		<-q.Context().Done()
		return
	}
	if r.Model {
		if at := r.checkPath(q.Header.Get("Hop-Count")); at != "" {
			w.Header().Set("At-Server", at)
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	r.note(q)
	if fault.LoseAnswer {
		reset(w)
		return
	}
	h := w.Header()
	h.Set("Request-Id", q.Header.Get("Request-Id"))
	if !fault.Unproved {
		h.Set("Server-Stamp", "stamp-of-"+r.ID)
	}
	if r.Model {
		r.stream(w, q, fault)
		return
	}
	r.plain(w, q, fault)
}

func (r *Replica) note(q *http.Request) {
	var body strings.Builder
	// A body that breaks off is noted as far as it came.
	_, _ = bufio.NewReader(q.Body).WriteTo(&body)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.fleet.runs = append(r.fleet.runs, Run{
		Replica: r.ID, Request: q.Header.Get("Request-Id"), Header: q.Header.Clone(),
		Method: q.Method, Target: q.RequestURI, Body: body.String(), At: time.Now(),
	})
}

// reset ends the connection without an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *Replica) plain(w http.ResponseWriter, q *http.Request, fault Fault) {
	text := "answer to " + q.Header.Get("Request-Id")
	if !fault.Twice {
		_, _ = w.Write([]byte(text))
		return
	}
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for range 2 {
		fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n%s",
			q.Header.Get("Request-Id"), len(text), text)
	}
	_ = buffer.Flush()
	// The connection stays open for the next request, which gets no answer of its own.
	_, _ = buffer.ReadByte()
	<-time.After(time.Second)
}

func (r *Replica) stream(w http.ResponseWriter, q *http.Request, fault Fault) {
	id := q.Header.Get("Request-Id")
	detours := make(chan string, 8)
	r.mu.Lock()
	r.paths[id] = detours
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.paths, id)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	path := q.Header.Get("Hop-Count")
	first, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		first = 0
	}
	flusher := http.NewResponseController(w)
	for n := first + 1; n <= r.Events; n++ {
		for r.checkPath(path) != "" {
			// A part is gone: the stream stands still until it is led around.
			select {
			case path = <-detours:
			case <-q.Context().Done():
				return
			}
		}
		if fault.CutAfter > 0 && n > first+fault.CutAfter {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", n)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n, n, id); err != nil {
			return
		}
		_ = flusher.Flush()
		select {
		case <-time.After(r.Pause):
		case path = <-detours:
		case <-q.Context().Done():
			return
		}
	}
}

// checkPath returns the address of the part that can't serve, "" if all can. What
// engines do not check is a problem of the fleet.
func (r *Replica) checkPath(path string) string {
	at := 0
	for i, part := range strings.Split(path, ",") {
		address, from, to, err := parsePart(part)
		if err != nil {
			r.fleet.problem("path %q: %v", path, err)
			return r.Address
		}
		if from != at || i == 0 && address != r.Address {
			r.fleet.problem("path %q: layer %d comes out of order", path, from)
		}
		at = to
		r.fleet.mu.Lock()
		other := r.fleet.byAddr[address]
		r.fleet.mu.Unlock()
		if other == nil {
			return address
		}
		if heldFrom, heldTo := other.Holds(); from < heldFrom || to > heldTo {
			return address
		}
	}
	if at != r.fleet.layers {
		r.fleet.problem("path %q ends at layer %d", path, at)
	}
	return ""
}

func parsePart(part string) (address string, from, to int, err error) {
	address, span, ok := strings.Cut(part, "=")
	if !ok {
		return "", 0, 0, fmt.Errorf("%q is no part", part)
	}
	_, err = fmt.Sscanf(span, "%d-%d", &from, &to)
	return address, from, to, err
}
