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
	// firstCheckDivisor: a path is looked at when half of the time has passed in which the first
	// event is on time.
	firstCheckDivisor = 2
	// defaultMaxPause is the pause that is on time where the route does not say.
	defaultMaxPause = 200 * time.Millisecond
	// aliveWindow is how long a part counts as living through which another request has had an
	// event: about the time of one event, less than the shortest silence that is looked at.
	aliveWindow = 30 * time.Millisecond
	// recheckInterval is between two looks at a path that stays silent.
	recheckInterval = 400 * time.Millisecond
)

// pathMonitor looks after the path of one attempt: when it has gone silent, or one of its
// replicas is found lost by another request, the request is led around.
type pathMonitor struct {
	attempt *attempt
	ctx     context.Context
	cancel  context.CancelFunc
	timer   *time.Timer
	// lastEventAt is when events lastEventAt came, counted from the attempt's beginning; pace how they
	// usually do, and patience the silence after which the path is looked at.
	lastEventAt  atomic.Int64
	detector     stall.Pace
	stallTimeout atomic.Int64
	// checkedSilence is the silence of the last look that found nothing, until the next event.
	checkedSilence atomic.Int64

	// filter are the replicas that may go on with the request in place of the first:
	// mayReplace if that is lost, mayMove also if it is only slower.
	filter                 targets.MigrationFilter
	mayReplace, mayMigrate bool

	mu      sync.Mutex
	stopped bool
	// rerouting is set while the request is led, draining while that is away from a part that
	// leaves; lost is why it must go on at once all the same.
	rerouting, draining bool
	pendingLoss         string
	// wake ends a pause between two tries to lead it.
	wake chan struct{}
	// migrateTo, if set, is booked for the try after this one, which was ended from here;
	// why says for what reason.
	migrateTo     *targets.Target
	migrateReason string
}

func (a *attempt) monitor(ctx context.Context, cancel context.CancelFunc) *pathMonitor {
	m := &pathMonitor{attempt: a, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
	if a.target.Active == nil {
		return m
	}
	m.setMigrationFilter(a.request)
	m.timer = time.AfterFunc(a.request.Route.Objective/firstCheckDivisor, m.checkPath)
	a.target.Active.SetCallbacks(
		func(replica string) { m.reroute("a part of the path is lost: "+replica, false) },
		func(replica string) { m.reroute("a part of the path leaves: "+replica, true) },
	)
	return m
}

// setMigrationFilter says who may go on with the request after the attempt that is about to begin.
// A stream that can't be resumed stays where it is. One that was handed to as many
// replicas as its route allows may go back to one of those, if its present first replica
// is lost; speed alone is no reason then.
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

// recordEvents notes that events have come.
func (m *pathMonitor) recordEvents() {
	now := m.attempt.request.server.Now().Sub(m.attempt.startedAt)
	if silence := m.checkedSilence.Swap(0); silence > 0 {
		m.detector.Vain(time.Duration(silence))
	}
	if last := m.lastEventAt.Swap(int64(now)); last > 0 {
		m.detector.Heard(now - time.Duration(last))
	}
	if m.timer == nil {
		return
	}
	m.attempt.target.Active.RecordEvent()
	timeout := m.detector.Patience(m.attempt.request.maxPause())
	m.stallTimeout.Store(int64(timeout))
	m.timer.Reset(timeout)
}

// maxPause is the longest pause between two events that is on time.
func (req *requestState) maxPause() time.Duration {
	return cmp.Or(req.Route.MaxPause, defaultMaxPause)
}

// silentFor is how long no event has come in this attempt.
func (m *pathMonitor) silentFor() time.Duration {
	return m.attempt.request.server.Now().Sub(m.attempt.startedAt) - time.Duration(m.lastEventAt.Load())
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

// checkPath finds out which replicas of the path no longer answer.
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
	lost := m.attempt.request.server.Prober.Lost(m.ctx, connprobe.Silence, addresses)
	if len(lost) == 0 {
		m.recheckLater(path)
		return
	}
	newlySuspected := false
	for _, loss := range lost {
		replica := replicas[loss.Address]
		// This leads all requests that run through it around.
		if m.attempt.target.Active.Suspect(replica, loss.Silent) {
			newlySuspected = true
			m.attempt.request.log.Info("replica out of reach", "service", m.attempt.request.Service, "replica", replica, "address", loss.Address, "silent", loss.Silent)
		}
	}
	if !newlySuspected {
		m.reroute("a part of the path is lost", false)
	}
}

// recheckLater looks at a path that is silent although all of it can be reached: again when
// it has been silent for twice as long, and once the pause is late its replicas are asked
// for their pace, which is paid for.
func (m *pathMonitor) recheckLater(path paths.Path) {
	silent, maxPause := m.silentFor(), m.attempt.request.maxPause()
	m.checkedSilence.Store(int64(silent))
	if silent < maxPause {
		m.timer.Reset(stall.Again(silent, maxPause))
		return
	}
	m.timer.Reset(recheckInterval)
	m.querySlowdown(path)
}

// querySlowdown asks the parts of a path that all can be reached how fast they are.
func (m *pathMonitor) querySlowdown(path paths.Path) {
	req := m.attempt.request
	for _, stage := range path {
		go func() {
			report, first, err := req.server.Reports.Ask(m.ctx, stage.Address, stage.Replica)
			if err != nil || !first {
				return // another request has learned it, or there is nothing to learn
			}
			if m.attempt.target.Active.SetSlowdown(stage.Replica, report.Pace) {
				req.log.Info("replica's pace", "service", req.Service, "replica", stage.Replica, "domain", stage.Domain, "pace", report.Pace)
			}
		}()
	}
}
