package plainservice

import (
	"context"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/lifecycle"
	"github.com/cicadatack/cicadatack/route/targets"
)

// documentTargets are those of a call's service, as the data path chooses among them: by the
// service's balancer, at the addresses of the document that let the call in.
type documentTargets struct{ call *lifecycle.ActiveCall }

// Choose implements targets.Targets. It does not wait: the entrance has.
func (e documentTargets) Choose(_ context.Context, q targets.Query) (targets.Target, error) {
	for exclude := q.Exclude; ; {
		choice, ok := e.call.Local.Picker.Pick(balance.Query{Cost: callCost, Exclude: exclude, NoProbe: q.NonIdempotent})
		if !ok {
			return targets.Target{}, targets.ErrNoEndpoint
		}
		endpoint, known := e.call.Directory.Endpoint(choice.Replica)
		if known {
			return targets.Target{Replica: choice.Replica, Address: endpoint.Address, Domain: endpoint.FailureDomain, Choice: &choice}, nil
		}
		// A later document has brought the endpoint; this call's does not know it.
		e.call.Local.Picker.Finished(choice.Replica, balance.Result{Cost: callCost, Failure: health.Canceled})
		exclude = append(exclude[:len(exclude):len(exclude)], choice.Replica)
	}
}

// Finish implements targets.Targets.
func (e documentTargets) Finish(t targets.Target, r targets.Result) {
	e.call.Local.Picker.Finished(t.Replica, balance.Result{Cost: callCost, TotalTime: r.Duration, Failure: r.Failure})
}
