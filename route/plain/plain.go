// Package plain answers calls of plain services. Calls that may repeat are
// tried again where that can help; orders that may not are claimed in the
// ledger before they are sent, and then sent at most once.
package plain

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/keep/ledger"
	"github.com/cicadatack/cicadatack/route/call"
	"github.com/cicadatack/cicadatack/route/decision"
	"github.com/cicadatack/cicadatack/route/entrance"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/send"
	"github.com/cicadatack/cicadatack/route/service"
)

// Claims is the part of the ledger that orders need.
type Claims interface {
	Claim(ctx context.Context, key ledger.Key, fingerprint string) (ledger.Claim, error)
	Record(ctx context.Context, key ledger.Key, claim ledger.Claim, result ledger.Result) error
	Release(ctx context.Context, key ledger.Key, claim ledger.Claim) error
}

// Figures is told what became of calls; metrics implement it.
type Figures interface {
	Order(service, state string)
}

// Server answers plain calls. Safe for concurrent use.
type Server struct {
	Desk    *entrance.Desk
	Sender  *send.Sender
	Claims  Claims
	Figures Figures
}

const (
	// callCost is the cost of one plain call in the unit of a token. Plain
	// calls have queues of their own, so only their ratio to each other counts.
	callCost = 1
	// defaultTimeout bounds a call without a deadline of its own.
	defaultTimeout = 30 * time.Second
	// maxAnswer bounds an endpoint's answer in bytes. It is read whole before
	// any of it is passed on, so that a broken answer can still be retried.
	maxAnswer = 8 << 20
	// retryLater is what a caller is told when no endpoint could take a call:
	// about the time in which an ejected endpoint is tried again.
	retryLater = time.Second
)

// ServePlain answers one call.
func (s *Server) ServePlain(w http.ResponseWriter, r *http.Request, c *call.Call, path string, body []byte) {
	visit, refusal := s.Desk.Visit(c)
	if refusal != nil {
		visit.Refuse(w, refusal)
		return
	}
	e := &exchange{
		Visit:   visit,
		server:  s,
		request: send.Request{Method: r.Method, Path: withQuery(path, r), Header: forwarded(r.Header), Body: body},
		key:     r.Header.Get(outcome.HeaderOrderKey),
	}
	pass, err := e.Enter(r.Context(), callCost)
	if err != nil {
		e.NotEntered(w, err)
		return
	}
	defer pass.Leave(callCost)
	e.dispatch(w, r)
}

func withQuery(path string, r *http.Request) string {
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

// exchange is one call underway.
type exchange struct {
	*entrance.Visit
	server  *Server
	request send.Request
	key     string
}

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (e *exchange) dispatch(w http.ResponseWriter, r *http.Request) {
	if e.Class != admission.Order {
		ctx, cancel := e.bounded(r.Context())
		defer cancel()
		e.finish(w)(e.repeatable(ctx))
		return
	}
	// A caller who leaves does not take an order back: it may be with the
	// endpoint already, and its result has to reach the ledger.
	ctx, cancel := e.bounded(context.WithoutCancel(r.Context()))
	defer cancel()
	e.order(ctx, w)
}

func (e *exchange) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if e.Deadline.IsZero() {
		return context.WithTimeout(ctx, defaultTimeout)
	}
	return context.WithDeadline(ctx, e.Deadline)
}

// repeatable sends a call that may run more than once, to other endpoints as
// long as the retry budget allows.
func (e *exchange) repeatable(ctx context.Context) (*answer, *outcome.Refusal) {
	var tried []string
	ran := false
	for {
		a := e.attempt(ctx, tried, false)
		if a.answer != nil && !a.failure.Faulty() && a.failure != health.Overloaded {
			e.At.Retry.Success()
			return a.answer, nil
		}
		ran = ran || !a.notRun
		d := e.At.Retry.Allow(e.attemptFor(len(tried)+1, a))
		if !d.Retry || a.endpoint == "" {
			return e.giveUp(a, ran)
		}
		tried = append(tried, a.endpoint)
		if service.Pause(ctx, d.After) != nil {
			return e.giveUp(a, ran)
		}
	}
}

func (e *exchange) attemptFor(made int, a attempt) retry.Attempt {
	return retry.Attempt{
		Made:         made,
		Failure:      a.failure,
		Repeatable:   e.Class != admission.Order,
		NotRun:       a.notRun,
		Deadline:     e.Deadline,
		Alternatives: len(e.Service.Plain.Endpoints) - made,
	}
}

// giveUp ends a call at once. An answer of the endpoint's own goes to the
// caller as it is, with what it proves.
func (e *exchange) giveUp(a attempt, ran bool) (*answer, *outcome.Refusal) {
	if a.answer != nil && !a.notRun {
		return a.answer, nil
	}
	refusal := &outcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       "no_endpoint",
		Message:    a.why(),
		Outcome:    outcome.NotRun,
		RetryAfter: retryLater,
	}
	if ran {
		refusal.Outcome = outcome.Unknown
	}
	if a.failure == health.Overloaded {
		refusal.Status = http.StatusTooManyRequests
		refusal.Code = "overloaded"
	}
	return nil, refusal
}

// attempt is one try of one endpoint.
type attempt struct {
	endpoint string
	answer   *answer
	failure  health.Failure
	// notRun is set if the endpoint provably did nothing.
	notRun bool
	err    error
}

func (a attempt) why() string {
	switch {
	case a.endpoint == "":
		return "no endpoint may be used now"
	case a.err != nil:
		return a.err.Error()
	default:
		return "endpoint " + a.endpoint + ": " + a.failure.String()
	}
}

// attempt sends the call to one endpoint that is none of tried.
func (e *exchange) attempt(ctx context.Context, tried []string, once bool) attempt {
	choice, ok := e.At.Picker.Pick(balance.Query{Cost: callCost, Exclude: tried, NoProbe: once})
	if !ok {
		return attempt{failure: health.Unreachable, notRun: true}
	}
	e.Chose(decision.Route, choice, map[string]float64{"try": float64(len(tried) + 1)})
	endpoint, known := e.Directory.Endpoint(choice.Replica)
	if !known {
		e.At.Picker.Finished(choice.Replica, balance.Result{Cost: callCost, Failure: health.Unreachable})
		return attempt{endpoint: choice.Replica, failure: health.Unreachable, notRun: true}
	}
	started := e.Now()
	request := e.request
	request.Address = endpoint.Address
	request.Once = once
	a := e.exchangeOnce(ctx, request)
	a.endpoint = choice.Replica
	e.At.Picker.Finished(choice.Replica, balance.Result{
		Cost:    callCost,
		Total:   e.Now().Sub(started),
		Failure: a.failure,
	})
	return a
}

func (e *exchange) exchangeOnce(ctx context.Context, request send.Request) attempt {
	response, err := e.server.Sender.Do(ctx, request)
	if err != nil {
		return attempt{failure: failureOf(ctx, err), notRun: send.NotRun(err), err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLong
	}
	if err != nil {
		return attempt{failure: health.Broken, err: err}
	}
	a := attempt{answer: &answer{status: response.StatusCode, header: response.Header, body: body}}
	switch {
	case send.Refused(response):
		a.failure = send.RefusalFailure(response.StatusCode)
		a.notRun = true
	case response.StatusCode >= http.StatusInternalServerError:
		a.failure = health.Internal
	}
	return a
}

var errTooLong = errors.New("the endpoint's answer is longer than this node passes on")

func failureOf(ctx context.Context, err error) health.Failure {
	switch {
	case send.NotRun(err):
		return health.Unreachable
	case errors.Is(ctx.Err(), context.Canceled):
		return health.Canceled
	case ctx.Err() != nil:
		return health.Timeout
	default:
		return health.Broken
	}
}

// finish returns a function that writes either an answer or a refusal.
func (e *exchange) finish(w http.ResponseWriter) func(*answer, *outcome.Refusal) {
	return func(a *answer, refusal *outcome.Refusal) {
		if refusal != nil {
			e.Decide(decision.Finish, "", string(refusal.Outcome)+": "+refusal.Message, nil)
			e.Refuse(w, refusal)
			return
		}
		e.pass(w, a)
	}
}

// pass hands an endpoint's answer to the caller.
func (e *exchange) pass(w http.ResponseWriter, a *answer) {
	copyHeader(w.Header(), a.header)
	w.Header().Set(outcome.Header, string(outcome.Done))
	w.WriteHeader(a.status)
	// The caller may have gone; there is nobody left to tell.
	_, _ = w.Write(a.body)
	e.Finished(outcome.Done)
	e.Decide(decision.Finish, "", string(outcome.Done), map[string]float64{"status": float64(a.status)})
}
