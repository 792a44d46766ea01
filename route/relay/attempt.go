package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/answermemory"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// deadlineMargin is subtracted from the remaining time that is passed on to the endpoint, so
// that the endpoint's own timeout comes before this node's.
const deadlineMargin = 5 * time.Millisecond

// resultKind classifies how an attempt ended.
type resultKind uint8

const (
	// resultComplete is a complete answer. The caller already has it if it was streamed.
	resultComplete resultKind = iota
	// resultNotSent and resultNotRun are attempts that provably did not run: the request was
	// not sent, or the endpoint says that it did not run the request.
	resultNotSent
	resultNotRun
	// resultFailed is an answer that reports the endpoint's own failure; the request ran.
	resultFailed
	// resultUnknown is a failed attempt whose request may have run.
	resultUnknown
	// resultCallerGone, resultDeadline and resultStopped are attempts that this node ended, because the
	// caller left, the deadline was reached, or the node is about to end.
	resultCallerGone
	resultDeadline
	resultStopped
)

// attemptResult describes how one attempt ended.
type attemptResult struct {
	kind resultKind
	// detail is for the log: it may have bytes that the endpoint has sent.
	detail string
	// feedback is passed to Targets.Finish.
	feedback targets.Result
	// answer is the endpoint's answer; nil if there is none, or if it was streamed. The answer
	// of a failed attempt is passed on only if no later attempt succeeds.
	answer *Answer
	// hedge is the hedged attempt that continues the stream in place of this one; nil if there is
	// none.
	hedge *hedge
	// left is set if the attempt was canceled for the hedge, and did not end by itself.
	left bool
	// forwarded is set if the attempt was made at another node.
	forwarded bool
}

// notRun reports whether the attempt provably did not run.
func (res attemptResult) notRun() bool { return res.kind == resultNotSent || res.kind == resultNotRun }

// endedLocally reports whether this node ended the attempt, and not its endpoint.
func (res attemptResult) endedLocally() bool {
	return res.kind == resultCallerGone || res.kind == resultDeadline || res.kind == resultStopped
}

// told is what a caller is told of a failed attempt. A faulty endpoint may have sent any bytes, another
// caller's answer too, so what it has sent is left out.
func (res attemptResult) told() string {
	switch res.kind {
	case resultNotSent:
		return res.detail // nothing was read
	case resultNotRun:
		return "refused, not run"
	}
	return res.feedback.Failure.String()
}

// attempt is one attempt to serve a request.
type attempt struct {
	req       *requestState
	target    targets.Target
	startedAt time.Time
	// resumeAfter is the id of the last event that the caller has, if the stream is resumed.
	resumeAfter string
	head        headers.ResponseHead
	// memory is what is held of the answer; nil before its body is read.
	memory *answermemory.Account
	// ignoredLogged is set once a line of the log tells of bytes that are no event.
	ignoredLogged bool
	// hedge is set if the attempt was begun as a hedge.
	hedge *hedge
	// forwarded is set if the attempt is made at another node, whose name and address are in
	// target. replicaAtNode is the first replica that this node says it has used. refused is set
	// if it refused the request, shed if it did so because the service is saturated. ranElsewhere
	// are the replicas at which earlier attempts may have run.
	forwarded     bool
	replicaAtNode string
	ranElsewhere  []string
	refused, shed bool
}

// send sends the request to the attempt's target and decodes the head of the answer.
func (a *attempt) send(ctx context.Context, headTimeout time.Duration) (*upstream.Exchange, *attemptResult) {
	if a.forwarded {
		return a.sendToNode(ctx, headTimeout)
	}
	req := a.req
	remaining := req.Deadline.Sub(req.server.Now())
	if remaining <= deadlineMargin {
		return nil, &attemptResult{kind: resultDeadline, detail: "deadline too near to send the request"}
	}
	if req.Freshness != nil && !req.Freshness.Fresh() {
		return nil, &attemptResult{kind: resultNotSent, detail: "the configuration is not proved to be recent"}
	}
	if req.Targets.Limits().PushbackRemaining(a.target.Replica) > 0 {
		// Another request was refused after this one had chosen its target.
		return nil, &attemptResult{kind: resultNotSent, detail: "the endpoint wants no requests", feedback: targets.Result{Failure: health.Canceled}}
	}
	exchange, err := req.server.Pool.Send(ctx, upstream.Request{
		Address: a.target.Address,
		Method:  req.Method, Target: req.Target, Host: cmp.Or(req.Host, a.target.Address), Body: req.Body,
		Header: req.server.HeaderCodec.UpstreamHeader(req.Header, headers.UpstreamFields{
			ReplicaID: a.target.Replica, Team: req.Team, Remaining: remaining - deadlineMargin, LastEventID: a.resumeAfter, Path: a.target.Path,
			Priority: req.upstreamPriority(),
		}),
		// A non-idempotent request gets a new connection. If the new connection closes before
		// an answer, an earlier request can't be the cause.
		NewConn:     !req.Route.Idempotent(),
		MaxConns:    a.target.MaxConns,
		Matches:     a.matchesRequest,
		HeadTimeout: min(remaining, headTimeout),
	})
	if err != nil {
		res := a.resultOfError(err)
		return nil, &res
	}
	a.head = req.server.HeaderCodec.ParseResponse(exchange.StatusCode, exchange.Header)
	a.observeStatements(exchange.StatusCode)
	return exchange, nil
}

// matchesRequest reports whether the head of an answer belongs to this request. An endpoint
// that could not parse the request sends a refusal without an id.
func (a *attempt) matchesRequest(h http.Header) bool {
	id := a.req.server.HeaderCodec.ParseResponse(http.StatusOK, h).RequestID
	return id == "" || id == a.req.Call.ID
}

// resultOfError classifies an attempt that got no answer.
func (a *attempt) resultOfError(err error) attemptResult {
	if kind, ok := a.endedLocally(); ok {
		return attemptResult{kind: kind, detail: err.Error(), feedback: targets.Result{Failure: a.endpointFailure(kind)}}
	}
	if errors.Is(err, errAnswerMemory) {
		return attemptResult{kind: resultUnknown, detail: err.Error(), feedback: targets.Result{Failure: health.Canceled}}
	}
	var f *upstream.Failure
	res := attemptResult{kind: resultUnknown, detail: err.Error(), feedback: targets.Result{Failure: health.BrokenResponse}}
	if !errors.As(err, &f) {
		return res
	}
	switch {
	case f.AtConnLimit:
		res.kind, res.feedback.Failure, res.feedback.NoCapacity = resultNotSent, health.Canceled, true
	case f.Unreachable:
		res.kind, res.feedback.Failure, res.feedback.Suspected = resultNotSent, health.Unreachable, true
	case f.NotSent:
		res.kind, res.feedback.Failure = resultNotSent, health.Unreachable
	case f.TimedOut:
		res.feedback.Failure = health.Timeout
	}
	return res
}

// endpointFailure is the kind of failure that counts against the endpoint after this node ended
// the attempt. Canceled says nothing about the endpoint. Timeout means that the endpoint counts
// as hung: the deadline was reached, and the attempt took at least half of the request's total
// time. There is no other way to detect an endpoint that hangs.
func (a *attempt) endpointFailure(kind resultKind) health.Failure {
	total := a.req.Deadline.Sub(a.req.Arrived)
	if kind == resultDeadline && a.req.server.Now().Sub(a.startedAt) >= total/hangTimeoutDivisor {
		return health.Timeout
	}
	return health.Canceled
}

// hangTimeoutDivisor divides the total time of a request, from its arrival to its deadline. If
// an attempt that took at least that part of the total time, one half, reaches the deadline, its
// endpoint counts as hung. If the attempt was shorter, the cause may be a caller with a short
// deadline.
const hangTimeoutDivisor = 2

// endedLocally reports whether this node ended the request: the caller left, the deadline is reached,
// or the node is about to end.
func (a *attempt) endedLocally() (resultKind, bool) {
	req := a.req
	switch {
	case req.callerCtx.Err() != nil:
		return resultCallerGone, true
	case req.stopped():
		return resultStopped, true
	case !req.server.Now().Before(req.Deadline.Add(-deadlineMargin)):
		return resultDeadline, true
	}
	return 0, false
}

// resultOfRefusal classifies a refusal whose body has ended with an error, or with none. A refusal that turns out to
// be no answer proves nothing: the request may have run. One that is too long, or cut behind its head, is believed.
func (a *attempt) resultOfRefusal(status int, err error) attemptResult {
	if httpanswer.IsFault(err) {
		return a.resultOfError(err)
	}
	return a.refusedResult(status)
}

// refusedResult classifies a refusal: an answer that says that the request did not run.
func (a *attempt) refusedResult(status int) attemptResult {
	if a.pushedBack() {
		return attemptResult{
			kind: resultNotRun, detail: fmt.Sprintf("%d from %s, which wants no requests for %v", status, a.target.Address, a.head.Pushback.Duration),
			feedback: targets.Result{Failure: health.PushedBack},
		}
	}
	return attemptResult{
		kind:   resultNotRun,
		detail: fmt.Sprintf("%d from %s, at fault: %q", status, a.target.Address, a.head.FaultAddress),
		feedback: targets.Result{
			Failure:       upstream.RefusalFailure(status),
			FaultAddress:  a.head.FaultAddress,
			LayersMissing: a.head.Misdirected,
			NoCapacity:    !a.head.Misdirected,
		},
	}
}
