package relay

import (
	"cmp"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/reroute"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/state/wait"
)

const (
	// maxRerouteTries bounds the tries to route around one stage. With the intervals between
	// them they last a little longer than an engine waits for a silent stage, or than a
	// draining replica continues to serve.
	maxRerouteTries = 20
	// rerouteRetryInterval is the time between two tries to route around a stage. Each stream
	// that ends meanwhile frees capacity.
	rerouteRetryInterval = 150 * time.Millisecond
	// refusingDeadAfter is the silence after which a first replica that refuses connections
	// counts as dead. A draining replica refuses connections too and continues its streams, and
	// a later stage may be what delays them. If the host does not answer at all, nothing runs
	// there, and minSilenceBeforeMigration is enough.
	refusingDeadAfter = 700 * time.Millisecond
)

// reroute routes the request around a stage that is lost or draining. As long as no other path
// is available the request stays where it is: the first replica still holds it, and ending the
// attempt would lose an answer that may yet continue. The attempt is ended only once capacity
// is reserved at another first replica. For a stage that is only draining, a bypass must not
// add crossings between failure domains unless their links are idle.
func (m *pathMonitor) reroute(reason string, draining bool) {
	if !m.beginReroute(reason, draining) {
		return
	}
	defer m.endReroute()
	active := m.attempt.target.Active
	for try := 0; try < maxRerouteTries && m.ctx.Err() == nil; try++ {
		if lost := m.takePendingLoss(); lost != "" {
			reason, draining, try = lost, false, 0
		}
		if m.rerouteOnce(active, reason, draining) || !m.waitForNextTry() {
			return
		}
	}
	if draining {
		active.RetryDrainCallback()
	}
}

// waitForNextTry waits for rerouteRetryInterval, or until another stage is lost. It returns
// false if the attempt has ended.
func (m *pathMonitor) waitForNextTry() bool {
	timer := time.NewTimer(rerouteRetryInterval)
	defer timer.Stop()
	select {
	case <-m.wake:
	case <-timer.C:
	case <-m.ctx.Done():
		return false
	}
	return true
}

// rerouteOnce tries once to route the request around the stage. It reports whether the request
// needs no further try.
func (m *pathMonitor) rerouteOnce(active *targets.ActiveRequest, reason string, draining bool) bool {
	if draining {
		path := active.BypassDraining()
		return path != nil && m.sendBypass(path, reason)
	}
	if m.replaceFirst(active, reason) {
		return true
	}
	// A first replica whose host is unreachable can't be sent a reroute command.
	_, hostUnreachable := active.FirstReplicaState()
	return !hostUnreachable && m.recoverLostStage(active, reason)
}

// replaceFirst migrates the request if its first replica looks dead and another one has
// capacity now. If none has, the request stays: ending it would certainly lose the answer,
// while the replica may yet continue.
func (m *pathMonitor) replaceFirst(active *targets.ActiveRequest, reason string) bool {
	if !m.mayReplace || !m.firstReplicaDead(active) || !m.attempt.req.Budget.Left() {
		return false
	}
	next, ok := active.ReserveMigration(m.filter)
	if !ok {
		return false
	}
	if m.migrate(next, reason) {
		return true
	}
	m.release(next)
	return false
}

// firstReplicaDead reports whether the first replica looks dead at this point.
func (m *pathMonitor) firstReplicaDead(active *targets.ActiveRequest) bool {
	suspected, hostUnreachable := active.FirstReplicaState()
	if hostUnreachable {
		return m.staysSilent()
	}
	return suspected && m.silentFor() >= refusingDeadAfter
}

// minSilenceBeforeMigration is the silence after which a request is migrated away from a first
// replica that is alive, if the stream's usual gap between events is not known yet. It is above
// the usual gap, so that a request whose stage was not lost after all stays in place.
const minSilenceBeforeMigration = 70 * time.Millisecond

// bypassWaitShare is the part of the longest on-time pause that is still left for the bypass
// when the lost stage has been detected and the reroute command sent.
const bypassWaitShare = 0.4

// recoverLostStage routes the request around the lost stage or, if that would take longer,
// migrates it to another first replica.
func (m *pathMonitor) recoverLostStage(active *targets.ActiveRequest, reason string) bool {
	maxWait := time.Duration(float64(m.attempt.req.maxPause()) * bypassWaitShare)
	action, path, next := active.Recover(m.mayMigrate && m.attempt.req.Budget.Left(), maxWait, m.filter)
	if action == reroute.Migrate {
		if m.staysSilent() && m.migrate(next, reason+"; another failure domain goes on sooner") {
			return true
		}
		m.release(next)
		if m.ctx.Err() != nil {
			return true
		}
		_, path, _ = active.Recover(false, maxWait, m.filter)
	}
	return path != nil && m.sendBypass(path, reason)
}

// staysSilent waits until the stream has been silent for minSilenceBeforeMigration, or for its
// stall timeout if that is shorter. It returns false if events arrive meanwhile or the attempt
// ends.
func (m *pathMonitor) staysSilent() bool {
	before := m.lastEventAt.Load()
	threshold := min(minSilenceBeforeMigration, cmp.Or(time.Duration(m.stallTimeout.Load()), minSilenceBeforeMigration))
	if remaining := threshold - m.silentFor(); remaining > 0 && !wait.For(m.ctx, remaining) {
		return false
	}
	return m.lastEventAt.Load() == before
}

// migrate charges the retry budget and ends the attempt in favour of the next target. It
// returns false if the budget is spent.
func (m *pathMonitor) migrate(next targets.Target, reason string) bool {
	decision := m.attempt.req.Budget.Allow(retry.Attempt{
		AttemptsMade: 1, Failure: health.Broken, Idempotent: true, Deadline: m.attempt.req.Deadline, Alternatives: 1,
	})
	if !decision.Retry {
		return false
	}
	m.cancelForMigration(reason, next)
	return true
}

// release gives back the capacity reserved for a migration that does not happen.
func (m *pathMonitor) release(next targets.Target) {
	m.attempt.req.Targets.Finish(next, targets.Result{Failure: health.Canceled})
}

// sendBypass commands the first replica to continue along another path. It reports whether the
// replica accepted the command.
func (m *pathMonitor) sendBypass(path paths.Path, reason string) bool {
	req := m.attempt.req
	err := req.server.Engines.Reroute(m.ctx, m.attempt.target.Address, req.Call.ID, path)
	m.recordBypass(path, reason, err)
	if err == nil {
		m.attempt.target.Active.SetPath(path)
		req.server.Metrics.Resumed(req.Service, "detour")
		m.timer.Reset(recheckInterval)
		return true
	}
	var refused *RerouteRefused
	if errors.As(err, &refused) {
		m.attempt.target.Active.RerouteRefused(path, refused.FaultAddress)
	}
	return false
}

func (m *pathMonitor) recordBypass(path paths.Path, reason string, err error) {
	notes := []decisionlog.Note{{Name: "path", Text: path.String()}}
	if err != nil {
		notes = append(notes, decisionlog.Note{Name: "error", Text: err.Error()})
	}
	m.attempt.req.record(decisionlog.Decision{
		Kind: decisionlog.Detour, Chosen: m.attempt.target.Replica, Reason: reason, Notes: notes,
		Figures: map[string]float64{
			"taken": boolFigure(err == nil), "silent_ms": millis(m.silentFor()), "crossings": float64(path.Crossings()),
		},
	})
}

// beginReroute marks the request as being rerouted; only one goroutine does so at a time. A
// stage that is lost while the request is routed around a draining one is kept for
// takePendingLoss.
func (m *pathMonitor) beginReroute(reason string, draining bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	if m.rerouting {
		if !draining && m.draining {
			m.pendingLoss = reason
			select {
			case m.wake <- struct{}{}:
			default: // the loop already has a wake-up pending
			}
		}
		return false
	}
	m.rerouting, m.draining, m.pendingLoss = true, draining, ""
	return true
}

// takePendingLoss returns the reason of a loss that occurred while the request was routed
// around a draining stage, "" if there is none. A loss must be handled at once.
func (m *pathMonitor) takePendingLoss() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := m.pendingLoss
	if lost != "" {
		m.pendingLoss, m.draining = "", false
	}
	return lost
}

func (m *pathMonitor) endReroute() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rerouting = false
}

// cancelForMigration cancels the attempt so that the request continues at the next target.
func (m *pathMonitor) cancelForMigration(reason string, next targets.Target) {
	m.mu.Lock()
	stopped := m.stopped
	if !stopped {
		m.migrateReason, m.migrateTo = reason, &next
	}
	m.mu.Unlock()
	if stopped {
		m.release(next)
		return
	}
	m.cancel()
}

// applyMigration replaces the result of an attempt that cancelForMigration ended: neither the
// caller nor the deadline ended it, and the next target is reserved and charged to the retry
// budget.
func (m *pathMonitor) applyMigration(res attemptResult) attemptResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.migrateTo == nil || res.kind == resultComplete || m.attempt.req.ctx.Err() != nil {
		return res
	}
	next := m.migrateTo
	m.migrateTo = nil
	return attemptResult{kind: resultUnknown, detail: m.migrateReason, feedback: targets.Result{Failure: health.Broken}, next: next}
}
