package upstream

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
)

// notSent reports whether err proves that the endpoint read nothing.
func notSent(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.NotSent
}

// closingEndpoint is an endpoint that answers a GET request and keeps the connection open. It
// reads a POST request and closes the connection without an answer. With closesListener it also
// stops listening after the first POST request.
type closingEndpoint struct {
	listener       net.Listener
	postCount      atomic.Int64
	closesListener bool
}

func startClosingEndpoint(t *testing.T, closesListener bool) *closingEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &closingEndpoint{listener: listener, closesListener: closesListener}
	var accepting, serving sync.WaitGroup
	var open []net.Conn
	accepting.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open = append(open, conn)
			serving.Go(func() { f.serve(conn) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		accepting.Wait() // from here on no connection is added
		for _, conn := range open {
			conn.Close()
		}
		serving.Wait()
	})
	return f
}

func (f *closingEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if r.Method == http.MethodPost {
			f.postCount.Add(1)
			if f.closesListener {
				f.listener.Close()
			}
			return
		}
		respond(conn, r.Header.Get("Id"), "")
	}
}

// openKeptConn leaves an idle connection to the endpoint in the pool.
func (f *closingEndpoint) openKeptConn(t *testing.T, pool *Pool) {
	t.Helper()
	f.openConnKeptFor(t, pool, time.Minute)
}

func (f *closingEndpoint) openConnKeptFor(t *testing.T, pool *Pool, keepFor time.Duration) {
	t.Helper()
	e, err := pool.Send(context.Background(), request(f.listener.Addr().String(), "warm"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := body(e); err != nil {
		t.Fatal(err)
	}
	e.KeepAlive(keepFor)
	if pool.OpenConns() != 1 {
		t.Fatal("the connection was not kept")
	}
}

// The endpoint reads an order on a reused connection and closes the connection without an
// answer. The standard transport takes an Idempotency-Key header as permission to retry. It
// would send the order again by itself, and the caller would be billed twice. The pool sends
// the order once, on a new connection or a reused one.
func TestOrderOnABrokenConnectionArrivesOnce(t *testing.T) {
	for _, newConn := range []bool{true, false} {
		f := startClosingEndpoint(t, false)
		pool := New(time.Now)
		f.openKeptConn(t, pool)
		r := request(f.listener.Addr().String(), "a")
		r.Method, r.Body, r.NewConn = http.MethodPost, []byte("flour"), newConn
		r.Header.Set("Idempotency-Key", "tuesday")
		if _, err := pool.Send(context.Background(), r); err == nil || notSent(err) {
			t.Errorf("new connection %t: got %v, want an error that does not claim not sent", newConn, err)
		}
		if n := f.postCount.Load(); n != 1 {
			t.Errorf("new connection %t: the order arrived %d times", newConn, n)
		}
		pool.Close()
	}
}

// An endpoint reads a request on a reused connection, runs it and dies. A hidden retry would
// fail because the connection is refused. That error alone would seem to prove that nothing
// ran. The caller would then be told "not run" for a request that ran.
func TestCloseAfterReadingIsNotReportedAsNotSent(t *testing.T) {
	f := startClosingEndpoint(t, true)
	pool := New(time.Now)
	defer pool.Close()
	f.openKeptConn(t, pool)
	r := request(f.listener.Addr().String(), "a")
	r.Method, r.Body = http.MethodPost, []byte("flour")
	if _, err := pool.Send(context.Background(), r); err == nil || notSent(err) {
		t.Errorf("after %d arrived: got %v, which must not claim not sent", f.postCount.Load(), err)
	}
}

// If the caller left before the request is sent, the error says so and nothing reaches the
// endpoint.
func TestCanceledContextSendsNothing(t *testing.T) {
	f := startClosingEndpoint(t, false)
	pool := New(time.Now)
	defer pool.Close()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	r := request(f.listener.Addr().String(), "a")
	r.Method, r.NewConn = http.MethodPost, true
	if _, err := pool.Send(canceled, r); !errors.Is(err, context.Canceled) || f.postCount.Load() != 0 {
		t.Errorf("got %v; %d arrived", err, f.postCount.Load())
	}
}

// Close leaves no connection open, however long it was to be kept.
func TestCloseEndsIdleConnections(t *testing.T) {
	f := startClosingEndpoint(t, false)
	pool := New(time.Now)
	f.openKeptConn(t, pool)
	pool.Close()
	if pool.OpenConns() != 0 {
		t.Errorf("%d connections left open", pool.OpenConns())
	}
}

// Guards against connections that are neither pruned nor closed because an endpoint states that it
// keeps them for decades.
func TestIdleTimeIsBounded(t *testing.T) {
	f := startClosingEndpoint(t, false)
	for _, stated := range []time.Duration{999999999 * time.Second, math.MaxInt64} {
		now := time.Now()
		pool := New(func() time.Time { return now })
		f.openConnKeptFor(t, pool, stated)
		now = now.Add(2 * maxIdleTime)
		pool.Prune()
		if pool.OpenConns() != 0 {
			t.Errorf("%v: %d connections left open", stated, pool.OpenConns())
		}
		f.openConnKeptFor(t, pool, stated)
		pool.Close()
		if pool.OpenConns() != 0 {
			t.Errorf("%v: %d connections left open by Close", stated, pool.OpenConns())
		}
	}
}

func TestOnly429CountsAsOverload(t *testing.T) {
	for status, want := range map[int]health.Failure{429: health.Overloaded, 503: health.Unreachable, 421: health.Unreachable} {
		if got := RefusalFailure(status); got != want {
			t.Errorf("%d: %v, want %v", status, got, want)
		}
	}
}
