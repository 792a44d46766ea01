package cases

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	at, ended time.Time
	// ran is set if the server answered it with success; left if the connection ended before.
	ran, left bool
}

// plainServer is a server of a plain service. It answers each request after a while, with the head of
// PROTOCOL.md.
type plainServer struct {
	scene             *scene
	id, service, zone string
	address           string
	born              time.Time
	work              time.Duration
	// header is added to all answers.
	header func() http.Header
	// fails says of the n-th request, counted from 1, that the server fails it after its work.
	fails func(n int) bool

	server *http.Server
	seq    atomic.Int64
	mu     sync.Mutex
	calls  map[string]*arrival
}

func (s *scene) newPlain(id, service, zone string, work time.Duration) *plainServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &plainServer{scene: s, id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now(), work: work, calls: map[string]*arrival{}}
	p.server = &http.Server{Handler: p, BaseContext: func(net.Listener) context.Context { return context.Background() }}
	go func() { _ = p.server.Serve(l) }()
	s.atClose(func() { _ = p.server.Close() })
	return p
}

// checkIn writes the server's entry into the store.
func (p *plainServer) checkIn(state string) {
	p.scene.put("servers/"+p.id, plainEntry(p.service, p.address, p.zone, state, p.born, int(p.seq.Add(1))))
}

// keepCheckingIn writes the entry at each heartbeat until the context ends.
func (p *plainServer) keepCheckingIn(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, beat) {
		p.checkIn("ready")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ServeHTTP answers one request.
func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Replica"); expected != "" && expected != p.id {
		w.Header().Set("Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id, a := r.Header.Get("Request-Id"), &arrival{at: time.Now()}
	p.mu.Lock()
	p.calls[id] = a
	n := len(p.calls)
	p.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		p.end(a, false)
		return
	}
	h := w.Header()
	p.mu.Lock()
	header := p.header
	p.mu.Unlock()
	if header != nil {
		for name, values := range header() {
			h[name] = values
		}
	}
	h.Set("Request-Id", id)
	h.Set("Server-Stamp", "stamp."+p.id+"."+id)
	h.Set("Replica-Load", "1,0,6")
	if p.fails != nil && p.fails(n) {
		p.end(a, false)
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, "the database did not confirm")
		return
	}
	p.end(a, true)
	fmt.Fprintf(w, "done %s%s", id, strings.Repeat(".", 100))
}

func (p *plainServer) end(a *arrival, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.ended, a.ran, a.left = time.Now(), ran, !ran
}

// call returns a copy of the arrival of a request; ok is false if it never reached the server.
func (p *plainServer) call(id string) (a arrival, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found := p.calls[id]; found != nil {
		return *found, true
	}
	return arrival{}, false
}
