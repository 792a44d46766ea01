package layerplans

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/placement"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/stream"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/plan"
	"github.com/cicadatack/cicadatack/state/store"
)

const (
	// keepInterval is between two rounds over the replicas of this node's turn.
	keepInterval = time.Second
	// holdingsPerRound bounds the engines asked in a round: about 2 KB/s. With
	// more replicas to keep, each is asked less often; what streams find wrong
	// is looked at first.
	holdingsPerRound = 8
	// agreeTimeout bounds one agreement, orderTimeout one order to an engine.
	agreeTimeout = 5 * time.Second
	orderTimeout = 2 * time.Second
)

// Engines is the part of the engine's client that plans are carried out by.
type Engines interface {
	Holding(ctx context.Context, address string) (engineapi.Report, error)
	Order(ctx context.Context, address string, order engineapi.Order) error
	OrderAdapters(ctx context.Context, address string, order engineapi.AdapterOrder) error
}

// KeeperConfig is what a Keeper works with.
type KeeperConfig struct {
	Node        string
	Environment string
	Store       store.ReadSwapper
	Engines     Engines
	Book        *Book
	Record      decisionlog.Recorder
	Log         hclog.Logger
	// Turn says whether this node is the one to keep the plans of a model in a
	// failure domain. It is a hint: two nodes that both think so are kept apart
	// by compare-and-swap and by the fencing numbers of their orders.
	Turn func(model, domain string) bool
	// Members returns a value that differs once the members have changed, and
	// with them perhaps whose turn it is.
	Members func() any
}

// Keeper makes plans and carries them out. Run and Observe may be called at
// the same time.
type Keeper struct {
	cfg KeeperConfig

	mu        sync.Mutex
	directory *docindex.Directory
	measures  []measured
	suspects  map[replicaName]bool

	// The rest belongs to Run alone.
	kept     map[replicaName]*keptReplica
	followed *docindex.Directory
	stamp    any
	// rollouts are this round's, by place.
	rollouts map[place]placement.Rollout
}

// keptReplica is one replica that this node plans for.
type keptReplica struct {
	open    openReplica
	planner *placement.Planner
	// booked are the orders that were given a time at the weight store, by
	// endpoint, until the engine holds what it was told to.
	booked map[string]booking
	// state is how the engines stood to the plan when they were last asked.
	state placement.ReplicaState
	// checked is when the engines were last asked what they hold.
	checked time.Time
	// reports are the engines' last answers, by endpoint.
	reports map[string]engineapi.Report
	// drained is since when the engines are told to finish their streams before
	// other weights; zero if they are not.
	drained  time.Time
	adapters keptAdapters
}

// measured is what a stream told of a hop.
type measured struct {
	name    replicaName
	measure placement.Measurement
}

// maxMeasures bounds what is kept between two rounds; more tell nothing new.
const maxMeasures = 4096

// NewKeeper returns a keeper without plans.
func NewKeeper(cfg KeeperConfig) *Keeper {
	return &Keeper{cfg: cfg, suspects: map[replicaName]bool{}, kept: map[replicaName]*keptReplica{}}
}

// Apply takes a new document.
func (k *Keeper) Apply(d *docindex.Directory) {
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
		m := placement.Measurement{Endpoint: h.Endpoint, HopMicros: h.Micros, StepMicros: h.StepMicros}
		if i+1 < len(hops) {
			m.Next = hops[i+1].Endpoint
		}
		k.measures = append(k.measures, measured{replicaName{model, replica}, m})
	}
}

// Suspect says that an engine of a replica holds something else than the plan.
func (k *Keeper) Suspect(model, replica string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.suspects[replicaName{model, replica}] = true
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
	d, measures, suspects := k.taken()
	if d == nil {
		return
	}
	k.follow(d)
	k.rollouts = map[place]placement.Rollout{}
	for _, m := range measures {
		if kept := k.kept[m.name]; kept != nil && kept.planner != nil {
			kept.planner.Observe(now, m.measure)
		}
	}
	for name := range suspects {
		if kept := k.kept[name]; kept != nil {
			kept.checked = time.Time{}
		}
	}
	budget := holdingsPerRound
	for _, kept := range k.longestUnchecked() {
		if k.keep(ctx, now, d, kept) && budget > 0 {
			budget -= len(kept.open.stages)
			kept.checked = now
			k.order(ctx, now, d, kept)
		}
	}
	k.placeAdapters(ctx, now, d)
}

func (k *Keeper) taken() (*docindex.Directory, []measured, map[replicaName]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	measures, suspects := k.measures, k.suspects
	k.measures = nil
	k.suspects = map[replicaName]bool{}
	return k.directory, measures, suspects
}

// follow takes up the replicas of this node's turn and forgets the others. That
// looks at every replica of the document, so it is done only when the document
// or the members have changed.
func (k *Keeper) follow(d *docindex.Directory) {
	stamp := k.cfg.Members()
	if d == k.followed && stamp == k.stamp {
		return
	}
	k.followed, k.stamp = d, stamp
	turns := map[place]bool{}
	kept := map[replicaName]*keptReplica{}
	for _, open := range openReplicas(d) {
		turn, known := turns[open.place]
		if !known {
			turn = k.cfg.Turn(open.place.model, open.place.domain)
			turns[open.place] = turn
		}
		if turn {
			kept[open.full()] = k.takeUp(open)
		}
	}
	k.kept = kept
}

func (k *Keeper) takeUp(open openReplica) *keptReplica {
	kept := k.kept[open.full()]
	if kept == nil {
		kept = &keptReplica{booked: map[string]booking{}, reports: map[string]engineapi.Report{}}
	}
	kept.open = open
	return kept
}

// longestUnchecked lists what this node keeps, with those first whose engines it
// has not asked for longest.
func (k *Keeper) longestUnchecked() []*keptReplica {
	return slices.SortedFunc(maps.Values(k.kept), func(a, b *keptReplica) int {
		if c := a.checked.Compare(b.checked); c != 0 {
			return c
		}
		return cmp.Compare(a.open.name, b.open.name)
	})
}

// keep brings one replica towards its best plan and says whether it has one.
func (k *Keeper) keep(ctx context.Context, now time.Time, d *docindex.Directory, kept *keptReplica) bool {
	if err := k.agree(ctx, now, d, kept); err != nil {
		k.cfg.Log.Warn("plan not agreed", "model", kept.open.place.model, "replica", kept.open.name, "error", err)
		return false
	}
	return true
}

// agree makes sure that the store holds a plan for the replica, a better one if
// the measured times ask for it.
func (k *Keeper) agree(ctx context.Context, now time.Time, d *docindex.Directory, kept *keptReplica) error {
	model, chain := shapeOf(d, kept.open)
	stages, reason, changed, err := kept.decide(now, model, chain, k.cfg.Book)
	if err != nil || !changed {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, agreeTimeout)
	defer cancel()
	if may, err := k.may(ctx, now, kept, reason); !may {
		return err
	}
	key := plan.Key(k.cfg.Environment, kept.open.place.model, kept.open.place.domain)
	record, err := plan.Agree(ctx, k.cfg.Store, key, k.cfg.Node, func(r *plan.Record) bool {
		return put(r, kept.open, stages, reason)
	})
	if err != nil {
		return err
	}
	k.cfg.Book.take(kept.open.place, record)
	kept.adopt(now, model, chain, record.Replicas[kept.open.name])
	kept.state = placement.Loading
	k.recordPlan(now, kept, record.Version, reason)
	return nil
}

// put enters a plan that was decided for a reason into the record in force, which
// may be another than the one that the decision saw.
func put(r *plan.Record, open openReplica, stages []plan.Stage, reason string) bool {
	inForce := r.Replicas[open.name]
	switch {
	case reason == reasonMeasured:
		return r.Put(open.name, stages, inForce.Weights)
	case !standing(inForce, open.stages):
		return r.Put(open.name, stages, open.model.Version)
	case reason == reasonVersion:
		return r.Put(open.name, inForce.Stages, open.model.Version)
	default:
		return false
	}
}

// standing says whether a replica has a plan already that the document allows. A
// node that has just begun to keep plans has not read them; without this look it
// would put a first plan in place of one that measured times have led to.
func standing(r plan.Replica, named []document.Stage) bool {
	return len(r.Stages) > 0 && within(documentStages(r), named)
}

func (k *Keeper) recordPlan(now time.Time, kept *keptReplica, version int64, reason string) {
	cut := kept.planner.Plan().Partition
	figures := map[string]float64{
		"version":       float64(version),
		"stages":        float64(len(cut.Stages)),
		"bottleneck_us": cut.Bottleneck,
		"total_us":      cut.Total,
	}
	if reason == reasonVersion {
		rollout := k.rollouts[kept.open.place]
		figures["out"] = float64(rollout.Unavailable)
		figures["may_be_out"] = float64(rollout.MaxUnavailable)
		figures["behind"] = float64(rollout.Outdated)
	}
	k.cfg.Record.Record(decisionlog.Decision{
		At:      now,
		Kind:    decisionlog.PlaceOrder,
		Service: kept.open.place.model,
		Chosen:  kept.open.name,
		Reason:  reason,
		Values: figures,
	})
}
