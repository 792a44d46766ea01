package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/eventstream"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// hedgeInterval is how long a hedge may take to its first event before it is checked, and the time
// between two checks.
const hedgeInterval = 1500 * time.Millisecond

// Reasons to cancel a hedge.
const (
	hedgeNotNeeded = "the silent replica goes on"
	hedgeLate      = "no event in time"
	hedgeEnded     = "the request has ended"
)

// hedge is an attempt at a stream beside the present attempt, whose replica is silent. It resumes
// the stream after the last event that the caller has. The attempt that has the next event first
// continues the stream, and the other one is canceled: the silent replica may be sound, and the
// replica of the hedge may be silent or full as well.
type hedge struct {
	*attempt
	reason  string
	guarded *crashguard.Request
	// ctx ends when the hedge is abandoned or, once it continues the stream, with that attempt.
	ctx    context.Context
	cancel context.CancelFunc
	// exchange is the answer, reader the part of it that was read.
	exchange *upstream.Exchange
	reader   eventstream.Reader
	// abandoned is why the hedge was canceled, "" if it was not. The monitor's lock guards it.
	abandoned string
	// done is closed when the hedge has taken over or has ended.
	done chan struct{}
}

// migrate makes a hedged attempt at a reserved target and waits until it continues the stream or has
// ended. It reports whether the request needs no further reroute.
func (m *pathMonitor) migrate(next targets.Target, reason string) bool {
	if !m.accepts(next) {
		m.release(next)
		return false
	}
	h := m.beginHedge(next, reason)
	if h == nil {
		m.release(next)
		return m.ctx.Err() != nil
	}
	defer close(h.done)
	m.recordHedge(h, "the present replica is silent")
	stopChecks := m.checkHedge(h)
	res := h.firstEvent()
	stopChecks()
	if res.kind == resultComplete && m.takeOver(h) {
		return true
	}
	return m.endHedge(h, res)
}

// accepts reports whether a target accepts a connection. A replica that does not is suspected, and
// costs no retry.
func (m *pathMonitor) accepts(target targets.Target) bool {
	req := m.attempt.req
	lost := req.server.Prober.FindUnreachable(m.ctx, connprobe.ReasonHedge, []string{target.Address})
	if len(lost) == 0 {
		return true
	}
	if target.Active.Suspect(target.Replica, lost[0].HostUnreachable) {
		req.log.Info("replica out of reach", "service", req.Service, "replica", target.Replica, "address", target.Address, "silent", lost[0].HostUnreachable)
	}
	return false
}

// beginHedge charges the retry budget and prepares a hedged attempt. It returns nil if events are
// being passed on, if the attempt has ended, or if the guard or the budget allows no attempt.
func (m *pathMonitor) beginHedge(next targets.Target, reason string) *hedge {
	req := m.attempt.req
	guarded := req.guardRequest()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.ending || m.forwarding || m.hedgeCrashed() || !guarded.MayHedge() || !m.chargeRetry() {
		return nil
	}
	h := &hedge{
		attempt: &attempt{req: req, target: next, startedAt: req.server.Now(), resumeAfter: req.resumePosition()},
		reason:  reason, guarded: guarded, done: make(chan struct{}),
	}
	h.reader = h.attempt.newReader()
	h.ctx, h.cancel = context.WithCancel(req.ctx)
	h.attempt.hedge = h
	h.sentTo(guarded)
	m.hedge = h
	return h
}

// hedgeCrashed reports whether a hedge of this attempt has crashed its replica. The next one would
// crash its replica as well. The caller holds the lock.
func (m *pathMonitor) hedgeCrashed() bool {
	for _, ended := range m.ended {
		if ended.Crashed() {
			return true
		}
	}
	return false
}

// chargeRetry charges the retry budget. It returns false if the budget allows no retry.
func (m *pathMonitor) chargeRetry() bool {
	req := m.attempt.req
	return req.Budget.Allow(retry.Attempt{
		AttemptsMade: 1, Failure: health.BrokenResponse, Idempotent: true, Deadline: req.Deadline, Alternatives: 1,
	}).Retry
}

// checkHedge cancels a hedge that has had no event for hedgeInterval, if its replica accepts no
// connection or if the route allows yet another replica. Otherwise the hedge may be all that goes
// on, and it is checked again. The checks end with the returned function.
func (m *pathMonitor) checkHedge(h *hedge) (stop func()) {
	ctx, cancel := context.WithCancel(h.ctx)
	go func() {
		timer := time.NewTicker(hedgeInterval)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			if m.allowsThird() || !m.accepts(h.target) {
				m.abandon(h, hedgeLate)
				return
			}
		}
	}()
	return cancel
}

// allowsThird reports whether the stream may run at yet another first replica, beside those of the
// present attempt and of its hedge.
func (m *pathMonitor) allowsThird() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	const present, hedged = 1, 1
	return len(m.history.mayHaveRunOn)+present+hedged < m.attempt.req.Route.MaxReplicas && m.history.mayHedge()
}

// firstEvent sends the request and reads until the next event of the stream is there. The result is
// complete if the hedge can continue the stream.
func (h *hedge) firstEvent() attemptResult {
	exchange, failed := h.send(h.ctx, h.idleTimeout())
	if failed != nil {
		return *failed
	}
	h.exchange = exchange
	if !isEventStream(exchange) {
		return h.resultWithoutStream(exchange)
	}
	if bad := h.invalidReason(); bad != "" {
		return invalidAnswer(bad)
	}
	buffer := make([]byte, readBytes)
	for {
		n, err := exchange.Read(buffer, h.idleTimeout())
		h.reader.Add(buffer[:n])
		if full := h.chargePending(&h.reader); full != nil {
			return *full
		}
		ended := errors.Is(err, io.EOF)
		if ended && !exchange.EndsWithConnection() {
			h.reader.Complete()
		}
		hasEvent, stray := h.reader.HasEvent()
		h.recordIgnored(h.reader.TakeIgnored())
		switch {
		case hasEvent, ended && stray == nil && h.callerHasAll():
			return attemptResult{kind: resultComplete}
		case stray != nil:
			return *h.strayBytes(exchange, stray)
		case ended:
			return brokenOff(detailNoEvents)
		case err != nil:
			return h.resultOfError(err)
		}
	}
}

// callerHasAll reports whether an answer that has ended without a further event says that the caller
// has all events. The end of a connection does not say so: the replica may have crashed.
func (h *hedge) callerHasAll() bool {
	return h.resumeAfter != "" && h.reader.Empty() && !h.exchange.EndsWithConnection()
}

// takeOver lets a hedge continue the stream and cancels the present attempt. It returns false if the
// present attempt has had an event meanwhile or the request has ended.
func (m *pathMonitor) takeOver(h *hedge) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || h.abandoned != "" {
		return false
	}
	m.takenOver = h
	m.cancel()
	m.attempt.req.server.Metrics.Hedged(m.attempt.req.Service, "took_over")
	return true
}

// abandon cancels a hedge unless it has taken over.
func (m *pathMonitor) abandon(h *hedge, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.abandonLocked(h, reason)
}

// abandonLocked is abandon for callers that hold the lock. h may be nil.
func (m *pathMonitor) abandonLocked(h *hedge, reason string) {
	if h != nil && m.takenOver != h && h.abandoned == "" {
		h.abandoned = reason
		h.cancel()
	}
}

// endHedge releases a hedge that does not continue the stream. It reports whether the request needs
// no further reroute, because the present attempt has had an event or has ended.
func (m *pathMonitor) endHedge(h *hedge, res attemptResult) bool {
	req := m.attempt.req
	brokenOff := h.ctx.Err() == nil && res.kind == resultUnknown && res.feedback.Failure == health.BrokenResponse
	h.cancel()
	h.memory.Release()
	if h.exchange != nil {
		h.exchange.Close()
	}
	if brokenOff {
		h.guarded.BrokenOff(m.ctx)
	}
	if res.feedback.NoCapacity && res.feedback.FaultAddress != "" {
		req.probeFaultyReplica(h.target, res.feedback.FaultAddress)
	}
	abandoned := m.recordOutcome(h, res)
	if abandoned != "" {
		res.detail, res.feedback = abandoned, targets.Result{Failure: health.Canceled}
	}
	res.feedback.Duration = req.server.Now().Sub(h.startedAt)
	req.Targets.Finish(h.target, res.feedback)
	req.server.Metrics.Hedged(req.Service, hedgeResult(abandoned))
	m.recordHedge(h, res.detail)
	return abandoned != "" && abandoned != hedgeLate
}

// hedgeResult names the result of a hedge that did not take over, for metrics.
func hedgeResult(abandoned string) string {
	switch abandoned {
	case "":
		return "failed"
	case hedgeLate:
		return "late"
	}
	return "not_needed"
}

// recordOutcome records at which replicas the request may have run, and which have failed it. It
// returns why the hedge was abandoned.
func (m *pathMonitor) recordOutcome(h *hedge, res attemptResult) (abandoned string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hedge = nil
	m.ended = append(m.ended, h.guarded)
	if res.notRun() {
		m.history.refusedHedges++
	} else {
		m.history.attemptCount++
	}
	if h.abandoned == "" || h.abandoned == hedgeLate {
		m.history.addFailed(h.target, res)
	}
	if !res.notRun() {
		m.history.addRan(h.target.Replica)
	}
	m.setMigrationFilter()
	return h.abandoned
}

// recordHedge records that a hedge begins or why it has ended.
func (m *pathMonitor) recordHedge(h *hedge, reason string) {
	m.attempt.req.record(decisionlog.Decision{
		Kind: decisionlog.Hedge, Chosen: h.target.Replica, Reason: reason,
		TextValues: []decisionlog.TextValue{{Name: "present", Text: m.attempt.target.Replica}, {Name: "cause", Text: h.reason}},
		Values:     map[string]float64{"silent_ms": millis(m.silentFor())},
	})
}

// beginForward reports whether the present attempt may pass on an event. It may not once a hedge has
// taken over. A hedge that has not is canceled.
func (m *pathMonitor) beginForward() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.takenOver != nil {
		return false
	}
	m.forwarding = true
	m.abandonLocked(m.hedge, hedgeNotNeeded)
	return true
}

// endForward records that the caller has the event.
func (m *pathMonitor) endForward() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forwarding = false
}

// finalResult returns the final result of the present attempt. If the attempt has failed while a
// hedge is under way, it waits for the hedge. If a hedge has taken over, the result has the hedge.
func (m *pathMonitor) finalResult(res attemptResult) attemptResult {
	hedge, canceled := m.beginEnd(res)
	if hedge != nil {
		<-hedge.done
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.attempt.req.attemptHistory = m.history.clone()
	for _, ended := range m.ended {
		m.attempt.req.guarded.Join(ended)
	}
	switch {
	case m.takenOver == nil:
		return res
	case canceled:
		res = attemptResult{kind: resultUnknown, detail: m.takenOver.reason, feedback: targets.Result{Failure: health.BrokenResponse}, left: true}
	}
	res.hedge = m.takenOver
	return res
}

// beginEnd lets no further hedge begin, and cancels the one that is under way if the request has
// ended. It returns that hedge, and whether the attempt was canceled for it.
func (m *pathMonitor) beginEnd(res attemptResult) (h *hedge, canceled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ending = true
	if res.kind == resultComplete || res.kind == resultCallerGone || res.kind == resultDeadline || m.attempt.req.ctx.Err() != nil {
		m.stopped = true
		m.abandonLocked(m.hedge, hedgeEnded)
	}
	return m.hedge, m.takenOver != nil
}
