package send

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fickle is an endpoint that answers the first call, keeps the connection, and
// reads every order without answering it: it closes the connection instead.
type fickle struct {
	listener net.Listener
	orders   atomic.Int64
	// dies makes the first order the endpoint's last call: its address refuses
	// from then on.
	dies bool
}

func startFickle(t *testing.T) *fickle {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fickle{listener: l}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.accept()
	}()
	t.Cleanup(func() {
		l.Close()
		<-ended
	})
	return f
}

func (f *fickle) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

func (f *fickle) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.Method == http.MethodPost {
			f.orders.Add(1)
			if f.dies {
				f.listener.Close()
			}
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// warm leaves a kept connection to the endpoint.
func (f *fickle) warm(t *testing.T, s *Sender) {
	response, err := s.Do(context.Background(), Request{Address: f.address(), Method: http.MethodGet, Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
}

func (f *fickle) address() string { return f.listener.Addr().String() }

// The caller sees "unknown" and a second bag of flour on its bill: the endpoint
// reads an order on a kept connection and closes it without an answer, and the
// standard transport, for which Idempotency-Key is leave to do so, sends the
// order again by itself. A request marked Once never reaches it twice, because
// it has a connection of its own and a body that can't be rewound.
func TestOrderOnABrokenConnectionArrivesOnce(t *testing.T) {
	f := startFickle(t)
	s := New()
	defer s.Close()
	f.warm(t, s)
	_, err := s.Do(context.Background(), Request{
		Address: f.address(),
		Method:  http.MethodPost,
		Path:    "/orders",
		Header:  http.Header{"Idempotency-Key": {"tuesday"}},
		Body:    []byte("flour"),
		Once:    true,
	})
	if err == nil || NotRun(err) {
		t.Errorf("got %v, want an error that does not claim not run", err)
	}
	if n := f.orders.Load(); n != 1 {
		t.Errorf("the order arrived %d times", n)
	}
}

// The caller must not be told "not run": an endpoint reads a repeatable call on
// a kept connection, does its work and dies. The transport sends the call again
// by itself, and that second try ends in a refused dial, which alone would
// prove that nothing ran. The first one did.
func TestRefusedSecondTryProvesNothing(t *testing.T) {
	f := startFickle(t)
	f.dies = true
	s := New()
	defer s.Close()
	f.warm(t, s)
	_, err := s.Do(context.Background(), Request{
		Address: f.address(),
		Method:  http.MethodPost,
		Path:    "/notes",
		Header:  http.Header{"Idempotency-Key": {"tuesday"}},
		Body:    []byte("flour"),
	})
	if err == nil || NotRun(err) {
		t.Errorf("after %d arrived: got %v, which must not claim not run", f.orders.Load(), err)
	}
}

// The caller is told "not run" only where no byte can have left: the dial
// failed, or the request could not be built. An endpoint that took the
// connection may have done the work, whatever follows.
func TestWhatAFailureProves(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	short, end := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer end()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // its backlog takes the call, nobody answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	cases := []struct {
		name   string
		ctx    context.Context
		r      Request
		notRun bool
	}{
		{"refused", context.Background(), Request{Address: closed.Addr().String(), Method: http.MethodPost, Path: "/"}, true},
		{"not a method", context.Background(), Request{Address: closed.Addr().String(), Method: "P T", Path: "/"}, true},
		{"read and closed", context.Background(), Request{Address: startFickle(t).address(), Method: http.MethodPost, Path: "/", Once: true}, false},
		{"taken and silent", short, Request{Address: silent.Addr().String(), Method: http.MethodPost, Path: "/", Once: true}, false},
		{"the caller had gone before", gone, Request{Address: silent.Addr().String(), Method: http.MethodPost, Path: "/", Once: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			defer s.Close()
			if _, err := s.Do(c.ctx, c.r); err == nil || NotRun(err) != c.notRun {
				t.Errorf("got %v with not run %t, want %t", err, NotRun(err), c.notRun)
			}
		})
	}
}
