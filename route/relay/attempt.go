package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// deadlineMargin is taken off the time that is passed on, so that the endpoint's own
// timeout comes before this node's.
const deadlineMargin = 5 * time.Millisecond

// resultKind says what a try came to.
type resultKind uint8

const (
	// resultComplete has a whole answer, which the caller has if it was passed on as it came.
	resultComplete resultKind = iota
	// resultNotSent and endNotRun provably did not run.
	resultNotSent
	resultNotRun
	// resultFailed is the endpoint's own failure, which ran.
	resultFailed
	// resultUnknown may have run.
	resultUnknown
	// resultCallerGone and endDeadline were ended from this side.
	resultCallerGone
	resultDeadline
)

// attemptResult is the end of one try.
type attemptResult struct {
	kind     resultKind
	detail   string // for the log
	feedback targets.Result
	// answer is a whole answer, or the endpoint's own failure, to be passed on if
	// nothing better comes.
	answer *Answer
	// next is where the request goes on, if that is booked and paid for.
	next *targets.Target
}

// notRun says whether the try provably did not run.
func (res attemptResult) notRun() bool { return res.kind == resultNotSent || res.kind == resultNotRun }

// attempt is one try of a request.
type attempt struct {
	request   *requestState
	target    targets.Target
	startedAt time.Time
	// resumeAfter is the event to go on resumeAfter, for a stream.
	resumeAfter string
	head        headers.Answer
}

// send sends the request to the attempt's target and checks the answer's head.
func (a *attempt) send(ctx context.Context, headTimeout time.Duration) (*upstream.Exchange, *attemptResult) {
	req := a.request
	remaining := req.Deadline.Sub(req.server.Now())
	if remaining <= deadlineMargin {
		return nil, &attemptResult{kind: resultDeadline, detail: "no time left"}
	}
	if req.Freshness != nil && !req.Freshness.Fresh() {
		return nil, &attemptResult{kind: resultNotSent, detail: "the configuration is not proved any more"}
	}
	exchange, err := req.server.Pool.Send(ctx, upstream.Request{
		Address: a.target.Address,
		Method:  req.Method, Target: req.Target, Host: cmp.Or(req.Host, a.target.Address), Body: req.Body,
		Header: req.server.Headers.Forward(req.Header, headers.Sending{
			Replica: a.target.Replica, Team: req.Team, Left: remaining - deadlineMargin, After: a.resumeAfter, Path: a.target.Path,
		}),
		// A request that may not repeat gets a connection of its own: if it ends
		// before an answer, no earlier request can be what ended it.
		NewConn:     !req.Route.Idempotent(),
		MaxConns:    a.target.MaxConns,
		Matches:     a.matchesRequest,
		HeadTimeout: min(remaining, headTimeout),
	})
	if err != nil {
		res := a.resultOfError(err)
		return nil, &res
	}
	a.head = req.server.Headers.Answer(exchange.StatusCode, exchange.Header)
	return exchange, nil
}

// matchesRequest says whether an answer's head is this request's. Refusals of requests
// that could not be read bear no id.
func (a *attempt) matchesRequest(h http.Header) bool {
	id := a.request.server.Headers.Answer(http.StatusOK, h).ID
	return id == "" || id == a.request.Call.ID
}

// resultOfError judges a try without an answer.
func (a *attempt) resultOfError(err error) attemptResult {
	if kind, ok := a.endedLocally(); ok {
		return attemptResult{kind: kind, detail: err.Error(), feedback: targets.Result{Failure: a.endpointFailure(kind)}}
	}
	var f *upstream.Failure
	res := attemptResult{kind: resultUnknown, detail: err.Error(), feedback: targets.Result{Failure: health.Broken}}
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

// endpointFailure says what an attempt that was ended from this side tells of its endpoint:
// nothing, unless it had most of the time there was and let it pass. An endpoint that
// hangs shows in no other way.
func (a *attempt) endpointFailure(kind resultKind) health.Failure {
	total := a.request.Deadline.Sub(a.request.Arrived)
	if kind == resultDeadline && a.request.server.Now().Sub(a.startedAt) >= total/hangDivisor {
		return health.Timeout
	}
	return health.Canceled
}

// hangDivisor: an endpoint that lets half of a request's whole time pass has hung; less may
// be a caller who came with little time left.
const hangDivisor = 2

// endedLocally says whether the request was endedLocally from this side, by its caller or by its
// deadline.
func (a *attempt) endedLocally() (resultKind, bool) {
	req := a.request
	switch {
	case req.callerCtx.Err() != nil:
		return resultCallerGone, true
	case !req.server.Now().Before(req.Deadline.Add(-deadlineMargin)):
		return resultDeadline, true
	}
	return 0, false
}

// suspectAfter tells a refusal for want of room, which comes at once, from one because a
// part of the path did not answer, which comes after the engine's own timeout.
const suspectAfter = time.Second

// refusedResult judges an answer that says that the request did not run.
func (a *attempt) refusedResult(status int) attemptResult {
	slow := a.request.server.Now().Sub(a.startedAt) > suspectAfter
	return attemptResult{
		kind:   resultNotRun,
		detail: fmt.Sprintf("%d from %s, at fault: %q", status, a.target.Address, a.head.Fault),
		feedback: targets.Result{
			Failure:       upstream.RefusalFailure(status),
			FaultAddress:  a.head.Fault,
			LayersMissing: a.head.Misdirected,
			Suspected:     slow,
			NoCapacity:    !a.head.Misdirected && !slow,
		},
	}
}
