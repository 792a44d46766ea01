package layerplans

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/decide/placement"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/plan"
)

// drainLimit is how long engines may finish their streams before they take other
// weights. An answer of 4,000 tokens at the 36 ms between tokens that callers are
// promised takes 144 s. A stream that is still there then goes on elsewhere with
// the weights that it began with, as long as a replica has them.
const drainLimit = 150 * time.Second

// may says whether a plan decided for a reason may be agreed now.
func (k *Keeper) may(ctx context.Context, now time.Time, kept *keptReplica, reason string) (bool, error) {
	switch reason {
	case reasonMeasured:
		return k.mayMove(ctx, now, kept)
	case reasonVersion:
		return k.mayRoll(ctx, now, kept)
	default:
		return true, nil // it serves nobody
	}
}

// mayRoll says whether it is a replica's turn to take the document's version. One
// that serves also waits for the weight store, or it would stand empty until its
// load's turn.
func (k *Keeper) mayRoll(ctx context.Context, now time.Time, kept *keptReplica) (bool, error) {
	rollout, known := k.rollouts[kept.open.place]
	if !known {
		rollout = k.rollout(kept.open)
		k.rollouts[kept.open.place] = rollout
	}
	if !contains(rollout.Start, kept.open.name) {
		return false, nil
	}
	if kept.state != placement.Ready {
		return true, nil
	}
	pace, _, err := plan.LoadPace(ctx, k.cfg.Store, plan.PaceKey(k.cfg.Environment))
	return err == nil && pace.Free(now), err
}

func (k *Keeper) rollout(open openReplica) placement.RolloutStep {
	var candidates []placement.RolloutReplica
	for _, other := range k.kept {
		if other.open.place != open.place {
			continue
		}
		agreed, _ := k.cfg.Book.Agreed(open.place.model, other.open.name)
		candidates = append(candidates, placement.RolloutReplica{
			Name: other.open.name, Version: agreed.Weights, State: other.state, RunningStreams: other.running(),
		})
	}
	return placement.NextRollout(open.model.Version, open.model.Rollout(), candidates)
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// running is how many streams the engine with the most works on.
func (kept *keptReplica) running() int {
	most := 0
	for _, r := range kept.reports {
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
func (k *Keeper) drain(ctx context.Context, now time.Time, kept *keptReplica, differ []due) bool {
	done := true
	for _, each := range differ {
		held := each.holding.Holding
		if held.Model != each.order.Model || held.Weights == each.order.Weights {
			continue
		}
		if kept.drained.IsZero() {
			kept.drained = now
		}
		drain := engineapi.Order(held)
		drain.PlacementVersion = each.order.PlacementVersion
		drain.Role = engineapi.RoleDrain
		if held != engineapi.Holding(drain) {
			k.send(ctx, kept.open, due{each.endpoint, drain, each.holding})
			done = false
		}
		if each.holding.Running > 0 {
			done = false
		}
	}
	return done || now.Sub(kept.drained) >= drainLimit
}
