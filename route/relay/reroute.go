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
	// maxRerouteTries bounds the orders for one part: with the pauses they last a little longer
	// than an engine waits for a part that is silent, or serves on when it leaves.
	maxRerouteTries = 20
	// rerouteRetryInterval is between two tries to find a way around: room is given back with
	// each stream that ends.
	rerouteRetryInterval = 150 * time.Millisecond
	// refusingDeadAfter is the silence after which a first replica that refuses connections is
	// taken for dead. One that leaves refuses them too, and goes on with what it has, in
	// its time: a part further on may be what holds it up. Where nothing answers at all,
	// nothing goes on, and movedAfter is enough.
	refusingDeadAfter = 700 * time.Millisecond
)

// reroute has the request go on although a part of its path is lost or leaves. While there
// is no way, the request stays where it is: the first replica still has it, and to end
// the answer from here would lose what may yet go on. The attempt is ended only where
// another first replica has been booked to go on with it. A part that is only about to
// leave is worth a way around in the same failure domains.
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

// waitForNextTry waits before the next try, until something is lost at the longest. It returns
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

// rerouteOnce tries once to have the request go on.
func (m *pathMonitor) rerouteOnce(active *targets.ActiveRequest, reason string, draining bool) bool {
	if draining {
		path := active.BypassDraining()
		return path != nil && m.sendBypass(path, reason)
	}
	if m.replaceFirst(active, reason) {
		return true
	}
	// One that does not answer takes no order either.
	_, hostUnreachable := active.FirstReplicaState()
	return !hostUnreachable && m.recoverLostStage(active, reason)
}

// replaceFirst has another replica go on if the first one looks dead and one can go on
// now. Without one the answer would be lost for certain; as it is, the replica may yet
// go on.
func (m *pathMonitor) replaceFirst(active *targets.ActiveRequest, reason string) bool {
	if !m.mayReplace || !m.firstReplicaDead(active) || !m.attempt.request.Budget.Left() {
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

// firstReplicaDead says whether the first replica has gone, as far as can be told by now.
func (m *pathMonitor) firstReplicaDead(active *targets.ActiveRequest) bool {
	suspected, hostUnreachable := active.FirstReplicaState()
	if hostUnreachable {
		return m.staysSilent()
	}
	return suspected && m.silentFor() >= refusingDeadAfter
}

// minSilenceBeforeMigration is the silence after which a request is moved away from a first replica
// that lives, where its own pace is not known yet: above the usual pause between events,
// so that where the part was not lost after all the request is left in peace.
const minSilenceBeforeMigration = 70 * time.Millisecond

// bypassWaitShare of the pause that is on time is left once a lost part is known and the order
// to go around is given.
const bypassWaitShare = 0.4

// recoverLostStage has the request go on around the lost part or, if that would take longer, at
// another first replica.
func (m *pathMonitor) recoverLostStage(active *targets.ActiveRequest, reason string) bool {
	maxWait := time.Duration(float64(m.attempt.request.maxPause()) * bypassWaitShare)
	action, path, next := active.Recover(m.mayMigrate && m.attempt.request.Budget.Left(), maxWait, m.filter)
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

// staysSilent waits until the stream has been silent for movedAfter. It returns false if
// events have come meanwhile, or the attempt has ended.
func (m *pathMonitor) staysSilent() bool {
	before := m.lastEventAt.Load()
	threshold := min(minSilenceBeforeMigration, cmp.Or(time.Duration(m.stallTimeout.Load()), minSilenceBeforeMigration))
	if remaining := threshold - m.silentFor(); remaining > 0 && !wait.For(m.ctx, remaining) {
		return false
	}
	return m.lastEventAt.Load() == before
}

// migrate pays for a further try and ends the attempt in favour of the next target. It
// returns false if the budget is spent.
func (m *pathMonitor) migrate(next targets.Target, reason string) bool {
	decision := m.attempt.request.Budget.Allow(retry.Attempt{
		Made: 1, Failure: health.Broken, Repeatable: true, Deadline: m.attempt.request.Deadline, Alternatives: 1,
	})
	if !decision.Retry {
		return false
	}
	m.cancelForMigration(reason, next)
	return true
}

// release gives back what was booked for a try that is not made.
func (m *pathMonitor) release(next targets.Target) {
	m.attempt.request.Targets.Finish(next, targets.Result{Failure: health.Canceled})
}

// sendBypass orders the first replica to go on along another path. It says whether the
// order was taken.
func (m *pathMonitor) sendBypass(path paths.Path, reason string) bool {
	req := m.attempt.request
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
	m.attempt.request.record(decisionlog.Decision{
		Kind: decisionlog.Detour, Chosen: m.attempt.target.Replica, Reason: reason, Notes: notes,
		Figures: map[string]float64{
			"taken": boolFigure(err == nil), "silent_ms": millis(m.silentFor()), "crossings": float64(path.Crossings()),
		},
	})
}

// beginReroute begins to lead the request. While it is led away from a part that leaves, one that
// is lost is remembered for lostMeanwhile.
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
			default: // it is about to look
			}
		}
		return false
	}
	m.rerouting, m.draining, m.pendingLoss = true, draining, ""
	return true
}

// takePendingLoss says why the request must go on at once although it was led away from a
// part that leaves, "" if nothing was lost.
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

// cancelForMigration ends the attempt from this side in favour of the next target.
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

// applyMigration corrects the verdict of an attempt that was ended from here: neither its
// caller nor its deadline ended it, and the next target is booked and paid for.
func (m *pathMonitor) applyMigration(res attemptResult) attemptResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.migrateTo == nil || res.kind == resultComplete || m.attempt.request.ctx.Err() != nil {
		return res
	}
	next := m.migrateTo
	m.migrateTo = nil
	return attemptResult{kind: resultUnknown, detail: m.migrateReason, feedback: targets.Result{Failure: health.Broken}, next: next}
}
