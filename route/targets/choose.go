package targets

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/pushback"
	"github.com/cicadatack/cicadatack/decide/waitqueue"
)

// capacityPollInterval is the time after which a waiting request checks for capacity without
// being woken. A replica that refused requests becomes usable again after some time, and no
// waiting request is woken at that time.
const capacityPollInterval = 50 * time.Millisecond

// Choose implements Targets.
func (m *ModelTargets) Choose(ctx context.Context, q Query) (Target, error) {
	w, wake := m.newWaiter(q)
	for firstTry := true; ; firstTry = false {
		t, reason, ok := m.reserve(q, w, firstTry)
		if ok {
			return t, nil
		}
		if until, blocked := m.blockedPast(q); blocked {
			m.stopWaiting(w)
			return Target{}, &PushbackError{Until: until}
		}
		if q.FailIfUnreachable && reason == paths.LayersUnavailable && m.unreachable(q) {
			m.stopWaiting(w)
			return Target{}, ErrUnreachable
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
	path, reason := m.takePath(now, q)
	if path == nil {
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

// takePath finds a path for a new request and counts the request at its first replica. If that
// replica becomes blocked during the search, takePath searches again. Without a path it returns
// nil and the reason. The caller holds the lock.
func (m *ModelTargets) takePath(now time.Time, q Query) (paths.Path, paths.Outcome) {
	for {
		path, reason := m.selector.Choose(now, m.pathQuery(q, m.pushedBack()))
		if reason != paths.Found || !path.Covers(layers.Span{To: m.layers}) {
			return nil, reason
		}
		if m.limits.Take(path[0].Replica) {
			return path, paths.Found
		}
	}
}

// pathQuery returns the query for a path of a new request. unwanted lists replicas that the path
// must not use besides those that the request excludes.
func (m *ModelTargets) pathQuery(q Query, unwanted []string) paths.Query {
	return paths.Query{
		Domain: m.domain, Layers: layers.Span{To: m.layers}, Tokens: q.Tokens,
		Exclude:       slices.Concat(q.Exclude, unwanted),
		FirstReplicas: q.AllowedFirstReplicas, NotFirst: m.limits.Blocked(), MaxUtilization: m.newRequestUtilization(),
	}
}

// newRequestUtilization returns the utilization up to which new requests may fill a replica; 0
// means the usual limit.
func (m *ModelTargets) newRequestUtilization() float64 {
	if m.nodeShare.LoadControl {
		return maxUtilizationByNew
	}
	return 0
}

// maxUtilizationByNew is the utilization up to which new requests may fill a replica under load
// control. The rest is for streams whose path loses a stage: without it, the replicas that take
// over run out of memory, and preempt other streams.
const maxUtilizationByNew = 0.9

// pushedBack returns the replicas that want no requests from this node. No path may use them:
// a later stage is sent work as well.
func (m *ModelTargets) pushedBack() []string { return replicaIDs(m.limits.Pushbacks()) }

func replicaIDs(pushbacks []pushback.Pushback) []string {
	var ids []string
	for _, p := range pushbacks {
		ids = append(ids, p.Replica)
	}
	return ids
}

// blockedPast reports whether the request can't be served in time because of pushbacks alone:
// every path needs a replica that wants no requests until after Query.WaitUntil. until is the
// earliest end of such a pushback.
func (m *ModelTargets) blockedPast(q Query) (until time.Time, blocked bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	tooLate := slices.DeleteFunc(m.limits.Pushbacks(), func(p pushback.Pushback) bool { return !now.Add(p.Remaining).After(q.WaitUntil) })
	if len(tooLate) == 0 {
		return time.Time{}, false
	}
	if _, reason := m.selector.Choose(now, m.pathQuery(q, replicaIDs(tooLate))); reason != paths.LayersUnavailable {
		return time.Time{}, false
	}
	if _, reason := m.selector.Choose(now, m.pathQuery(q, nil)); reason == paths.LayersUnavailable {
		return time.Time{}, false
	}
	first := slices.MinFunc(tooLate, func(a, b pushback.Pushback) int { return cmp.Compare(a.Remaining, b.Remaining) })
	return now.Add(first.Remaining), true
}

// unreachable reports whether there would be a path if this node reached all replicas that it
// suspects.
func (m *ModelTargets) unreachable(q Query) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	q.Exclude = slices.DeleteFunc(slices.Clone(q.Exclude), m.selector.Suspected)
	query := m.pathQuery(q, m.pushedBack())
	query.IncludeSuspected = true
	_, reason := m.selector.Choose(m.now(), query)
	return reason != paths.LayersUnavailable
}

func (m *ModelTargets) start(path paths.Path, tokens float64) Target {
	active := &ActiveRequest{model: m, path: path, tokens: tokens}
	m.selector.Reserve(path, tokens)
	m.active[active] = struct{}{}
	m.loadControl.earn()
	first, _ := m.selector.Replica(path[0].Replica)
	return Target{
		Replica: path[0].Replica, Incarnation: first.Incarnation, Version: first.Version, Address: path[0].Address, Domain: path[0].Domain,
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
