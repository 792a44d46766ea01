package layerplans

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/decide/placement"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/plan"
)

// drainTimeout is how long engines may finish their streams before they take other
// weights. An answer of 4,000 tokens at the 36 ms between tokens that callers are
// promised takes 144 s. A stream that is still there then goes on elsewhere with
// the weights that it began with, as long as a replica has them.
const drainTimeout = 150 * time.Second

// mayCommit says whether a plan decided for a reason mayCommit be agreed now.
func (k *Controller) mayCommit(ctx context.Context, now time.Time, managed *managedReplica, reason string) (bool, error) {
	switch reason {
	case reasonMeasured:
		return k.mayReload(ctx, now, managed)
	case reasonVersion:
		return k.mayRollOut(ctx, now, managed)
	default:
		return true, nil // it serves nobody
	}
}

// mayRollOut says whether it is a replica's turn to take the document's version. One
// that serves also waits for the weight store, or it would stand empty until its
// load's turn.
func (k *Controller) mayRollOut(ctx context.Context, now time.Time, managed *managedReplica) (bool, error) {
	rollout, known := k.rollouts[managed.spec.key]
	if !known {
		rollout = k.rollout(managed.spec)
		k.rollouts[managed.spec.key] = rollout
	}
	if !contains(rollout.Start, managed.spec.name) {
		return false, nil
	}
	if managed.state != placement.Ready {
		return true, nil
	}
	schedule, _, err := plan.LoadPace(ctx, k.cfg.Store, plan.PaceKey(k.cfg.Environment))
	return err == nil && schedule.Free(now), err
}

func (k *Controller) rollout(spec replicaSpec) placement.Rollout {
	var candidates []placement.RolloutReplica
	for _, other := range k.managed {
		if other.spec.key != spec.key {
			continue
		}
		replicaPlan, _ := k.cfg.Cache.Agreed(spec.key.model, other.spec.name)
		candidates = append(candidates, placement.RolloutReplica{
			Name: other.spec.name, Version: replicaPlan.Weights, State: other.state, RunningStreams: other.runningStreams(),
		})
	}
	return placement.NextRollout(spec.model.Version, spec.model.Rollout(), candidates)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// runningStreams is how many streams the engine with the most works on.
func (managed *managedReplica) runningStreams() int {
	most := 0
	for _, r := range managed.reports {
		most = max(most, r.Running)
	}
	return most
}

// drain has engines that are to take other weights finish their streams first, and
// reports whether they have, or were given long enough.
//
// The failure that it answers: weights are replaced under streams that have begun.
// Their answers would go on with another version's tokens; those that the check of
// spans refuses would be cut off, and each caller of the replica waits for another
// chain to read its prompt again. The order to drain carries the plan's new number,
// so from then on the check at use keeps new streams away whichever plan a node
// knows.
func (k *Controller) drain(ctx context.Context, now time.Time, managed *managedReplica, pending []pendingOrder) bool {
	drained := true
	for _, each := range pending {
		held := each.report.Holding
		if held.Model != each.order.Model || held.Weights == each.order.Weights {
			continue
		}
		if managed.drainStartedAt.IsZero() {
			managed.drainStartedAt = now
		}
		drain := engineapi.Order(held)
		drain.PlacementVersion = each.order.PlacementVersion
		drain.Role = engineapi.RoleDrain
		if held != engineapi.Holding(drain) {
			k.sendOrder(ctx, managed.spec, pendingOrder{each.endpoint, drain, each.report})
			drained = false
		}
		if each.report.Running > 0 {
			drained = false
		}
	}
	return drained || now.Sub(managed.drainStartedAt) >= drainTimeout
}
