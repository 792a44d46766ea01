package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of Config.
const (
	DefaultCallTimeout   = 2 * time.Second
	DefaultReadAttempts  = 4
	DefaultBackoff       = 20 * time.Millisecond
	DefaultMaxBackoff    = time.Second
	DefaultCallsPerSec   = 100
	DefaultBurst         = 200
	DefaultInFlight      = 64
	DefaultWatchLifetime = time.Minute
)

// maxAnswerBytes bounds one answer: a page of a list, base64 included.
const maxAnswerBytes = 64 << 20

// listPage is how many keys one call of a list asks for.
const listPage = 500

// Config holds the settings of an HTTP store client. Zero values take the
// defaults above.
type Config struct {
	// Address is the store's IP number and port.
	Address string
	// CallTimeout is the longest that one call may take, connecting included.
	CallTimeout time.Duration
	// ReadAttempts is how often a read is tried in all. Writes are sent once.
	ReadAttempts int
	// Backoff is the mean pause before a read's second attempt; it doubles up
	// to MaxBackoff and is jittered by half either way.
	Backoff, MaxBackoff time.Duration
	// CallsPerSecond and Burst are this node's share of what the store serves;
	// a call beyond it waits at most CallTimeout and then fails with ErrBudget.
	CallsPerSecond float64
	Burst          int
	// InFlight bounds the calls that wait for answers at once, watches
	// included.
	InFlight int
	// WatchLifetime is how long one connection of a watch is trusted. A store
	// that froze without closing the connection keeps a watch waiting forever,
	// with changes passing unseen; renewing it bounds that time.
	WatchLifetime time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.ReadAttempts, DefaultReadAttempts)
	setDefault(&c.Backoff, DefaultBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.CallsPerSecond, DefaultCallsPerSec)
	setDefault(&c.Burst, DefaultBurst)
	setDefault(&c.InFlight, DefaultInFlight)
	setDefault(&c.WatchLifetime, DefaultWatchLifetime)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// HTTP is a Store over the JSON gateway. It is safe for use by several
// goroutines.
type HTTP struct {
	config Config
	base   string
	client *http.Client
	budget *rate.Limiter
	shares shares
	slots  chan struct{}
	calls  atomic.Int64
}

var _ Store = (*HTTP)(nil)

// New returns a client; it connects at the first call.
func New(config Config) (*HTTP, error) {
	if _, err := netip.ParseAddrPort(config.Address); err != nil {
		return nil, Error.New("address %q is not an IP number and port: %v", config.Address, err)
	}
	config = config.withDefaults()
	dialer := &net.Dialer{Timeout: config.CallTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: config.InFlight,
		IdleConnTimeout:     time.Minute,
	}
	return &HTTP{
		config: config,
		base:   "http://" + config.Address,
		client: &http.Client{Transport: transport},
		budget: rate.NewLimiter(rate.Limit(config.CallsPerSecond), config.Burst),
		shares: newShares(),
		slots:  make(chan struct{}, config.InFlight),
	}, nil
}

// Close drops idle connections. Calls underway end by their own contexts.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Calls returns how many calls were sent to the store.
func (h *HTTP) Calls() int64 { return h.calls.Load() }

// Get implements Reader.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	var answer RangeResponse
	if err := h.read(ctx, PathRange, RangeRequest{Key: []byte(key)}, &answer); err != nil {
		return Entry{}, err
	}
	if len(answer.KVs) == 0 {
		return Entry{Key: key}, nil
	}
	return answer.KVs[0].entry(), nil
}

// List implements Reader. Long lists take several calls, and entries that
// change meanwhile may be of different ages.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Entry, error) {
	entries, _, err := h.Changed(ctx, prefix, 0)
	return entries, err
}

// Changed implements ChangeReader.
func (h *HTTP) Changed(ctx context.Context, prefix string, since int64) ([]Entry, int64, error) {
	var entries []Entry
	var revision int64
	request := RangeRequest{Key: []byte(prefix), RangeEnd: []byte(PrefixEnd(prefix)), Limit: listPage}
	if since > 0 {
		request.MinModRevision = since + 1
	}
	for {
		var answer RangeResponse
		if err := h.read(ctx, PathRange, request, &answer); err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = answer.Header.Revision
		}
		for _, kv := range answer.KVs {
			entries = append(entries, kv.entry())
		}
		if !answer.More || len(answer.KVs) == 0 {
			return entries, revision, nil
		}
		last := answer.KVs[len(answer.KVs)-1].Key
		request.Key = append(bytes.Clone(last), 0)
	}
}

// CompareAndSwap implements Swapper.
func (h *HTTP) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, Error.Wrap(fmt.Errorf("%w: %s, %d bytes", ErrTooLarge, key, len(value)))
	}
	request := TxnRequest{
		Compare: []Compare{{Key: []byte(key), Target: TargetMod, Result: ResultEqual, ModRevision: revision}},
		Success: []RequestOp{{Put: &PutRequest{Key: []byte(key), Value: value}}},
	}
	var answer TxnResponse
	if err := h.write(ctx, PathTxn, request, &answer); err != nil {
		return 0, err
	}
	if !answer.Succeeded {
		return 0, Error.Wrap(fmt.Errorf("%w: %s is no longer at %d", ErrConflict, key, revision))
	}
	return answer.Header.Revision, nil
}

// Grant implements Leaser. Terms are whole seconds, rounded up.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var answer LeaseResponse
	if err := h.write(ctx, PathGrant, LeaseRequest{TTL: seconds}, &answer); err != nil {
		return 0, err
	}
	return LeaseID(answer.ID), nil
}

// KeepAlive implements Leaser; it returns the time left.
func (h *HTTP) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var answer KeepAliveResponse
	if err := h.read(ctx, PathKeepAlive, LeaseRequest{ID: int64(id)}, &answer); err != nil {
		return 0, err
	}
	if answer.Result.TTL <= 0 {
		return 0, Error.Wrap(ErrLeaseGone)
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// Revoke implements Leaser; revoking a lease that is gone succeeds.
func (h *HTTP) Revoke(ctx context.Context, id LeaseID) error {
	err := h.write(ctx, PathRevoke, LeaseRequest{ID: int64(id)}, &LeaseResponse{})
	if errors.Is(err, ErrLeaseGone) {
		return nil
	}
	return err
}

// PutLeased implements Leaser.
func (h *HTTP) PutLeased(ctx context.Context, key string, value []byte, id LeaseID) error {
	if len(value) > MaxValueBytes {
		return Error.Wrap(fmt.Errorf("%w: %s, %d bytes", ErrTooLarge, key, len(value)))
	}
	put := &PutRequest{Key: []byte(key), Value: value, Lease: int64(id)}
	request := TxnRequest{Success: []RequestOp{{Put: put}}}
	return h.write(ctx, PathTxn, request, &TxnResponse{})
}

// read tries a call that may be repeated, with growing jittered pauses.
func (h *HTTP) read(ctx context.Context, path string, request, answer any) error {
	pause := h.config.Backoff
	for attempt := 1; ; attempt++ {
		err := h.call(ctx, h.shares.reads, path, request, answer)
		if err == nil || !mayRead(err) || attempt == h.config.ReadAttempts {
			return asRead(err)
		}
		if !sleep(ctx, jitter(pause)) {
			return asRead(err)
		}
		pause = min(2*pause, h.config.MaxBackoff)
	}
}

// write sends a call once. A second sending could follow a first one that
// took effect; only the caller, who reads back, can tell.
func (h *HTTP) write(ctx context.Context, path string, request, answer any) error {
	return h.call(ctx, h.shares.writes, path, request, answer)
}

func mayRead(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
}

// asRead turns a lost reply into "unavailable": a read has no effect to be in
// doubt about.
func asRead(err error) error {
	if errors.Is(err, ErrUnknown) {
		detail := strings.Replace(err.Error(), ErrUnknown.Error(), "no answer came", 1)
		return Error.Wrap(fmt.Errorf("%w: %s", ErrUnavailable, detail))
	}
	return err
}

// call sends one request of a kind's share and decodes its answer.
func (h *HTTP) call(ctx context.Context, share *rate.Limiter, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, h.config.CallTimeout)
	defer cancel()
	release, err := h.admit(ctx, share)
	if err != nil {
		return err
	}
	defer release()
	response, err := h.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrUnknown, err))
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w: %w", ErrUnknown, ErrProtocol, err))
	}
	return nil
}

// admit takes one call from its share and the budget, and a slot for its wait.
func (h *HTTP) admit(ctx context.Context, share *rate.Limiter) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: not sent: %w", ErrUnavailable, err))
	}
	if err := share.Wait(ctx); err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: this node's share: %w", ErrBudget, err))
	}
	if err := h.budget.Wait(ctx); err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrBudget, err))
	}
	select {
	case h.slots <- struct{}{}:
		h.calls.Add(1)
		return func() { <-h.slots }, nil
	case <-ctx.Done():
		return nil, Error.Wrap(fmt.Errorf("%w: %d calls wait for answers", ErrBudget, h.config.InFlight))
	}
}

// post sends a request. If no connection was got, nothing can have taken
// effect and the error is ErrUnavailable; after that every failure leaves a
// write in doubt.
func (h *HTTP) post(ctx context.Context, path string, request any) (*http.Response, error) {
	text, err := json.Marshal(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+path, bytes.NewReader(text))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(r)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
	}
	return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUnknown, err))
}

// refusal turns an error answer. Only answers given before any work prove
// that a write had no effect; a 5xx may be the gateway's own deadline, passed
// while the write went through.
func refusal(status int, body []byte) error {
	var answer ErrorResponse
	// The message is for the reader only, so a body of another form is fine.
	_ = json.Unmarshal(body, &answer)
	detail := fmt.Sprintf("status %d, %s", status, answer.Message)
	switch {
	case answer.Code == CodeNotFound:
		return Error.Wrap(fmt.Errorf("%w: %s", ErrLeaseGone, detail))
	case status == http.StatusTooManyRequests:
		return Error.Wrap(fmt.Errorf("%w: %s", ErrUnavailable, detail))
	case status >= http.StatusInternalServerError:
		return Error.Wrap(fmt.Errorf("%w: %s", ErrUnknown, detail))
	}
	return Error.Wrap(fmt.Errorf("%w: %s", ErrProtocol, detail))
}

func (kv KeyValue) entry() Entry {
	return Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// jitter spreads a pause over half to one and a half of it, so that nodes
// which failed together do not come back together.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause+1)
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
