// Package plainservice serves calls of plain services. Package lifecycle admits a call;
// package relay chooses an endpoint, sends the call and checks the answer. This package
// adds what orders need. An order is a call that may run at most once: it is claimed in
// the ledger before it is sent, and its result is recorded in the ledger.
package plainservice

import (
	"cmp"
	"context"
	"maps"
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

// Claims is the part of the ledger that this package uses.
type Claims interface {
	Claim(ctx context.Context, key ledger.Key, fingerprint string) (ledger.Claim, error)
	Record(ctx context.Context, key ledger.Key, claim ledger.Claim, result ledger.Result) error
	Release(ctx context.Context, key ledger.Key, claim ledger.Claim) error
}

// Metrics counts orders by the state of their claims.
type Metrics interface {
	Order(service, state string)
}

// Server serves calls of plain services. Safe for concurrent use.
type Server struct {
	Lifecycle *lifecycle.Manager
	// Relay uses HeaderCodec and buffers answers of up to MaxAnswerBytes.
	Relay   *relay.Server
	Claims  Claims
	Metrics Metrics
}

const (
	// callCost is the cost of one plain call. Plain services have admission queues of
	// their own, so the cost matters only relative to other plain calls.
	callCost = 1
	// defaultTimeout bounds a call without a deadline.
	defaultTimeout = 30 * time.Second
	// MaxAnswerBytes bounds an endpoint's answer. The answer is read whole before any
	// byte of it is sent to the caller, so that the call can be retried if the answer
	// breaks off.
	MaxAnswerBytes = 8 << 20
	// noEndpointRetryAfter is the Retry-After when no endpoint could take a call: about
	// the time after which an ejected endpoint is tried again.
	noEndpointRetryAfter = time.Second
)

// ServePlain answers one call.
func (s *Server) ServePlain(w http.ResponseWriter, r *http.Request, c *callparser.Call, path string, body []byte) {
	active, refusal := s.Lifecycle.Begin(c)
	if refusal != nil {
		active.Refuse(w, refusal)
		return
	}
	p := &plainCall{
		ActiveCall: active, server: s, idempotencyKey: r.Header.Get(outcome.HeaderIdempotencyKey),
		method: r.Method, path: withQuery(path, r), header: r.Header, body: body,
	}
	permit, err := p.Admit(r.Context(), callCost)
	if err != nil {
		p.RespondNotAdmitted(w, err)
		return
	}
	defer permit.Release(callCost)
	p.dispatch(w, r)
}

func withQuery(path string, r *http.Request) string {
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

// plainCall is a call of a plain service that is being served.
type plainCall struct {
	*lifecycle.ActiveCall
	server *Server
	// idempotencyKey identifies an order; empty if the caller sent none.
	idempotencyKey string
	method         string
	path           string
	header         http.Header
	body           []byte
}

func (p *plainCall) dispatch(w http.ResponseWriter, r *http.Request) {
	if p.Class != admission.Order {
		p.respond(w)(p.send(r.Context()))
		return
	}
	// A caller that cancels does not cancel its order: the endpoint may already have
	// the order, and its result has to reach the ledger.
	p.placeOrder(context.WithoutCancel(r.Context()), w)
}

// send returns the endpoint's answer. A call that may repeat is retried at other
// endpoints as long as the retry budget allows it. An order is retried only while every
// endpoint tried so far provably did not run it.
func (p *plainCall) send(ctx context.Context) (*relay.Answer, *outcome.Refusal) {
	kind := ruleset.Idempotent
	if p.Class == admission.Order {
		kind = ruleset.NonIdempotent
	}
	deadline := p.Deadline
	if deadline.IsZero() {
		deadline = p.Now().Add(defaultTimeout)
	}
	timeout := deadline.Sub(p.ArrivedAt)
	answer, refusal := p.server.Relay.Do(ctx, &relay.Request{
		Call: headers.CallHead{ID: p.ID}, Team: p.Team.Name, Service: p.Service.Name, Revision: p.DocumentIndex.Revision,
		// The document sets no latency objective, so an endpoint may use the whole
		// timeout.
		Route:   &ruleset.Route{Name: p.Service.Name, Kind: kind, Timeout: timeout, LatencyObjective: timeout, MaxReplicas: retry.DefaultMaxAttempts},
		Targets: documentTargets{p.ActiveCall}, Budget: p.Local.RetryBudget,
		Method: p.method, Target: p.path, Header: p.header, Body: p.body,
		Arrived: p.ArrivedAt, Deadline: deadline,
	})
	if refusal != nil {
		return nil, mapRefusal(kind, refusal)
	}
	answer.Header = downstreamHeader(answer.Header)
	return answer, nil
}

// mapRefusal maps a refusal of package relay to the codes of this package. An order
// that may have run is in doubt.
func mapRefusal(kind ruleset.RouteKind, r *outcome.Refusal) *outcome.Refusal {
	switch {
	case r.Code == relay.ReasonCallerGone || r.Code == relay.ReasonOverloaded:
		return r
	case r.Outcome == outcome.Unknown && kind == ruleset.NonIdempotent:
		return inDoubtRefusal("the order was sent and its result is not known: " + r.Message)
	}
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: relay.ReasonNoEndpoint, Message: r.Message, Outcome: r.Outcome,
		RetryAfter: cmp.Or(r.RetryAfter, noEndpointRetryAfter),
	}
}

// respond returns a function that writes either an answer or a refusal.
func (p *plainCall) respond(w http.ResponseWriter) func(*relay.Answer, *outcome.Refusal) {
	return func(a *relay.Answer, refusal *outcome.Refusal) {
		if refusal != nil {
			p.RecordDecision(decisionlog.Finish, "", string(refusal.Outcome)+": "+refusal.Message, nil)
			p.Refuse(w, refusal)
			return
		}
		defer a.Release()
		p.writeAnswer(w, a)
	}
}

// writeAnswer sends an endpoint's answer, or the kept result of an order, to the caller.
func (p *plainCall) writeAnswer(w http.ResponseWriter, a *relay.Answer) {
	maps.Copy(w.Header(), a.Header)
	w.Header().Set(outcome.Header, string(outcome.Done))
	w.WriteHeader(a.Status)
	// A write error means that the caller has disconnected, so there is nobody to tell.
	_, _ = w.Write(a.Body)
	p.CountOutcome(outcome.Done)
	p.RecordDecision(decisionlog.Finish, "", string(outcome.Done), map[string]float64{"status": float64(a.Status)})
}
