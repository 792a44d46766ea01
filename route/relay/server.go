package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/replicareport"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// Error is the class of this layer's errors.
var Error = errs.Class("relay")

// ConfigFreshness says how young the configuration is that let a request in.
type ConfigFreshness interface {
	// Fresh says whether it is proved young enough to serve requests with keys.
	Fresh() bool
	// Age is the age of the proof, for the log.
	Age() time.Duration
}

// EngineClient gives orders to model engines.
type EngineClient interface {
	// Reroute makes a request that is underway at its first replica go on along
	// another path with the same first part. It fails with a *DetourRefused if the
	// engine did not take the order.
	Reroute(ctx context.Context, address, request string, path paths.Path) error
}

// RerouteRefused is the error of an order that an engine did not take.
type RerouteRefused struct {
	// FaultAddress is the address of the part that is not there; "" if one has no room.
	FaultAddress string
	Cause        error
}

// Error implements error.
func (r *RerouteRefused) Error() string { return r.Cause.Error() }

// Unwrap returns the cause.
func (r *RerouteRefused) Unwrap() error { return r.Cause }

// Metrics is told what became of requests; metrics implement it.
type Metrics interface {
	Request(service, team, outcome string)
	Refused(service, reason string)
	FirstToken(service string, d time.Duration)
	Waited(service string, d time.Duration)
	Resumed(service, reason string)
	Retried(service, reason string)
}

// Request is a request that its door has let in: whose it is, where it goes and within
// which bounds. The data path reads nothing else of what the caller sent.
type Request struct {
	Call headers.Call
	// Team is the caller's; "" if its route is open to all.
	Team    string
	Service string
	Route   *ruleset.Route
	// Rank orders those who wait for room, 0 first.
	Rank int
	// Revision is the version of the document or configuration that let it in.
	Revision int64
	// Freshness is asked again before each send, as a key that was taken away meanwhile
	// must run nothing; nil where no key let the request in, or keys are not taken away
	// within a bound.
	Freshness ConfigFreshness

	Targets targets.Targets
	Budget  *retrybudget.Budget

	// Method, Target (path and query), Host and Header are as the endpoint is to see
	// them; Host is the endpoint's own address if it is "".
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte

	Arrived time.Time
	// Deadline is up to when an answer is of use: the caller's or the route's,
	// whichever is sooner.
	Deadline time.Time
}

// Server answers requests that a door has let in. Safe for concurrent use; the fields
// are set before use. Engines, Prober and Reports are needed for paths through layers
// only.
type Server struct {
	Headers  headers.Dialect
	Engines  EngineClient
	Pool     *upstream.Pool
	Prober   *connprobe.Prober
	Reports  *replicareport.Inspector
	Metrics  Metrics
	Recorder decisionlog.Recorder
	Log      hclog.Logger
	Now      func() time.Time
	// MaxBufferedBytes is the longest answer that is held back until it is known to be whole;
	// zero: DefaultHoldBytes.
	MaxBufferedBytes int
	// SampleEvery: of the requests that go well one in so many is logged; the others are
	// remembered only. Zero logs all.
	SampleEvery uint64

	requestCount atomic.Uint64
}

// requestState is one caller's requestState underway. It is used by one goroutine.
type requestState struct {
	*Request
	server *Server
	// w takes the answer as it comes; nil where it is handed back whole.
	w http.ResponseWriter
	// callerCtx ends when the callerCtx leaves, ctx also at the deadline.
	callerCtx context.Context
	ctx       context.Context
	log       hclog.Logger
	// sampled requests are logged although nothing goes wrong.
	sampled bool

	// failed are the replicas that failed this request; ran those of them that may
	// have begun it. sends counts the tries.
	failed     []string
	mayHaveRun []string
	attempts   int
	lastResult attemptResult
	// lastTarget is where the last try went.
	lastTarget targets.Target

	// started is set once the caller has a part of the answer; events and at say
	// which.
	started   bool
	events    int
	lastEvent eventPosition
	// firstEvent is the time to the firstEvent event; longest the longest pause after it, which
	// began after pausedAt events.
	firstEvent        time.Duration
	longestPause      time.Duration
	longestPauseAfter int
	lastEventAt       time.Time
	// capacityWait is how long it waited for room, budgetWait for the budget of tries.
	capacityWait, budgetWait time.Duration
}

// Serve answers one request. ctx ends when its caller leaves.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	state, cancel := s.newRequestState(ctx, w, r)
	defer cancel()
	answer, refusal := state.run()
	switch {
	case refusal != nil && refusal.Status == statusCallerGone:
		s.Metrics.Request(r.Service, r.Team, ReasonCallerGone)
		panic(http.ErrAbortHandler)
	case refusal != nil:
		state.refuse(refusal)
	case answer != nil:
		state.write(answer)
	}
}

// Do gets the whole answer to a request for a door that writes it itself. What failed
// for good comes as a refusal, which says what became of the request. Streams can't be
// had this way.
func (s *Server) Do(ctx context.Context, r *Request) (*Answer, *outcome.Refusal) {
	state, cancel := s.newRequestState(ctx, nil, r)
	defer cancel()
	return state.run()
}

// Refuse answers a request that its door does not let in.
func (s *Server) Refuse(w http.ResponseWriter, req *Request, refusal *outcome.Refusal) {
	state := &requestState{Request: req, server: s, w: w}
	state.refuse(refusal)
}

func (s *Server) newRequestState(callerCtx context.Context, w http.ResponseWriter, r *Request) (*requestState, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(callerCtx, r.Deadline)
	return &requestState{
		Request: r, server: s, w: w, callerCtx: callerCtx, ctx: ctx, log: s.Log.With("request", r.Call.ID),
		sampled: s.SampleEvery == 0 || s.requestCount.Add(1)%s.SampleEvery == 0,
	}, cancel
}

// Reasons of refusals, for logs and metrics.
const (
	ReasonNoEndpoint = "no_endpoint"
	ReasonNoCapacity = "no_room"
	ReasonOverloaded = "overloaded"
	ReasonUnknown    = "unknown"
	ReasonTimeout    = "timeout"
	ReasonCallerGone = "caller_gone"
)

const (
	// retryAfterNoCapacity is told when there is no room: about the time in which a tenth of
	// the streams of some seconds end.
	retryAfterNoCapacity = 400 * time.Millisecond
	// statusCallerGone is logged only; nobody is left to read it.
	statusCallerGone = 499
)

// NotRun is an answer to a request that did not run.
func NotRun(status int, code, message string, retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.NotRun, RetryAfter: retryAfter}
}

// outcomeUnknown is an answer to a request that may have run.
func outcomeUnknown(status int, code, message string) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.Unknown}
}

// refuse gives the final answer at once, with the reason in the log.
func (req *requestState) refuse(r *outcome.Refusal) {
	req.record(decisionlog.Decision{
		Kind: decisionlog.Refuse, Reason: r.Code,
		Notes: req.withRoute(decisionlog.Note{Name: "outcome", Text: string(r.Outcome)}, decisionlog.Note{Name: "last_try", Text: req.lastResult.detail}),
		Figures: map[string]float64{
			"status": float64(r.Status), "waited_ms": millis(req.server.Now().Sub(req.Arrived)), "sends": float64(req.attempts),
			"retry_after_ms": millis(r.RetryAfter),
		},
	})
	req.server.Metrics.Refused(req.Service, r.Code)
	req.server.Headers.Refuse(req.w, req.Call, r)
}

// record completes a decision about the request with what it is about.
func (req *requestState) record(d decisionlog.Decision) {
	d.At, d.Request, d.Team, d.Service, d.Revision = req.server.Now(), req.Call.ID, req.Team, req.Service, req.Revision
	if req.Freshness != nil && d.Figures != nil {
		d.Figures["proof_age_ms"] = millis(req.Freshness.Age())
	}
	req.server.Recorder.Record(d)
}

// withRoute adds the route to what else is to be said.
func (req *requestState) withRoute(list ...decisionlog.Note) []decisionlog.Note {
	if req.Route != nil {
		list = append(list, decisionlog.Note{Name: "route", Text: req.Route.Name})
	}
	return list
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func boolFigure(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
