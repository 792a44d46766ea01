package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/targets"
)

// finalAnswer returns the final answer after an attempt that is not retried.
func (req *requestState) finalAnswer(res attemptResult) (*Answer, *outcome.Refusal) {
	switch {
	case res.kind == resultCallerGone:
		return nil, req.callerGone()
	case res.kind == resultStopped:
		return nil, req.stopRequest()
	case res.kind == resultDeadline:
		return nil, req.expired()
	case req.answerStarted && req.guardRefusal != nil:
		req.abort(guardReason(req.guardRefusal.Verdict))
	case req.answerStarted:
		req.abort(ReasonUnknown)
	case req.guardRefusal != nil:
		return nil, req.refuseGuarded(req.guardRefusal)
	case res.answer != nil:
		return res.answer, nil
	case len(req.mayHaveRunOn) > 0:
		return nil, refusalWithoutAnswer(res)
	case req.forwarding.refusal != nil:
		return nil, req.forwarding.refusal
	case res.feedback.Failure == health.PushedBack:
		return nil, NotRun(http.StatusServiceUnavailable, ReasonPushedBack, res.told(), retryAfterNoCapacity)
	case res.feedback.Failure == health.Overloaded:
		return nil, NotRun(http.StatusTooManyRequests, ReasonOverloaded, res.told(), retryAfterNoCapacity)
	case res.feedback.NoCapacity:
		return nil, NotRun(http.StatusServiceUnavailable, ReasonNoCapacity, "the endpoint had no capacity and no retry is left: "+res.told(), req.retryAfterNoCapacity())
	}
	return nil, NotRun(http.StatusServiceUnavailable, ReasonNoEndpoint, "no endpoint accepted the request: "+res.told(), req.retryAfterNoCapacity())
}

// callerGone records that the caller has left, and returns the final refusal. The caller does
// not receive this refusal; only a listener that stores answers uses it.
func (req *requestState) callerGone() *outcome.Refusal {
	req.record(decisionlog.Decision{
		Kind: decisionlog.Finish, Chosen: req.lastTarget.Replica, Reason: "the caller left",
		Values: map[string]float64{
			"sends": float64(req.attemptCount), "events": float64(req.eventCount), "took_ms": millis(req.server.Now().Sub(req.Arrived)),
			"silent_ms": millis(req.silentFor()), "waited_room_ms": millis(req.capacityWait),
		},
	})
	r := NotRun(statusCallerGone, ReasonCallerGone, "the caller left", 0)
	if len(req.mayHaveRunOn) > 0 {
		r.Outcome = outcome.Unknown
	}
	return r
}

// silentFor is the time since the caller received the last event or, before the first event,
// since the request arrived.
func (req *requestState) silentFor() time.Duration {
	if req.lastEventAt.IsZero() {
		return req.server.Now().Sub(req.Arrived)
	}
	return req.server.Now().Sub(req.lastEventAt)
}

// expired returns the answer to a request whose deadline is reached.
func (req *requestState) expired() *outcome.Refusal {
	if req.answerStarted {
		req.abort(ReasonTimeout)
	}
	if len(req.mayHaveRunOn) == 0 && req.attemptCount == 0 {
		return NotRun(http.StatusServiceUnavailable, ReasonTimeout, "no endpoint had capacity before the deadline", retryAfterNoCapacity)
	}
	return outcomeUnknown(http.StatusGatewayTimeout, ReasonTimeout, "no answer before the deadline")
}

// stopped reports whether this node is about to end.
func (req *requestState) stopped() bool {
	return req.server.Stopping != nil && req.server.Stopping.Err() != nil
}

// errLeaving means that this node ends before the request would.
var errLeaving = Error.New("this node is about to stop")

// outlastsNode reports whether the request must not be sent any more, because this node may end before
// the answer. The caller of an order could not know then whether the order was placed.
func (req *requestState) outlastsNode() bool {
	if req.server.Drain == nil {
		return false
	}
	return !req.server.Drain().MaySend(req.Deadline.Sub(req.server.Now()), req.Route.Idempotent())
}

// refuseLeaving returns the refusal of a request that did not run because this node is about to stop.
func refuseLeaving() *outcome.Refusal {
	return NotRun(http.StatusServiceUnavailable, ReasonLeaving, errLeaving.Error(), RetryAfterLeaving)
}

// stopRequest returns the answer to a request that is under way when the node is about to end.
func (req *requestState) stopRequest() *outcome.Refusal {
	if req.answerStarted {
		req.abort(ReasonLeaving)
	}
	if len(req.mayHaveRunOn) == 0 && req.attemptCount == 0 {
		return refuseLeaving()
	}
	return outcomeUnknown(http.StatusGatewayTimeout, ReasonLeaving, "this node has stopped before the endpoint answered")
}

// answerWithoutTarget returns the final answer if no target is available.
func (req *requestState) answerWithoutTarget(err error) (*Answer, *outcome.Refusal) {
	var guarded *crashguard.Refusal
	switch {
	case req.callerCtx.Err() != nil:
		return nil, req.callerGone()
	case req.stopped():
		return nil, req.stopRequest()
	case errors.As(err, &guarded) && req.answerStarted:
		req.guardRefusal = guarded
		req.abort(guardReason(guarded.Verdict))
	case errors.As(err, &guarded):
		return nil, req.refuseGuarded(guarded)
	case req.answerStarted:
		req.abort(ReasonNoEndpoint)
	case req.lastResult.answer != nil:
		return req.lastResult.answer, nil
	case len(req.mayHaveRunOn) > 0:
		return nil, refusalWithoutAnswer(req.lastResult)
	case errors.Is(err, errLeaving):
		return nil, refuseLeaving()
	case errors.Is(err, targets.ErrNoCapacity):
		return nil, req.refuseNoCapacity(err)
	case req.forwarding.refusal != nil:
		return nil, req.forwarding.refusal
	case errors.Is(err, targets.ErrUnreachable):
		return nil, NotRun(http.StatusServiceUnavailable, ReasonUnreachable, err.Error(), retryAfterNoCapacity)
	case errors.Is(err, targets.ErrNoEndpoint):
		return nil, NotRun(http.StatusServiceUnavailable, ReasonNoEndpoint, "no endpoint is available", retryAfterNoCapacity)
	}
	return nil, req.expired()
}

// refuseNoCapacity returns the refusal of a request for which no endpoint has capacity. If the
// endpoints have stated when they want requests again, the caller is told that time.
func (req *requestState) refuseNoCapacity(err error) *outcome.Refusal {
	var pushback *targets.PushbackError
	if !errors.As(err, &pushback) {
		return NotRun(http.StatusServiceUnavailable, ReasonNoCapacity, err.Error(), req.retryAfterNoCapacity())
	}
	retryAfter := max(minRetryAfter, pushback.Until.Sub(req.server.Now()))
	return NotRun(http.StatusServiceUnavailable, ReasonPushedBack, err.Error(), retryAfter)
}

func refusalWithoutAnswer(res attemptResult) *outcome.Refusal {
	return outcomeUnknown(http.StatusBadGateway, ReasonUnknown, "the endpoint received the request and did not answer it: "+res.told())
}
