// Package send sends one request to an endpoint of a plain service, once, and
// says of a failure whether the endpoint provably did nothing.
//
//	response, err := sender.Do(ctx, send.Request{Address: a, Method: "POST", Path: "/orders", Body: b, Once: true})
//	if send.NotRun(err) { ... } // may be sent elsewhere, even an order
//
// The failure it answers: the standard library's transport sends a request
// again by itself if a kept connection breaks before the first byte of the
// answer, and takes the header Idempotency-Key as leave to do so for POST. An
// endpoint that does not check keys would then place the order twice. Requests
// marked Once therefore go over a connection of their own, which the transport
// never retries, and carry a body that it can't rewind.
package send

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/keep/engineapi"
)

// Error is the class of this layer's errors.
var Error = errs.Class("send")

const (
	// dialTimeout is far above the round trip between failure domains of a
	// region, and short enough to try another endpoint within a second.
	dialTimeout = 500 * time.Millisecond
	// keptPerEndpoint holds a node's usual concurrency towards one endpoint.
	keptPerEndpoint = 32
	idleTimeout     = 60 * time.Second
)

// Request is one call of an endpoint.
type Request struct {
	Address string
	Method  string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Once forbids the transport to send the request a second time by itself.
	Once bool
}

// Failure is the error of a request without an answer.
type Failure struct {
	Address string
	// ProvedNotRun is set if no byte of the request can have reached the
	// endpoint.
	ProvedNotRun bool
	Cause        error
}

// Error names the endpoint, what is known, and the cause.
func (f *Failure) Error() string {
	state := "may have run"
	if f.ProvedNotRun {
		state = "not run"
	}
	return fmt.Sprintf("%s (%s): %v", f.Address, state, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// NotRun says whether err proves that the endpoint did nothing.
func NotRun(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.ProvedNotRun
}

// Refused says whether an answer is the endpoint's own refusal before work.
func Refused(r *http.Response) bool {
	return r.Header.Get(engineapi.HeaderNotRun) != ""
}

// RefusalFailure says what an endpoint's own refusal before work means. Only
// 429 is a plea for less load, which must not be answered by sending the call
// elsewhere at once. Any other refusal says that this endpoint can't serve, such
// as an engine whose next stage is gone; others can, and a caller who were told
// to come back later would wait for nothing.
func RefusalFailure(status int) health.Failure {
	if status == http.StatusTooManyRequests {
		return health.Overloaded
	}
	return health.Unreachable
}

// Sender holds the connections. Safe for concurrent use.
type Sender struct {
	kept *http.Transport
	once *http.Transport
}

// New returns a Sender without connections.
func New() *Sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Sender{
		kept: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: keptPerEndpoint,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		once: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// Close ends the idle connections.
func (s *Sender) Close() {
	s.kept.CloseIdleConnections()
}

// Do sends r and returns the answer, whose body the caller closes. Any error is
// a *Failure in the class Error.
func (s *Sender) Do(ctx context.Context, r Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := build(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, Error.Wrap(&Failure{Address: r.Address, ProvedNotRun: true, Cause: err})
	}
	transport := s.kept
	if r.Once {
		transport = s.once
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, Error.Wrap(&Failure{Address: r.Address, ProvedNotRun: !connected.Load() && dialFailed(err), Cause: err})
	}
	return response, nil
}

func build(ctx context.Context, r Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	request.Header = r.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if r.Once {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.GetBody = nil
	}
	return request, nil
}

// dialFailed says whether the last connection did not come about. That alone
// proves nothing: the transport sends a repeatable request again by itself if a
// kept connection breaks, and then this is only how its second try ended, while
// the first may have been read and run. So Do also asks that the request was
// never given a connection.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
