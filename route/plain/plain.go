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
	"github.com/cicadatack/cicadatack/platform/ledger"
	"github.com/cicadatack/cicadatack/route/call"
	"github.com/cicadatack/cicadatack/route/decision"
	"github.com/cicadatack/cicadatack/route/gate"
	"github.com/cicadatack/cicadatack/route/limiter"
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
	Request(service, team, outcome string)
	Refused(service, reason string)
	Waited(service string, d time.Duration)
	Order(service, state string)
}

// Server answers plain calls. Safe for concurrent use.
type Server struct {
	Services *service.Registry
	Limits   *limiter.Limiter
	Sender   *send.Sender
	Claims   Claims
	Record   decision.Recorder
	Figures  Figures
	Now      func() time.Time
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
	e := &exchange{
		server:  s,
		service: s.Services.Get(c.Service.Name),
		call:    c,
		request: send.Request{Method: r.Method, Path: withQuery(path, r), Header: forwarded(r.Header), Body: body},
		key:     r.Header.Get(outcome.HeaderOrderKey),
	}
	if e.service == nil {
		e.refuse(w, &outcome.Refusal{Status: http.StatusServiceUnavailable, Code: "not_ready", Message: "the service is being set up", Outcome: outcome.NotRun, RetryAfter: retryLater})
		return
	}
	e.serve(w, r)
}

func withQuery(path string, r *http.Request) string {
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

// exchange is one call underway.
type exchange struct {
	server  *Server
	service *service.Service
	call    *call.Call
	request send.Request
	key     string
}

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (e *exchange) serve(w http.ResponseWriter, r *http.Request) {
	if _, refusal := e.server.Limits.Allow(e.call.Team.Name, callCost); refusal != nil {
		e.record(decision.Refuse, "", "team limit used up", nil)
		e.refuse(w, refusal)
		return
	}
	ticket, err := e.service.Gate.Enter(r.Context(), gate.Request{
		Team: e.call.Team.Name, Class: e.call.Class, Cost: callCost, Deadline: e.call.Start,
	})
	if err != nil {
		e.server.Limits.Correct(e.call.Team.Name, -callCost)
		e.notEntered(w, err)
		return
	}
	defer ticket.Leave(callCost)
	e.server.Figures.Waited(e.call.Service.Name, ticket.Verdict.Waited)
	e.dispatch(w, r)
}

func (e *exchange) dispatch(w http.ResponseWriter, r *http.Request) {
	if e.call.Class != admission.Order {
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
	if e.call.Deadline.IsZero() {
		return context.WithTimeout(ctx, defaultTimeout)
	}
	return context.WithDeadline(ctx, e.call.Deadline)
}

func (e *exchange) notEntered(w http.ResponseWriter, err error) {
	var refused *gate.Refused
	if !errors.As(err, &refused) {
		e.finished(outcome.NotRun)
		return // the caller has left
	}
	v := refused.Verdict
	e.record(decision.Refuse, "", v.Reason.String(), map[string]float64{
		"predicted_ms":   float64(v.Predicted.Milliseconds()),
		"waiting":        float64(v.QueueLength),
		"retry_after_ms": float64(v.RetryAfter.Milliseconds()),
	})
	e.server.Figures.Refused(e.call.Service.Name, v.Reason.String())
	e.refuse(w, refused.Refusal())
}

// repeatable sends a call that may run more than once, to other endpoints as
// long as the retry budget allows.
func (e *exchange) repeatable(ctx context.Context) (*answer, *outcome.Refusal) {
	var tried []string
	ran := false
	for {
		a := e.attempt(ctx, tried, false)
		if a.answer != nil && !a.failure.Faulty() && a.failure != health.Overloaded {
			e.service.Retry.Success()
			return a.answer, nil
		}
		ran = ran || !a.notRun
		d := e.service.Retry.Allow(e.attemptFor(len(tried)+1, a))
		if !d.Retry || a.endpoint == "" {
			return e.giveUp(a, ran)
		}
		tried = append(tried, a.endpoint)
		if wait(ctx, d.After) != nil {
			return e.giveUp(a, ran)
		}
	}
}

func (e *exchange) attemptFor(made int, a attempt) retry.Attempt {
	return retry.Attempt{
		Made:         made,
		Failure:      a.failure,
		Repeatable:   e.call.Class != admission.Order,
		NotRun:       a.notRun,
		Deadline:     e.call.Deadline,
		Alternatives: len(e.call.Service.Plain.Endpoints) - made,
	}
}

// giveUp ends a call at once. An answer of the endpoint's own goes to the
// caller as it is, with what it proves.
func (e *exchange) giveUp(a attempt, ran bool) (*answer, *outcome.Refusal) {
	if a.answer != nil && !a.notRun {
		return a.answer, nil
	}
	what := outcome.NotRun
	if ran {
		what = outcome.Unknown
	}
	return nil, &outcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       "no_endpoint",
		Message:    a.why(),
		Outcome:    what,
		RetryAfter: retryLater,
	}
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
	choice, ok := e.service.Picker.Pick(balance.Query{Cost: callCost, Exclude: tried, NoProbe: once})
	if !ok {
		return attempt{failure: health.Unreachable, notRun: true}
	}
	e.recordChoice(choice, len(tried)+1)
	endpoint, known := e.call.Directory.Endpoint(choice.Replica)
	if !known {
		e.service.Picker.Finished(choice.Replica, balance.Result{Cost: callCost, Failure: health.Unreachable})
		return attempt{endpoint: choice.Replica, failure: health.Unreachable, notRun: true}
	}
	started := e.server.Now()
	request := e.request
	request.Address = endpoint.Address
	request.Once = once
	a := e.exchangeOnce(ctx, request)
	a.endpoint = choice.Replica
	e.service.Picker.Finished(choice.Replica, balance.Result{
		Cost:    callCost,
		Total:   e.server.Now().Sub(started),
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

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// finish returns a function that writes either an answer or a refusal.
func (e *exchange) finish(w http.ResponseWriter) func(*answer, *outcome.Refusal) {
	return func(a *answer, refusal *outcome.Refusal) {
		if refusal != nil {
			e.record(decision.Finish, "", string(refusal.Outcome)+": "+refusal.Message, nil)
			e.refuse(w, refusal)
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
	e.finished(outcome.Done)
	e.record(decision.Finish, "", string(outcome.Done), map[string]float64{"status": float64(a.status)})
}

func (e *exchange) refuse(w http.ResponseWriter, refusal *outcome.Refusal) {
	refusal.Write(w)
	e.finished(refusal.Outcome)
}

func (e *exchange) finished(o outcome.Outcome) {
	e.server.Figures.Request(e.call.Service.Name, e.call.Team.Name, string(o))
}

func (e *exchange) recordChoice(choice balance.Choice, try int) {
	d := e.decision(decision.Route, choice.Replica, choice.Reason.String(), map[string]float64{
		"score": choice.Score, "try": float64(try),
	})
	for _, other := range choice.Alternatives {
		if other.ID != "" {
			d.Alternatives = append(d.Alternatives, decision.Alternative{Name: other.ID, Score: other.Score})
		}
	}
	e.server.Record.Record(d)
}

func (e *exchange) record(kind decision.Kind, chosen, reason string, figures map[string]float64) {
	e.server.Record.Record(e.decision(kind, chosen, reason, figures))
}

func (e *exchange) decision(kind decision.Kind, chosen, reason string, figures map[string]float64) decision.Decision {
	return decision.Decision{
		At:       e.server.Now(),
		Request:  e.call.ID,
		Kind:     kind,
		Team:     e.call.Team.Name,
		Service:  e.call.Service.Name,
		Chosen:   chosen,
		Reason:   reason,
		Figures:  figures,
		Revision: e.call.Directory.Revision,
	}
}
