package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/httpanswer"
)

const (
	// MaxReplyBytes bounds the size of a reply, except that of a chat request, which is
	// a stream.
	MaxReplyBytes = 1 << 20
	// dialTimeout bounds the time to connect. Connections over loopback or within a
	// site take far less.
	dialTimeout = 1 * time.Second
	// maxIdleConnsPerEngine bounds the idle connections kept to one engine. The
	// limit is set to the number of slots of an engine, so that the streams of an
	// engine with no free slot need no new connections.
	maxIdleConnsPerEngine = 128
	idleTimeout           = 30 * time.Second
)

// headerIdempotencyKey tells net/http that a request may be sent twice.
const headerIdempotencyKey = "X-Idempotency-Key"

// retryPolicy says whether the transport may send a call again after its connection broke.
type retryPolicy bool

const (
	// neverResend is for chat requests, because a second request would take a second slot.
	neverResend retryPolicy = false
	// resendOnBrokenConn is for idempotent calls.
	resendOnBrokenConn retryPolicy = true
)

// Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client. If transport is nil, the client creates its own.
func New(transport http.RoundTripper) *Client {
	if transport == nil {
		transport = newTransport((&net.Dialer{Timeout: dialTimeout}).DialContext)
	}
	return newClient(transport, nil)
}

func newClient(transport http.RoundTripper, onFault httpanswer.OnFault) *Client {
	return &Client{http: &http.Client{Transport: httpanswer.Checked(transport, onFault)}}
}

// NewObserved returns a client that calls onDial with the result of each attempt to open a
// connection, unless the caller ended the attempt, and onFault for answers that are none.
func NewObserved(onDial func(address string, connected bool), onFault httpanswer.OnFault) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return newClient(newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil || ctx.Err() == nil {
			onDial(address, err == nil)
		}
		return conn, err
	}), onFault)
}

func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// An engine in trouble may send headers without end.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// maxHeadBytes bounds the head of an engine's answer.
const maxHeadBytes = 64 << 10

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Open sends a chat request to the first engine of its chain. It returns the stream
// of the answer once the engine has accepted the request. When ctx ends, the stream
// ends too.
func (c *Client) Open(ctx context.Context, address string, chat engineapi.ChatRequest) (*Stream, error) {
	chat.Stream = true
	resp, err := c.send(ctx, http.MethodPost, address, engineapi.PathChat, chat, neverResend)
	if err != nil {
		return nil, err
	}
	return newStream(address, resp.Body), nil
}

// Load returns the load that an engine reports.
func (c *Client) Load(ctx context.Context, address string) (engineapi.Load, error) {
	var load engineapi.Load
	return load, c.call(ctx, http.MethodGet, address, engineapi.PathLoad, nil, &load)
}

// HoldingReport returns an engine's report of the layers and adapters that it holds.
func (c *Client) HoldingReport(ctx context.Context, address string) (engineapi.Report, error) {
	var holding engineapi.Report
	return holding, c.call(ctx, http.MethodGet, address, engineapi.PathHolding, nil, &holding)
}

// ProbeChain asks the first engine of a chain to check that the later stages answer
// over the links that carry activations. It returns the report of each stage.
// HTTPStatus(err) is 404 or 405 if the engine doesn't support the call.
func (c *Client) ProbeChain(ctx context.Context, chain []engineapi.Stage) ([]engineapi.Report, error) {
	var reply engineapi.WayReply
	req := engineapi.WayRequest{Chain: chain}
	err := c.call(ctx, http.MethodPost, chain[0].Address, engineapi.PathWay, req, &reply)
	return reply.Holdings, err
}

// Order tells an engine which layers to hold. HTTPStatus(err) is 409 if the engine has
// accepted an order with a later placement version.
func (c *Client) Order(ctx context.Context, address string, order engineapi.Order) error {
	return c.call(ctx, http.MethodPost, address, engineapi.PathOrders, order, nil)
}

// OrderAdapters tells an engine which adapters to hold. HTTPStatus(err) is 409 if the
// engine has accepted an order with a later version.
func (c *Client) OrderAdapters(ctx context.Context, address string, order engineapi.AdapterOrder) error {
	return c.call(ctx, http.MethodPost, address, engineapi.PathAdapters, order, nil)
}

// Cancel ends the epochs of a stream up to the given epoch. Zero ends all epochs.
func (c *Client) Cancel(ctx context.Context, address, stream string, epoch uint32) error {
	req := engineapi.CancelRequest{Stream: stream, Epoch: epoch}
	return c.call(ctx, http.MethodPost, address, engineapi.PathCancel, req, nil)
}

// Export asks the first engine of a chain to export a stream's KV cache.
func (c *Client) Export(ctx context.Context, address, stream string) (engineapi.KVReply, error) {
	var reply engineapi.KVReply
	req := engineapi.KVRequest{Stream: stream}
	return reply, c.call(ctx, http.MethodPost, address, engineapi.PathExport, req, &reply)
}

// CacheEvents returns an engine's cache events after a sequence number. A gap in the
// sequence means that events were lost.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (engineapi.CachePage, error) {
	var page engineapi.CachePage
	path := engineapi.PathEvents + "?after=" + strconv.FormatUint(after, 10)
	return page, c.call(ctx, http.MethodGet, address, path, nil, &page)
}

// call sends body unless it is nil, and decodes the response into reply unless reply
// is nil.
func (c *Client) call(ctx context.Context, method, address, path string, body, reply any) error {
	resp, err := c.send(ctx, method, address, path, body, resendOnBrokenConn)
	if err != nil {
		return err
	}
	if reply != nil {
		err = decodeReply(resp.Body, reply)
	}
	if end := drainAndClose(resp.Body); err == nil && httpanswer.IsFault(end) {
		err = end
	}
	if err != nil {
		return sendError(address, StateUnknown, 0, err)
	}
	return nil
}

// decodeReply decodes a reply, which is exactly one JSON object. Without the check for more, the first
// value of two answers would be taken for the reply, and null for one whose figures are all zero.
func decodeReply(body io.Reader, reply any) error {
	data, err := io.ReadAll(io.LimitReader(body, MaxReplyBytes+1))
	if err != nil {
		return errors.Join(ErrTruncated, err)
	}
	switch {
	case len(data) > MaxReplyBytes:
		return violates(ReasonTooLong, data)
	case !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")):
		return violates(ReasonJSON, data)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		violation := violates(ReasonJSON, data)
		violation.Cause = err
		return violation
	}
	return nil
}

// send sends a request and returns the response if its status is 2xx.
func (c *Client) send(ctx context.Context, method, address, path string, body any, policy retryPolicy) (*http.Response, error) {
	// A request that never got a connection cannot have reached the engine,
	// whatever the error is. The engine therefore did not run the request.
	var connsUsed atomic.Int32
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connsUsed.Add(1) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, address, path, body)
	if err != nil {
		return nil, sendError(address, StateNotRun, 0, err)
	}
	if policy == resendOnBrokenConn {
		// The header lets the transport send the call again on a new connection
		// if an idle connection turns out to be broken. After a network cut all
		// idle connections are broken, and the cancel or export call that follows
		// the cut would be lost. A header without a value is not sent.
		req.Header[headerIdempotencyKey] = nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		state := StateNotRun
		if connsUsed.Load() > 0 {
			state = StateUnknown
		}
		return nil, sendError(address, state, 0, err)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	if err := drainAndClose(resp.Body); httpanswer.IsFault(err) {
		return nil, sendError(address, StateUnknown, 0, err)
	}
	return nil, Error.Wrap(&SendError{
		Endpoint: address, State: stateAfterRefusal(resp, connsUsed.Load()), HTTPStatus: resp.StatusCode,
		Pushback: headers.ParsePushback(resp.StatusCode, resp.Header),
	})
}

// stateAfterRefusal returns StateNotRun if the engine says that it did not run the
// call, in an answer that is one. If the transport had already sent the call on a connection that broke, the
// state is StateUnknown, because a refusal of the second attempt says nothing about the
// first attempt.
func stateAfterRefusal(resp *http.Response, connsUsed int32) State {
	if resp.Header.Get(engineapi.HeaderNotRun) == "1" && connsUsed == 1 {
		return StateNotRun
	}
	return StateUnknown
}

func newRequest(ctx context.Context, method, address, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, err
	}
	// The default User-Agent is a tenth of the bytes of a poll, and no engine reads it.
	req.Header.Set("User-Agent", "")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func sendError(address string, state State, status int, cause error) error {
	return Error.Wrap(&SendError{Endpoint: address, State: state, HTTPStatus: status, Cause: cause})
}

// drainAndClose reads the rest of a body before it closes the body, so that the
// connection can be reused. The error is why the body has not ended.
func drainAndClose(body io.ReadCloser) error {
	defer body.Close()
	_, err := io.CopyN(io.Discard, body, MaxReplyBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
