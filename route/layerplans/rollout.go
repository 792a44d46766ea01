package layerplans

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/decide/placement"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/plan"
)

// drainTimeout bounds the time that engines have to finish their streams before they load
// other weights. Callers are promised at most 36 ms between tokens, so an answer of
// 4,000 tokens takes up to 144 s. A stream that is not finished after drainTimeout resumes
// on another replica, if another replica has the stream's version of the weights.
const drainTimeout = 150 * time.Second

// mayCommit reports whether a plan that was decided for a reason may be written now.
func (k *Controller) mayCommit(ctx context.Context, now time.Time, replica *managedReplica, reason string) (bool, error) {
	switch reason {
	case reasonMeasured:
		return k.mayReload(ctx, now, replica)
	case reasonVersion:
		return k.mayRollOut(ctx, now, replica)
	default:
		return true, nil // the replica is not serving
	}
}

// mayRollOut reports whether a replica may take the document's version of the weights now.
// A replica that is serving also waits until the weight store is free. Otherwise it would
// be out of service until its reserved load time.
func (k *Controller) mayRollOut(ctx context.Context, now time.Time, replica *managedReplica) (bool, error) {
	rollout, known := k.rollouts[replica.spec.key]
	if !known {
		rollout = k.rollout(replica.spec)
		k.rollouts[replica.spec.key] = rollout
	}
	if !contains(rollout.Start, replica.spec.name) {
		return false, nil
	}
	if replica.state != placement.Ready {
		return true, nil
	}
	schedule, _, err := plan.LoadPace(ctx, k.cfg.Store, plan.PaceKey(k.cfg.Environment))
	return err == nil && schedule.Free(now), err
}

func (k *Controller) rollout(spec replicaSpec) placement.RolloutStep {
	var candidates []placement.RolloutReplica
	for _, other := range k.replicas {
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

// runningStreams returns the number of running streams at the replica's busiest engine.
func (replica *managedReplica) runningStreams() int {
	maxStreams := 0
	for _, r := range replica.reports {
		maxStreams = max(maxStreams, r.Running)
	}
	return maxStreams
}

// drain orders the engines that will load other weights to finish their streams first. It
// reports whether all of them are idle or drainTimeout has passed.
//
// Without drain, weights would be replaced while streams run. The answers of these streams
// would continue with tokens of another version. Where the check of the tokens' spans
// detects the other version, the streams would be cut off, and each caller would wait until
// another replica has prefilled its prompt again.
//
// The drain order carries the plan's new version. Every node checks the version before it
// uses an engine, so no node starts new streams at the engine, whichever plan the node has
// cached.
func (k *Controller) drain(ctx context.Context, now time.Time, replica *managedReplica, pending []pendingOrder) bool {
	drained := true
	for _, each := range pending {
		held := each.report.Holding
		if held.Model != each.order.Model || held.Weights == each.order.Weights {
			continue
		}
		if replica.drainStartedAt.IsZero() {
			replica.drainStartedAt = now
		}
		drain := engineapi.Order(held)
		drain.PlacementVersion = each.order.PlacementVersion
		drain.Role = engineapi.RoleDrain
		if held != engineapi.Holding(drain) {
			k.sendOrder(ctx, replica.spec, pendingOrder{each.endpoint, drain, each.report})
			drained = false
		}
		if each.report.Running > 0 {
			drained = false
		}
	}
	return drained || now.Sub(replica.drainStartedAt) >= drainTimeout
}
