package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// Request is a request to one endpoint.
type Request struct {
	// Address is the endpoint's IP address and port.
	Address string
	Method  string
	// Target is the HTTP request target: the URL path and query, as the caller sent them.
	Target string
	// Host is the value of the Host header.
	Host   string
	Header http.Header
	Body   []byte
	// NewConn requests a new connection. A new connection can't carry the answer to an earlier
	// request. If it closes before an answer, the close can't concern an earlier request.
	NewConn bool
	// MaxConns bounds this node's connections to the endpoint; zero for no bound.
	MaxConns int
	// Matches reports whether the head of an answer belongs to this request.
	Matches func(h http.Header) bool
	// HeadTimeout bounds the time to send the request and to receive the head of its answer.
	HeadTimeout time.Duration
}

// Failure is the error of a request without a complete answer.
type Failure struct {
	Address string
	// NotSent is set if no byte of the request can have reached the endpoint.
	NotSent bool
	// Unreachable is set if no connection could be opened.
	Unreachable bool
	// AtConnLimit is set if this node already has MaxConns connections open.
	AtConnLimit bool
	// TimedOut is set if the endpoint did not answer in time.
	TimedOut bool
	Cause    error
}

// Error returns the endpoint, whether the request was sent, and the cause.
func (f *Failure) Error() string {
	state := "may have run"
	if f.NotSent {
		state = "not sent"
	}
	return fmt.Sprintf("%s (%s): %v", f.Address, state, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// RefusalFailure classifies the refusal of an endpoint that did no work on the request. Status
// 429 counts as health.Overloaded: it asks for less load, so the request must not be sent to
// another endpoint at once. Any other status counts as health.Unreachable: this endpoint can't
// serve the request, for example because an engine can't reach the next stage. Other endpoints
// can serve the request, and a caller that was told to retry later would wait without need.
func RefusalFailure(status int) health.Failure {
	if status == http.StatusTooManyRequests {
		return health.Overloaded
	}
	return health.Unreachable
}

const (
	// maxStrayAnswers bounds how many stray answers are skipped while a request waits for its
	// own answer. A stray answer is an answer to another request. An endpoint that answers a
	// request twice leaves one stray answer.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of one stray answer.
	maxStrayBytes = 64 << 10
)

// Exchange is one request on a connection, with its answer.
type Exchange struct {
	*http.Response
	pool       *Pool
	address    string
	conn       *conn
	stopCancel func() bool
	// writeEnded is closed when the write of the request has ended, with writeErr.
	writeEnded   chan struct{}
	writeErr     error
	bodyComplete bool // the body was read to its end
	closed       bool
}

// Send sends the request and waits for the head of its answer. Every error is a *Failure. If
// ctx ends while a connection is being opened, the failure's cause is the error of ctx. If ctx
// ends later, the connection is closed. Endpoints take this as a cancellation of the request.
func (p *Pool) Send(ctx context.Context, r Request) (*Exchange, error) {
	c, err := p.get(ctx, r.Address, r.NewConn, r.MaxConns)
	if err != nil {
		return nil, err
	}
	e := &Exchange{pool: p, address: r.Address, conn: c, writeEnded: make(chan struct{})}
	e.stopCancel = context.AfterFunc(ctx, func() { p.discard(r.Address, c) })
	if err := e.roundTrip(r); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Exchange) roundTrip(r Request) error {
	if err := e.conn.SetDeadline(e.pool.now().Add(r.HeadTimeout)); err != nil {
		return &Failure{Address: r.Address, NotSent: true, Cause: Error.Wrap(err)}
	}
	if err := e.write(r); err != nil {
		return err
	}
	response, err := e.readHead(r)
	if err != nil {
		return e.pool.failure(r.Address, err)
	}
	e.Response = response
	return nil
}

// readHead reads the heads of answers until one of them belongs to the request. Stray answers
// come from endpoints that answer twice, and must not reach this caller.
func (e *Exchange) readHead(r Request) (*http.Response, error) {
	e.conn.head.limit()
	defer e.conn.head.lift()
	for strays := 0; ; {
		response, err := httpanswer.Read(e.conn.reader, r.Method, e.endWrite)
		if err != nil {
			return nil, err
		}
		dropConnectionHeaders(response.Header)
		if r.Matches == nil || r.Matches(response.Header) {
			return response, nil
		}
		strays++
		if strays > maxStrayAnswers || response.Close {
			return nil, errors.New("the answer belongs to another request")
		}
		e.conn.head.lift()
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil || n == maxStrayBytes {
			return nil, errors.New("the answer belongs to another request and is too long or incomplete")
		}
		e.conn.head.limit()
	}
}

// dropConnectionHeaders removes the headers that Connection names. They concern this connection alone and are
// not passed on, so that an answer must not be judged by them. Keep-Alive is of use here.
func dropConnectionHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			if name = strings.TrimSpace(name); !strings.EqualFold(name, "Keep-Alive") {
				h.Del(name)
			}
		}
	}
}

// KeepAlive ends the exchange and returns its connection to the pool, if the answer was read to
// its end and no further bytes have been received. keepFor is how long the endpoint keeps the
// connection open while it is idle. Close must still be called.
func (e *Exchange) KeepAlive(keepFor time.Duration) {
	if e.closed || !e.bodyComplete || e.Response.Close || !e.hasWritten() || e.conn.reader.Buffered() > 0 {
		return
	}
	if !e.stopCancel() {
		return // the context has ended and closes the connection
	}
	e.closed = true
	e.pool.putIdle(e.address, e.conn, keepFor)
}

// Close ends the exchange and closes its connection, unless KeepAlive returned it to the pool.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	e.stopCancel()
	e.pool.discard(e.address, e.conn)
}
