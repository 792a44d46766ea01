package relay

import (
	"fmt"
	"net/http"

	"github.com/cicadatack/cicadatack/route/outcome"
)

// truthful returns what the caller of a request is told, given the result of its attempts. Each result takes
// this way. Callers send an order again if they are promised that it has not run, and only an endpoint's own
// statement proves that. An endpoint that fails after its work may answer with the same status.
func (req *requestState) truthful(answer *Answer, refusal *outcome.Refusal) (*Answer, *outcome.Refusal) {
	switch {
	case answer != nil && req.unproven(answer.Status):
		return nil, req.refuseUnproven(answer.Status)
	case refusal != nil && req.unproven(refusal.Status) && len(req.mayHaveRunOn) > 0:
		return nil, refusalWithoutAnswer(req.lastResult)
	}
	return answer, refusal
}

// unproven reports whether a status promises that the request has not run, so that it must not be passed on
// without proof. (An answer with proof counts as a refusal and is not passed on.) A request that is idempotent
// may run again, whatever its caller takes the status for.
func (req *requestState) unproven(status int) bool {
	return !req.Route.Idempotent() && req.server.HeaderCodec.PromisesNotRun(status)
}

// refuseUnproven records an answer with such a status, and returns what the caller is told in its place.
func (req *requestState) refuseUnproven(status int) *outcome.Refusal {
	req.server.Metrics.UnprovenRefusal(req.Service, status)
	req.log.Warn("replica's status promises that the request has not run, but the replica does not say so", "service", req.Service,
		"replica", req.lastTarget.Replica, "address", req.lastTarget.Address, "status", status, "sends", req.attemptCount)
	return outcomeUnknown(http.StatusBadGateway, ReasonUnproven,
		fmt.Sprintf("the endpoint answered %d and did not say that it has not run the request", status))
}
