package plans

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/placement"
	"github.com/cicadatack/cicadatack/platform/document"
	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/platform/plan"
	"github.com/cicadatack/cicadatack/platform/store"
	"github.com/cicadatack/cicadatack/route/decision"
	"github.com/cicadatack/cicadatack/route/directory"
	"github.com/cicadatack/cicadatack/route/engine"
	"github.com/cicadatack/cicadatack/route/stream"
)

const (
	// keepInterval is between two rounds over the replicas of this node's turn.
	keepInterval = time.Second
	// agreeTimeout bounds one agreement, orderTimeout one order to an engine.
	agreeTimeout = 5 * time.Second
	orderTimeout = 2 * time.Second
)

// Engines is the part of the engine's client that plans are carried out by.
type Engines interface {
	Holding(ctx context.Context, address string) (engineapi.Holding, error)
	Order(ctx context.Context, address string, order engineapi.Order) error
}

// KeeperConfig is what a Keeper works with.
type KeeperConfig struct {
	Node        string
	Environment string
	Store       store.ReadSwapper
	Engines     Engines
	Book        *Book
	Record      decision.Recorder
	Log         hclog.Logger
	// Turn says whether this node is the one to keep the plans of a model in a
	// failure domain. It is a hint: two nodes that both think so are kept apart
	// by compare-and-swap and by the fencing numbers of their orders.
	Turn func(model, domain string) bool
}

// Keeper makes plans and carries them out. Run and Observe may be called at
// the same time.
type Keeper struct {
	cfg KeeperConfig

	mu        sync.Mutex
	directory *directory.Directory
	kept      map[replicaName]*keptReplica
	measures  []measured
}

// keptReplica is one replica that this node plans for.
type keptReplica struct {
	open    openReplica
	planner *placement.Planner
	// loads are the orders that wait for the weight store's rate.
	notBefore map[string]time.Time
}

// measured is what a stream told of a hop.
type measured struct {
	name    replicaName
	measure placement.Measure
}

// maxMeasures bounds what is kept between two rounds; more tell nothing new.
const maxMeasures = 4096

// NewKeeper returns a keeper without plans.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{cfg: cfg, kept: map[replicaName]*keptReplica{}}
}

// Apply takes a new document.
func (k *Keeper) Apply(d *directory.Directory) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.directory = d
}

// Observe takes the mean times of a stream's hops along a replica.
func (k *Keeper) Observe(model, replica string, hops []stream.Hop) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, h := range hops {
		if len(k.measures) >= maxMeasures {
			return
		}
		m := placement.Measure{Endpoint: h.Endpoint, HopMicros: h.Micros}
		if i+1 < len(hops) {
			m.Next = hops[i+1].Endpoint
		}
		k.measures = append(k.measures, measured{replicaName{model, replica}, m})
	}
}

// Run keeps the plans of this node's turn until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.round(ctx, time.Now())
		}
	}
}

func (k *Keeper) round(ctx context.Context, now time.Time) {
	d, measures := k.taken()
	if d == nil {
		return
	}
	mine := k.mine(d)
	for _, m := range measures {
		if kept := k.kept[m.name]; kept != nil && kept.planner != nil {
			kept.planner.Observe(now, m.measure)
		}
	}
	for _, open := range mine {
		k.keep(ctx, now, d, open)
	}
}

func (k *Keeper) taken() (*directory.Directory, []measured) {
	k.mu.Lock()
	defer k.mu.Unlock()
	measures := k.measures
	k.measures = nil
	return k.directory, measures
}

// mine lists the replicas of this node's turn and forgets the others.
func (k *Keeper) mine(d *directory.Directory) []openReplica {
	var mine []openReplica
	names := map[replicaName]bool{}
	for _, open := range openReplicas(d) {
		if k.cfg.Turn(open.place.model, open.place.domain) {
			mine = append(mine, open)
			names[replicaName{open.place.model, open.name}] = true
		}
	}
	for name := range k.kept {
		if !names[name] {
			delete(k.kept, name)
		}
	}
	return mine
}

// keep brings one replica towards its best plan: agree first, then order.
func (k *Keeper) keep(ctx context.Context, now time.Time, d *directory.Directory, open openReplica) {
	name := replicaName{open.place.model, open.name}
	kept := k.kept[name]
	if kept == nil {
		kept = &keptReplica{notBefore: map[string]time.Time{}}
		k.kept[name] = kept
	}
	kept.open = open
	if err := k.agree(ctx, now, d, kept); err != nil {
		k.cfg.Log.Warn("plan not agreed", "model", name.model, "replica", name.replica, "error", err)
		return
	}
	k.order(ctx, now, d, kept)
}

// agree makes sure that the store holds a plan for the replica, a better one if
// the measured times ask for it.
func (k *Keeper) agree(ctx context.Context, now time.Time, d *directory.Directory, kept *keptReplica) error {
	model, chain := shapeOf(d, kept.open)
	stages, reason, changed, err := kept.decide(now, model, chain, k.cfg.Book)
	if err != nil || !changed {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, agreeTimeout)
	defer cancel()
	key := plan.Key(k.cfg.Environment, kept.open.place.model, kept.open.place.domain)
	record, err := plan.Agree(ctx, k.cfg.Store, key, k.cfg.Node, func(r *plan.Record) bool {
		if reason != reasonMeasured && standing(r.Replicas[kept.open.name], kept.open.stages) {
			return false
		}
		return r.Put(kept.open.name, stages)
	})
	if err != nil {
		return err
	}
	k.cfg.Book.take(kept.open.place, record)
	kept.adopt(now, model, chain, record.Replicas[kept.open.name], d.Document.Policy.WeightMegabytesPerSecond)
	k.recordPlan(now, kept, record.Version, reason)
	return nil
}

// standing says whether a replica has a plan already that the document allows. A
// node that has just begun to keep plans has not read them; without this look it
// would put a first plan in place of one that measured times have led to.
func standing(r plan.Replica, named []document.Stage) bool {
	return len(r.Stages) > 0 && within(documentStages(r), named)
}

func (k *Keeper) recordPlan(now time.Time, kept *keptReplica, version int64, reason string) {
	cut := kept.planner.Plan().Cut
	k.cfg.Record.Record(decision.Decision{
		At:      now,
		Kind:    decision.Place,
		Service: kept.open.place.model,
		Chosen:  kept.open.name,
		Reason:  reason,
		Figures: map[string]float64{
			"version":       float64(version),
			"stages":        float64(len(cut.Stages)),
			"bottleneck_us": cut.Bottleneck,
			"total_us":      cut.Total,
		},
	})
}

// order tells each engine whose holding differs from the plan to follow it. An
// engine that restarted empty is found the same way.
func (k *Keeper) order(ctx context.Context, now time.Time, d *directory.Directory, kept *keptReplica) {
	stages, version, ok := k.cfg.Book.Plan(kept.open.place.model, kept.open.name)
	if !ok {
		return
	}
	for _, s := range stages {
		if now.Before(kept.notBefore[s.Endpoint]) {
			continue
		}
		e, known := d.Endpoint(s.Endpoint)
		if !known {
			continue
		}
		k.orderEngine(ctx, kept.open, e, engineapi.Order{
			Model:            kept.open.place.model,
			First:            s.Layers[0],
			Last:             s.Layers[1],
			PlacementVersion: version,
		})
	}
}

func (k *Keeper) orderEngine(ctx context.Context, open openReplica, e document.Endpoint, order engineapi.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	holding, err := k.cfg.Engines.Holding(ctx, e.Address)
	if err == nil && holding == engineapi.Holding(order) {
		return
	}
	if err := k.cfg.Engines.Order(ctx, e.Address, order); err != nil {
		k.cfg.Log.Warn("order not taken", "endpoint", e.Name, "version", order.PlacementVersion, "error", err)
		if engine.Status(err) == http.StatusConflict {
			k.raise(open, holding.PlacementVersion)
		}
		return
	}
	k.cfg.Log.Info("order", "endpoint", e.Name, "model", order.Model, "first", order.First, "last", order.Last, "version", order.PlacementVersion)
}

// raise puts the replica's plan above a fencing number that an engine took from
// someone else; the next round orders by the new number.
func (k *Keeper) raise(open openReplica, above int64) {
	ctx, cancel := context.WithTimeout(context.Background(), agreeTimeout)
	defer cancel()
	key := plan.Key(k.cfg.Environment, open.place.model, open.place.domain)
	record, err := plan.Agree(ctx, k.cfg.Store, key, k.cfg.Node, func(r *plan.Record) bool {
		return r.Raise(open.name, above)
	})
	if err != nil {
		k.cfg.Log.Warn("plan not raised", "replica", open.name, "above", above, "error", err)
		return
	}
	k.cfg.Book.take(open.place, record)
}
