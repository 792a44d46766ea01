package layerplans

import (
	"context"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/placement"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/plan"
)

// booking is the time at the weight store that an order was given.
type booking struct {
	order engineapi.Order
	start time.Time
}

// due is an order that an engine's report asks for.
type due struct {
	endpoint document.Endpoint
	order    engineapi.Order
	holding  engineapi.Report
}

// order tells each engine whose holding differs from the plan to follow it, once
// the weight store has time for what it must fetch. An engine that restarted empty
// is found the same way, so a rack that comes back is paced too.
func (k *Keeper) order(ctx context.Context, now time.Time, d *docindex.Directory, kept *keptReplica) {
	agreed, ok := k.cfg.Book.Agreed(kept.open.place.model, kept.open.name)
	if !ok {
		return
	}
	differ := k.differing(ctx, d, kept, agreed)
	kept.noteUses(now, agreed.Stages[0].Endpoint)
	if len(differ) == 0 {
		kept.drained = time.Time{}
		if kept.state == placement.Ready {
			k.orderAdapters(ctx, now, d, kept, agreed)
		}
		return
	}
	kept.state = placement.Loading
	if !k.drain(ctx, now, kept, differ) {
		kept.checked = time.Time{} // looked at first in the next round
		return
	}
	if err := k.book(ctx, now, d, kept, differ); err != nil {
		k.cfg.Log.Warn("loads not booked", "model", kept.open.place.model, "replica", kept.open.name, "error", err)
		return
	}
	for _, each := range differ {
		if !now.Before(kept.booked[each.endpoint.Name].start) {
			k.send(ctx, kept.open, each)
		}
	}
}

// differing asks the engines of a replica what they hold, notes how it stands to its
// plan, and returns the orders that are due.
func (k *Keeper) differing(ctx context.Context, d *docindex.Directory, kept *keptReplica, agreed plan.Replica) []due {
	var differ []due
	kept.state = placement.Ready
	for _, s := range agreed.Stages {
		e, known := d.Endpoint(s.Endpoint)
		if !known {
			kept.state = placement.Unknown
			continue
		}
		holding, err := k.holding(ctx, e)
		if err != nil {
			kept.state = placement.Unknown // asked again in the next round
			delete(kept.reports, e.Name)
			continue
		}
		kept.reports[e.Name] = holding
		order := engineapi.Order{
			Model: kept.open.place.model, Weights: agreed.Weights, First: s.First, Last: s.Last,
			PlacementVersion: agreed.Version,
		}
		if holding.Holding == engineapi.Holding(order) {
			delete(kept.booked, e.Name)
			continue
		}
		differ = append(differ, due{e, order, holding})
	}
	return differ
}

func (k *Keeper) holding(ctx context.Context, e document.Endpoint) (engineapi.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return k.cfg.Engines.Holding(ctx, e.Address)
}

// book gives each order that has none yet its time at the weight store, all of them
// in one write.
func (k *Keeper) book(ctx context.Context, now time.Time, d *docindex.Directory, kept *keptReplica, differ []due) error {
	model, _ := shapeOf(d, kept.open)
	rate := int64(d.Document.Policy.WeightMegabytesPerSecond) * megabyte
	var fresh []due
	var takes []time.Duration
	longest := time.Duration(0)
	for _, each := range differ {
		if kept.booked[each.endpoint.Name].order == each.order {
			continue
		}
		fresh = append(fresh, each)
		take := placement.FetchTime(placement.FetchBytes(model, held(each), wanted(each.order)), rate)
		takes = append(takes, take)
		longest = max(longest, take)
	}
	starts := make([]time.Time, len(fresh)) // long past: at once
	if longest > 0 {
		var err error
		if starts, err = k.bookTimes(ctx, now, takes); err != nil {
			return err
		}
	}
	for i, each := range fresh {
		kept.booked[each.endpoint.Name] = booking{each.order, starts[i]}
		if starts[i].After(now) {
			k.cfg.Log.Info("load waits", "endpoint", each.endpoint.Name, "version", each.order.PlacementVersion, "wait_ms", starts[i].Sub(now).Milliseconds())
		}
	}
	return nil
}

func (k *Keeper) bookTimes(ctx context.Context, now time.Time, takes []time.Duration) ([]time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, agreeTimeout)
	defer cancel()
	return plan.Book(ctx, k.cfg.Store, plan.PaceKey(k.cfg.Environment), k.cfg.Node, now, takes)
}

// held is what an engine has of the ordered model.
func held(d due) placement.Stage {
	if d.holding.Model != d.order.Model || d.holding.Weights != d.order.Weights {
		return placement.Stage{First: 0, Last: -1}
	}
	return placement.Stage{First: d.holding.First, Last: d.holding.Last}
}

func wanted(o engineapi.Order) placement.Stage {
	return placement.Stage{First: o.First, Last: o.Last}
}

func (k *Keeper) send(ctx context.Context, open openReplica, d due) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := k.cfg.Engines.Order(ctx, d.endpoint.Address, d.order); err != nil {
		k.cfg.Log.Warn("order not taken", "endpoint", d.endpoint.Name, "version", d.order.PlacementVersion, "error", err)
		if engineclient.Status(err) == http.StatusConflict {
			k.raise(open, d.holding.PlacementVersion)
		}
		return
	}
	k.cfg.Log.Info("order", "endpoint", d.endpoint.Name, "model", d.order.Model, "weights", d.order.Weights, "first", d.order.First, "last", d.order.Last, "role", d.order.Role, "version", d.order.PlacementVersion)
}

// raise puts the replica's plan above a fencing number that an engine took from
// someone else; the next round orders by the new number.
func (k *Keeper) raise(open openReplica, above int64) {
	k.change(open, func(r *plan.Record) bool { return r.Raise(open.name, above) })
}

// change agrees on a change of a replica's plan by which later orders are taken.
func (k *Keeper) change(open openReplica, change func(*plan.Record) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), agreeTimeout)
	defer cancel()
	key := plan.Key(k.cfg.Environment, open.place.model, open.place.domain)
	record, err := plan.Agree(ctx, k.cfg.Store, key, k.cfg.Node, change)
	if err != nil {
		k.cfg.Log.Warn("plan not raised", "replica", open.name, "error", err)
		return
	}
	k.cfg.Book.take(open.place, record)
}

// mayMove says whether a replica may stop serving for a better plan: the others of
// its model and failure domain must carry its callers meanwhile, and the weight
// store must be free, or the chain would stand empty until its turn.
func (k *Keeper) mayMove(ctx context.Context, now time.Time, kept *keptReplica) (bool, error) {
	var others []placement.ReplicaState
	for _, other := range k.kept {
		if other != kept && other.open.place == kept.open.place {
			others = append(others, other.state)
		}
	}
	if !placement.MayReload(others) {
		return false, nil
	}
	pace, _, err := plan.LoadPace(ctx, k.cfg.Store, plan.PaceKey(k.cfg.Environment))
	return err == nil && pace.Free(now), err
}
