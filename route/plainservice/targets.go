package plainservice

import (
	"context"
	"slices"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/endpointlimits"
	"github.com/cicadatack/cicadatack/route/lifecycle"
	"github.com/cicadatack/cicadatack/route/targets"
)

// documentTargets are the endpoints of a call's service. The service's balancer chooses
// among them. Their addresses come from the document that was in force when the call
// arrived.
type documentTargets struct{ call *lifecycle.ActiveCall }

// Choose implements targets.Targets. Choose does not wait, because the call has already
// waited in the admission queue.
func (d documentTargets) Choose(_ context.Context, q targets.Query) (targets.Target, error) {
	blocked := d.Limits().Blocked()
	limited := len(blocked) > 0
	for exclude := append(slices.Clone(q.Exclude), blocked...); ; {
		choice, ok := d.call.Local.Picker.Pick(balance.Query{Cost: callCost, Exclude: exclude, NoProbe: q.NonIdempotent})
		if !ok && limited {
			return targets.Target{}, targets.BlockedError(d.Limits(), blocked)
		}
		if !ok {
			return targets.Target{}, targets.ErrNoEndpoint
		}
		endpoint, known := d.call.DocumentIndex.Endpoint(choice.ReplicaID)
		mayTake := known && d.Limits().Take(choice.ReplicaID)
		if mayTake {
			return targets.Target{Replica: choice.ReplicaID, Address: endpoint.Address, Domain: endpoint.FailureDomain, Choice: &choice}, nil
		}
		// The endpoint was added by a later document than the one that the call uses, another
		// call has taken what the endpoint's rate limit allowed, or the endpoint has just
		// stated that it wants no requests.
		limited = limited || known
		d.call.Local.Picker.Finished(choice.ReplicaID, balance.Result{Cost: callCost, Failure: health.Canceled})
		exclude = append(exclude[:len(exclude):len(exclude)], choice.ReplicaID)
	}
}

// MarkLeaving implements targets.Targets.
func (d documentTargets) MarkLeaving(t targets.Target) bool {
	return d.call.Local.Picker.RecordLeavingAnswer(t.Replica)
}

// Limits implements targets.Targets.
func (d documentTargets) Limits() *endpointlimits.Limits { return d.call.Local.Limits }

// Finish implements targets.Targets.
func (d documentTargets) Finish(t targets.Target, r targets.Result) {
	d.call.Local.Picker.Finished(t.Replica, balance.Result{Cost: callCost, TotalTime: r.Duration, Failure: r.Failure})
}
