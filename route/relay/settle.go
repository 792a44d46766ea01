package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/targets"
)

// settle is the final answer after a try that is not repeated.
func (q *request) settle(v verdict) (*Answer, *outcome.Refusal) {
	switch {
	case v.end == endCallerGone:
		return nil, q.callerGone()
	case v.end == endDeadline:
		return nil, q.expired()
	case q.started:
		q.cut(ReasonUnknown)
	case v.answer != nil:
		return v.answer, nil
	case len(q.ran) > 0:
		return nil, unanswered(v)
	case v.result.Failure == health.Overloaded:
		return nil, NotRun(http.StatusTooManyRequests, ReasonOverloaded, v.detail, retryRoom)
	case v.result.NoRoom:
		return nil, NotRun(http.StatusServiceUnavailable, ReasonNoRoom, "an endpoint had no room, and no further try is left: "+v.detail, retryRoom)
	}
	return nil, NotRun(http.StatusServiceUnavailable, ReasonNoEndpoint, "no endpoint took the request: "+v.detail, retryRoom)
}

// callerGone ends a request whose caller has left. The answer reaches nobody but a
// door that keeps it.
func (q *request) callerGone() *outcome.Refusal {
	q.record(decisionlog.Decision{
		Kind: decisionlog.Finish, Chosen: q.lastTarget.Replica, Reason: "the caller left",
		Figures: map[string]float64{
			"sends": float64(q.sends), "events": float64(q.events), "took_ms": millis(q.s.Now().Sub(q.Arrived)),
			"silent_ms": millis(q.silentFor()), "waited_room_ms": millis(q.waitedRoom),
		},
	})
	r := NotRun(statusCallerGone, ReasonCallerGone, "the caller left", 0)
	if len(q.ran) > 0 {
		r.Outcome = outcome.Unknown
	}
	return r
}

// silentFor is how long the caller has been without anything new.
func (q *request) silentFor() time.Duration {
	if q.heard.IsZero() {
		return q.s.Now().Sub(q.Arrived)
	}
	return q.s.Now().Sub(q.heard)
}

// expired is the answer to a request whose time is up.
func (q *request) expired() *outcome.Refusal {
	if q.started {
		q.cut(ReasonTimeout)
	}
	if len(q.ran) == 0 && q.sends == 0 {
		return NotRun(http.StatusServiceUnavailable, ReasonTimeout, "no endpoint had room in time", retryRoom)
	}
	return unknown(http.StatusGatewayTimeout, ReasonTimeout, "no answer in time")
}

// giveUp is the answer to a request for which there is no target.
func (q *request) giveUp(err error) (*Answer, *outcome.Refusal) {
	switch {
	case q.caller.Err() != nil:
		return nil, q.callerGone()
	case q.started:
		q.cut(ReasonNoEndpoint)
	case q.last.answer != nil:
		return q.last.answer, nil
	case len(q.ran) > 0:
		return nil, unanswered(q.last)
	case errors.Is(err, targets.ErrNoRoom):
		return nil, NotRun(http.StatusServiceUnavailable, ReasonNoRoom, "all endpoints are full", retryRoom)
	case errors.Is(err, targets.ErrNoEndpoint):
		return nil, NotRun(http.StatusServiceUnavailable, ReasonNoEndpoint, "no endpoint may be used now", retryRoom)
	}
	return nil, q.expired()
}

func unanswered(v verdict) *outcome.Refusal {
	return unknown(http.StatusBadGateway, ReasonUnknown, "the endpoint that was given the request did not answer it: "+v.detail)
}
