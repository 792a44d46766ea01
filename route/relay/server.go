package relay

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/draining"
	"github.com/cicadatack/cicadatack/decide/loadshed"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/route/answermemory"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/eventstream"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/loadadmission"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/replicareport"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// Error is the class of the errors of this package.
var Error = errs.Class("relay")

// ConfigFreshness tells how recently the configuration that admitted a request was confirmed.
type ConfigFreshness interface {
	// Fresh reports whether the last confirmation is recent enough to serve requests that a key
	// admitted.
	Fresh() bool
	// Age is the time since the last confirmation, for the log.
	Age() time.Duration
}

// EngineClient sends commands to model engines.
type EngineClient interface {
	// Reroute commands the first replica of a request to continue it along another path with
	// the same first stage. It fails with a *RerouteRefused if the engine refused the command.
	Reroute(ctx context.Context, address, request string, path paths.Path) error
}

// RerouteRefused is the error of a reroute command that an engine refused.
type RerouteRefused struct {
	// FaultAddress is the address of the stage that could not be reached; "" if a stage has no
	// capacity.
	FaultAddress string
	Cause        error
}

// Error implements error.
func (r *RerouteRefused) Error() string { return r.Cause.Error() }

// Unwrap returns the cause.
func (r *RerouteRefused) Unwrap() error { return r.Cause }

// Metrics records the outcomes of requests.
type Metrics interface {
	Request(service, team, outcome string)
	Refused(service, reason string)
	FirstToken(service string, d time.Duration)
	Waited(service string, d time.Duration)
	Resumed(service, reason string)
	Retried(service, reason string)
	Forwarded(service, result string)
	// Hedged counts hedges by their result: took_over, not_needed, late or failed.
	Hedged(service, result string)
	// StrayBytes counts streams in which a replica sent bytes that are no part of them.
	StrayBytes(service, reason string)
	// IgnoredBytes counts bytes in streams of replicas that are no events, and that receivers ignore.
	IgnoredBytes(service string, n int)
	// UnprovenRefusal counts answers of replicas whose status promises that the request has not run, although
	// the replica has not said so.
	UnprovenRefusal(service string, status int)
	// AnswerMemoryFull counts answers for which the node's memory for answers did not suffice.
	AnswerMemoryFull(service string)
	// Shed counts requests that this node refused because the service was saturated.
	Shed(service string, priority int)
}

// Request is a request that a listener has admitted: its caller's team, its destination and its
// limits. The data path reads nothing else of what the caller sent.
type Request struct {
	Call headers.CallHead
	// Team is the caller's team; "" if the route is open to all.
	Team    string
	Service string
	Route   *ruleset.Route
	// Rank orders the requests that wait for capacity; requests of rank 0 come first.
	Rank int
	// Priority is the priority that the operator gives to the route or to the team; 0 is the
	// most urgent. Unlike Rank, it is the same at each node that a request is forwarded to.
	Priority int
	// Revision is the version of the document or configuration that admitted the request.
	Revision int64
	// Freshness is checked again before each attempt. Without this check, a request could run
	// although its key was revoked after the admission. Freshness is nil if no key admitted the
	// request, or if there is no bound on how late the revocation of a key may take effect.
	Freshness ConfigFreshness

	Targets targets.Targets
	Budget  *retrybudget.Budget
	// Admission is nil if the service is not under load control.
	Admission *loadadmission.Admission

	// Method, Target (the URL path and query), Host and Header are sent to the endpoint. An
	// empty Host stands for the endpoint's own address.
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte

	// Forwarded is set if another node forwarded the request.
	Forwarded *headers.Forward

	Arrived time.Time
	// Deadline is the caller's or the route's deadline, whichever is sooner. A later answer is
	// of no use to the caller.
	Deadline time.Time
}

// Server serves requests that a listener has admitted. It is safe for concurrent use; the
// fields are set before use. Engines, Prober and Reports are needed only for model services.
type Server struct {
	HeaderCodec headers.Codec
	Engines     EngineClient
	Pool        *upstream.Pool
	Prober      *connprobe.Prober
	Reports     *replicareport.Cache
	// Guard keeps requests on which replicas crash away from them; nil for none.
	Guard    *crashguard.Guard
	Metrics  Metrics
	Recorder decisionlog.Recorder
	Log      hclog.Logger
	Now      func() time.Time
	// Forwarder finds nodes that serve requests on behalf of this node, PeerPool holds the
	// connections to them. If Forwarder is nil, no request is forwarded.
	Forwarder Forwarder
	PeerPool  *upstream.Pool
	// Revisions is set if Forwarder is.
	Revisions Revisions
	// MaxBufferedBytes bounds the answers that are buffered until they are complete. Zero
	// stands for DefaultMaxBufferedBytes.
	MaxBufferedBytes int
	// Memory bounds the memory of all answers that are buffered; nil for no bound.
	Memory *answermemory.Budget
	// One of every SampleEvery successful requests is logged. The other successful requests are
	// only kept in memory. Zero logs all requests.
	SampleEvery uint64

	// Stopping is done when the node is about to end. The requests that are still under way are then
	// answered at once, so that their callers don't lose the connection without an answer. nil for a
	// node that waits for all of them.
	Stopping context.Context

	// Drain describes a node that was told to stop; nil for a node that waits for all requests.
	Drain func() draining.Drain

	requestCount atomic.Uint64
}

// requestState is the state of one request in progress. Only one goroutine uses it.
type requestState struct {
	*Request
	server *Server
	// w receives the answer; nil if Do returns the answer.
	w http.ResponseWriter
	// callerCtx ends when the caller leaves. ctx also ends at the deadline, and when the node is about
	// to end.
	callerCtx context.Context
	ctx       context.Context
	log       hclog.Logger
	// sampled requests are logged even if they succeed.
	sampled bool

	attemptHistory
	lastResult attemptResult
	lastTarget targets.Target
	forwarding forwardState
	// held is what answers are charged to that may be the request's.
	held []*answermemory.Account
	// guarded is what the guard keeps of the request; guardRefusal is why it lets the request run
	// no further, nil if it does not.
	guarded      *crashguard.Request
	guardRefusal *crashguard.Refusal
	// awaiting counts the request until its first event; nil without load control.
	awaiting *loadadmission.Awaiting
	// shedding is the decision that refused the request because of load; nil if there is none.
	shedding *loadshed.Decision

	// answerStarted is set once the caller has received a part of the answer. eventCount is the
	// number of events that the caller has. lastEvent is the last of these events.
	answerStarted bool
	eventCount    int
	lastEvent     eventstream.Position
	// timeToFirstEvent is the time from the request's arrival to the first event. longestPause
	// is the longest pause between two later events; eventsAtLongestPause is eventCount at the
	// end of that pause.
	timeToFirstEvent     time.Duration
	longestPause         time.Duration
	eventsAtLongestPause int
	lastEventAt          time.Time
	// leftReplica is the replica or node of the last attempt that this node ended because it was
	// silent, leftAt the time of that, leftSilence the silence of the stream then.
	leftReplica string
	leftAt      time.Time
	leftSilence time.Duration
	// capacityWait is the time that the request waited for capacity, budgetWait the time that it
	// waited for the retry budget.
	capacityWait, budgetWait time.Duration
}

// Serve serves one request. ctx ends when the caller leaves.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	state, cancel := s.newRequestState(ctx, w, r)
	defer cancel()
	defer state.releaseAnswers(nil)
	answer, refusal := state.truthful(state.run())
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

// Do returns the complete answer to a request, for a listener that writes the answer itself. A
// final failure is returned as a refusal, which carries the outcome of the request. The answer must be
// released. Do does not support streams.
func (s *Server) Do(ctx context.Context, r *Request) (*Answer, *outcome.Refusal) {
	state, cancel := s.newRequestState(ctx, nil, r)
	defer cancel()
	answer, refusal := state.truthful(state.run())
	state.releaseAnswers(answer)
	return answer, refusal
}

// Refuse answers a request that its listener does not admit.
func (s *Server) Refuse(w http.ResponseWriter, req *Request, refusal *outcome.Refusal) {
	state := &requestState{Request: req, server: s, w: w}
	state.refuse(refusal)
}

func (s *Server) newRequestState(callerCtx context.Context, w http.ResponseWriter, r *Request) (*requestState, context.CancelFunc) {
	ctx, cancel := s.requestContext(callerCtx, r.Deadline)
	state := &requestState{
		Request: r, server: s, w: w, callerCtx: callerCtx, ctx: ctx, log: s.Log.With("request", r.Call.ID),
		sampled: s.SampleEvery == 0 || s.requestCount.Add(1)%s.SampleEvery == 0,
	}
	state.guarded = state.guardRequest()
	if r.Forwarded != nil {
		state.mayHaveRunOn = slices.Clone(r.Forwarded.MayHaveRunOn)
		if s.Forwarder != nil {
			s.Forwarder.Observe(r.Service, r.Forwarded.Node, r.Forwarded.CutOffFromAll)
		}
	}
	return state, cancel
}

// requestContext returns the context of a request. It ends when the caller leaves, at the deadline, or
// when the node is about to end.
func (s *Server) requestContext(callerCtx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(callerCtx, deadline)
	if s.Stopping == nil {
		return ctx, cancel
	}
	release := context.AfterFunc(s.Stopping, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// Reasons of refusals, for logs and metrics.
const (
	ReasonNoEndpoint = "no_endpoint"
	// ReasonUnreachable means that no replica is reached by this node, nor by those that it asked.
	ReasonUnreachable = "unreachable"
	ReasonNoCapacity  = "no_room"
	ReasonPushedBack  = "pushed_back"
	ReasonOverloaded  = "overloaded"
	// ReasonShed means that the service is saturated and other requests go first.
	ReasonShed = "shed_load"
	// ReasonIsolatedPart means that replicas crash on a part of the prompt, ReasonSuspectPart that
	// one has crashed and that this may be the cause.
	ReasonIsolatedPart = "isolated_part"
	ReasonSuspectPart  = "suspect_part"
	ReasonUnknown      = "unknown"
	// ReasonUnproven means that the endpoint's status promises that the request has not run, but the
	// endpoint has not stated it.
	ReasonUnproven   = "unproven_refusal"
	ReasonTimeout    = "timeout"
	ReasonCallerGone = "caller_gone"
	// ReasonLeaving means that this node was told to stop.
	ReasonLeaving = "leaving"
	// ReasonOlderRules and ReasonNewerRules mean that the node to which a request was forwarded has an
	// older or a newer configuration than the node that forwards it.
	ReasonOlderRules = "older_configuration"
	ReasonNewerRules = "newer_configuration"
)

const (
	// retryAfterNoCapacity is the Retry-After of refusals for lack of capacity. Streams last
	// some seconds, and about a tenth of them end within this time.
	retryAfterNoCapacity = 400 * time.Millisecond
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 10 * time.Millisecond
	// RetryAfterLeaving is the Retry-After of a node that was told to stop: another node can serve
	// the caller a moment later.
	RetryAfterLeaving = 100 * time.Millisecond
	// statusCallerGone is only logged; the caller has left.
	statusCallerGone = 499
)

// NotRun returns a refusal of a request that did not run.
func NotRun(status int, code, message string, retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.NotRun, RetryAfter: retryAfter}
}

// outcomeUnknown returns a refusal of a request that may have run.
func outcomeUnknown(status int, code, message string) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.Unknown}
}
