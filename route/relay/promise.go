package relay

import (
	"github.com/cicadatack/cicadatack/route/outcome"
)

// truthful is the way of each result of a request to its caller.
func (req *requestState) truthful(answer *Answer, refusal *outcome.Refusal) (*Answer, *outcome.Refusal) {
	if answer != nil && req.unproven(answer.Status) {
		req.recordUnproven(answer.Status)
	}
	return answer, refusal
}

// unproven reports whether the status of an endpoint's answer promises that the request has not run,
// although the endpoint has not said so. (An answer that says so counts as a refusal and is not passed on.)
// A request that is idempotent may run again, whatever its caller takes the status for.
func (req *requestState) unproven(status int) bool {
	return !req.Route.Idempotent() && req.server.HeaderCodec.PromisesNotRun(status)
}

// recordUnproven records an answer with such a status.
func (req *requestState) recordUnproven(status int) {
	req.server.Metrics.UnprovenRefusal(req.Service, status)
	req.log.Warn("replica's status promises that the request has not run, but the replica does not say so", "service", req.Service,
		"replica", req.lastTarget.Replica, "address", req.lastTarget.Address, "status", status, "sends", req.attemptCount)
}
