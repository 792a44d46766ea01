package targets

import (
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/reroute"
)

// callback is a request that must be told that a replica of its path is lost.
type callback struct {
	call    func(replica string)
	replica string
}

func runCallbacks(callbacks []callback) {
	for _, c := range callbacks {
		go c.call(c.replica)
	}
}

// drainCallbackInterval is between two requests that are led away from a replica that leaves: the
// replicas that take them read their prompts, some milliseconds each, between the
// steps of all others.
const drainCallbackInterval = 15 * time.Millisecond

func runCallbacksPaced(callbacks []callback) {
	if len(callbacks) == 0 {
		return
	}
	go func() {
		for _, c := range callbacks {
			c.call(c.replica)
			time.Sleep(drainCallbackInterval)
		}
	}()
}

// drainCallbacks lists the requests that run through a replica which may end, or give up the
// layers, before they do, each once. One that the list no longer holds has left without
// a word and serves on for a while, as one that says so does; if it died instead, the
// silence of its streams tells sooner. The first part can't be replaced. The caller holds
// the lock.
func (m *ModelTargets) drainCallbacks() []callback {
	var list []callback
	for r := range m.active {
		if r.onDraining == nil || r.drainNotified {
			continue
		}
		for _, stage := range r.path[1:] {
			if !m.selector.Known(stage.Replica) || m.selector.NeedsReroute(stage.Replica, stage.Layers) {
				r.drainNotified = true
				list = append(list, callback{r.onDraining, stage.Replica})
				break
			}
		}
	}
	return list
}

// lossCallbacks lists the requests that run lossCallbacks a replica. The caller holds the lock.
func (m *ModelTargets) lossCallbacks(replica string) []callback {
	var list []callback
	for r := range m.active {
		if r.onLost != nil && r.uses(replica) {
			list = append(list, callback{r.onLost, replica})
		}
	}
	return list
}

func (r *ActiveRequest) uses(replica string) bool {
	for _, stage := range r.path {
		if stage.Replica == replica {
			return true
		}
	}
	return false
}

// SetCallbacks sets what is called, in a goroutine of its own, when a replica of the path
// turns out to be lost, and when one is about to leave. Each may be called more than
// once.
func (r *ActiveRequest) SetCallbacks(onLost, onDraining func(replica string)) {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	r.onLost, r.onDraining = onLost, onDraining
}

// FirstReplicaState says whether the replica that was handed the request is suspected, and
// whether its machine does not answer either.
func (r *ActiveRequest) FirstReplicaState() (suspected, hostUnreachable bool) {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	first := r.path[0].Replica
	return r.model.selector.Suspected(first), r.model.selector.HostUnreachable(first)
}

// MigrationFilter says which replicas may be handed a request that is underway.
type MigrationFilter struct {
	// Exclude names replicas that failed it.
	Exclude []string
	// FirstReplicas, if not empty, names the only ones that may.
	FirstReplicas []string
}

// ReserveMigration books a path for the request that begins at another first replica, if it
// could go on there now. The target needs one Ended.
func (r *ActiveRequest) ReserveMigration(filter MigrationFilter) (Target, bool) {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	path := r.findMigration(m.now(), filter)
	if path == nil {
		return Target{}, false
	}
	return m.start(path, r.tokens), true
}

// findMigration is a path that begins at another first replica, or nil. The caller holds
// the lock.
func (r *ActiveRequest) findMigration(now time.Time, filter MigrationFilter) paths.Path {
	m := r.model
	whole := layers.Span{To: m.layers}
	path, reason := m.selector.Choose(now, paths.Query{
		Domain: m.domain, Layers: whole, Tokens: r.tokens,
		Exclude: append(slices.Clone(filter.Exclude), r.path[0].Replica), FirstReplicas: filter.FirstReplicas,
	})
	if reason != paths.Found || !path.Covers(whole) {
		return nil
	}
	return path
}

// Recover chooses how the request goes on after a part of its path was lost: around it,
// along the path, or at another first replica, for which the target is booked and needs
// one Ended. elsewhere says whether another may go on with it, free up to which wait it
// is on time.
func (r *ActiveRequest) Recover(mayMigrate bool, maxWait time.Duration, filter MigrationFilter) (reroute.Action, paths.Path, Target) {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	bypass := r.findBypass(now)
	estimate := r.estimateBypass(bypass)
	estimate.MaxWait, estimate.BypassPrefill = maxWait, m.selector.PrefillWait(now, bypass, r.path, r.tokens, m.share.DomainNodes)
	var migration paths.Path
	if mayMigrate {
		migration = r.findMigration(now, filter)
		estimate.MigratePrefill = m.selector.PrefillWait(now, migration, nil, r.tokens, m.share.DomainNodes)
	}
	action := m.linkBacklog.Decide(now, bypass != nil, estimate, migration != nil && migration.Crossings() == 0)
	// Noted now and not once the order is taken: those that lose their part together decide
	// together.
	switch action {
	case reroute.Migrate:
		m.selector.AddPrefill(now, migration, nil, r.tokens, m.share.DomainNodes)
		return action, nil, m.start(migration, r.tokens)
	case reroute.Bypass:
		m.selector.AddPrefill(now, bypass, r.path, r.tokens, m.share.DomainNodes)
		if estimate.Bytes > 0 {
			m.linkBacklog.AddTransfer(now, estimate)
		}
	}
	return action, bypass, Target{}
}

// estimateBypass is what a way around sends over the links between failure domains. The caller
// holds the lock.
func (r *ActiveRequest) estimateBypass(bypass paths.Path) reroute.Estimate {
	m := r.model
	added := max(0, bypass.Crossings()-r.path.Crossings())
	return reroute.Estimate{
		Bytes: float64(added) * r.tokens * m.crossingBytes, BytesPerSecond: m.linkBytesPerSecond, Nodes: m.share.DomainNodes,
	}
}

// RetryDrainCallback notes that no way was found around a part that leaves: the next list
// asks again.
func (r *ActiveRequest) RetryDrainCallback() {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	r.drainNotified = false
}

// RecordEvent notes that an event of the request has come: all parts of its path live.
func (r *ActiveRequest) RecordEvent() {
	r.lastEventAt.Store(max(1, int64(r.model.now().Sub(r.model.startedAt))))
}

// UnconfirmedStages returns the parts of the path through which no other request has had an event
// within some time.
func (r *ActiveRequest) UnconfirmedStages(window time.Duration) paths.Path {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	since := m.now().Sub(m.startedAt) - window
	alive := map[string]bool{}
	for other := range m.active {
		if at := time.Duration(other.lastEventAt.Load()); at == 0 || at < since || other == r {
			continue
		}
		for _, stage := range other.path {
			alive[stage.Replica] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(r.path), func(p paths.Stage) bool { return alive[p.Replica] })
}

// Path is the path that the request runs along now.
func (r *ActiveRequest) Path() paths.Path {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	return r.path
}

// BypassDraining chooses a path around a part that leaves, which has time: one that crosses
// failure domains more often than the present one only while the links are idle. It
// returns nil if there is none now.
func (r *ActiveRequest) BypassDraining() paths.Path {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	path := r.findBypass(now)
	if path == nil || !m.linkBacklog.Idle(now, r.estimateBypass(path)) {
		return nil
	}
	m.linkBacklog.AddTransfer(now, r.estimateBypass(path))
	return path
}

// findBypass is a path that begins as the present one does and avoids what can't be used,
// or nil. The caller holds the lock.
func (r *ActiveRequest) findBypass(now time.Time) paths.Path {
	m := r.model
	first := r.path[0]
	if first.Layers.To == m.layers {
		return nil
	}
	rest, reason := m.selector.Choose(now, paths.Query{
		Domain: first.Domain, Layers: layers.Span{From: first.Layers.To, To: m.layers},
		Tokens: r.tokens, Exclude: []string{first.Replica},
	})
	if reason != paths.Found {
		return nil
	}
	path := append(paths.Path{first}, rest...)
	if !path.Covers(layers.Span{To: m.layers}) {
		return nil
	}
	return path
}

// SetPath notes that the request now runs along another path.
func (r *ActiveRequest) SetPath(path paths.Path) {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, underway := m.active[r]; !underway {
		return
	}
	m.selector.Release(r.path, r.tokens)
	m.selector.Reserve(path, r.tokens)
	r.path, r.drainNotified = path, false
	r.lastEventAt.Store(0)
}

// Suspect notes that a replica looks dead, silent that its machine does not answer
// either. It says whether that is new.
func (r *ActiveRequest) Suspect(replica string, hostUnreachable bool) bool {
	return r.model.Suspect(replica, hostUnreachable)
}

// MaxSlowdown is the pace of the path's slowest replica, 1 for one as fast as its kind.
func (r *ActiveRequest) MaxSlowdown() float64 {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	slowest := 1.0
	for _, stage := range r.path {
		slowest = max(slowest, m.selector.Slowdown(stage.Replica))
	}
	return slowest
}

// SetSlowdown notes a replica's pace. It says whether that is news.
func (r *ActiveRequest) SetSlowdown(replica string, slowdown float64) bool {
	return r.model.SetSlowdown(replica, slowdown)
}

// RerouteRefused notes an order to go around that was not taken.
func (r *ActiveRequest) RerouteRefused(path paths.Path, faultAddress string) {
	r.model.RerouteRefused(path, faultAddress)
}
