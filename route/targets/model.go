package targets

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/decide/drainmark"
	"github.com/cicadatack/cicadatack/decide/endpointrate"
	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/reroute"
	"github.com/cicadatack/cicadatack/decide/reservations"
	"github.com/cicadatack/cicadatack/decide/waitqueue"
	"github.com/cicadatack/cicadatack/route/endpointlimits"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

// ModelTargets chooses paths through the replicas that hold a model's layers. It is safe for
// concurrent use.
type ModelTargets struct {
	domain    string
	now       func() time.Time
	startedAt time.Time

	mu        sync.Mutex
	layers    int
	nodeShare NodeShare
	selector  *paths.Selector
	// linkBacklog is the data that bypasses chosen by this node still have to transfer over the
	// links between failure domains. For each token of a request, crossingBytes are transferred
	// at each crossing. linkBytesPerSecond is the bandwidth that all failure domains share.
	linkBacklog                       reroute.LinkBacklog
	crossingBytes, linkBytesPerSecond float64

	observed observations
	// loadControl is used only while nodeShare.LoadControl is set.
	loadControl loadControl
	// leaving marks the replicas that have said in an answer that they are leaving.
	leaving *drainmark.Tracker
	limits  *endpointlimits.Limits

	active    map[*ActiveRequest]struct{}
	waitQueue waitqueue.Queue
	// wakeChannels holds the channel that wakes each waiting request, by waiter id.
	wakeChannels map[uint64]chan struct{}
	lastWaiterID uint64
}

// ActiveRequest is a request that runs along a path and has reserved capacity on each stage.
type ActiveRequest struct {
	model *ModelTargets
	path  paths.Path
	// tokens is the KV cache memory, in tokens, that the request has reserved on each stage.
	tokens        float64
	onLost        func(replica string)
	onDraining    func(replica string)
	drainNotified bool // onDraining is due or was called for the current path
	// lastEventAt is the time of the last event along the current path, in nanoseconds since
	// model.startedAt; 0 if there was none.
	lastEventAt atomic.Int64
	// begun is set once an event of this attempt has arrived.
	begun atomic.Bool
	// firstLost and firstHostUnreachable are the last suspicion of the first replica. They count
	// once that replica is no longer listed, as the selector then knows nothing of it.
	firstLost, firstHostUnreachable bool
}

// NewModelTargets returns ModelTargets without replicas, for a node in a failure domain.
func NewModelTargets(node, domain string, seed uint64, now func() time.Time) *ModelTargets {
	return &ModelTargets{
		limits:       endpointlimits.New(endpointrate.Node{Name: node, Domain: domain}, seed, now),
		domain:       domain,
		now:          now,
		startedAt:    now(),
		selector:     paths.New(seed),
		observed:     newObservations(),
		loadControl:  newLoadControl(),
		leaving:      drainmark.New(),
		active:       map[*ActiveRequest]struct{}{},
		wakeChannels: map[uint64]chan struct{}{},
	}
}

// NodeShare is this node's share of the resources that all nodes use.
type NodeShare struct {
	// CapacityShare returns the share of a failure domain's capacity that this node may use.
	CapacityShare func(domain string) float64
	// MaxConns bounds this node's connections to each replica; zero for no bound.
	MaxConns int
	// DomainNodeCount is the number of nodes in this node's failure domain.
	DomainNodeCount int
	// LoadControl is set if the service is under load control (ruleset.Service.LoadControl).
	LoadControl bool
}

// Update replaces the list of replicas.
func (m *ModelTargets) Update(model *ruleset.Model, list []*replicalist.Replica, share NodeShare) {
	replicas := make([]paths.Replica, 0, len(list))
	for _, r := range list {
		replicas = append(replicas, pathReplica(model, r))
	}
	m.limits.SetReplicas(domainsByID(list))
	m.mu.Lock()
	m.leaving.SetListed(m.now(), incarnationsByID(list))
	for i := range replicas {
		r := &replicas[i]
		r.Draining = r.Draining || m.leaving.Marked(r.ID, r.Incarnation)
	}
	m.layers, m.nodeShare = model.Layers, share
	m.crossingBytes, m.linkBytesPerSecond = model.TransferBytesPerToken, model.LinkBytesPerSecond
	m.selector.Update(replicas)
	for _, r := range list {
		m.selector.SetShare(r.Domain, share.CapacityShare(r.Domain))
	}
	m.wakeOne()
	callbacks := m.drainCallbacks()
	m.mu.Unlock()
	runCallbacksPaced(callbacks)
}

// pathReplica returns a listed replica as input of the selector. Layers that the model does not have
// are left out: the list and the configuration may be of different ages. All layers take memory,
// so a replica that states more of them than fit on its card has no capacity.
func pathReplica(model *ruleset.Model, r *replicalist.Replica) paths.Replica {
	accelerator := model.CardKinds[r.CardKind]
	capacity := max(0, accelerator.MemoryMB-float64(r.Holds.Len())*model.LayerMB) / model.KVMegabytesPerTokenLayer()
	return paths.Replica{
		ID: r.ID, Incarnation: r.Incarnation, Version: r.Version, Address: r.Address, Domain: r.Domain,
		Holds:         r.Holds.Within(layers.Span{To: model.Layers}),
		Capacity:      capacity,
		LayerMillis:   model.StepMillis * accelerator.StepTimeFactor / float64(model.Layers),
		PrefillMillis: model.PrefillMillis(accelerator),
		Draining:      r.Draining, Revision: r.Revision,
	}
}

// Limits implements Targets.
func (m *ModelTargets) Limits() *endpointlimits.Limits { return m.limits }

// Finish implements Targets.
func (m *ModelTargets) Finish(t Target, r Result) {
	m.mu.Lock()
	active := t.Active
	delete(m.active, active)
	m.selector.Release(active.path, active.tokens)
	callbacks := m.applyResult(t, r)
	m.wakeOne()
	m.mu.Unlock()
	runCallbacks(callbacks)
}

func (m *ModelTargets) applyResult(t Target, r Result) []replicaCallback {
	faulty := t.Replica
	if r.FaultAddress != "" {
		faulty = m.selector.ByAddress(r.FaultAddress)
	}
	switch {
	case faulty == "":
		return nil
	case r.LayersMissing:
		m.selector.MarkLayersMissing(faulty)
		m.observed.own[faulty] = observation{at: m.now(), refusing: true}
	case r.Suspected:
		m.observed.own[faulty] = observation{at: m.now(), unreachable: true}
		if m.selector.Suspect(m.now(), faulty, false) {
			return m.lossCallbacks(faulty)
		}
	case r.NoCapacity:
		if m.selector.RecordRefusal(m.now(), faulty) {
			m.observed.own[faulty] = observation{at: m.now(), refusing: true}
		}
	}
	return nil
}

// Reserved returns the capacity that this node has reserved on each replica, in tokens times
// layers.
func (m *ModelTargets) Reserved() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Reserved()
}

// SetPeerReservations records the capacity that other nodes of the failure domain have
// reserved, as far as this node knows.
func (m *ModelTargets) SetPeerReservations(reserved reservations.Totals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.selector.SetPeerReservations(m.domain, reserved.NodeCount, reserved.ReservedByReplica)
	m.wakeOne()
}

// PeakUtilization returns, for each failure domain, the reserved share of the capacity of its
// fullest replica. It is used for metrics.
func (m *ModelTargets) PeakUtilization() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.PeakUtilization(m.now())
}

// RequestCounts returns how many requests wait for capacity and how many are active.
func (m *ModelTargets) RequestCounts() (waiting, active int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waitQueue.Len(), len(m.active)
}
