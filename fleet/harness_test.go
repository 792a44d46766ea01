package fleet

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/fleet/docsync"
	"github.com/hashicorp/go-hclog"
)

const testEnvironment = "stock"

var errDown = errors.New("the store is down")

// fakeStore serves the list and the record, counts watches, and can be down.
type fakeStore struct {
	mu      sync.Mutex
	vms     []VM
	record  Record
	down    bool
	changed chan struct{}
	watches atomic.Int64
	// peers secures the exchanges between nodes; nil: plain.
	peers *peerTLS
	// slot is the environment slot of its nodes.
	slot     string
	requests atomic.Int64
}

func newFakeStore(r Record) *fakeStore {
	return &fakeStore{record: r, changed: make(chan struct{}), slot: testEnvironment}
}

// update changes the store and wakes the watches.
func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) set(r Record)      { s.update(func() { s.record = r }) }
func (s *fakeStore) setDown(down bool) { s.update(func() { s.down = down }) }

func (s *fakeStore) VMs(context.Context) ([]VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	return append([]VM(nil), s.vms...), nil
}

func (s *fakeStore) read() (Record, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Record{}, nil, errDown
	}
	return s.record, s.changed, nil
}

func (s *fakeStore) Get(context.Context) (Record, error) {
	s.requests.Add(1)
	r, _, err := s.read()
	return r, err
}

func (s *fakeStore) Watch(ctx context.Context, handle func(Record)) error {
	s.watches.Add(1)
	defer s.watches.Add(-1)
	for {
		r, changed, err := s.read()
		if err != nil {
			return err
		}
		handle(r)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// node is one running Fleet with its listener.
type node struct {
	*Fleet
	*testLimits
	store    *fakeStore
	server   *http.Server
	cancel   context.CancelFunc
	done     chan struct{}
	records  chan Record
	held     atomic.Pointer[chan struct{}] // answers wait for it, if set
	counters *counters
	// leavingCalls counts the calls of OnLeaving.
	leavingCalls atomic.Int64
}

// counters of the bytes on a node's own connections, headers included.
type counters struct{ in, out atomic.Int64 }

type countingConn struct {
	net.Conn
	c *counters
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.c.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.c.out.Add(int64(n))
	return n, err
}

// peerTLS is the settings of both sides.
type peerTLS struct{ server, client *tls.Config }

// newPeerTLS uses the test server's certificate, RSA of 2,048 bits, for all, and
// a node's other settings for peers (package tlsfiles).
func newPeerTLS(t testing.TB) *peerTLS {
	s := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(s.Close)
	certificates := s.TLS.Certificates
	return &peerTLS{
		server: &tls.Config{
			MinVersion:             tls.VersionTLS13,
			CurvePreferences:       []tls.CurveID{tls.X25519},
			Certificates:           certificates,
			ClientAuth:             tls.RequireAnyClientCert,
			SessionTicketsDisabled: true,
		},
		client: &tls.Config{
			MinVersion:         tls.VersionTLS13,
			CurvePreferences:   []tls.CurveID{tls.X25519},
			Certificates:       certificates,
			InsecureSkipVerify: true,
		},
	}
}

func (p *peerTLS) settings() (scheme string, client *tls.Config) {
	if p == nil {
		return "http", nil
	}
	return "https", p.client
}

func (p *peerTLS) serve(s *http.Server, l net.Listener) {
	if p == nil {
		s.Serve(l)
		return
	}
	s.TLSConfig = p.server.Clone()
	s.ServeTLS(l, "", "")
}

func countingTransport(c *counters, client *tls.Config) http.RoundTripper {
	t := NewTransport(client).(*http.Transport)
	dialer := net.Dialer{}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, c}, nil
	}
	return t
}

func name(i int) string { return fmt.Sprintf("vm-%04d", i) }

// startNodes runs n nodes over loopback in the given number of failure
// domains; the store lists them all.
func startNodes(t testing.TB, store *fakeStore, n, domains int, interval time.Duration) []*node {
	nodes := make([]*node, n)
	listeners := make([]net.Listener, n)
	var vms []VM
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = l
		vms = append(vms, VM{Name: name(i), Address: l.Addr().String(), FailureDomain: domain(i, domains)})
	}
	store.update(func() { store.vms = vms })
	for i := range n {
		nodes[i] = startNode(t, store, listeners[i], name(i), domain(i, domains), interval)
	}
	return nodes
}

func domain(i, domains int) string { return fmt.Sprintf("fd-%02d", i%domains) }

func startNode(t testing.TB, store *fakeStore, l net.Listener, name, domain string, interval time.Duration) *node {
	n := &node{store: store, done: make(chan struct{}), records: make(chan Record, 1024), counters: &counters{}, testLimits: newTestLimits(name)}
	scheme, client := store.peers.settings()
	f, err := New(Config{
		Name: name, Address: l.Addr().String(), CallerAddress: "10.0.0.1:8080", FailureDomain: domain,
		Environment: store.slot, Interval: interval, Scheme: scheme, Transport: countingTransport(n.counters, client), Limits: n.testLimits,
		OnLeaving: func() { n.leavingCalls.Add(1) },
	}, store, store, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	n.Fleet = f
	f.OnRecord(func(r Record) { n.records <- r })
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	handler := f.Handler()
	n.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if held := n.held.Load(); held != nil {
			select {
			case <-*held:
			case <-r.Context().Done():
			}
		}
		handler.ServeHTTP(w, r)
	})}
	go store.peers.serve(n.server, l)
	go func() { defer close(n.done); f.Run(ctx) }()
	t.Cleanup(n.kill)
	return n
}

// hold keeps the node from answering its peers until the returned function is
// called.
func (n *node) hold() (release func()) {
	held := make(chan struct{})
	n.held.Store(&held)
	return func() {
		n.held.Store(nil)
		close(held)
	}
}

// kill ends a node without a word to anyone.
func (n *node) kill() {
	n.cancel()
	n.server.Close()
	<-n.done
	n.cfg.Transport.(*http.Transport).CloseIdleConnections()
}

// awaitRevision waits until a node has delivered a revision, and fails if it
// ever delivers a lower one after a higher one.
func (n *node) awaitRevision(t testing.TB, revision int64, limit time.Duration) {
	t.Helper()
	timeout := time.After(limit)
	last := int64(0)
	for last < revision {
		select {
		case r := <-n.records:
			if r.Revision <= last {
				t.Fatalf("%s went from revision %d to %d", n.cfg.Name, last, r.Revision)
			}
			last = r.Revision
		case <-timeout:
			t.Fatalf("%s holds revision %d after %v, want %d: %+v", n.cfg.Name, last, limit, revision, n.Status())
		}
	}
}

// await polls a condition that has no event of its own.
func await(t testing.TB, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// count returns how many members a node holds in a state.
func (n *node) count(state string) int {
	total := 0
	for _, m := range n.Members() {
		if m.State.String() == state {
			total++
		}
	}
	return total
}

func record(revision int64, body string) Record {
	return Record{Environment: testEnvironment, Revision: revision, Digest: docsync.DigestOf([]byte(body)), Body: []byte(body)}
}

// replace kills a node and returns a new listener at its address.
func (n *node) replace(t testing.TB) net.Listener {
	n.kill()
	l, err := net.Listen("tcp", n.cfg.Address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}
