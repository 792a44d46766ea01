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

// keptAdapters is what a keeper knows of one replica's adapters.
type keptAdapters struct {
	// booked is the time at the weight store that an order for adapters was given,
	// by its version; zero if none is due.
	booked int64
	start  time.Time
	// counts and at are the uses that the first engine last told, and when; rates
	// are uses a second.
	counts map[string]uint64
	at     time.Time
	rates  map[adapters.Adapter]float64
}

// noteUses takes the first engine's counts. Every stream of the replica is opened
// there, whichever node it comes through, so demand needs no messages between
// nodes.
func (kept *keptReplica) noteUses(now time.Time, first string) {
	report, known := kept.reports[first]
	seconds := now.Sub(kept.adapters.at).Seconds()
	if !known || seconds <= 0 {
		return
	}
	rates := map[adapters.Adapter]float64{}
	for _, a := range report.Adapters {
		count, before := report.Uses[a.String()], kept.adapters.counts[a.String()]
		if kept.adapters.counts != nil && count >= before {
			rates[adapters.Adapter(a)] = float64(count-before) / seconds
		}
	}
	kept.adapters.counts, kept.adapters.at, kept.adapters.rates = report.Uses, now, rates
}

// placeAdapters decides which replicas of this node's turn hold which adapters, and
// enters it into their plans.
func (k *Keeper) placeAdapters(ctx context.Context, now time.Time, d *docindex.Directory) {
	groups := map[place][]*keptReplica{}
	for _, kept := range k.kept {
		// Most models have no adapters, and this runs each second.
		if len(kept.open.model.Adapters) > 0 || k.cfg.Book.adapters(kept.open.place) {
			groups[kept.open.place] = append(groups[kept.open.place], kept)
		}
	}
	for p, group := range groups {
		result := adapters.Decide(wantedAdapters(group[0].open), k.holders(d, group))
		if len(result.Changes) == 0 {
			continue
		}
		if err := k.agreeAdapters(ctx, p, result.Changes); err != nil {
			k.cfg.Log.Warn("adapters not agreed", "model", p.model, "failure_domain", p.domain, "error", err)
			continue
		}
		for _, change := range result.Changes {
			k.recordAdapters(now, p, change, len(result.Unplaced))
		}
	}
}

func wantedAdapters(open openReplica) []adapters.Desired {
	var wanted []adapters.Desired
	for _, a := range open.model.Adapters {
		wanted = append(wanted, adapters.Desired{
			Adapter: adapters.Adapter{Name: a.Name, Version: a.Version}, Bytes: int64(a.Bytes), Replicas: a.Replicas,
		})
	}
	return wanted
}

func (k *Keeper) holders(d *docindex.Directory, group []*keptReplica) []adapters.Replica {
	slots := d.Document.Policy.ConcurrentPerReplica
	if slots <= 0 {
		slots = assumedSlots
	}
	var replicas []adapters.Replica
	for _, kept := range group {
		agreed, ok := k.cfg.Book.Agreed(kept.open.place.model, kept.open.name)
		if !ok {
			continue
		}
		r := adapters.Replica{
			Name:        kept.open.name,
			MemoryBytes: adapterRoom(d, kept.open, agreed),
			Held:        kept.heldAdapters(agreed),
			Serving:     kept.state == placement.Ready,
			Utilization: float64(kept.running()) / float64(slots),
			UseRate:     kept.adapters.rates,
		}
		for _, a := range agreed.Adapters {
			r.Planned = append(r.Planned, adapters.Adapter(a))
		}
		replicas = append(replicas, r)
	}
	return replicas
}

// assumedSlots is how many streams a replica is given when the document says
// nothing, as in route/service.
const assumedSlots = 16

// adapterRoom is the memory for adapters in bytes over all layers: each engine keeps
// the part of an adapter that belongs to its layers, so the tightest one counts.
func adapterRoom(d *docindex.Directory, open openReplica, agreed plan.Replica) int64 {
	model := modelOf(open)
	room := math.Inf(1)
	for _, s := range agreed.Stages {
		e, _ := d.Endpoint(s.Endpoint)
		layers := s.Last - s.First + 1
		free := acceleratorOf(d.Document, e).MemoryBytes - int64(layers)*model.LayerBytes
		room = min(room, float64(max(free, 0))*float64(model.Layers)/float64(layers))
	}
	return int64(min(room, float64(assumedMemory)))
}

// heldAdapters are those that every engine of the replica reports.
func (kept *keptReplica) heldAdapters(agreed plan.Replica) []adapters.Adapter {
	var held []adapters.Adapter
	for i, s := range agreed.Stages {
		var here []adapters.Adapter
		for _, a := range kept.reports[s.Endpoint].Adapters {
			here = append(here, adapters.Adapter(a))
		}
		if i == 0 {
			held = here
			continue
		}
		held = slices.DeleteFunc(held, func(a adapters.Adapter) bool { return !slices.Contains(here, a) })
	}
	return held
}

// agreeAdapters writes changes in one swap. A replica whose plan another node has
// changed meanwhile is left for the next round.
func (k *Keeper) agreeAdapters(ctx context.Context, p place, changes []adapters.Change) error {
	ctx, cancel := context.WithTimeout(ctx, agreeTimeout)
	defer cancel()
	seen := map[string]plan.Replica{}
	for _, c := range changes {
		seen[c.Replica], _ = k.cfg.Book.Agreed(p.model, c.Replica)
	}
	key := plan.Key(k.cfg.Environment, p.model, p.domain)
	record, err := plan.Agree(ctx, k.cfg.Store, key, k.cfg.Node, func(r *plan.Record) bool {
		changed := false
		for _, c := range changes {
			if r.Replicas[c.Replica].AdapterVersion != seen[c.Replica].AdapterVersion {
				continue
			}
			changed = r.PutAdapters(c.Replica, planned(c.Adapters)) || changed
		}
		return changed
	})
	if err == nil {
		k.cfg.Book.take(p, record)
	}
	return err
}

func planned(list []adapters.Adapter) []plan.Adapter {
	var all []plan.Adapter
	for _, a := range list {
		all = append(all, plan.Adapter(a))
	}
	return all
}

func (k *Keeper) recordAdapters(now time.Time, p place, c adapters.Change, unplaced int) {
	k.cfg.Record.Record(decisionlog.Decision{
		At:      now,
		Kind:    decisionlog.PlaceOrder,
		Service: p.model,
		Chosen:  c.Replica,
		Reason:  c.Reason + describe(c),
		Values: map[string]float64{
			"holders":   float64(c.Holders),
			"target":    float64(c.Target),
			"with_room": float64(c.Alternatives),
			"unplaced":  float64(unplaced),
			"adapters":  float64(len(c.Adapters)),
			"loads":     float64(len(c.Loads)),
			"drops":     float64(len(c.Drops)),
		},
	})
}

func describe(c adapters.Change) string {
	text := ""
	for _, a := range c.Loads {
		text += ", load " + engineapi.Adapter(a).String()
	}
	for _, a := range c.Drops {
		text += ", drop " + engineapi.Adapter(a).String()
	}
	return text
}

// orderAdapters tells the engines of a replica that is whole to hold the adapters of
// its plan, once the weight store has time for those that are missing. The replica
// serves meanwhile.
func (k *Keeper) orderAdapters(ctx context.Context, now time.Time, d *docindex.Directory, kept *keptReplica, agreed plan.Replica) {
	order := engineapi.AdapterOrder{Model: kept.open.place.model, Version: agreed.AdapterVersion}
	for _, a := range agreed.Adapters {
		order.Adapters = append(order.Adapters, engineapi.Adapter(a))
	}
	var differ []string
	for _, s := range agreed.Stages {
		if !followsAdapters(kept.reports[s.Endpoint], order) {
			differ = append(differ, s.Endpoint)
		}
	}
	if len(differ) == 0 {
		kept.adapters.booked = 0
		return
	}
	if err := k.bookAdapters(ctx, now, d, kept, order, differ); err != nil {
		k.cfg.Log.Warn("adapters not booked", "model", order.Model, "replica", kept.open.name, "error", err)
		return
	}
	if now.Before(kept.adapters.start) {
		return
	}
	for _, endpoint := range differ {
		e, _ := d.Endpoint(endpoint)
		k.sendAdapters(ctx, kept, e.Name, e.Address, order)
	}
}

// followsAdapters reports whether an engine holds what an order says, by its number.
func followsAdapters(report engineapi.Report, order engineapi.AdapterOrder) bool {
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

// bookAdapters gives an order its time at the weight store, once.
func (k *Keeper) bookAdapters(ctx context.Context, now time.Time, d *docindex.Directory, kept *keptReplica, order engineapi.AdapterOrder, differ []string) error {
	if kept.adapters.booked == order.Version {
		return nil
	}
	bytes := int64(0)
	for _, a := range order.Adapters {
		missing := slices.ContainsFunc(differ, func(e string) bool { return !slices.Contains(kept.reports[e].Adapters, a) })
		if spec := kept.open.model.Adapter(a.Name); missing && spec != nil {
			bytes += int64(spec.Bytes)
		}
	}
	start := now
	rate := int64(d.Document.Policy.WeightMegabytesPerSecond) * megabyte
	if take := placement.FetchTime(bytes, rate); take > 0 {
		starts, err := k.bookTimes(ctx, now, []time.Duration{take})
		if err != nil {
			return err
		}
		start = starts[0]
	}
	kept.adapters.booked, kept.adapters.start = order.Version, start
	return nil
}

func (k *Keeper) sendAdapters(ctx context.Context, kept *keptReplica, name, address string, order engineapi.AdapterOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := k.cfg.Engines.OrderAdapters(ctx, address, order)
	if err == nil {
		k.cfg.Log.Info("adapters ordered", "endpoint", name, "model", order.Model, "adapters", len(order.Adapters), "version", order.Version)
		return
	}
	k.cfg.Log.Warn("order for adapters not taken", "endpoint", name, "version", order.Version, "error", err)
	if engineclient.Status(err) == http.StatusConflict {
		k.change(kept.open, func(r *plan.Record) bool {
			return r.RaiseAdapters(kept.open.name, kept.reports[name].AdapterVersion)
		})
	}
}
