package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// MaxReplyBytes bounds the reply to a call other than a chat.
	MaxReplyBytes = 1 << 20
	// dialTimeout bounds a connect; a loopback or site link needs far less.
	dialTimeout = 1 * time.Second
	// maxIdleConnsPerEngine is how many idle connections are kept to one engine: its
	// slots, so that a full engine's streams need no new connects.
	maxIdleConnsPerEngine = 128
	idleTimeout           = 30 * time.Second
)

// headerIdempotencyKey marks a request for net/http as safe to repeat.
const headerIdempotencyKey = "X-Idempotency-Key"

// retryPolicy says whether a call may be sent again after a broken connection.
type retryPolicy bool

const (
	// neverResend is for chats: a second one would take a second slot.
	neverResend retryPolicy = false
	// resendOnBrokenConn is for calls that do the same when they come twice.
	resendOnBrokenConn retryPolicy = true
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client; transport nil means one of its own.
func New(transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerEngine,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// CloseIdle closes connections that no call uses.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Open sends a chat request to the first engine of its chain and returns the
// stream of its answer once the engine has accepted. ctx ends the stream too.
func (c *Client) Open(ctx context.Context, address string, chat engineapi.ChatRequest) (*Stream, error) {
	chat.Stream = true
	resp, err := c.send(ctx, http.MethodPost, address, engineapi.PathChat, chat, neverResend)
	if err != nil {
		return nil, err
	}
	return newStream(address, resp.Body), nil
}

// Load asks an engine for its load.
func (c *Client) Load(ctx context.Context, address string) (engineapi.Load, error) {
	var load engineapi.Load
	return load, c.call(ctx, http.MethodGet, address, engineapi.PathLoad, nil, &load)
}

// Holding asks an engine what it holds.
func (c *Client) Holding(ctx context.Context, address string) (engineapi.Report, error) {
	var holding engineapi.Report
	return holding, c.call(ctx, http.MethodGet, address, engineapi.PathHolding, nil, &holding)
}

// ProbeChain asks the first engine of a chain whether the stages behind it answer over
// the links that activations take, and returns what each of them holds.
// Status(err) is 404 or 405 from engines that don't know the call.
func (c *Client) ProbeChain(ctx context.Context, chain []engineapi.Stage) ([]engineapi.Report, error) {
	var reply engineapi.WayReply
	req := engineapi.WayRequest{Chain: chain}
	err := c.call(ctx, http.MethodPost, chain[0].Address, engineapi.PathWay, req, &reply)
	return reply.Holdings, err
}

// Order tells an engine what to hold. Status(err) is 409 if the engine has
// taken a later placement version.
func (c *Client) Order(ctx context.Context, address string, order engineapi.Order) error {
	return c.call(ctx, http.MethodPost, address, engineapi.PathOrders, order, nil)
}

// OrderAdapters tells an engine which adapters to hold. Status(err) is 409 if the
// engine has taken a later version.
func (c *Client) OrderAdapters(ctx context.Context, address string, order engineapi.AdapterOrder) error {
	return c.call(ctx, http.MethodPost, address, engineapi.PathAdapters, order, nil)
}

// Cancel ends a stream's epochs up to the given one; zero ends all.
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

// CacheEvents asks for the cache events after a sequence number. Gaps in the
// sequence mean that events were lost.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (engineapi.CachePage, error) {
	var page engineapi.CachePage
	path := engineapi.PathEvents + "?after=" + strconv.FormatUint(after, 10)
	return page, c.call(ctx, http.MethodGet, address, path, nil, &page)
}

// call sends body, if any, and reads the reply into reply, if any.
func (c *Client) call(ctx context.Context, method, address, path string, body, reply any) error {
	resp, err := c.send(ctx, method, address, path, body, resendOnBrokenConn)
	if err != nil {
		return err
	}
	defer drainAndClose(resp.Body)
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxReplyBytes)).Decode(reply); err != nil {
		return sendError(address, StateUnknown, 0, err)
	}
	return nil
}

// send returns the response if its status says that the call was accepted.
func (c *Client) send(ctx context.Context, method, address, path string, body any, policy retryPolicy) (*http.Response, error) {
	// A request that was never given a connection cannot have reached the
	// engine, whatever the error reads like: that is the proof of "not run".
	var connsUsed atomic.Int32
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connsUsed.Add(1) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, address, path, body)
	if err != nil {
		return nil, sendError(address, StateNotRun, 0, err)
	}
	if policy == resendOnBrokenConn {
		// Lets the transport repeat the call on a new connection if a kept one
		// turns out to be broken. After a link was cut all kept connections
		// are, and the cancel or export that follows the cut would be lost.
		// The header itself is not sent while it has no value.
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
	defer drainAndClose(resp.Body)
	return nil, sendError(address, stateAfterRefusal(resp, connsUsed.Load()), resp.StatusCode, nil)
}

// stateAfterRefusal trusts the engine's own statement that it did nothing, unless the
// transport has sent the call before on a connection that broke: a refusal of
// the second try says nothing of the first.
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
	// A tenth of a poll's bytes, which no engine reads.
	req.Header.Set("User-Agent", "")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func sendError(address string, state State, status int, cause error) error {
	return Error.Wrap(&SendError{Endpoint: address, State: state, Status: status, Cause: cause})
}

// drainAndClose reads what little may be left, so that the connection is kept.
func drainAndClose(body io.ReadCloser) {
	io.CopyN(io.Discard, body, MaxReplyBytes)
	body.Close()
}
