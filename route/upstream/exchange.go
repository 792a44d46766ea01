package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
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
	// maxInlineWriteBytes is the body length up to which a request is written before its answer
	// is read. Such a body fits the socket's send buffer, so the write does not block. The write
	// of a longer body would block if the endpoint answered before reading the request.
	maxInlineWriteBytes = 8 << 10
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

// write sends the request. The body of a long request is written in the background.
func (e *Exchange) write(r Request) error {
	head := encodeHead(r)
	if len(r.Body) <= maxInlineWriteBytes {
		return e.writeAll(r, append(head, r.Body...))
	}
	// An endpoint that has answered may stop reading, and the write then fails. The connection is not
	// reused then, and an answer that ends with it is not whole.
	go func() { _ = e.writeAll(r, append(head, r.Body...)) }()
	return nil
}

func (e *Exchange) writeAll(r Request, data []byte) error {
	n, err := e.conn.Write(data)
	e.writeErr = err
	close(e.writeEnded)
	if err != nil {
		return &Failure{Address: r.Address, NotSent: n == 0, Cause: Error.Wrap(err)}
	}
	return nil
}

// written closes the connection, so that a write that is under way ends, and reports whether the request was
// written to its end.
func (e *Exchange) written() bool {
	e.pool.discard(e.address, e.conn)
	<-e.writeEnded
	return e.writeErr == nil
}

// hasWritten reports whether the request has been written to its end by now.
func (e *Exchange) hasWritten() bool {
	select {
	case <-e.writeEnded:
		return e.writeErr == nil
	default:
		return false
	}
}

// encodeHead encodes the request line and the headers. The target is sent as it was received,
// because a library that parses and formats the target may change its encoding.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writes to a bytes.Buffer don't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the heads of answers until one of them belongs to the request. Stray answers
// come from endpoints that answer twice, and must not reach this caller.
func (e *Exchange) readHead(r Request) (*http.Response, error) {
	e.conn.head.limit()
	defer e.conn.head.lift()
	for strays := 0; ; {
		response, err := httpanswer.Read(e.conn.reader, r.Method, e.written)
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

// Read reads from the body. It fails if nothing arrives within the timeout. io.EOF means that
// the answer is complete. Other errors are *Failure.
func (e *Exchange) Read(p []byte, timeout time.Duration) (int, error) {
	if err := e.conn.SetReadDeadline(e.pool.now().Add(timeout)); err != nil {
		return 0, &Failure{Address: e.address, Cause: Error.Wrap(err)}
	}
	n, err := e.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		e.bodyComplete = true
		return n, io.EOF
	}
	return n, e.pool.failure(e.address, err)
}

// EndsWithConnection reports whether the answer states neither a length nor chunks, so that the end of
// the connection is its end. Read can't tell then whether the answer is complete: a process that is
// killed closes its connections as well.
func (e *Exchange) EndsWithConnection() bool {
	return httpanswer.EndsWithConnection(e.Response)
}

// ErrTooLong is the error of ReadAll for a body of maxBytes or more.
var ErrTooLong = errors.New("the answer exceeds the buffer limit")

const (
	// firstBufferBytes and maxFirstBufferBytes bound the first buffer for a body, by the length that the
	// answer states. The buffer grows with what has been received: an endpoint may state any length.
	firstBufferBytes    = 512
	maxFirstBufferBytes = 32 << 10
)

// ReadAll reads the body to its end. It fails if the body does not end within the timeout. If
// the body has maxBytes or more, ReadAll returns the bytes read so far and ErrTooLong.
func (e *Exchange) ReadAll(maxBytes int, timeout time.Duration) ([]byte, error) {
	return e.ReadGrowing(maxBytes, timeout, func(int) error { return nil })
}

// ReadGrowing is ReadAll for a buffer that may not grow to maxBytes. grow is called with the size of each
// larger buffer. If it fails, ReadGrowing returns the bytes read so far and its error.
func (e *Exchange) ReadGrowing(maxBytes int, timeout time.Duration, grow func(bytes int) error) ([]byte, error) {
	deadline := e.pool.now().Add(timeout)
	stated := min(e.ContentLength, maxFirstBufferBytes) + 1 // with room to see the end
	body := make([]byte, 0, min(max(firstBufferBytes, int(stated)), maxBytes))
	for {
		if len(body) >= maxBytes {
			return body, ErrTooLong
		}
		if len(body) == cap(body) {
			size := min(2*cap(body), maxBytes)
			if err := grow(size); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := e.Read(body[len(body):cap(body)], deadline.Sub(e.pool.now()))
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Discard reads the body to its end without keeping it, so that the connection can be reused. It fails if
// the body has maxBytes or more, or does not end within the timeout.
func (e *Exchange) Discard(maxBytes int, timeout time.Duration) error {
	deadline := e.pool.now().Add(timeout)
	var buffer [firstBufferBytes]byte
	for read := 0; read < maxBytes; {
		n, err := e.Read(buffer[:], deadline.Sub(e.pool.now()))
		read += n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return ErrTooLong
}

// MoreReceived reports whether bytes have been received behind the answer, which was read to its end.
func (e *Exchange) MoreReceived() bool { return e.bodyComplete && e.conn.received() }

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
