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
	// roundInterval is the time between two rounds over the managed replicas.
	roundInterval = time.Second
	// reportsPerRound bounds the engine reports fetched in a round: about 2 KB/s. With more
	// managed replicas, each replica is checked less often. A replica is checked first if a
	// stream found that an engine differs from the plan.
	reportsPerRound = 8
	// commitTimeout bounds one compare-and-swap in the store, orderTimeout one call to an
	// engine.
	commitTimeout = 5 * time.Second
	orderTimeout  = 2 * time.Second
)

// EngineClient has the calls to engines that the controller uses.
type EngineClient interface {
	HoldingReport(ctx context.Context, address string) (engineapi.Report, error)
	Order(ctx context.Context, address string, order engineapi.Order) error
	OrderAdapters(ctx context.Context, address string, order engineapi.AdapterOrder) error
}

// ControllerConfig configures a Controller.
type ControllerConfig struct {
	Node         string
	Environment  string
	Store        store.ReadSwapper
	EngineClient EngineClient
	Cache        *Cache
	Recorder     decisionlog.Recorder
	Log          hclog.Logger
	// IsOwner reports whether this node manages the plans of a model in a failure domain.
	// Two nodes may both manage them for a time: compare-and-swap and the fencing numbers
	// of orders prevent conflicts.
	IsOwner func(model, domain string) bool
	// MembershipVersion returns a value that changes when the list of nodes changes. The
	// results of IsOwner may then change too.
	MembershipVersion func() any
}

// Controller makes plans and orders engines to carry them out. Run may be called
// concurrently with the other methods.
type Controller struct {
	cfg ControllerConfig

	mu           sync.Mutex
	directory    *docindex.Index
	measurements []hopMeasurement
	suspects     map[replicaID]bool

	// Only Run uses the following fields.
	replicas map[replicaID]*managedReplica
	// refreshedDirectory and refreshedMembership are the document and the membership
	// version with which replicas was last updated.
	refreshedDirectory  *docindex.Index
	refreshedMembership any
	// rollouts has, by record, the roll-out steps decided in the present round.
	rollouts map[recordKey]placement.RolloutStep
}

// managedReplica is a replica whose plan this node manages.
type managedReplica struct {
	spec    replicaSpec
	planner *placement.Planner
	// reservations has, by endpoint, the orders that the engines have not carried out yet
	// and for which load time at the weight store is reserved.
	reservations map[string]reservation
	// state says whether the engines followed the plan at the last check.
	state placement.ReplicaState
	// checkedAt is the time of the last check of the engines.
	checkedAt time.Time
	// reports are the last reports of the engines, by endpoint.
	reports map[string]engineapi.Report
	// drainStartedAt is the time when the engines were first ordered to finish their
	// streams before they load other weights. It is zero if they are not draining.
	drainStartedAt time.Time
	adapters       adapterState
}

// hopMeasurement is a stream's measurement of one hop of a replica.
type hopMeasurement struct {
	replica     replicaID
	measurement placement.Measurement
}

// maxMeasurements bounds the measurements kept between two rounds. Further measurements
// would not change the means noticeably.
const maxMeasurements = 4096

// NewController returns a controller without plans.
func NewController(cfg ControllerConfig) *Controller {
	return &Controller{cfg: cfg, suspects: map[replicaID]bool{}, replicas: map[replicaID]*managedReplica{}}
}

// Apply replaces the document.
func (k *Controller) Apply(d *docindex.Index) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.directory = d
}

// Observe records a stream's mean times of the hops of a replica.
func (k *Controller) Observe(model, replica string, hops []stream.Hop) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, h := range hops {
		if len(k.measurements) >= maxMeasurements {
			return
		}
		m := placement.Measurement{Endpoint: h.Endpoint, HopMicros: h.MeanMicros, StepMicros: h.StepMicros}
		if i+1 < len(hops) {
			m.Next = hops[i+1].Endpoint
		}
		k.measurements = append(k.measurements, hopMeasurement{replicaID{model, replica}, m})
	}
}

// ReportPlanMismatch schedules a check of a replica because an engine holds other layers
// or adapters than the plan says.
func (k *Controller) ReportPlanMismatch(model, replica string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.suspects[replicaID{model, replica}] = true
}

// Run manages the plans that this node owns until ctx ends.
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
	k.refreshReplicas(d)
	k.rollouts = map[recordKey]placement.RolloutStep{}
	for _, m := range measurements {
		if replica := k.replicas[m.replica]; replica != nil && replica.planner != nil {
			replica.planner.Observe(now, m.measurement)
		}
	}
	for id := range suspects {
		if replica := k.replicas[id]; replica != nil {
			replica.checkedAt = time.Time{}
		}
	}
	remainingReports := reportsPerRound
	for _, replica := range k.byLastCheck() {
		if k.reconcile(ctx, now, d, replica) && remainingReports > 0 {
			remainingReports -= len(replica.spec.stages)
			replica.checkedAt = now
			k.orderLayers(ctx, now, d, replica)
		}
	}
	k.placeAdapters(ctx, now, d)
}

func (k *Controller) takeInputs() (*docindex.Index, []hopMeasurement, map[replicaID]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	measurements, suspects := k.measurements, k.suspects
	k.measurements = nil
	k.suspects = map[replicaID]bool{}
	return k.directory, measurements, suspects
}

// refreshReplicas updates the set of managed replicas to those that this node owns. It
// iterates over every replica of the document, so it runs only when the document or the
// list of nodes has changed.
func (k *Controller) refreshReplicas(d *docindex.Index) {
	membership := k.cfg.MembershipVersion()
	if d == k.refreshedDirectory && membership == k.refreshedMembership {
		return
	}
	k.refreshedDirectory, k.refreshedMembership = d, membership
	owned := map[recordKey]bool{}
	replicas := map[replicaID]*managedReplica{}
	for _, spec := range replicaSpecs(d) {
		isOwner, decided := owned[spec.key]
		if !decided {
			isOwner = k.cfg.IsOwner(spec.key.model, spec.key.domain)
			owned[spec.key] = isOwner
		}
		if isOwner {
			replicas[spec.id()] = k.replicaFor(spec)
		}
	}
	k.replicas = replicas
}

func (k *Controller) replicaFor(spec replicaSpec) *managedReplica {
	replica := k.replicas[spec.id()]
	if replica == nil {
		replica = &managedReplica{reservations: map[string]reservation{}, reports: map[string]engineapi.Report{}}
	}
	replica.spec = spec
	return replica
}

// byLastCheck lists the managed replicas, the one with the oldest check first.
func (k *Controller) byLastCheck() []*managedReplica {
	return slices.SortedFunc(maps.Values(k.replicas), func(a, b *managedReplica) int {
		if c := a.checkedAt.Compare(b.checkedAt); c != 0 {
			return c
		}
		return cmp.Compare(a.spec.name, b.spec.name)
	})
}

// reconcile writes a new plan for a replica if the replica needs one and a change is
// allowed now. It reports false if an error occurred.
func (k *Controller) reconcile(ctx context.Context, now time.Time, d *docindex.Index, replica *managedReplica) bool {
	if err := k.commitPlan(ctx, now, d, replica); err != nil {
		k.cfg.Log.Warn("plan not written", "model", replica.spec.key.model, "replica", replica.spec.name, "error", err)
		return false
	}
	return true
}

// commitPlan writes a plan for the replica to the store if the replica has none, or if the
// document or the measured times require another plan.
func (k *Controller) commitPlan(ctx context.Context, now time.Time, d *docindex.Index, replica *managedReplica) error {
	model, chain := plannerInput(d, replica.spec)
	stages, reason, changed, err := replica.decide(now, model, chain, k.cfg.Cache)
	if err != nil || !changed {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if allowed, err := k.mayCommit(ctx, now, replica, reason); !allowed {
		return err
	}
	key := plan.Key(k.cfg.Environment, replica.spec.key.model, replica.spec.key.domain)
	record, err := plan.Agree(ctx, k.cfg.Store, key, k.cfg.Node, func(r *plan.Record) bool {
		return putPlan(r, replica.spec, stages, reason)
	})
	if err != nil {
		return err
	}
	k.cfg.Cache.update(replica.spec.key, record)
	replica.adopt(now, model, chain, record.Replicas[replica.spec.name])
	replica.state = placement.Loading
	k.recordPlan(now, replica, record.Version, reason)
	return nil
}

// putPlan puts a plan into the record that is in force, and reports whether the record
// changed. Another node may have changed the record since the plan was decided, so the
// reason of the plan determines which parts of the plan are still put into the record.
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

// hasValidPlan reports whether a replica already has a plan that the document allows. A node
// that has just become the owner has not read the plans yet. Without this check, the node
// would replace plans that are based on measured times by first plans.
func hasValidPlan(replicaPlan plan.Replica, declared []document.Stage) bool {
	return len(replicaPlan.Stages) > 0 && usesOnly(documentStages(replicaPlan), declared)
}

func (k *Controller) recordPlan(now time.Time, replica *managedReplica, version int64, reason string) {
	partition := replica.planner.Plan().Partition
	figures := map[string]float64{
		"version":       float64(version),
		"stages":        float64(len(partition.Stages)),
		"bottleneck_us": partition.Bottleneck,
		"total_us":      partition.Total,
	}
	if reason == reasonVersion {
		rollout := k.rollouts[replica.spec.key]
		figures["out"] = float64(rollout.Unavailable)
		figures["may_be_out"] = float64(rollout.MaxUnavailable)
		figures["behind"] = float64(rollout.Outdated)
	}
	k.cfg.Recorder.Record(decisionlog.Decision{
		At:      now,
		Kind:    decisionlog.PlaceOrder,
		Service: replica.spec.key.model,
		Chosen:  replica.spec.name,
		Reason:  reason,
		Values:  figures,
	})
}
