package targets

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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

// capacityPollInterval is the time after which a waiting request checks for capacity without
// being woken. A replica that refused requests becomes usable again after some time, and no
// waiting request is woken at that time.
const capacityPollInterval = 50 * time.Millisecond

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
	limits   *endpointlimits.Limits

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
}

// Update replaces the list of replicas.
func (m *ModelTargets) Update(model *ruleset.Model, list []*replicalist.Replica, share NodeShare) {
	replicas := make([]paths.Replica, 0, len(list))
	for _, r := range list {
		replicas = append(replicas, pathReplica(model, r))
	}
	m.limits.SetReplicas(domainsByID(list))
	m.mu.Lock()
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

func pathReplica(model *ruleset.Model, r *replicalist.Replica) paths.Replica {
	accelerator := model.CardKinds[r.CardKind]
	capacity := max(0, accelerator.MemoryMB-float64(r.Holds.Len())*model.LayerMB) / model.KVMegabytesPerTokenLayer()
	return paths.Replica{
		ID: r.ID, Incarnation: r.Incarnation, Address: r.Address, Domain: r.Domain, Holds: r.Holds,
		Capacity:      capacity,
		LayerMillis:   model.StepMillis * accelerator.StepTimeFactor / float64(model.Layers),
		PrefillMillis: model.PrefillMillis(accelerator),
		Draining:      r.Draining, Revision: r.Revision,
	}
}

// Choose implements Targets.
func (m *ModelTargets) Choose(ctx context.Context, q Query) (Target, error) {
	w, wake := m.newWaiter(q)
	for firstTry := true; ; firstTry = false {
		t, reason, ok := m.reserve(q, w, firstTry)
		if ok {
			return t, nil
		}
		remaining := q.WaitUntil.Sub(m.now())
		if remaining <= 0 {
			m.stopWaiting(w)
			return Target{}, errorOf(reason)
		}
		if err := waitForWake(ctx, wake, min(remaining, capacityPollInterval)); err != nil {
			m.stopWaiting(w)
			return Target{}, err
		}
	}
}

func (m *ModelTargets) newWaiter(q Query) (waitqueue.Request, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastWaiterID++
	wake := make(chan struct{}, 1)
	m.wakeChannels[m.lastWaiterID] = wake
	return waitqueue.Request{ID: m.lastWaiterID, Priority: q.Rank, OnTimeUntil: q.OnTimeUntil}, wake
}

func errorOf(reason paths.Outcome) error {
	if reason == paths.NoCapacity {
		return ErrNoCapacity
	}
	return ErrNoEndpoint
}

func waitForWake(ctx context.Context, wake <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// reserve reserves capacity on a path. At the first try it reserves none if a waiting request
// comes first. A request that gets no path at its first try is queued.
func (m *ModelTargets) reserve(q Query, w waitqueue.Request, firstTry bool) (Target, paths.Outcome, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if firstTry && m.waitQueue.MustWait(now, w) {
		m.waitQueue.Add(now, w)
		return Target{}, paths.NoCapacity, false
	}
	path, reason := m.selector.Choose(now, paths.Query{
		Domain: m.domain, Layers: layers.Span{To: m.layers}, Tokens: q.Tokens, Exclude: q.Exclude, FirstReplicas: q.AllowedFirstReplicas,
		NotFirst: m.limits.Blocked(),
	})
	if reason != paths.Found || !path.Covers(layers.Span{To: m.layers}) || !m.limits.Take(path[0].Replica) {
		if firstTry {
			m.waitQueue.Add(now, w)
		}
		return Target{}, reason, false
	}
	m.removeWaiter(w)
	m.selector.AddPrefill(now, path, nil, q.PrefillTokens, m.nodeShare.DomainNodeCount)
	m.wakeOne() // there may be capacity for the next request as well
	return m.start(path, q.Tokens), paths.Found, true
}

func (m *ModelTargets) start(path paths.Path, tokens float64) Target {
	active := &ActiveRequest{model: m, path: path, tokens: tokens}
	m.selector.Reserve(path, tokens)
	m.active[active] = struct{}{}
	return Target{
		Replica: path[0].Replica, Address: path[0].Address, Domain: path[0].Domain,
		Path: path, MaxConns: m.nodeShare.MaxConns, Active: active,
	}
}

// removeWaiter removes a request that no longer waits. The caller holds the lock.
func (m *ModelTargets) removeWaiter(w waitqueue.Request) {
	m.waitQueue.Remove(w.ID)
	delete(m.wakeChannels, w.ID)
}

func (m *ModelTargets) stopWaiting(w waitqueue.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeWaiter(w)
	m.wakeOne()
}

// wakeOne wakes the first waiting request, which then tries again.
func (m *ModelTargets) wakeOne() {
	id, ok := m.waitQueue.First(m.now())
	if !ok {
		return
	}
	select {
	case m.wakeChannels[id] <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// RateLimits implements Targets.
func (m *ModelTargets) RateLimits() *endpointlimits.Limits { return m.limits }

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

// Suspect records that a replica looks dead, and whether its host is unreachable. If the
// suspicion is new, it calls onLost of the requests that run through the replica. It reports
// whether the suspicion is new.
func (m *ModelTargets) Suspect(replica string, hostUnreachable bool) bool {
	changed, callbacks := m.suspect(replica, hostUnreachable)
	runCallbacks(callbacks)
	return changed
}

// suspect records that a replica looks dead. If the suspicion is new, it returns the onLost
// callbacks of the requests that run through the replica.
func (m *ModelTargets) suspect(replica string, hostUnreachable bool) (changed bool, callbacks []replicaCallback) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.own[replica] = observation{at: m.now(), unreachable: true}
	if !m.selector.Suspect(m.now(), replica, hostUnreachable) {
		return false, nil
	}
	return true, m.lossCallbacks(replica)
}

// SuspectOnReport records that a replica accepts no connection, after other nodes reported it
// as lost. The replica gets no new requests. The requests that run through it are notified only
// if its host is unreachable, because a draining replica also refuses connections but continues
// its requests. SuspectOnReport reports whether the suspicion is new.
func (m *ModelTargets) SuspectOnReport(replica string, hostUnreachable bool) bool {
	changed, callbacks := m.suspectOnReport(replica, hostUnreachable)
	runCallbacks(callbacks)
	return changed
}

func (m *ModelTargets) suspectOnReport(replica string, hostUnreachable bool) (changed bool, callbacks []replicaCallback) {
	changed, lossCallbacks := m.suspect(replica, hostUnreachable)
	if !hostUnreachable {
		return changed, nil
	}
	return changed, lossCallbacks
}

// MarkAlive records that a replica is alive. It reports whether the replica was suspected.
func (m *ModelTargets) MarkAlive(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.own[replica] = observation{at: m.now()}
	wasSuspected := m.selector.MarkAlive(replica)
	m.wakeOne()
	return wasSuspected
}

// Replica returns the replica with the given id, if it is listed.
func (m *ModelTargets) Replica(id string) (paths.Replica, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Replica(id)
}

// Suspects returns the suspected replicas.
func (m *ModelTargets) Suspects() []paths.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Suspects()
}

// SetSlowdown records the slowdown that a replica reports about itself. It reports whether the
// replica has become slow or is no longer slow.
func (m *ModelTargets) SetSlowdown(replica string, slowdown float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if max(slowdown, m.selector.Slowdown(replica)) >= paths.SlowThreshold {
		// If the replica was and is not slow, there is nothing to report to other nodes.
		m.observed.own[replica] = observation{at: m.now(), slowdown: max(1, slowdown)}
	}
	return m.selector.SetSlowdown(replica, slowdown)
}

// BackedOff returns the replicas that are backed off, because they refuse requests although
// they have capacity.
func (m *ModelTargets) BackedOff() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.BackedOff(m.now())
}

// Slow returns the replicas that are slow (paths.SlowThreshold) and not suspected.
func (m *ModelTargets) Slow() []paths.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Slow()
}

// layersLostAfter is how long a replica must be suspected before its layers count as lost.
// Within this time, some tries to reach the replica are made.
const layersLostAfter = 600 * time.Millisecond

// LayersLost reports whether a replica has been suspected for so long that other replicas
// should take over its layers.
func (m *ModelTargets) LayersLost(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.SuspectedFor(m.now(), replica, layersLostAfter)
}

// RerouteRefused records that an engine refused a reroute command. faultAddress is the address
// of the stage that could not be reached, "" if a stage has no capacity.
func (m *ModelTargets) RerouteRefused(path paths.Path, faultAddress string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if id := m.selector.ByAddress(faultAddress); id != "" {
		m.selector.MarkLayersMissing(id)
		return
	}
	for _, stage := range path[1:] {
		m.selector.Avoid(now, stage.Replica)
	}
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
