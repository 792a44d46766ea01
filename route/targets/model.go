package targets

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/reroute"
	"github.com/cicadatack/cicadatack/decide/reservations"
	"github.com/cicadatack/cicadatack/decide/waitqueue"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

// capacityPollInterval is how often one who waits for room looks again without a sign: a
// replica that was suspected is used again by time alone.
const capacityPollInterval = 50 * time.Millisecond

// ModelTargets chooses paths through the replicas that hold a model's layers. Safe for
// concurrent use.
type ModelTargets struct {
	domain    string
	now       func() time.Time
	startedAt time.Time

	mu       sync.Mutex
	layers   int
	share    NodeShare
	selector *paths.Selector
	// linkBacklog is what this node's detours have sent between failure domains; a token
	// sends crossBytes each time, of crossPerSecond that all share.
	linkBacklog                       reroute.LinkBacklog
	crossingBytes, linkBytesPerSecond float64

	observed observations

	active  map[*ActiveRequest]struct{}
	waiting waitqueue.Queue
	// wakes are the channels of those who wait, by the number of their request.
	wakes        map[uint64]chan struct{}
	lastWaiterID uint64
}

// ActiveRequest is a request underway along a path.
type ActiveRequest struct {
	model         *ModelTargets
	path          paths.Path
	tokens        float64
	onLost        func(replica string)
	onDraining    func(replica string)
	drainNotified bool // that a part of the path leaves
	// lastEventAt is when an event came last, counted from the model's beginning; 0 for never.
	lastEventAt atomic.Int64
}

// NewModelTargets returns a Model without replicas for a node in a failure domain.
func NewModelTargets(domain string, seed uint64, now func() time.Time) *ModelTargets {
	return &ModelTargets{
		domain:    domain,
		now:       now,
		startedAt: now(),
		selector:  paths.New(seed),
		observed:  newObservations(),
		active:    map[*ActiveRequest]struct{}{},
		wakes:     map[uint64]chan struct{}{},
	}
}

// NodeShare is this node's part of what all nodes use.
type NodeShare struct {
	// CapacityShare is of a failure domain's room.
	CapacityShare func(domain string) float64
	// MaxConns bounds this node's connections to each replica; zero for no bound.
	MaxConns int
	// DomainNodes is how many nodes there are in its failure domain.
	DomainNodes int
}

// Update puts a new list in force.
func (m *ModelTargets) Update(model *ruleset.Model, list []*replicalist.Replica, share NodeShare) {
	replicas := make([]paths.Replica, 0, len(list))
	for _, r := range list {
		replicas = append(replicas, pathReplica(model, r))
	}
	m.mu.Lock()
	m.layers, m.share = model.Layers, share
	m.crossingBytes, m.linkBytesPerSecond = model.CrossBytes, model.LinkBytesPerSecond
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
	accelerator := model.Cards[r.Kind]
	capacity := max(0, accelerator.MemoryMB-float64(r.Holds.Len())*model.LayerMB) / model.TokenLayerMB()
	return paths.Replica{
		ID: r.ID, Incarnation: r.Born, Address: r.Address, Domain: r.Domain, Holds: r.Holds,
		Capacity:      capacity,
		LayerMillis:   model.StepMillis * accelerator.Pace / float64(model.Layers),
		PrefillMillis: model.ReadMillis(accelerator),
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
	m.wakes[m.lastWaiterID] = wake
	return waitqueue.Request{ID: m.lastWaiterID, Rank: q.Rank, OnTimeUntil: q.OnTimeUntil}, wake
}

func errorOf(reason paths.Reason) error {
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

// reserve books a path, unless others wait who come first. One who finds none waits.
func (m *ModelTargets) reserve(q Query, w waitqueue.Request, firstTry bool) (Target, paths.Reason, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if firstTry && m.waiting.Before(now, w) {
		m.waiting.Add(now, w)
		return Target{}, paths.NoCapacity, false
	}
	path, reason := m.selector.Choose(now, paths.Query{
		Domain: m.domain, Layers: layers.Span{To: m.layers}, Tokens: q.Tokens, Exclude: q.Exclude, FirstReplicas: q.FirstReplicas,
	})
	if reason != paths.Found || !path.Covers(layers.Span{To: m.layers}) {
		if firstTry {
			m.waiting.Add(now, w)
		}
		return Target{}, reason, false
	}
	m.removeWaiter(w)
	m.selector.AddPrefill(now, path, nil, q.PrefillTokens, m.share.DomainNodes)
	m.wakeOne() // there may be room for the next as well
	return m.start(path, q.Tokens), paths.Found, true
}

func (m *ModelTargets) start(path paths.Path, tokens float64) Target {
	active := &ActiveRequest{model: m, path: path, tokens: tokens}
	m.selector.Reserve(path, tokens)
	m.active[active] = struct{}{}
	return Target{
		Replica: path[0].Replica, Address: path[0].Address, Domain: path[0].Domain,
		Path: path, MaxConns: m.share.MaxConns, Active: active,
	}
}

// removeWaiter takes out one who waits no longer. The caller holds the lock.
func (m *ModelTargets) removeWaiter(w waitqueue.Request) {
	m.waiting.Remove(w.ID)
	delete(m.wakes, w.ID)
}

func (m *ModelTargets) stopWaiting(w waitqueue.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeWaiter(w)
	m.wakeOne()
}

// wakeOne lets the first who waits look again.
func (m *ModelTargets) wakeOne() {
	id, ok := m.waiting.First(m.now())
	if !ok {
		return
	}
	select {
	case m.wakes[id] <- struct{}{}:
	default: // it is about to look anyway
	}
}

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

func (m *ModelTargets) applyResult(t Target, r Result) []callback {
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

// Suspect notes that a replica looks dead, silent that its machine does not answer
// either; the requests that run through it are told. It says whether that is new.
func (m *ModelTargets) Suspect(replica string, hostUnreachable bool) bool {
	changed, callbacks := m.suspect(replica, hostUnreachable)
	runCallbacks(callbacks)
	return changed
}

// suspect notes that a replica looks dead, and returns the requests that run through it.
func (m *ModelTargets) suspect(replica string, hostUnreachable bool) (changed bool, callbacks []callback) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.own[replica] = observation{at: m.now(), unreachable: true}
	if !m.selector.Suspect(m.now(), replica, hostUnreachable) {
		return false, nil
	}
	return true, m.lossCallbacks(replica)
}

// SuspectOnReport notes that a replica accepts no connection which other nodes have lost. It gets no
// new requests. Those that run through it are told only if its machine does not answer
// either: one that leaves refuses connections, and goes on with what it has. It says
// whether the suspicion is new.
func (m *ModelTargets) SuspectOnReport(replica string, hostUnreachable bool) bool {
	changed, callbacks := m.suspectOnReport(replica, hostUnreachable)
	runCallbacks(callbacks)
	return changed
}

func (m *ModelTargets) suspectOnReport(replica string, hostUnreachable bool) (changed bool, callbacks []callback) {
	changed, ifUnreachable := m.suspect(replica, hostUnreachable)
	if !hostUnreachable {
		return changed, nil
	}
	return changed, ifUnreachable
}

// MarkAlive notes that a suspected replica lives. It says whether it was suspected.
func (m *ModelTargets) MarkAlive(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.own[replica] = observation{at: m.now()}
	wasSuspected := m.selector.MarkAlive(replica)
	m.wakeOne()
	return wasSuspected
}

// Replica returns a replica that is listed.
func (m *ModelTargets) Replica(id string) (paths.Replica, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Replica(id)
}

// Suspects returns the replicas that are suspected.
func (m *ModelTargets) Suspects() []paths.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Suspects()
}

// SetSlowdown notes how much slower than its kind a replica says it is. It says whether
// that is news.
func (m *ModelTargets) SetSlowdown(replica string, slowdown float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if max(slowdown, m.selector.Slowdown(replica)) >= paths.SlowThreshold {
		// One that is as fast as it was is no news to anybody.
		m.observed.own[replica] = observation{at: m.now(), slowdown: max(1, slowdown)}
	}
	return m.selector.SetSlowdown(replica, slowdown)
}

// BackedOff returns the replicas that turn requests away although they have room.
func (m *ModelTargets) BackedOff() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.BackedOff(m.now())
}

// Slow returns the replicas that are slower than their kind.
func (m *ModelTargets) Slow() []paths.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Slow()
}

// layersLostAfter is how long a replica is suspected before its layers count as lost: the
// time of some tries to reach it.
const layersLostAfter = 600 * time.Millisecond

// LayersLost says whether a replica has been out of reach for so long that others should
// take its layers.
func (m *ModelTargets) LayersLost(replica string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.SuspectedFor(m.now(), replica, layersLostAfter)
}

// RerouteRefused notes an order to go around that an engine did not take. fault is the
// address of the part that is not there, "" if one has no room.
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

// Reserved is what this node has booked on each replica, in tokens times layers.
func (m *ModelTargets) Reserved() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.Reserved()
}

// SetPeerReservations notes what the other nodes of this one's failure domain have booked, as far
// as it is known.
func (m *ModelTargets) SetPeerReservations(reserved reservations.Held) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.selector.SetPeerReservations(m.domain, reserved.Nodes, reserved.Amounts)
	m.wakeOne()
}

// PeakUtilization is the part of the room that is booked on the fullest replica of each failure
// domain, for metrics.
func (m *ModelTargets) PeakUtilization() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selector.PeakUtilization(m.now())
}

// RequestCounts is how many requests wait for room, and Underway how many run.
func (m *ModelTargets) RequestCounts() (waiting, active int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting.Len(), len(m.active)
}
