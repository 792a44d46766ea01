package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/probebudget"
	"github.com/cicadatack/cicadatack/decide/stall"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/targets"
)

const (
	// firstCheckDivisor divides the time objective for the first event. The path is first
	// checked after that part of the objective, one half, or later if first events come late
	// under load control.
	firstCheckDivisor = 2
	// defaultMaxPause is the longest pause between two events that counts as on time, for
	// routes that set none.
	defaultMaxPause = 200 * time.Millisecond
	// aliveWindow is how long a stage counts as alive after an event of another request that
	// runs through it. The window is about the interval between two events of a stream, and
	// shorter than any silence that starts a check.
	aliveWindow = 30 * time.Millisecond
	// recheckInterval is the time between two checks of a path that stays silent.
	recheckInterval = 400 * time.Millisecond
)

// pathMonitor watches the path of one attempt. When the stream goes silent, it checks the
// replicas of the path. It reroutes the request if this check, or another request, finds that a
// replica of the path is lost. It also reroutes the request if a replica of the path is
// draining.
type pathMonitor struct {
	attempt *attempt
	ctx     context.Context
	cancel  context.CancelFunc
	timer   *time.Timer
	// lastEventAt is the time of the last event in nanoseconds since the start of the attempt;
	// 0 if there was none. detector learns the usual gap between events. The path is checked
	// after stallTimeout without an event.
	lastEventAt  atomic.Int64
	detector     stall.Detector
	stallTimeout atomic.Int64
	// checkedSilence is how long the stream had been silent when the last check found no lost
	// replica. The next event resets it to 0.
	checkedSilence atomic.Int64
	// silence holds the checks of the present silence.
	silence connprobe.Silence

	// filter selects the replicas that may replace the first replica. mayReplace allows a
	// migration if the first replica is lost. mayMigrate allows a migration if a later stage is
	// lost and a bypass would be slower.
	filter                 targets.MigrationFilter
	mayReplace, mayMigrate bool

	mu      sync.Mutex
	stopped bool
	// rerouting is set while the request is being rerouted; draining is set if the cause is a
	// draining stage. pendingLossReason is the reason of a loss that occurred while both were
	// set.
	rerouting, draining bool
	pendingLossReason   string
	// wake ends the wait between two tries to reroute.
	wake chan struct{}
	// history is that of the request, with the hedges of this attempt.
	history attemptHistory
	// forwarding is set while events are passed on to the caller. hedge is the hedge that is under
	// way, takenOver the one that continues the stream in place of this attempt.
	forwarding       bool
	hedge, takenOver *hedge
	// ending is set once the attempt has a result. It may wait for a hedge then, and none begins.
	ending bool
	// ended are what the guard keeps of the hedges that did not take over.
	ended []*crashguard.Request
}

func (a *attempt) monitor(ctx context.Context, cancel context.CancelFunc) *pathMonitor {
	m := &pathMonitor{attempt: a, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), history: a.req.attemptHistory.clone()}
	if a.target.Active == nil {
		return m
	}
	m.setMigrationFilter()
	// The first check may be due at once, and must find the timer.
	m.timer = time.AfterFunc(time.Hour, m.checkPath)
	m.timer.Reset(a.target.Active.FirstCheckAfter(a.req.Route.LatencyObjective / firstCheckDivisor))
	a.target.Active.SetCallbacks(
		func(replica string) { m.reroute("a part of the path is lost: "+replica, false) },
		func(replica string) { m.reroute("a part of the path is draining: "+replica, true) },
	)
	return m
}

// setMigrationFilter decides which replicas may continue the request after this attempt. A
// stream that can't be resumed does not migrate. Once this attempt uses the last replica that
// the route allows, the stream may only return to an earlier replica. The stream returns only if
// its present first replica is lost, not because an earlier replica would continue it sooner.
func (m *pathMonitor) setMigrationFilter() {
	route := m.attempt.req.Route
	if !route.Idempotent() {
		return
	}
	m.filter, m.mayReplace, m.mayMigrate = targets.MigrationFilter{}, false, false
	if len(m.history.mayHaveRunOn)+1 < route.MaxReplicas {
		m.filter.Exclude = slices.Clone(m.history.failedReplicas)
		m.mayReplace = m.history.mayHedge()
		m.mayMigrate = m.mayReplace
		return
	}
	m.filter.AllowedFirstReplicas = slices.Clone(m.history.mayHaveRunOn)
	m.mayReplace = len(m.history.mayHaveRunOn) > 0 && m.history.mayHedge()
}

// recordEvents records that events have arrived, and restarts the timer for the next check.
func (m *pathMonitor) recordEvents() {
	now := m.attempt.req.server.Now().Sub(m.attempt.startedAt)
	if silence := m.checkedSilence.Swap(0); silence > 0 {
		m.detector.FalseAlarm(time.Duration(silence))
	}
	last := m.lastEventAt.Swap(int64(now))
	if last > 0 {
		m.detector.ObserveGap(now - time.Duration(last))
	}
	if m.timer == nil {
		return
	}
	if last == 0 {
		m.attempt.target.Active.ObserveFirstEvent(now, false)
	}
	m.attempt.target.Active.RecordEvent()
	timeout := m.detector.Timeout(m.attempt.req.maxPause())
	m.stallTimeout.Store(int64(timeout))
	m.timer.Reset(timeout)
}

// maxPause is the longest pause between two events that counts as on time.
func (req *requestState) maxPause() time.Duration {
	return cmp.Or(req.Route.MaxEventGap, defaultMaxPause)
}

// silentFor is the time since the last event of this attempt or, before the first event, since
// the start of the attempt.
func (m *pathMonitor) silentFor() time.Duration {
	return m.attempt.req.server.Now().Sub(m.attempt.startedAt) - time.Duration(m.lastEventAt.Load())
}

func (m *pathMonitor) stop() {
	m.mu.Lock()
	m.stopped = true
	m.abandonLocked(m.hedge, hedgeEnded)
	m.mu.Unlock()
	if m.timer != nil {
		m.timer.Stop()
		if m.lastEventAt.Load() == 0 {
			m.attempt.target.Active.ObserveFirstEvent(m.silentFor(), true)
		}
	}
}

// checkPath probes the replicas of a silent path, except those that events of other requests
// confirm to be alive. It suspects the replicas that it can't reach.
func (m *pathMonitor) checkPath() {
	if m.ctx.Err() != nil {
		return
	}
	path := m.attempt.target.Active.Path()
	toProbe, suspected := m.stagesToProbe()
	addresses := make([]string, len(toProbe))
	replicas := make(map[string]string, len(toProbe))
	for i, stage := range toProbe {
		addresses[i] = stage.Address
		replicas[stage.Address] = stage.Replica
	}
	silentSince := m.attempt.startedAt.Add(time.Duration(m.lastEventAt.Load()))
	lost := m.attempt.req.server.Prober.FindUnreachableInSilence(m.ctx, &m.silence, silentSince, addresses)
	if len(lost) == 0 && len(suspected) == 0 {
		m.recheckLater(path)
		return
	}
	m.timer.Reset(recheckInterval) // tries to reroute the stream end, the silence may not
	newlySuspected := false
	for _, loss := range lost {
		replica := replicas[loss.Address]
		// Suspecting the replica reroutes all requests that run through it.
		if m.attempt.target.Active.Suspect(replica, loss.HostUnreachable) {
			newlySuspected = true
			m.attempt.req.log.Info("replica out of reach", "service", m.attempt.req.Service, "replica", replica, "address", loss.Address, "silent", loss.HostUnreachable)
		}
	}
	if !newlySuspected {
		m.reroute("a part of the path is lost", false)
	}
}

// stagesToProbe returns the stages of a silent path to probe. Under load control, it also returns
// the stages that are suspected already and need no probe.
func (m *pathMonitor) stagesToProbe() (probe, suspected paths.Path) {
	active := m.attempt.target.Active
	if !active.UnderLoadControl() {
		return active.UnconfirmedStages(aliveWindow), nil
	}
	lastEventAt := time.Duration(m.lastEventAt.Load())
	doubt := probebudget.Doubt{Since: m.attempt.startedAt.Add(lastEventAt), Begun: lastEventAt > 0}
	return active.StagesToProbe(doubt, m.attempt.req.server.Prober.Contact)
}

// recheckLater schedules the next check of a silent path after a check that reached all
// replicas. The next check comes when the silence has doubled, or when the silence reaches
// maxPause if that is sooner. From then on, the checks come every recheckInterval, and the
// replicas are asked for their slowdown. These queries have a cost, so they are not made
// earlier.
func (m *pathMonitor) recheckLater(path paths.Path) {
	silent, maxPause := m.silentFor(), m.attempt.req.maxPause()
	m.checkedSilence.Store(int64(silent))
	if silent < maxPause {
		m.timer.Reset(stall.RecheckAfter(silent, maxPause))
		return
	}
	m.timer.Reset(recheckInterval)
	if silent >= streamIdleTimeout {
		go m.replaceSilent()
	}
	toAsk := path
	if active := m.attempt.target.Active; active.UnderLoadControl() {
		toAsk = active.StagesToAsk(m.lastEventAt.Load() > 0)
	}
	m.querySlowdown(toAsk)
}

// querySlowdown asks each replica of a path for its slowdown and records the replica's answer.
func (m *pathMonitor) querySlowdown(path paths.Path) {
	req := m.attempt.req
	for _, stage := range path {
		go func() {
			report, asked, err := req.server.Reports.Get(m.ctx, stage.Address, stage.Replica)
			if err != nil || !asked {
				return // another request has already asked the replica, or the replica gave no report
			}
			if m.attempt.target.Active.SetSlowdown(stage.Replica, report.Slowdown) {
				req.log.Info("replica's pace", "service", req.Service, "replica", stage.Replica, "domain", stage.Domain, "pace", report.Slowdown)
			}
		}()
	}
}
