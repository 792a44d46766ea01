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

// reservation is an order with the reserved start of its load at the weight store.
type reservation struct {
	order    engineapi.Order
	startsAt time.Time
}

// pendingOrder is an order that is due because the engine's report differs from the plan.
type pendingOrder struct {
	endpoint document.Endpoint
	order    engineapi.Order
	report   engineapi.Report
}

// orderLayers sends orders to the engines whose layers differ from the plan, once the
// reserved load time of each order has come. Engines that restart without layers also
// differ from the plan, so the loads of a restarted rack are scheduled too.
func (k *Controller) orderLayers(ctx context.Context, now time.Time, d *docindex.Index, replica *managedReplica) {
	replicaPlan, ok := k.cfg.Cache.Agreed(replica.spec.key.model, replica.spec.name)
	if !ok {
		return
	}
	pending := k.pendingOrders(ctx, d, replica, replicaPlan)
	replica.updateUseRates(now, replicaPlan.Stages[0].Endpoint)
	if len(pending) == 0 {
		replica.drainStartedAt = time.Time{}
		if replica.state == placement.Ready {
			k.orderAdapters(ctx, now, d, replica, replicaPlan)
		}
		return
	}
	replica.state = placement.Loading
	if !k.drain(ctx, now, replica, pending) {
		replica.checkedAt = time.Time{} // check this replica first in the next round
		return
	}
	if err := k.reserveLayerLoads(ctx, now, d, replica, pending); err != nil {
		k.cfg.Log.Warn("loads not reserved", "model", replica.spec.key.model, "replica", replica.spec.name, "error", err)
		return
	}
	for _, each := range pending {
		if !now.Before(replica.reservations[each.endpoint.Name].startsAt) {
			k.sendOrder(ctx, replica.spec, each)
		}
	}
}

// pendingOrders fetches the reports of a replica's engines and updates the replica's
// state. It returns the orders for the engines that differ from the plan.
func (k *Controller) pendingOrders(ctx context.Context, d *docindex.Index, replica *managedReplica, replicaPlan plan.Replica) []pendingOrder {
	var pending []pendingOrder
	replica.state = placement.Ready
	for _, s := range replicaPlan.Stages {
		e, known := d.Endpoint(s.Endpoint)
		if !known {
			replica.state = placement.Unknown
			continue
		}
		report, err := k.fetchReport(ctx, e)
		if err != nil {
			replica.state = placement.Unknown // fetched again in the next round
			delete(replica.reports, e.Name)
			continue
		}
		replica.reports[e.Name] = report
		order := engineapi.Order{
			Model: replica.spec.key.model, Weights: replicaPlan.Weights, First: s.First, Last: s.Last,
			PlacementVersion: replicaPlan.Version,
		}
		if report.Holding == engineapi.Holding(order) {
			delete(replica.reservations, e.Name)
			continue
		}
		pending = append(pending, pendingOrder{e, order, report})
	}
	return pending
}

func (k *Controller) fetchReport(ctx context.Context, e document.Endpoint) (engineapi.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return k.cfg.EngineClient.HoldingReport(ctx, e.Address)
}

// reserveLayerLoads reserves load time at the weight store, in one write, for all orders
// that have no reserved load time yet.
func (k *Controller) reserveLayerLoads(ctx context.Context, now time.Time, d *docindex.Index, replica *managedReplica, pending []pendingOrder) error {
	model, _ := plannerInput(d, replica.spec)
	rate := int64(d.Document.Policy.WeightMegabytesPerSecond) * megabyte
	var unreserved []pendingOrder
	var fetchTimes []time.Duration
	longestFetch := time.Duration(0)
	for _, each := range pending {
		if replica.reservations[each.endpoint.Name].order == each.order {
			continue
		}
		unreserved = append(unreserved, each)
		fetchTime := placement.FetchTime(placement.FetchBytes(model, heldStage(each), orderedStage(each.order)), rate)
		fetchTimes = append(fetchTimes, fetchTime)
		longestFetch = max(longestFetch, fetchTime)
	}
	startTimes := make([]time.Time, len(unreserved)) // the zero time means: start at once
	if longestFetch > 0 {
		var err error
		if startTimes, err = k.reserveLoads(ctx, now, fetchTimes); err != nil {
			return err
		}
	}
	for i, each := range unreserved {
		replica.reservations[each.endpoint.Name] = reservation{each.order, startTimes[i]}
		if startTimes[i].After(now) {
			k.cfg.Log.Info("load waits for the weight store", "endpoint", each.endpoint.Name, "version", each.order.PlacementVersion, "wait_ms", startTimes[i].Sub(now).Milliseconds())
		}
	}
	return nil
}

func (k *Controller) reserveLoads(ctx context.Context, now time.Time, durations []time.Duration) ([]time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return plan.Book(ctx, k.cfg.Store, plan.PaceKey(k.cfg.Environment), k.cfg.Node, now, durations)
}

// heldStage returns the layers that the order's engine holds. Only layers of the model and
// weights that the order names are counted.
func heldStage(pending pendingOrder) placement.Stage {
	if pending.report.Model != pending.order.Model || pending.report.Weights != pending.order.Weights {
		return placement.Stage{First: 0, Last: -1}
	}
	return placement.Stage{First: pending.report.First, Last: pending.report.Last}
}

func orderedStage(o engineapi.Order) placement.Stage {
	return placement.Stage{First: o.First, Last: o.Last}
}

func (k *Controller) sendOrder(ctx context.Context, spec replicaSpec, pending pendingOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := k.cfg.EngineClient.Order(ctx, pending.endpoint.Address, pending.order); err != nil {
		k.cfg.Log.Warn("order not accepted", "endpoint", pending.endpoint.Name, "version", pending.order.PlacementVersion, "error", err)
		if engineclient.HTTPStatus(err) == http.StatusConflict {
			k.raiseVersion(spec, pending.report.PlacementVersion)
		}
		return
	}
	k.cfg.Log.Info("order", "endpoint", pending.endpoint.Name, "model", pending.order.Model, "weights", pending.order.Weights, "first", pending.order.First, "last", pending.order.Last, "role", pending.order.Role, "version", pending.order.PlacementVersion)
}

// raiseVersion raises the plan's version above a version that an engine accepted from
// another source. The next round sends orders with the new version.
func (k *Controller) raiseVersion(spec replicaSpec, acceptedVersion int64) {
	k.updateRecord(spec, func(r *plan.Record) bool { return r.Raise(spec.name, acceptedVersion) })
}

// updateRecord writes a change of a replica's plan to the store and the cache.
func (k *Controller) updateRecord(spec replicaSpec, change func(*plan.Record) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	key := plan.Key(k.cfg.Environment, spec.key.model, spec.key.domain)
	record, err := plan.Agree(ctx, k.cfg.Store, key, k.cfg.Node, change)
	if err != nil {
		k.cfg.Log.Warn("plan version not raised", "replica", spec.name, "error", err)
		return
	}
	k.cfg.Cache.update(spec.key, record)
}

// mayReload reports whether a replica may stop serving for a better plan. The other
// replicas of its model and failure domain must serve its requests meanwhile. The weight
// store must be free, or the replica would be out of service until its reserved time.
func (k *Controller) mayReload(ctx context.Context, now time.Time, replica *managedReplica) (bool, error) {
	var otherStates []placement.ReplicaState
	for _, other := range k.replicas {
		if other != replica && other.spec.key == replica.spec.key {
			otherStates = append(otherStates, other.state)
		}
	}
	if !placement.MayReload(otherStates) {
		return false, nil
	}
	schedule, _, err := plan.LoadPace(ctx, k.cfg.Store, plan.PaceKey(k.cfg.Environment))
	return err == nil && schedule.Free(now), err
}
