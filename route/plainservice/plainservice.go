// Package plainservice answers calls of plain services. Limits and queue are the entrance's,
// the way from the choice of an endpoint to its checked answer is relay's; what is left
// here is what is peculiar to orders: they are claimed in the ledger before they are
// sent, and their results are kept.
package plainservice

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/lifecycle"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/state/ledger"
)

// Claims is the part of the ledger that orders need.
type Claims interface {
	Claim(ctx context.Context, key ledger.Key, fingerprint string) (ledger.Claim, error)
	Record(ctx context.Context, key ledger.Key, claim ledger.Claim, result ledger.Result) error
	Release(ctx context.Context, key ledger.Key, claim ledger.Claim) error
}

// Metrics is told what became of calls; metrics implement it.
type Metrics interface {
	Order(service, state string)
}

// Server answers plain calls. Safe for concurrent use.
type Server struct {
	Lifecycle *lifecycle.Manager
	// Relay speaks this package's Dialect and holds answers up to MaxAnswer.
	Relay    *relay.Server
	Claims  Claims
	Metrics Metrics
}

const (
	// callCost is the cost of one plain call in the unit of a token. Plain
	// calls have queues of their own, so only their ratio to each other counts.
	callCost = 1
	// defaultTimeout bounds a call without a deadline of its own.
	defaultTimeout = 30 * time.Second
	// MaxAnswerBytes bounds an endpoint's answer in bytes. It is read whole before
	// any of it is passed on, so that a broken answer can still be retried.
	MaxAnswerBytes = 8 << 20
	// noEndpointRetryAfter is what a caller is told when no endpoint could take a call:
	// about the time in which an ejected endpoint is tried again.
	noEndpointRetryAfter = time.Second
)

// ServePlain answers one call.
func (s *Server) ServePlain(w http.ResponseWriter, r *http.Request, c *callparser.Call, path string, body []byte) {
	active, refusal := s.Lifecycle.Begin(c)
	if refusal != nil {
		active.Refuse(w, refusal)
		return
	}
	e := &plainCall{
		ActiveCall: active, server: s, idempotencyKey: r.Header.Get(outcome.HeaderIdempotencyKey),
		method: r.Method, path: withQuery(path, r), header: r.Header, body: body,
	}
	permit, err := e.Admit(r.Context(), callCost)
	if err != nil {
		e.RespondNotAdmitted(w, err)
		return
	}
	defer permit.Release(callCost)
	e.dispatch(w, r)
}

func withQuery(path string, r *http.Request) string {
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

// plainCall is one call underway.
type plainCall struct {
	*lifecycle.ActiveCall
	server *Server
	// idempotencyKey names an order; "" for none.
	idempotencyKey    string
	method string
	path   string
	header http.Header
	body   []byte
}

func (e *plainCall) dispatch(w http.ResponseWriter, r *http.Request) {
	if e.Class != admission.Order {
		e.respond(w)(e.send(r.Context()))
		return
	}
	// A caller who leaves does not take an order back: it may be with the
	// endpoint already, and its result has to reach the ledger.
	e.placeOrder(context.WithoutCancel(r.Context()), w)
}

// send gets the endpoint's answer. A call that may repeat is sent to other endpoints as
// long as the budget allows, an order only while every one tried so far provably did
// nothing.
func (e *plainCall) send(ctx context.Context) (*relay.Answer, *outcome.Refusal) {
	kind := ruleset.Repeatable
	if e.Class == admission.Order {
		kind = ruleset.Once
	}
	deadline := e.Deadline
	if deadline.IsZero() {
		deadline = e.Now().Add(defaultTimeout)
	}
	timeout := deadline.Sub(e.ArrivedAt)
	answer, refusal := e.server.Relay.Do(ctx, &relay.Request{
		Call: headers.CallHead{ID: e.ID}, Team: e.Team.Name, Service: e.Service.Name, Revision: e.Directory.Revision,
		// A document names no objective: an endpoint may take its whole time.
		Route:   &ruleset.Route{Name: e.Service.Name, Kind: kind, Timeout: timeout, Objective: timeout, MaxReplicas: retry.DefaultMaxAttempts},
		Targets: documentTargets{e.ActiveCall}, Budget: e.Local.Retry,
		Method: e.method, Target: e.path, Header: e.header, Body: e.body,
		Arrived: e.ArrivedAt, Deadline: deadline,
	})
	if refusal != nil {
		return nil, mapRefusal(kind, refusal)
	}
	return answer, nil
}

// mapRefusal puts a refusal of the data path into the words of this door. An order whose
// fate is not known stays in doubt.
func mapRefusal(kind ruleset.Kind, r *outcome.Refusal) *outcome.Refusal {
	switch {
	case r.Code == relay.ReasonCallerGone || r.Code == relay.ReasonOverloaded:
		return r
	case r.Outcome == outcome.Unknown && kind == ruleset.Once:
		return inDoubtRefusal("the order was sent and its result is not known: " + r.Message)
	}
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: relay.ReasonNoEndpoint, Message: r.Message, Outcome: r.Outcome,
		RetryAfter: cmp.Or(r.RetryAfter, noEndpointRetryAfter),
	}
}

// respond returns a function that writes either an answer or a refusal.
func (e *plainCall) respond(w http.ResponseWriter) func(*relay.Answer, *outcome.Refusal) {
	return func(a *relay.Answer, refusal *outcome.Refusal) {
		if refusal != nil {
			e.RecordDecision(decisionlog.Finish, "", string(refusal.Outcome)+": "+refusal.Message, nil)
			e.Refuse(w, refusal)
			return
		}
		e.writeAnswer(w, a)
	}
}

// writeAnswer hands an endpoint's answer to the caller.
func (e *plainCall) writeAnswer(w http.ResponseWriter, a *relay.Answer) {
	copyEndToEndHeaders(w.Header(), a.Header)
	w.Header().Set(outcome.Header, string(outcome.Done))
	w.WriteHeader(a.Status)
	// The caller may have gone; there is nobody left to tell.
	_, _ = w.Write(a.Body)
	e.CountOutcome(outcome.Done)
	e.RecordDecision(decisionlog.Finish, "", string(outcome.Done), map[string]float64{"status": float64(a.Status)})
}
