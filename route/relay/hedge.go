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
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// hedgeTimeout is how long a hedged attempt may take to its first event.
const hedgeTimeout = resumeTimeout

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
	// exchange is the answer, split the part of it that was read.
	exchange *upstream.Exchange
	split    eventSplitter
	// abandoned is why the hedge was canceled, "" if it was not. The monitor's lock guards it.
	abandoned string
	// done is closed when the hedge has taken over or has ended.
	done chan struct{}
}

// migrate makes a hedged attempt at a reserved target and waits until it continues the stream or has
// ended. It reports whether the request needs no further reroute.
func (m *pathMonitor) migrate(next targets.Target, reason string) bool {
	if !m.accepts(next) || !m.chargeRetry() {
		m.release(next)
		return false
	}
	h, mayBegin := m.beginHedge(next, reason)
	if !mayBegin {
		m.release(next)
		return m.ctx.Err() != nil
	}
	defer close(h.done)
	m.recordHedge(h, "the present replica is silent")
	expiry := time.AfterFunc(hedgeTimeout, func() { m.abandon(h, hedgeLate) })
	res := h.firstEvent()
	expiry.Stop()
	if res.kind == resultComplete && m.takeOver(h) {
		return true
	}
	return m.endHedge(h, res)
}

// accepts reports whether a target accepts a connection. A replica that does not is suspected, and
// costs no retry.
func (m *pathMonitor) accepts(next targets.Target) bool {
	req := m.attempt.req
	lost := req.server.Prober.FindUnreachable(m.ctx, connprobe.ReasonHedge, []string{next.Address})
	if len(lost) == 0 {
		return true
	}
	if next.Active.Suspect(next.Replica, lost[0].HostUnreachable) {
		req.log.Info("replica out of reach", "service", req.Service, "replica", next.Replica, "address", next.Address, "silent", lost[0].HostUnreachable)
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

// beginHedge prepares a hedged attempt. It returns false if events are being passed on, if the
// attempt has ended or if the guard allows no attempt.
func (m *pathMonitor) beginHedge(next targets.Target, reason string) (*hedge, bool) {
	req := m.attempt.req
	guarded := req.server.Guard.Request(req.Call.ID, req.Service, req.Call.PromptParts)
	if err := guarded.Begin(m.ctx); err != nil {
		return nil, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.forwarding {
		guarded.End()
		return nil, false
	}
	h := &hedge{
		attempt: &attempt{req: req, target: next, startedAt: req.server.Now(), resumeAfter: req.resumePosition()},
		reason:  reason, guarded: guarded, done: make(chan struct{}),
	}
	h.ctx, h.cancel = context.WithCancel(req.ctx)
	h.attempt.hedge = h
	h.sentTo(guarded)
	m.hedge = h
	return h, true
}

// firstEvent sends the request and reads until an event is there. The result is complete if the
// hedge can continue the stream.
func (h *hedge) firstEvent() attemptResult {
	exchange, failed := h.send(h.ctx, hedgeTimeout)
	if failed != nil {
		return *failed
	}
	h.exchange = exchange
	if !isEventStream(exchange) {
		return h.unexpected(exchange)
	}
	if bad := h.invalidReason(); bad != "" {
		return attemptResult{kind: resultUnknown, detail: bad, feedback: targets.Result{Failure: health.Internal}}
	}
	buffer := make([]byte, readBytes)
	for {
		n, err := exchange.Read(buffer, hedgeTimeout)
		h.split.add(buffer[:n])
		switch {
		case h.split.hasEvent():
			return attemptResult{kind: resultComplete}
		case errors.Is(err, io.EOF) && h.split.incompleteBytes() == 0:
			return attemptResult{kind: resultComplete} // the caller already has all events
		case errors.Is(err, io.EOF):
			return brokenOff("the stream ended in the middle of an event")
		case err != nil:
			return h.resultOfError(err)
		case h.split.incompleteBytes() > maxEventBytes:
			return attemptResult{kind: resultUnknown, detail: "an event exceeds the size limit", feedback: targets.Result{Failure: health.Internal}}
		}
	}
}

// takeOver lets a hedge continue the stream and cancels the present attempt. It returns false if the
// present attempt has had an event meanwhile or has ended.
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
	brokenOff := h.ctx.Err() == nil && res.kind == resultUnknown && res.feedback.Failure == health.BrokenResponse
	h.cancel()
	if h.exchange != nil {
		h.exchange.Close()
	}
	if brokenOff {
		h.guarded.BrokenOff(m.ctx)
	}
	h.guarded.End()
	abandoned := m.recordOutcome(h, res)
	if abandoned != "" {
		res.detail, res.feedback = abandoned, targets.Result{Failure: health.Canceled}
	}
	req := m.attempt.req
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
	m.history.attemptCount++
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

// finalResult returns the final result of the present attempt. If a hedge has taken over, this result
// is a failure with the hedge that goes on. If the attempt has failed while a hedge is under way, it
// waits for the hedge.
func (m *pathMonitor) finalResult(res attemptResult) attemptResult {
	req := m.attempt.req
	m.mu.Lock()
	h := m.hedge
	over := res.kind == resultComplete || res.kind == resultCallerGone || res.kind == resultDeadline || req.ctx.Err() != nil
	if over || h == nil {
		m.stopped = true
		m.abandonLocked(h, hedgeEnded)
	}
	m.mu.Unlock()
	if h != nil {
		<-h.done
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	req.attemptHistory = m.history
	for _, ended := range m.ended {
		req.guarded.Join(ended)
	}
	if m.takenOver == nil {
		return res
	}
	return attemptResult{
		kind: resultUnknown, detail: m.takenOver.reason, feedback: targets.Result{Failure: health.BrokenResponse}, hedge: m.takenOver,
	}
}
