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
	// roundInterval is between two rounds over the replicas of this node's turn.
	roundInterval = time.Second
	// reportsPerRound bounds the engines asked in a round: about 2 KB/s. With
	// more replicas to keep, each is asked less often; what streams find wrong
	// is looked at first.
	reportsPerRound = 8
	// commitTimeout bounds one agreement, orderTimeout one order to an engine.
	commitTimeout = 5 * time.Second
	orderTimeout  = 2 * time.Second
)

// EngineClient is the part of the engine's client that plans are carried out by.
type EngineClient interface {
	Holding(ctx context.Context, address string) (engineapi.Report, error)
	Order(ctx context.Context, address string, order engineapi.Order) error
	OrderAdapters(ctx context.Context, address string, order engineapi.AdapterOrder) error
}

// ControllerConfig is what a Keeper works with.
type ControllerConfig struct {
	Node         string
	Environment  string
	Store        store.ReadSwapper
	EngineClient EngineClient
	Cache        *Cache
	Recorder     decisionlog.Recorder
	Log          hclog.Logger
	// IsOwner says whether this node is the one to keep the plans of a model in a
	// failure domain. It is a hint: two nodes that both think so are kept apart
	// by compare-and-swap and by the fencing numbers of their orders.
	IsOwner func(model, domain string) bool
	// MembershipVersion returns a value that differs once the members have changed, and
	// with them perhaps whose turn it is.
	MembershipVersion func() any
}

// Controller makes plans and carries them out. Run and Observe may be called at
// the same time.
type Controller struct {
	cfg ControllerConfig

	mu           sync.Mutex
	directory    *docindex.Directory
	measurements []hopMeasurement
	suspects     map[replicaID]bool

	// The rest belongs to Run alone.
	managed             map[replicaID]*managedReplica
	refreshedFor        *docindex.Directory
	refreshedMembership any
	// rollouts are this round's, by place.
	rollouts map[recordKey]placement.Rollout
}

// managedReplica is one replica that this node plans for.
type managedReplica struct {
	spec    replicaSpec
	planner *placement.Planner
	// reservations are the orders that were given a time at the weight store, by
	// endpoint, until the engine holds what it was told to.
	reservations map[string]reservation
	// state is how the engines stood to the plan when they were last asked.
	state placement.ReplicaState
	// checkedAt is when the engines were last asked what they hold.
	checkedAt time.Time
	// reports are the engines' last answers, by endpoint.
	reports map[string]engineapi.Report
	// drainStartedAt is since when the engines are told to finish their streams before
	// other weights; zero if they are not.
	drainStartedAt time.Time
	adapters       adapterState
}

// hopMeasurement is what a stream told of a hop.
type hopMeasurement struct {
	replica     replicaID
	measurement placement.Measurement
}

// maxMeasurements bounds what is kept between two rounds; more tell nothing new.
const maxMeasurements = 4096

// NewController returns a keeper without plans.
func NewController(cfg ControllerConfig) *Controller {
	return &Controller{cfg: cfg, suspects: map[replicaID]bool{}, managed: map[replicaID]*managedReplica{}}
}

// Apply takes a new document.
func (k *Controller) Apply(d *docindex.Directory) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.directory = d
}

// Observe takes the mean times of a stream's hops along a replica.
func (k *Controller) Observe(model, replica string, hops []stream.Hop) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, h := range hops {
		if len(k.measurements) >= maxMeasurements {
			return
		}
		m := placement.Measurement{Endpoint: h.Endpoint, HopMicros: h.Micros, StepMicros: h.StepMicros}
		if i+1 < len(hops) {
			m.Next = hops[i+1].Endpoint
		}
		k.measurements = append(k.measurements, hopMeasurement{replicaID{model, replica}, m})
	}
}

// Suspect says that an engine of a replica holds something else than the plan.
func (k *Controller) Suspect(model, replica string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.suspects[replicaID{model, replica}] = true
}

// Run keeps the plans of this node's turn until ctx ends.
func (k *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
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

func (k *Controller) round(ctx context.Context, now time.Time) {
	d, measurements, suspects := k.takeInputs()
	if d == nil {
		return
	}
	k.refreshManaged(d)
	k.rollouts = map[recordKey]placement.Rollout{}
	for _, m := range measurements {
		if managed := k.managed[m.replica]; managed != nil && managed.planner != nil {
			managed.planner.Observe(now, m.measurement)
		}
	}
	for name := range suspects {
		if managed := k.managed[name]; managed != nil {
			managed.checkedAt = time.Time{}
		}
	}
	remainingReports := reportsPerRound
	for _, managed := range k.byLastCheck() {
		if k.reconcile(ctx, now, d, managed) && remainingReports > 0 {
			remainingReports -= len(managed.spec.stages)
			managed.checkedAt = now
			k.orderLayers(ctx, now, d, managed)
		}
	}
	k.placeAdapters(ctx, now, d)
}

func (k *Controller) takeInputs() (*docindex.Directory, []hopMeasurement, map[replicaID]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	measurements, suspects := k.measurements, k.suspects
	k.measurements = nil
	k.suspects = map[replicaID]bool{}
	return k.directory, measurements, suspects
}

// refreshManaged takes up the replicas of this node's turn and forgets the others. That
// looks at every replica of the document, so it is done only when the document
// or the members have changed.
func (k *Controller) refreshManaged(d *docindex.Directory) {
	membership := k.cfg.MembershipVersion()
	if d == k.refreshedFor && membership == k.refreshedMembership {
		return
	}
	k.refreshedFor, k.refreshedMembership = d, membership
	owned := map[recordKey]bool{}
	managed := map[replicaID]*managedReplica{}
	for _, spec := range replicaSpecs(d) {
		isOwner, decided := owned[spec.key]
		if !decided {
			isOwner = k.cfg.IsOwner(spec.key.model, spec.key.domain)
			owned[spec.key] = isOwner
		}
		if isOwner {
			managed[spec.id()] = k.managedFor(spec)
		}
	}
	k.managed = managed
}

func (k *Controller) managedFor(spec replicaSpec) *managedReplica {
	managed := k.managed[spec.id()]
	if managed == nil {
		managed = &managedReplica{reservations: map[string]reservation{}, reports: map[string]engineapi.Report{}}
	}
	managed.spec = spec
	return managed
}

// byLastCheck lists what this node keeps, with those first whose engines it
// has not asked for longest.
func (k *Controller) byLastCheck() []*managedReplica {
	return slices.SortedFunc(maps.Values(k.managed), func(a, b *managedReplica) int {
		if c := a.checkedAt.Compare(b.checkedAt); c != 0 {
			return c
		}
		return cmp.Compare(a.spec.name, b.spec.name)
	})
}

// reconcile brings one replica towards its best plan and says whether it has one.
func (k *Controller) reconcile(ctx context.Context, now time.Time, d *docindex.Directory, managed *managedReplica) bool {
	if err := k.commitPlan(ctx, now, d, managed); err != nil {
		k.cfg.Log.Warn("plan not agreed", "model", managed.spec.key.model, "replica", managed.spec.name, "error", err)
		return false
	}
	return true
}

// commitPlan makes sure that the store holds a plan for the replica, a better one if
// the measured times ask for it.
func (k *Controller) commitPlan(ctx context.Context, now time.Time, d *docindex.Directory, managed *managedReplica) error {
	model, chain := plannerInput(d, managed.spec)
	stages, reason, changed, err := managed.decide(now, model, chain, k.cfg.Cache)
	if err != nil || !changed {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if allowed, err := k.mayCommit(ctx, now, managed, reason); !allowed {
		return err
	}
	key := plan.Key(k.cfg.Environment, managed.spec.key.model, managed.spec.key.domain)
	record, err := plan.Agree(ctx, k.cfg.Store, key, k.cfg.Node, func(r *plan.Record) bool {
		return putPlan(r, managed.spec, stages, reason)
	})
	if err != nil {
		return err
	}
	k.cfg.Cache.update(managed.spec.key, record)
	managed.adopt(now, model, chain, record.Replicas[managed.spec.name])
	managed.state = placement.Loading
	k.recordPlan(now, managed, record.Version, reason)
	return nil
}

// putPlan enters a plan that was decided for a reason into the record in force, which
// may be another than the one that the decision saw.
func putPlan(r *plan.Record, spec replicaSpec, stages []plan.Stage, reason string) bool {
	current := r.Replicas[spec.name]
	switch {
	case reason == reasonMeasured:
		return r.Put(spec.name, stages, current.Weights)
	case !hasValidPlan(current, spec.stages):
		return r.Put(spec.name, stages, spec.model.Version)
	case reason == reasonVersion:
		return r.Put(spec.name, current.Stages, spec.model.Version)
	default:
		return false
	}
}

// hasValidPlan says whether a replica has a plan already that the document allows. A
// node that has just begun to keep plans has not read them; without this look it
// would put a first plan in place of one that measured times have led to.
func hasValidPlan(replicaPlan plan.Replica, declared []document.Stage) bool {
	return len(replicaPlan.Stages) > 0 && usesOnly(documentStages(replicaPlan), declared)
}

func (k *Controller) recordPlan(now time.Time, managed *managedReplica, version int64, reason string) {
	partition := managed.planner.Plan().Partition
	figures := map[string]float64{
		"version":       float64(version),
		"stages":        float64(len(partition.Stages)),
		"bottleneck_us": partition.Bottleneck,
		"total_us":      partition.Total,
	}
	if reason == reasonVersion {
		rollout := k.rollouts[managed.spec.key]
		figures["out"] = float64(rollout.Unavailable)
		figures["may_be_out"] = float64(rollout.MaxUnavailable)
		figures["behind"] = float64(rollout.Outdated)
	}
	k.cfg.Recorder.Record(decisionlog.Decision{
		At:      now,
		Kind:    decisionlog.Place,
		Service: managed.spec.key.model,
		Chosen:  managed.spec.name,
		Reason:  reason,
		Figures: figures,
	})
}
