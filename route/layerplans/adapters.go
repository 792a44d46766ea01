package layerplans

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/adapters"
	"github.com/cicadatack/cicadatack/decide/placement"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/plan"
)

// adapterState is what the controller knows about the adapters of one replica.
type adapterState struct {
	// reservedVersion is the version of the adapter order for which load time at the weight
	// store is reserved, or zero if no order is due. loadStartsAt is the start of that time.
	reservedVersion int64
	loadStartsAt    time.Time
	// useCounts are the uses per adapter that the first engine last reported, countedAt is
	// the time of this report, and useRates are the uses per second since the report before.
	useCounts map[string]uint64
	countedAt time.Time
	useRates  map[adapters.Adapter]float64
}

// updateUseRates computes the use rates from the use counts that the first engine reports.
// All nodes open the replica's streams at its first engine, so nodes need not exchange
// messages to know the demand.
func (replica *managedReplica) updateUseRates(now time.Time, firstEndpoint string) {
	report, known := replica.reports[firstEndpoint]
	elapsedSeconds := now.Sub(replica.adapters.countedAt).Seconds()
	if !known || elapsedSeconds <= 0 {
		return
	}
	rates := map[adapters.Adapter]float64{}
	for _, a := range report.Adapters {
		count, previous := report.Uses[a.String()], replica.adapters.useCounts[a.String()]
		if replica.adapters.useCounts != nil && count >= previous {
			rates[adapters.Adapter(a)] = float64(count-previous) / elapsedSeconds
		}
	}
	replica.adapters.useCounts, replica.adapters.countedAt, replica.adapters.useRates = report.Uses, now, rates
}

// placeAdapters decides which of the managed replicas hold which adapters, and writes the
// decision into their plans.
func (k *Controller) placeAdapters(ctx context.Context, now time.Time, d *docindex.Index) {
	groups := map[recordKey][]*managedReplica{}
	for _, replica := range k.replicas {
		// Skip the many models without adapters, because placeAdapters runs every second.
		if len(replica.spec.model.Adapters) > 0 || k.cfg.Cache.hasAdapters(replica.spec.key) {
			groups[replica.spec.key] = append(groups[replica.spec.key], replica)
		}
	}
	for key, group := range groups {
		result := adapters.Decide(desiredAdapters(group[0].spec), k.adapterReplicas(d, group))
		if len(result.Changes) == 0 {
			continue
		}
		if err := k.commitAdapters(ctx, key, result.Changes); err != nil {
			k.cfg.Log.Warn("adapter plan not written", "model", key.model, "failure_domain", key.domain, "error", err)
			continue
		}
		for _, change := range result.Changes {
			k.recordAdapterChange(now, key, change, len(result.Unplaced))
		}
	}
}

func desiredAdapters(spec replicaSpec) []adapters.Desired {
	var desired []adapters.Desired
	for _, a := range spec.model.Adapters {
		desired = append(desired, adapters.Desired{
			Adapter: adapters.Adapter{Name: a.Name, Version: a.Version}, Bytes: int64(a.Bytes), Replicas: a.Replicas,
		})
	}
	return desired
}

func (k *Controller) adapterReplicas(d *docindex.Index, group []*managedReplica) []adapters.Replica {
	slots := d.Document.Policy.ConcurrentPerReplica
	if slots <= 0 {
		slots = assumedSlots
	}
	var replicas []adapters.Replica
	for _, replica := range group {
		replicaPlan, ok := k.cfg.Cache.Agreed(replica.spec.key.model, replica.spec.name)
		if !ok {
			continue
		}
		r := adapters.Replica{
			Name:        replica.spec.name,
			MemoryBytes: adapterMemory(d, replica.spec, replicaPlan),
			Held:        replica.heldAdapters(replicaPlan),
			Serving:     replica.state == placement.Ready,
			Utilization: float64(replica.runningStreams()) / float64(slots),
			UseRate:     replica.adapters.useRates,
		}
		for _, a := range replicaPlan.Adapters {
			r.Planned = append(r.Planned, adapters.Adapter(a))
		}
		replicas = append(replicas, r)
	}
	return replicas
}

// assumedSlots is the number of concurrent streams of a replica if the document sets no
// number. It equals the default in route/service.
const assumedSlots = 16

// adapterMemory returns the memory for adapters in bytes, for all layers together. Each
// engine holds the part of an adapter that belongs to its layers. The engine with the
// least free memory per layer therefore limits the result.
func adapterMemory(d *docindex.Index, spec replicaSpec, replicaPlan plan.Replica) int64 {
	model := placementModel(spec)
	memory := math.Inf(1)
	for _, s := range replicaPlan.Stages {
		e, _ := d.Endpoint(s.Endpoint)
		layers := s.Last - s.First + 1
		free := acceleratorOf(d.Document, e).MemoryBytes - int64(layers)*model.LayerBytes
		memory = min(memory, float64(max(free, 0))*float64(model.Layers)/float64(layers))
	}
	return int64(min(memory, float64(assumedMemory)))
}

// heldAdapters returns the adapters that every engine of the replica reports.
func (replica *managedReplica) heldAdapters(replicaPlan plan.Replica) []adapters.Adapter {
	var held []adapters.Adapter
	for i, s := range replicaPlan.Stages {
		var adaptersOnEngine []adapters.Adapter
		for _, a := range replica.reports[s.Endpoint].Adapters {
			adaptersOnEngine = append(adaptersOnEngine, adapters.Adapter(a))
		}
		if i == 0 {
			held = adaptersOnEngine
			continue
		}
		held = slices.DeleteFunc(held, func(a adapters.Adapter) bool { return !slices.Contains(adaptersOnEngine, a) })
	}
	return held
}

// commitAdapters writes all changes in one compare-and-swap. A replica whose adapters
// another node has changed meanwhile is skipped until the next round.
func (k *Controller) commitAdapters(ctx context.Context, key recordKey, changes []adapters.Change) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	previous := map[string]plan.Replica{}
	for _, c := range changes {
		previous[c.Replica], _ = k.cfg.Cache.Agreed(key.model, c.Replica)
	}
	storeKey := plan.Key(k.cfg.Environment, key.model, key.domain)
	record, err := plan.Agree(ctx, k.cfg.Store, storeKey, k.cfg.Node, func(r *plan.Record) bool {
		changed := false
		for _, c := range changes {
			if r.Replicas[c.Replica].AdapterVersion != previous[c.Replica].AdapterVersion {
				continue
			}
			changed = r.PutAdapters(c.Replica, planAdapters(c.Adapters)) || changed
		}
		return changed
	})
	if err == nil {
		k.cfg.Cache.update(key, record)
	}
	return err
}

func planAdapters(list []adapters.Adapter) []plan.Adapter {
	var all []plan.Adapter
	for _, a := range list {
		all = append(all, plan.Adapter(a))
	}
	return all
}

func (k *Controller) recordAdapterChange(now time.Time, key recordKey, c adapters.Change, unplaced int) {
	k.cfg.Recorder.Record(decisionlog.Decision{
		At:      now,
		Kind:    decisionlog.PlaceOrder,
		Service: key.model,
		Chosen:  c.Replica,
		Reason:  c.Reason + loadsAndDrops(c),
		Values: map[string]float64{
			"holders":   float64(c.Holders),
			"target":    float64(c.TargetHolders),
			"with_room": float64(c.AlternativeReplicaCount),
			"unplaced":  float64(unplaced),
			"adapters":  float64(len(c.Adapters)),
			"loads":     float64(len(c.Loads)),
			"drops":     float64(len(c.Drops)),
		},
	})
}

func loadsAndDrops(c adapters.Change) string {
	text := ""
	for _, a := range c.Loads {
		text += ", load " + engineapi.Adapter(a).String()
	}
	for _, a := range c.Drops {
		text += ", drop " + engineapi.Adapter(a).String()
	}
	return text
}

// orderAdapters orders the engines of a ready replica to hold the adapters of its plan,
// once the reserved load time for the missing adapters has come. The replica serves
// meanwhile.
func (k *Controller) orderAdapters(ctx context.Context, now time.Time, d *docindex.Index, replica *managedReplica, replicaPlan plan.Replica) {
	order := engineapi.AdapterOrder{Model: replica.spec.key.model, Version: replicaPlan.AdapterVersion}
	for _, a := range replicaPlan.Adapters {
		order.Adapters = append(order.Adapters, engineapi.Adapter(a))
	}
	var outdatedEndpoints []string
	for _, s := range replicaPlan.Stages {
		if !matchesOrder(replica.reports[s.Endpoint], order) {
			outdatedEndpoints = append(outdatedEndpoints, s.Endpoint)
		}
	}
	if len(outdatedEndpoints) == 0 {
		replica.adapters.reservedVersion = 0
		return
	}
	if err := k.reserveAdapterLoad(ctx, now, d, replica, order, outdatedEndpoints); err != nil {
		k.cfg.Log.Warn("adapter load not reserved", "model", order.Model, "replica", replica.spec.name, "error", err)
		return
	}
	if now.Before(replica.adapters.loadStartsAt) {
		return
	}
	for _, endpoint := range outdatedEndpoints {
		e, _ := d.Endpoint(endpoint)
		k.sendAdapterOrder(ctx, replica, e.Name, e.Address, order)
	}
}

// matchesOrder reports whether an engine has the version and the adapters of an order.
func matchesOrder(report engineapi.Report, order engineapi.AdapterOrder) bool {
	if report.AdapterVersion != order.Version || len(report.Adapters) != len(order.Adapters) {
		return false
	}
	for _, a := range order.Adapters {
		if !slices.Contains(report.Adapters, a) {
			return false
		}
	}
	return true
}

// reserveAdapterLoad reserves load time at the weight store for an order, unless load time
// for this order is already reserved.
func (k *Controller) reserveAdapterLoad(ctx context.Context, now time.Time, d *docindex.Index, replica *managedReplica, order engineapi.AdapterOrder, outdatedEndpoints []string) error {
	if replica.adapters.reservedVersion == order.Version {
		return nil
	}
	bytes := int64(0)
	for _, a := range order.Adapters {
		missing := slices.ContainsFunc(outdatedEndpoints, func(e string) bool { return !slices.Contains(replica.reports[e].Adapters, a) })
		if spec := replica.spec.model.Adapter(a.Name); missing && spec != nil {
			bytes += int64(spec.Bytes)
		}
	}
	startTime := now
	rate := int64(d.Document.Policy.WeightMegabytesPerSecond) * megabyte
	if fetchTime := placement.FetchTime(bytes, rate); fetchTime > 0 {
		startTimes, err := k.reserveLoads(ctx, now, []time.Duration{fetchTime})
		if err != nil {
			return err
		}
		startTime = startTimes[0]
	}
	replica.adapters.reservedVersion, replica.adapters.loadStartsAt = order.Version, startTime
	return nil
}

func (k *Controller) sendAdapterOrder(ctx context.Context, replica *managedReplica, name, address string, order engineapi.AdapterOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := k.cfg.EngineClient.OrderAdapters(ctx, address, order)
	if err == nil {
		k.cfg.Log.Info("adapters ordered", "endpoint", name, "model", order.Model, "adapters", len(order.Adapters), "version", order.Version)
		return
	}
	k.cfg.Log.Warn("adapter order not accepted", "endpoint", name, "version", order.Version, "error", err)
	if engineclient.HTTPStatus(err) == http.StatusConflict {
		k.updateRecord(replica.spec, func(r *plan.Record) bool {
			return r.RaiseAdapters(replica.spec.name, replica.reports[name].AdapterVersion)
		})
	}
}
