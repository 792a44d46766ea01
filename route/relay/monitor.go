package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/stall"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/targets"
)

const (
	// firstCheckDivisor: the path is first checked when half of the time objective for the
	// first event has passed.
	firstCheckDivisor = 2
	// defaultMaxPause is the longest on-time pause for routes that set none.
	defaultMaxPause = 200 * time.Millisecond
	// aliveWindow is how long a stage counts as alive after another request through it had an
	// event: about the interval between events, and less than the shortest silence that starts
	// a check.
	aliveWindow = 30 * time.Millisecond
	// recheckInterval is the time between two checks of a path that stays silent.
	recheckInterval = 400 * time.Millisecond
)

// pathMonitor watches the path of one attempt. It reroutes the request if the path goes silent
// and a replica is lost, or if another request finds one of its replicas lost.
type pathMonitor struct {
	attempt *attempt
	ctx     context.Context
	cancel  context.CancelFunc
	timer   *time.Timer
	// lastEventAt is the time of the last events, since the beginning of the attempt. detector
	// learns the usual gap between events; after stallTimeout without events the path is
	// checked.
	lastEventAt  atomic.Int64
	detector     stall.Detector
	stallTimeout atomic.Int64
	// checkedSilence is how long the stream had been silent at the last check that found
	// nothing. The next event resets it.
	checkedSilence atomic.Int64

	// filter selects the replicas that may replace the first one: mayReplace if that is lost,
	// mayMigrate also if a bypass would only be slower.
	filter                 targets.MigrationFilter
	mayReplace, mayMigrate bool

	mu      sync.Mutex
	stopped bool
	// rerouting is set while the request is being rerouted, draining if that is because of a
	// draining stage. pendingLoss is the reason of a loss that occurred meanwhile.
	rerouting, draining bool
	pendingLoss         string
	// wake ends the wait between two tries to reroute.
	wake chan struct{}
	// migrateTo, if set, is reserved for the next attempt after this one was canceled for a
	// migration; migrateReason is the reason.
	migrateTo     *targets.Target
	migrateReason string
}

func (a *attempt) monitor(ctx context.Context, cancel context.CancelFunc) *pathMonitor {
	m := &pathMonitor{attempt: a, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
	if a.target.Active == nil {
		return m
	}
	m.setMigrationFilter(a.req)
	m.timer = time.AfterFunc(a.req.Route.Objective/firstCheckDivisor, m.checkPath)
	a.target.Active.SetCallbacks(
		func(replica string) { m.reroute("a part of the path is lost: "+replica, false) },
		func(replica string) { m.reroute("a part of the path is draining: "+replica, true) },
	)
	return m
}

// setMigrationFilter decides which replicas may continue the request after this attempt. A
// stream that can't be resumed stays where it is. Once a stream was given to as many replicas
// as its route allows, it may return to one of those, but only if its present first replica is
// lost and not for speed.
func (m *pathMonitor) setMigrationFilter(req *requestState) {
	if !req.Route.Idempotent() {
		return
	}
	if len(req.mayHaveRun)+1 < req.Route.MaxReplicas {
		m.filter.Exclude = slices.Clone(req.failed)
		m.mayReplace, m.mayMigrate = true, req.attempts < maxAttempts
		return
	}
	m.filter.FirstReplicas = slices.Clone(req.mayHaveRun)
	m.mayReplace = len(req.mayHaveRun) > 0
}

// recordEvents records that events have arrived and restarts the stall timeout.
func (m *pathMonitor) recordEvents() {
	now := m.attempt.req.server.Now().Sub(m.attempt.startedAt)
	if silence := m.checkedSilence.Swap(0); silence > 0 {
		m.detector.FalseAlarm(time.Duration(silence))
	}
	if last := m.lastEventAt.Swap(int64(now)); last > 0 {
		m.detector.ObserveGap(now - time.Duration(last))
	}
	if m.timer == nil {
		return
	}
	m.attempt.target.Active.RecordEvent()
	timeout := m.detector.Timeout(m.attempt.req.maxPause())
	m.stallTimeout.Store(int64(timeout))
	m.timer.Reset(timeout)
}

// maxPause is the longest on-time pause between two events.
func (req *requestState) maxPause() time.Duration {
	return cmp.Or(req.Route.MaxPause, defaultMaxPause)
}

// silentFor is the time since the last event of this attempt.
func (m *pathMonitor) silentFor() time.Duration {
	return m.attempt.req.server.Now().Sub(m.attempt.startedAt) - time.Duration(m.lastEventAt.Load())
}

func (m *pathMonitor) stop() {
	m.mu.Lock()
	m.stopped = true
	target := m.migrateTo
	m.migrateTo = nil
	m.mu.Unlock()
	if target != nil {
		m.release(*target)
	}
	if m.timer != nil {
		m.timer.Stop()
	}
}

// checkPath probes the replicas of a silent path and suspects those that don't answer.
func (m *pathMonitor) checkPath() {
	if m.ctx.Err() != nil {
		return
	}
	path := m.attempt.target.Active.Path()
	unconfirmed := m.attempt.target.Active.UnconfirmedStages(aliveWindow)
	addresses := make([]string, len(unconfirmed))
	replicas := make(map[string]string, len(unconfirmed))
	for i, stage := range unconfirmed {
		addresses[i] = stage.Address
		replicas[stage.Address] = stage.Replica
	}
	lost := m.attempt.req.server.Prober.Lost(m.ctx, connprobe.Silence, addresses)
	if len(lost) == 0 {
		m.recheckLater(path)
		return
	}
	newlySuspected := false
	for _, loss := range lost {
		replica := replicas[loss.Address]
		// Suspecting the replica reroutes all requests that run through it.
		if m.attempt.target.Active.Suspect(replica, loss.Silent) {
			newlySuspected = true
			m.attempt.req.log.Info("replica out of reach", "service", m.attempt.req.Service, "replica", replica, "address", loss.Address, "silent", loss.Silent)
		}
	}
	if !newlySuspected {
		m.reroute("a part of the path is lost", false)
	}
}

// recheckLater schedules the next check of a silent path whose replicas can all be reached:
// when the silence has doubled or, once the pause is late, after recheckInterval. In the late
// case the replicas are also asked for their slowdown. Asking has a cost, so it is not done
// earlier.
func (m *pathMonitor) recheckLater(path paths.Path) {
	silent, maxPause := m.silentFor(), m.attempt.req.maxPause()
	m.checkedSilence.Store(int64(silent))
	if silent < maxPause {
		m.timer.Reset(stall.RecheckAfter(silent, maxPause))
		return
	}
	m.timer.Reset(recheckInterval)
	m.querySlowdown(path)
}

// querySlowdown asks the reachable replicas of a path for their slowdown.
func (m *pathMonitor) querySlowdown(path paths.Path) {
	req := m.attempt.req
	for _, stage := range path {
		go func() {
			report, asked, err := req.server.Reports.Ask(m.ctx, stage.Address, stage.Replica)
			if err != nil || !asked {
				return // another request already asked, or the replica gave no report
			}
			if m.attempt.target.Active.SetSlowdown(stage.Replica, report.Pace) {
				req.log.Info("replica's pace", "service", req.Service, "replica", stage.Replica, "domain", stage.Domain, "pace", report.Pace)
			}
		}()
	}
}
