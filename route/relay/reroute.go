package relay

import (
	"cmp"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/reroute"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/state/wait"
)

const (
	// maxRerouteTries bounds the tries to reroute a request because of one stage. All tries,
	// with the intervals between them, take a little longer than an engine waits for a silent
	// stage. They also take a little longer than a draining replica continues to serve.
	maxRerouteTries = 20
	// rerouteRetryInterval is the time between two of these tries. Streams that end during the
	// interval free capacity for the next try.
	rerouteRetryInterval = 150 * time.Millisecond
	// refusingDeadAfter is the silence after which a first replica that refuses connections
	// counts as dead. A draining replica also refuses connections, but continues its streams,
	// and a later stage may delay them. If the host of the replica does not answer at all,
	// nothing runs on it. A silence of minSilenceBeforeMigration is then enough.
	refusingDeadAfter = 700 * time.Millisecond
)

// reroute tries to reroute the request because a stage of its path is lost or draining. If the
// stage is lost, the request takes a bypass or migrates. If the stage is only draining, the
// request takes a bypass. That bypass may add crossings only if the links between failure
// domains are idle.
//
// The request keeps its path until another first replica has continued the answer (hedge). Its own
// first replica may be sound and only silent, and ending the attempt would lose the answer.
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

// rerouteOnce makes one try to reroute the request. It reports whether the request needs no
// further try.
func (m *pathMonitor) rerouteOnce(active *targets.ActiveRequest, reason string, draining bool) bool {
	if draining {
		path := active.BypassDraining()
		return path != nil && m.sendBypass(path, reason)
	}
	if m.replaceFirst(active, reason) {
		return true
	}
	// A first replica can't receive a reroute command if its host is unreachable. Under load
	// control none is sent to a suspected one either: a command to a silent host takes longer than
	// the probe that finds out (checkPath).
	suspected, hostUnreachable := active.FirstReplicaState()
	if hostUnreachable || suspected && active.UnderLoadControl() {
		return false
	}
	return m.recoverLostStage(active, reason)
}

// replaceFirst migrates the request if its first replica counts as dead and another first
// replica has capacity now.
func (m *pathMonitor) replaceFirst(active *targets.ActiveRequest, reason string) bool {
	if !m.mayReplace || !m.firstReplicaDead(active) || !m.attempt.req.Budget.CanRetry() {
		return false
	}
	next, ok := active.ReserveMigration(m.filter)
	if !ok {
		return false
	}
	return m.migrate(next, reason)
}

// replaceSilent hedges a stream that has been silent for long although its replicas can be reached.
func (m *pathMonitor) replaceSilent() {
	const reason = "the stream is silent"
	if !m.beginReroute(reason, false) {
		return
	}
	defer m.endReroute()
	if !m.mayReplace || !m.attempt.req.Budget.CanRetry() {
		return
	}
	if next, ok := m.attempt.target.Active.ReserveMigration(m.filter); ok {
		m.migrate(next, reason)
	}
}

// firstReplicaDead reports whether the first replica counts as dead: it is suspected, and the
// stream has been silent for long enough.
func (m *pathMonitor) firstReplicaDead(active *targets.ActiveRequest) bool {
	suspected, hostUnreachable := active.FirstReplicaState()
	if hostUnreachable {
		return m.staysSilent()
	}
	return suspected && m.silentFor() >= refusingDeadAfter
}

// minSilenceBeforeMigration is the shortest silence of a stream after which its request may
// migrate. It is above the usual gap between two events. A request whose stage was not lost
// after all therefore keeps its path. If the stall timeout of the stream is shorter, that
// timeout applies instead. To a first replica that refuses connections, refusingDeadAfter
// applies.
const minSilenceBeforeMigration = 70 * time.Millisecond

// bypassWaitShare is the share of maxPause that is left for a bypass. The rest of maxPause
// passes until the lost stage is detected and the reroute command is sent.
const bypassWaitShare = 0.4

// recoverLostStage sends a bypass around the lost stage, or migrates the request. It migrates
// the request only if there is no bypass, or if the bypass would be late and another first
// replica would continue the stream sooner.
func (m *pathMonitor) recoverLostStage(active *targets.ActiveRequest, reason string) bool {
	maxWait := time.Duration(float64(m.attempt.req.maxPause()) * bypassWaitShare)
	action, path, next := active.Recover(m.mayMigrate && m.attempt.req.Budget.CanRetry(), maxWait, m.filter)
	if action == reroute.Migrate {
		if !m.staysSilent() {
			m.release(next)
		} else if m.migrate(next, reason+"; another failure domain goes on sooner") {
			return true
		}
		if m.ctx.Err() != nil {
			return true
		}
		_, path, _ = active.Recover(false, maxWait, m.filter)
	}
	return path != nil && m.sendBypass(path, reason)
}

// staysSilent waits until the stream has been silent for minSilenceBeforeMigration, or for its
// stall timeout if that is shorter. It returns false if events arrive or the attempt ends during
// the wait.
func (m *pathMonitor) staysSilent() bool {
	before := m.lastEventAt.Load()
	threshold := min(minSilenceBeforeMigration, cmp.Or(time.Duration(m.stallTimeout.Load()), minSilenceBeforeMigration))
	if remaining := threshold - m.silentFor(); remaining > 0 && !wait.For(m.ctx, remaining) {
		return false
	}
	return m.lastEventAt.Load() == before
}

// release releases the target that was reserved for a migration that does not happen.
func (m *pathMonitor) release(next targets.Target) {
	m.attempt.req.Targets.Finish(next, targets.Result{Failure: health.Canceled})
}

// sendBypass commands the first replica to continue the request along a bypass. It reports
// whether the replica accepted the command.
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
	notes := []decisionlog.TextValue{{Name: "path", Text: path.String()}}
	if err != nil {
		notes = append(notes, decisionlog.TextValue{Name: "error", Text: err.Error()})
	}
	m.attempt.req.record(decisionlog.Decision{
		Kind: decisionlog.Reroute, Chosen: m.attempt.target.Replica, Reason: reason, TextValues: notes,
		Values: map[string]float64{
			"taken": boolFigure(err == nil), "silent_ms": millis(m.silentFor()), "crossings": float64(path.Crossings()),
		},
	})
}

// beginReroute marks the request as being rerouted. It returns false if another goroutine
// already reroutes the request, or if the attempt has ended. If the other goroutine reroutes the
// request because of a draining stage and a stage is now lost, the loss is kept for
// takePendingLoss.
func (m *pathMonitor) beginReroute(reason string, draining bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	if m.rerouting {
		if !draining && m.draining {
			m.pendingLossReason = reason
			select {
			case m.wake <- struct{}{}:
			default: // the loop already has a wake-up pending
			}
		}
		return false
	}
	m.rerouting, m.draining, m.pendingLossReason = true, draining, ""
	return true
}

// takePendingLoss returns and clears the reason of a loss that occurred while the request was
// being rerouted because of a draining stage; "" if there is none. A loss is more urgent than a
// draining stage, and must be handled at once.
func (m *pathMonitor) takePendingLoss() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := m.pendingLossReason
	if lost != "" {
		m.pendingLossReason, m.draining = "", false
	}
	return lost
}

func (m *pathMonitor) endReroute() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rerouting = false
}
