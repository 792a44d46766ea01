package stream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// epoch is one attempt of an answer on one chain.
type epoch struct {
	answer   *answer
	chain    Chain
	number   uint32
	ctx      context.Context
	watchdog *watchdog
	gap      gapEstimate
	slowness slowDetector
	sentAt   time.Time
	// openedAt is the same time as sentAt, read from the report checker's clock, which
	// tests replace.
	openedAt time.Time
	// activityReportedAt is when a token was last reported to the chain prober.
	activityReportedAt time.Time
	hops               hopTimes
	result             AttemptResult
}

// maxStray is how many tokens of earlier epochs or other streams, and how many violations of the
// contract of an answer, a chain may send in one epoch. They never reach the caller. A chain that sends
// more of them is abandoned.
const maxStray = 64

func (e *epoch) run(ctx context.Context) {
	if err := e.verify(ctx); err != nil {
		e.result.NotRun = true
		e.result.Silent = isTimeout(err)
		e.setEnd(EndMismatch, err)
		e.preferCallerCause(ctx)
		return
	}
	epochCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.ctx = epochCtx
	e.watchdog = newWatchdog(cancel)
	e.watchdog.mayLeave = e.mayLeaveSilentChain()
	defer e.watchdog.disarm()
	e.sentAt = time.Now()
	e.openedAt = e.answer.runner.reports.now()
	prober := e.answer.runner.prober
	e.watchdog.armFirstToken(prober.checkInterval(), e.answer.req.FirstTokenTimeout, func(silentSince time.Time) bool {
		prober.measure(e.answer.req.Chat.Model, e.chain)
		return prober.unresponsive(e.answer.req.Chat.Model, e.chain, silentSince, e.answer.unresponsiveChains)
	})
	stream, err := e.answer.runner.client.Open(epochCtx, e.chain.Stages[0].Address, e.chat())
	if err != nil {
		e.handleOpenError(ctx, err)
		return
	}
	defer stream.Close()
	for !e.handleEvent(ctx, stream) {
	}
}

// verify checks, before the request is sent, that the chain's engines hold what the plan
// says.
//
// verify also rejects a chain whose weights or adapter differ from those that made the
// delivered tokens. Otherwise the caller would get the beginning of one answer and the
// end of another, and could not notice the change. When verify fails, nothing has
// been sent to the chain yet, so another chain may be tried.
func (e *epoch) verify(ctx context.Context) error {
	if len(e.answer.deliveredTokens) > 0 && e.chain.Artifact != e.answer.artifact {
		return fmt.Errorf("%w: got %+v, want %+v", errWrongArtifact, e.chain.Artifact, e.answer.artifact)
	}
	return e.answer.runner.reports.verify(ctx, e.answer.req.Chat.Model, e.answer.req.Layers, e.chain, time.Time{})
}

// chat returns the request for this epoch, which resumes after the last delivered
// token.
func (e *epoch) chat() engineapi.ChatRequest {
	chat := e.answer.req.Chat
	chat.Pipeline = &engineapi.Pipeline{
		Stream:           e.answer.req.StreamID,
		Epoch:            e.number,
		PlacementVersion: e.chain.PlacementVersion,
		Chain:            e.chain.Stages,
		ResumeTokens:     e.answer.deliveredTokens,
		KVHandle:         e.answer.kvHandle,
		Artifact:         e.chain.Artifact,
	}
	return chat
}

func (e *epoch) handleOpenError(ctx context.Context, err error) {
	e.result.Status = engineclient.HTTPStatus(err)
	e.result.NotRun = engineclient.NotRun(err)
	e.result.Pushback = engineclient.Pushback(err)
	switch {
	case e.result.NotRun && e.result.Status != 0:
		e.setEnd(EndRefused, err)
	case e.result.NotRun:
		e.result.Silent = isTimeout(err) || errors.Is(context.Cause(e.ctx), errStalled)
		e.setEnd(EndUnreachable, err)
	default:
		e.handleStreamError(ctx, err)
		return
	}
	e.preferCallerCause(ctx)
}

// handleEvent waits for one event of the stream, handles it and reports whether the
// epoch has ended.
func (e *epoch) handleEvent(ctx context.Context, stream *engineclient.Stream) bool {
	waitStart := time.Now()
	event, err := stream.Next()
	var violation *engineclient.Violation
	if errors.As(err, &violation) && !violation.EndsAnswer() {
		return e.dropViolation(violation)
	}
	if err != nil {
		e.handleStreamError(ctx, err)
		return true
	}
	if event.Finish != "" {
		return e.handleEnd(event, stream)
	}
	reason := e.answer.check.Verify(&event.Trace)
	if reason.Stray() {
		return e.dropStray(reason)
	}
	if reason != Accepted {
		return e.rejectToken(reason)
	}
	e.watchdog.disarm()
	e.recordToken(time.Since(waitStart), event.Trace.Spans)
	if err := e.answer.deliver(event.Token, event.Trace); err != nil {
		e.setEnd(EndCallerGone, err)
		return true
	}
	e.answer.recordDelivered(event.Token, e.chain.Artifact)
	if e.leaveSlowChain(ctx) {
		return true
	}
	e.watchdog.arm(e.stallTimeout())
	return false
}

// handleEnd handles the event that closes the answer.
func (e *epoch) handleEnd(event engineclient.Event, stream *engineclient.Stream) bool {
	reason := e.answer.check.VerifyEnd(&event.Trace)
	if reason.Stray() {
		return e.dropStray(reason)
	}
	if reason != Accepted {
		return e.rejectToken(reason)
	}
	e.watchdog.armDrain(drainTimeout)
	if err := stream.Drain(event.Trace); err != nil {
		return e.reject(AfterEnd, err)
	}
	e.answer.summary.FinishReason = event.Finish
	e.result.Load = event.Trace.Load
	e.setEnd(EndDone, nil)
	return true
}

// drainTimeout bounds the wait for the end of the body after the closing event.
// Engines send the closing event and the end of the body together. If the end of the body
// does not arrive in time, the connection is closed and cannot be reused.
const drainTimeout = 20 * time.Millisecond

// dropStray drops and counts a token of another stream or an earlier epoch, and reports
// whether the epoch has ended. dropStray does not reset the watchdog, because such a token does
// not show that the chain works on this stream.
func (e *epoch) dropStray(reason Reason) bool {
	e.answer.summary.StrayTokens++
	e.answer.runner.strayTokens.Add(1)
	e.result.StrayTokens++
	return e.drop(reason, nil)
}

// dropViolation drops and counts bytes that are no part of the answer, and reports whether the epoch has
// ended. Like a stray token, they do not show that the chain works on this stream.
func (e *epoch) dropViolation(violation *engineclient.Violation) bool {
	e.result.Violations++
	if e.result.Violation == nil {
		e.result.Violation = violation
	}
	return e.drop(StrayBytes, violation)
}

// drop counts what is dropped. It ends the epoch if that is too much.
func (e *epoch) drop(reason Reason, err error) bool {
	if e.result.StrayTokens+e.result.Violations > maxStray {
		return e.reject(reason, err)
	}
	e.answer.countDropped(reason)
	return false
}

func (e *epoch) rejectToken(reason Reason) bool { return e.reject(reason, nil) }

// reject ends the epoch, because the chain has sent what is no part of the answer.
func (e *epoch) reject(reason Reason, err error) bool {
	e.result.Reason = reason
	e.answer.countDropped(reason)
	e.setEnd(EndInvalidToken, err)
	return true
}

// handleStreamError sets the end of an epoch whose stream failed.
func (e *epoch) handleStreamError(ctx context.Context, err error) {
	e.result.Silent = errors.Is(context.Cause(e.ctx), errStalled)
	var violation *engineclient.Violation
	switch {
	case errors.Is(context.Cause(e.ctx), errStalled) && e.result.Tokens == 0:
		e.result.Unresponsive = errors.Is(context.Cause(e.ctx), errUnresponsive)
		e.setEnd(EndNoFirstToken, err)
	case errors.Is(context.Cause(e.ctx), errStalled):
		e.setEnd(EndStalled, err)
	case errors.As(err, &violation):
		e.reject(StrayBytes, err)
	case errors.Is(err, io.EOF):
		// The response ended with [DONE], but the closing event, which gives the
		// number of tokens, is missing. Tokens may be missing too.
		e.setEnd(EndConnectionLost, engineclient.ErrTruncated)
	default:
		e.setEnd(EndConnectionLost, err)
	}
	e.preferCallerCause(ctx)
}

// preferCallerCause sets the epoch's end to EndCallerGone if the caller disconnected, or
// to EndDeadline if the deadline passed. Both cancel the epoch's calls, so the error that
// was recorded before is only a consequence.
func (e *epoch) preferCallerCause(ctx context.Context) {
	if e.answer.callerCtx.Err() != nil {
		e.setEnd(EndCallerGone, e.answer.callerCtx.Err())
		return
	}
	if ctx.Err() != nil {
		e.setEnd(EndDeadline, ctx.Err())
	}
}

func (e *epoch) setEnd(end End, err error) {
	e.result.End = end
	e.result.Err = err
}

// recordToken records the times of an accepted token.
func (e *epoch) recordToken(wait time.Duration, spans []engineapi.Span) {
	e.result.Tokens++
	e.hops.add(spans)
	e.reportActivity(time.Now())
	if e.result.Tokens > 1 {
		gap := gapOf(wait, spans)
		e.gap.sample(gap)
		e.slowness.add(gap)
		return
	}
	e.result.FirstToken = time.Since(e.sentAt)
	e.renewReports(spans)
	e.answer.runner.costs.record(e.answer.kvHandle != "", e.answer.contextTokens(), e.result.FirstToken+e.answer.exportTime)
	if !e.gap.known {
		// No gap of this chain has been measured yet, so the sum of the first
		// token's span times is the first sample. This sum includes prefill, so the
		// stall timeout is too long rather than too short.
		e.gap.sample(gapOf(0, spans))
	}
}

// reportActivity tells the chain prober that a token has arrived. Each epoch tells the
// prober at most twice per probe interval, because all streams share the prober's lock.
func (e *epoch) reportActivity(now time.Time) {
	if now.Sub(e.activityReportedAt) >= e.answer.runner.prober.probeInterval()/2 {
		e.activityReportedAt = now
		e.answer.runner.prober.recordActivity(e.chain, now)
	}
}

// renewReports extends the validity of the cached engine reports if the first token's
// spans show that each stage ran the layers of the plan. The reports are then valid for
// another ReportTTL, counted from the time when the stream was opened.
func (e *epoch) renewReports(spans []engineapi.Span) {
	matchesPlan := slices.EqualFunc(spans, e.chain.Stages, func(span engineapi.Span, stage engineapi.Stage) bool {
		return span.Endpoint == stage.Endpoint && span.First == stage.First && span.Last == stage.Last
	})
	if matchesPlan {
		e.answer.runner.reports.renew(e.answer.req.Chat.Model, e.chain, e.openedAt)
	}
}

// stallTimeout returns how long to wait for the next token. The timeout doubles with
// each earlier stall of this answer, because changing chains adds load and does not
// help if every chain is slow. The timeout doubles at most maxStallDoublings times, and is
// at most MaxStallTimeout, or MinStallTimeout if that is longer.
func (e *epoch) stallTimeout() time.Duration {
	timeout := e.gap.timeout(e.answer.runner.options.MinStallTimeout, e.answer.req.MaxStallTimeout)
	return min(timeout<<min(e.answer.stalls, maxStallDoublings), max(e.answer.req.MaxStallTimeout, e.answer.runner.options.MinStallTimeout))
}

const maxStallDoublings = 6

// finish updates the gap estimate, the cached engine reports and the recovery times from
// the epoch's result. If the answer is not complete and the chain may have run part of
// it, finish also cancels the stream on the chain's stages.
func (e *epoch) finish() {
	e.result.Hops = e.hops.means()
	if e.result.Tokens > 1 {
		e.result.MeanGap = time.Duration(e.gap.meanNanos)
	}
	if e.result.End == EndStalled {
		e.answer.stalls++
		// The gap before the missing token is at least the time waited. Adding
		// that time to the estimate makes the chain's next stall timeout longer,
		// in case the chain was only slow.
		e.gap.sample(time.Since(e.answer.lastTokenAt))
	}
	if e.result.Unresponsive {
		e.answer.unresponsiveChains++
	}
	if e.gap.known {
		e.answer.runner.gaps.put(e.chain.Replica, e.gap)
	}
	if e.result.End == EndDone {
		return
	}
	if e.result.End != EndCallerGone && e.result.End != EndDeadline {
		e.answer.recordFailure(e.result)
	}
	if e.result.End == EndRefused {
		// The engine may have refused the request because it no longer holds what
		// its cached report says.
		e.answer.runner.reports.invalidate(e.chain)
	}
	if e.result.NotRun {
		return
	}
	e.answer.runner.reports.invalidate(e.chain)
	e.answer.runner.cancels.cancel(e.chain, e.answer.req.StreamID, e.number)
}
