package targets

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/peerreports"
	"github.com/cicadatack/cicadatack/decide/probebudget"
	"github.com/cicadatack/cicadatack/decide/stall"
)

var (
	// probeConfig limits the probes because of silent streams, so that they stay well under one
	// for each request. The maximum is enough for the streams of a node through eight replicas
	// that are lost at once.
	probeConfig = probebudget.Config{PerRequest: 0.25, PerSecond: 0.5, Max: 16, Reserve: 8}
	// reportConfig limits the requests for reports of replicas because of silent streams.
	reportConfig = probebudget.Config{PerRequest: 0.05, PerSecond: 0.1, Max: 4, Reserve: 2}
	// rerouteConfig limits the reroute commands. The maximum is the streams of a node that sends
	// 2.4 requests a second; of these, less than half lose a stage when eight of 98 replicas are lost.
	rerouteConfig = probebudget.Config{PerStreamSecond: 0.25, Max: 12, Reserve: 6}
)

// loadControl limits what a node does because of silent streams of a service under load control.
// ModelTargets.mu guards it.
type loadControl struct {
	probes, reports, reroutes probebudget.Budget
	// firstEvents is the mean time to the first event.
	firstEvents stall.FirstEvents
	// notNeeded counts the probes that were not made because of a recent contact.
	notNeeded int64
	// leftToPeers counts the tries to reach suspected replicas that were left to other nodes.
	leftToPeers int64
	// askedAt is the time when replicas were last asked for their slowdown, triedAt the time of
	// the last try to reach suspected replicas.
	askedAt, triedAt map[string]time.Time
}

func newLoadControl() loadControl {
	return loadControl{
		probes: probebudget.New(probeConfig), reports: probebudget.New(reportConfig), reroutes: probebudget.New(rerouteConfig),
		askedAt: map[string]time.Time{}, triedAt: map[string]time.Time{},
	}
}

// earn adds what a request that is sent earns to the budgets.
func (l *loadControl) earn() {
	l.probes.Earn()
	l.reports.Earn()
}

// Withheld returns how often this node did not act on a silent stream, by kind of action and
// reason. It is used for logs.
func (m *ModelTargets) Withheld() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]int64{
		"probe_contacted": m.loadControl.notNeeded,
		"probe_budget":    m.loadControl.probes.Withheld(),
		"report_budget":   m.loadControl.reports.Withheld(),
		"reroute_budget":  m.loadControl.reroutes.Withheld(),
		"again_by_peers":  m.loadControl.leftToPeers,
	}
}

// UnderLoadControl reports whether the service is under load control.
func (m *ModelTargets) UnderLoadControl() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodeShare.LoadControl
}

// UnderLoadControl reports whether the service of the request is under load control.
func (r *ActiveRequest) UnderLoadControl() bool { return r.model.UnderLoadControl() }

// StagesToProbe returns the stages of the path that the node may probe now because of a doubt, and
// the stages whose replicas are suspected already. contact returns the last contact with an
// address.
func (r *ActiveRequest) StagesToProbe(d probebudget.Doubt, contact func(address string) probebudget.Contact) (probe, suspected paths.Path) {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	contacts := map[string]probebudget.Contact{}
	for i, stage := range r.path {
		if m.selector.Suspected(stage.Replica) {
			suspected = append(suspected, stage)
			if i == 0 && !m.selector.HostUnreachable(stage.Replica) {
				// Reports of other nodes don't say whether the host answers, which decides how soon
				// the stream may leave its first replica.
				probe = append(probe, stage)
			}
			continue
		}
		if c := m.lastContact(r, stage.Replica, contact(stage.Address)); c.Due(now, d) {
			contacts[stage.Replica] = c
			probe = append(probe, stage)
		} else {
			m.loadControl.notNeeded++
		}
	}
	// If the budget is not enough, the replicas that have been out of contact for longest go first.
	slices.SortStableFunc(probe, func(a, b paths.Stage) int {
		return contacts[a.Replica].ReachedAt.Compare(contacts[b.Replica].ReachedAt)
	})
	probe = slices.DeleteFunc(probe, func(paths.Stage) bool { return !m.loadControl.probes.Take(now, priorityOf(d.Begun), len(m.active)) })
	return probe, suspected
}

// FirstCheckAfter returns the silence after which a stream without an event is checked first. It is
// usual, or longer if first events come late under load control.
func (r *ActiveRequest) FirstCheckAfter(usual time.Duration) time.Duration {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.nodeShare.LoadControl {
		return usual
	}
	return m.loadControl.firstEvents.CheckAfter(m.now(), usual)
}

// ObserveFirstEvent records that a stream had its first event after the given time or, if ended is
// set, that it ended after that time without an event.
func (r *ActiveRequest) ObserveFirstEvent(after time.Duration, ended bool) {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	if ended {
		m.loadControl.firstEvents.ObserveEndWithout(m.now(), after)
		return
	}
	m.loadControl.firstEvents.Observe(m.now(), after)
}

// priorityOf returns the priority of an action for a silent stream. The silence of a stream that has
// begun is more likely due to a loss, and its caller already has a part of the answer.
func priorityOf(begun bool) probebudget.Priority {
	if begun {
		return probebudget.Urgent
	}
	return probebudget.Normal
}

// lossPriority is the priority of a reroute of the request after a stage of its path was lost.
func (r *ActiveRequest) lossPriority() probebudget.Priority { return priorityOf(r.begun.Load()) }

// mayReroute reports whether a reroute command may be sent now. The caller holds the lock.
func (m *ModelTargets) mayReroute(now time.Time, p probebudget.Priority) bool {
	return !m.nodeShare.LoadControl || m.loadControl.reroutes.Take(now, p, len(m.active))
}

// MayProbe reports whether the node may probe a replica that another replica has named as faulty.
func (r *ActiveRequest) MayProbe(replica string, contact probebudget.Contact) bool {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.nodeShare.LoadControl {
		return true
	}
	now := m.now()
	if !m.lastContact(r, replica, contact).Due(now, probebudget.Doubt{}) {
		m.loadControl.notNeeded++
		return false
	}
	return m.loadControl.probes.Take(now, probebudget.Urgent, len(m.active))
}

// lastContact adds the signs of life of a replica that streams and other nodes have seen to what
// connections have shown: reports, and events within MinInterval. The events of the given request
// are left out. The caller holds the lock.
func (m *ModelTargets) lastContact(except *ActiveRequest, replica string, c probebudget.Contact) probebudget.Contact {
	reached := func(at time.Time) {
		if at.After(c.ReachedAt) {
			c.ReachedAt = at
		}
	}
	reached(m.observed.reachedByPeersAt[replica])
	if own := m.observed.own[replica]; own.reached() {
		reached(own.at)
	}
	// Older events make no difference to Contact.Due.
	oldest := m.now().Sub(m.startedAt) - probebudget.MinInterval
	for other := range m.active {
		if at := time.Duration(other.lastEventAt.Load()); at > max(0, oldest) && other != except && other.uses(replica) {
			reached(m.startedAt.Add(at))
		}
	}
	if c.ReachedAt.After(c.ProbedAt) {
		c.Failed = false
	}
	return c
}

// StagesToAsk returns the stages of the path whose replicas the node may ask for their slowdown
// now because of a silent stream. begun is set if the stream has had an event. Replicas that were
// asked or reported by other nodes within reportInterval are left out.
func (r *ActiveRequest) StagesToAsk(begun bool) paths.Path {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	now, askedAt := m.now(), m.loadControl.askedAt
	var ask paths.Path
	for _, stage := range r.path {
		if m.observed.acceptedLately(now, stage.Replica) || now.Sub(askedAt[stage.Replica]) < reportInterval {
			continue
		}
		if !m.loadControl.reports.Take(now, priorityOf(begun), len(m.active)) {
			continue
		}
		askedAt[stage.Replica] = now
		ask = append(ask, stage)
	}
	maps.DeleteFunc(askedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= slowReportInterval })
	return ask
}

// reportInterval is the shortest time between two questions to a replica for its slowdown because
// of silent streams.
const reportInterval = 2 * time.Second

// slowReportInterval is the time between two questions to a slow replica by a node that is not one
// of its verifiers, if too few other nodes report on the replica.
const slowReportInterval = 5 * time.Second

// SuspectsToTry returns the suspected replicas that this node tries to reach now. Under load
// control, the verifiers of a replica (peerreports.Verifiers) try it for the other nodes of the
// failure domain.
func (m *ModelTargets) SuspectsToTry(node string, domainNodes []string) []paths.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	suspects := m.selector.Suspects()
	if !m.nodeShare.LoadControl {
		return suspects
	}
	now, view := m.now(), peerreports.View{Node: node, DomainNodes: domainNodes}
	triedAt := map[string]time.Time{}
	due := suspects[:0]
	for _, r := range suspects {
		triedAt[r.ID] = m.lastTry(now, r.ID)
		s := peerreports.Suspect{
			Verifier: view.Verifies(r.ID), TriedAt: triedAt[r.ID],
			ReachedByPeerAt: m.observed.reachedByPeersAt[r.ID], LostAtPeerAt: m.observed.lostAtPeersAt[r.ID],
		}
		if s.TryDue(now) {
			triedAt[r.ID] = now
			due = append(due, r)
		} else {
			m.loadControl.leftToPeers++
		}
	}
	m.loadControl.triedAt = triedAt
	return due
}

// lastTry returns when this node last tried to reach a suspected replica. If it never did, the
// suspicion comes from other nodes, and lastTry returns now. The caller holds the lock.
func (m *ModelTargets) lastTry(now time.Time, replica string) time.Time {
	tried, known := m.loadControl.triedAt[replica]
	if own := m.observed.own[replica]; own.unreachable && own.at.After(tried) {
		return own.at
	}
	if !known {
		return now
	}
	return tried
}

// SlowToAsk returns the slow replicas that this node asks now whether they are still slow.
func (m *ModelTargets) SlowToAsk(node string, domainNodes []string) []paths.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, view := m.now(), peerreports.View{Node: node, DomainNodes: domainNodes}
	return slices.DeleteFunc(m.selector.Slow(), func(r paths.Replica) bool {
		if m.observed.acceptedLately(now, r.ID) {
			return true
		}
		if !m.nodeShare.LoadControl || view.Verifies(r.ID) {
			return false
		}
		if now.Sub(m.loadControl.askedAt[r.ID]) < slowReportInterval {
			return true
		}
		m.loadControl.askedAt[r.ID] = now
		return false
	})
}
