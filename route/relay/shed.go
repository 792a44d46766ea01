package relay

import (
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/loadshed"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/loadadmission"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

// returningShare is the share of the route's timeout that a first request of a caller has at
// least. A caller with less time has probably been refused before.
const returningShare = 0.9

// admit refuses a new stream if the service is saturated and other requests go first. Otherwise it
// counts the stream until its first event. The node that sends a request to a replica decides on it
// and counts it: if the node that forwards it decided as well, the two together would admit too few.
func (req *requestState) admit() *outcome.Refusal {
	if req.Admission == nil || req.Route.Kind != ruleset.Stream {
		return nil
	}
	if req.Forwarded == nil && req.cutOff() {
		return nil // it is going to be forwarded
	}
	if !req.continues() {
		decision := req.Admission.Admit(req.loadRequest())
		if !decision.Admitted {
			return req.refuseShed(decision)
		}
	}
	// A request that waits for capacity counts as well: its wait is a part of the time to the
	// first event.
	req.awaiting = req.Admission.Await()
	return nil
}

func (req *requestState) refuseShed(decision loadshed.Decision) *outcome.Refusal {
	req.shedding = &decision
	req.server.Metrics.Shed(req.Service, req.loadPriority())
	return NotRun(http.StatusServiceUnavailable, ReasonShed, "the service is saturated", decision.RetryAfter)
}

// continues reports whether the request was admitted before, or may have begun elsewhere: its
// caller or another node resumes a stream, or another node has sent it to a replica. Such a
// request is not refused, because the events that its caller has would be wasted, and because it
// may have run.
func (req *requestState) continues() bool {
	f := req.Forwarded
	return req.Call.LastEventID != "" || f != nil && (f.Admitted || f.ResumeAfter != "" || len(f.MayHaveRunOn) > 0)
}

// loadRequest describes the request for the decision on its admission.
func (req *requestState) loadRequest() loadshed.Request {
	// A slow upload of the body does not make a request a returning one.
	allowed := req.Deadline.Sub(req.Arrived)
	return loadshed.Request{
		Class:     loadadmission.ClassOf(req.loadPriority(), req.Team),
		Returning: allowed < time.Duration(returningShare*float64(req.Route.Timeout)),
		TimeLeft:  req.Deadline.Sub(req.server.Now()),
	}
}

// shedFigures adds the figures of a decision to shed the request to those of its refusal.
func (req *requestState) shedFigures(d *decisionlog.Decision) {
	if req.shedding == nil {
		return
	}
	d.Values["priority"] = float64(req.loadPriority())
	d.Values["wait_ms"] = millis(req.shedding.Wait)
	d.Values["admitted_part"] = req.shedding.Fraction
}

// retryAfterNoCapacity returns when the caller should return if there is no capacity for its request
// now.
func (req *requestState) retryAfterNoCapacity() time.Duration {
	if req.Admission == nil {
		return retryAfterNoCapacity
	}
	return req.Admission.Defer(req.loadRequest())
}

// upstreamPriority returns the priority of the request at the endpoint; nil if the service is not
// under load control.
func (req *requestState) upstreamPriority() *int {
	if req.Admission == nil {
		return nil
	}
	return new(req.loadPriority())
}

// loadPriority returns the priority in the range that load control distinguishes.
func (req *requestState) loadPriority() int {
	return min(max(0, req.Priority), loadshed.MaxPriority)
}
