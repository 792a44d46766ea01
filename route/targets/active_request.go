package targets

import (
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/probebudget"
	"github.com/cicadatack/cicadatack/decide/reroute"
)

// replicaCallback is a call of onLost or onDraining that is due, with its argument.
type replicaCallback struct {
	call    func(replica string)
	replica string
}

func runCallbacks(callbacks []replicaCallback) {
	for _, c := range callbacks {
		go c.call(c.replica)
	}
}

// drainCallbackInterval is the time between the callbacks of two requests that are rerouted
// because of a draining replica. The replica that takes over must prefill the prompts of these
// requests between the steps of all other requests. Each prefill takes some milliseconds.
const drainCallbackInterval = 15 * time.Millisecond

func runCallbacksPaced(callbacks []replicaCallback) {
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

// drainCallbacks returns the onDraining callbacks of requests that must be rerouted, because a
// replica of their path may stop or give up its layers before they end. A request is not
// returned again for the same path, except after RetryDrainCallback.
//
// A replica that is no longer listed has left without announcing it, and counts as draining. It
// usually continues to serve for a while. If the replica has died instead, the silence of its
// streams shows the loss sooner than the list does. The first stage is left out because no
// bypass can replace it. The caller holds the lock.
func (m *ModelTargets) drainCallbacks() []replicaCallback {
	var list []replicaCallback
	for r := range m.active {
		if r.onDraining == nil || r.drainNotified {
			continue
		}
		for _, stage := range r.path[1:] {
			if !m.selector.Known(stage.Replica) || m.selector.NeedsReroute(stage.Replica, stage.Layers) {
				r.drainNotified = true
				list = append(list, replicaCallback{r.onDraining, stage.Replica})
				break
			}
		}
	}
	return list
}

// lossCallbacks returns the onLost callbacks of the requests that run through a replica. The
// caller holds the lock.
func (m *ModelTargets) lossCallbacks(replica string) []replicaCallback {
	var list []replicaCallback
	for r := range m.active {
		if r.onLost != nil && r.uses(replica) {
			list = append(list, replicaCallback{r.onLost, replica})
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

// SetCallbacks sets the functions to call when a replica of the path is lost (onLost) or
// draining (onDraining). They are called outside the caller's goroutine, and may be called more
// than once.
func (r *ActiveRequest) SetCallbacks(onLost, onDraining func(replica string)) {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	r.onLost, r.onDraining = onLost, onDraining
}

// FirstReplicaState reports whether the replica that received the request is suspected, and
// whether its host is unreachable. A replica that is no longer listed counts
// as suspected if it was found out of reach.
func (r *ActiveRequest) FirstReplicaState() (suspected, hostUnreachable bool) {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	first := r.path[0].Replica
	if !r.model.selector.Known(first) {
		return r.firstLost, r.firstHostUnreachable
	}
	return r.model.selector.Suspected(first), r.model.selector.HostUnreachable(first)
}

// MigrationFilter selects the replicas that may take over a request in progress.
type MigrationFilter struct {
	// Exclude lists replicas that failed the request.
	Exclude []string
	// AllowedFirstReplicas, if not empty, lists the only replicas that may take the request over.
	AllowedFirstReplicas []string
}

// ReserveMigration reserves capacity on a path that begins at another first replica, if there
// is such a path now. The target must be released with Finish.
func (r *ActiveRequest) ReserveMigration(filter MigrationFilter) (Target, bool) {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	path := r.findMigration(m.now(), filter)
	if path == nil || !m.limits.Take(path[0].Replica) {
		return Target{}, false
	}
	return m.start(path, r.tokens), true
}

// findMigration returns a path that begins at another first replica, or nil. The caller holds
// the lock.
func (r *ActiveRequest) findMigration(now time.Time, filter MigrationFilter) paths.Path {
	m := r.model
	whole := layers.Span{To: m.layers}
	path, reason := m.selector.Choose(now, paths.Query{
		Domain: m.domain, Layers: whole, Tokens: r.tokens,
		Exclude: slices.Concat(filter.Exclude, []string{r.path[0].Replica}, m.pushedBack()), FirstReplicas: filter.AllowedFirstReplicas,
		NotFirst: m.limits.Blocked(),
	})
	if reason != paths.Found || !path.Covers(whole) {
		return nil
	}
	return path
}

// Recover decides how the request continues after a stage of its path is lost. For
// reroute.Bypass it returns the bypass. For reroute.Migrate, which mayMigrate allows, it
// returns the target; the target is reserved and must be released with Finish. maxWait is the
// longest wait after which a bypass is still on time.
func (r *ActiveRequest) Recover(mayMigrate bool, maxWait time.Duration, filter MigrationFilter) (reroute.Action, paths.Path, Target) {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	bypass := r.findBypass(now)
	estimate := r.estimateBypass(bypass)
	estimate.MaxWait, estimate.BypassPrefill = maxWait, m.selector.PrefillWait(now, bypass, r.path, r.tokens, m.nodeShare.DomainNodeCount)
	var migration paths.Path
	if mayMigrate {
		migration = r.findMigration(now, filter)
		estimate.MigratePrefill = m.selector.PrefillWait(now, migration, nil, r.tokens, m.nodeShare.DomainNodeCount)
	}
	action := m.linkBacklog.Decide(now, bypass != nil, estimate, migration != nil && migration.Crossings() == 0)
	// The prefill and the transfer are recorded before the engine accepts the reroute command,
	// because other requests that lost the same stage are decided on at the same time.
	switch action {
	case reroute.Migrate:
		if !m.limits.Take(migration[0].Replica) {
			return reroute.Stay, nil, Target{}
		}
		m.selector.AddPrefill(now, migration, nil, r.tokens, m.nodeShare.DomainNodeCount)
		return action, nil, m.start(migration, r.tokens)
	case reroute.Bypass:
		if !m.mayReroute(now, r.lossPriority()) {
			return reroute.Stay, nil, Target{}
		}
		m.selector.AddPrefill(now, bypass, r.path, r.tokens, m.nodeShare.DomainNodeCount)
		if estimate.Bytes > 0 {
			m.linkBacklog.AddTransfer(now, estimate)
		}
	}
	return action, bypass, Target{}
}

// estimateBypass estimates the data that the added crossings of a bypass transfer over the
// links between failure domains. The caller holds the lock.
func (r *ActiveRequest) estimateBypass(bypass paths.Path) reroute.Estimate {
	m := r.model
	added := max(0, bypass.Crossings()-r.path.Crossings())
	return reroute.Estimate{
		Bytes: float64(added) * r.tokens * m.crossingBytes, BytesPerSecond: m.linkBytesPerSecond, Nodes: m.nodeShare.DomainNodeCount,
	}
}

// RetryDrainCallback records that no bypass was found for a draining stage. The next update of
// the list of replicas then calls the onDraining callback again.
func (r *ActiveRequest) RetryDrainCallback() {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	r.drainNotified = false
}

// RecordEvent records that an event of the request arrived. The event shows that all stages of
// the path are alive.
func (r *ActiveRequest) RecordEvent() {
	r.lastEventAt.Store(max(1, int64(r.model.now().Sub(r.model.startedAt))))
	r.begun.Store(true)
}

// UnconfirmedStages returns the stages of the path through which no other request had an event
// within the window.
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

// Path returns the current path of the request.
func (r *ActiveRequest) Path() paths.Path {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	return r.path
}

// BypassDraining returns a bypass around a draining stage, or nil if there is none now. The
// bypass is not urgent, so it adds crossings only while the links between failure domains are
// idle.
func (r *ActiveRequest) BypassDraining() paths.Path {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	path := r.findBypass(now)
	if path == nil || !m.linkBacklog.Idle(now, r.estimateBypass(path)) || !m.mayReroute(now, probebudget.Background) {
		return nil
	}
	m.linkBacklog.AddTransfer(now, r.estimateBypass(path))
	return path
}

// findBypass returns a path that keeps the first stage and runs through usable replicas after
// it, or nil. There is none while the first replica wants no requests, because the reroute
// command is one. The caller holds the lock.
func (r *ActiveRequest) findBypass(now time.Time) paths.Path {
	m := r.model
	first := r.path[0]
	pushedBack := m.pushedBack()
	if first.Layers.To == m.layers || slices.Contains(pushedBack, first.Replica) {
		return nil
	}
	rest, reason := m.selector.Choose(now, paths.Query{
		Domain: first.Domain, Layers: layers.Span{From: first.Layers.To, To: m.layers},
		Tokens: r.tokens, Exclude: append(pushedBack, first.Replica), Reroute: m.nodeShare.LoadControl,
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

// SetPath records that the request now runs along another path, and moves the reservation to
// that path.
func (r *ActiveRequest) SetPath(path paths.Path) {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, underway := m.active[r]; !underway {
		return
	}
	m.selector.Release(r.path, r.tokens)
	m.selector.Reserve(path, r.tokens)
	for _, stage := range r.newStages(path) {
		m.selector.ResumeReroutes(stage.Replica)
	}
	r.path, r.drainNotified = path, false
	r.lastEventAt.Store(0)
}

// Suspect records that a replica looks dead, and whether its host is unreachable. It reports
// whether the suspicion is new.
func (r *ActiveRequest) Suspect(replica string, hostUnreachable bool) bool {
	return r.model.Suspect(replica, hostUnreachable)
}

// MaxSlowdown returns the slowdown of the slowest replica of the path, at least 1.
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

// SetSlowdown records the slowdown that a replica reports about itself. It reports whether the
// replica has become slow or is no longer slow.
func (r *ActiveRequest) SetSlowdown(replica string, slowdown float64) bool {
	return r.model.SetSlowdown(replica, slowdown)
}

// RerouteRefused records that an engine refused a reroute command for the request. faultAddress is
// the address of the stage that could not be reached, "" if a stage has no capacity.
func (r *ActiveRequest) RerouteRefused(path paths.Path, faultAddress string) {
	m := r.model
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
	if m.nodeShare.LoadControl {
		for _, stage := range r.newStages(path) {
			m.selector.PauseReroutes(now, stage.Replica)
		}
	}
}

// newStages returns the later stages of a path that must reserve memory for the request, because the
// present path does not run these layers on the same replica. The caller holds the lock.
func (r *ActiveRequest) newStages(path paths.Path) paths.Path {
	return slices.DeleteFunc(slices.Clone(path[1:]), func(stage paths.Stage) bool {
		return slices.ContainsFunc(r.path, func(present paths.Stage) bool {
			return present.Replica == stage.Replica && present.Layers.Covers(stage.Layers)
		})
	})
}
