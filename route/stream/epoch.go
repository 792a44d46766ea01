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

// epoch is one try of one chain.
type epoch struct {
	answer   *answer
	chain    Chain
	number   uint32
	ctx      context.Context
	watchdog *watchdog
	gap      gapEstimate
	slowness slowDetector
	sentAt   time.Time
	// openedAt is sent by the clock of the holding check.
	openedAt time.Time
	// activityReportedAt is when the way check was last activityReportedAt of a token.
	activityReportedAt time.Time
	hops               hopTimes
	strayTokens        int
	result             AttemptResult
}

// maxStrayTokens bounds the late or foreign tokens that one epoch may bring. They
// never reach the caller, but a chain that sends many is not worth waiting on.
const maxStrayTokens = 64

func (e *epoch) run(ctx context.Context) {
	if err := e.verify(ctx); err != nil {
		e.result.NotRun = true
		e.setEnd(EndMismatch, err)
		e.preferCallerCause(ctx)
		return
	}
	epochCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.ctx = epochCtx
	e.watchdog = newWatchdog(cancel)
	defer e.watchdog.disarm()
	e.sentAt = time.Now()
	e.openedAt = e.answer.runner.reports.now()
	e.watchdog.armFirstToken(e.answer.runner.prober.checkInterval(), e.answer.req.FirstTokenTimeout, func(since time.Time) bool {
		return e.answer.runner.prober.unresponsive(e.answer.req.Chat.Model, e.chain, since, e.answer.unresponsiveChains)
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

// verify is the check at use.
//
// A chain with other weights or another adapter than made the answer so far is not
// used: the caller would get one answer's beginning and another's end, both
// plausible. Nothing was sent, so another chain may be tried.
func (e *epoch) verify(ctx context.Context) error {
	if len(e.answer.delivered) > 0 && e.chain.Artifact != e.answer.artifact {
		return fmt.Errorf("%w: %+v, not %+v", errWrongArtifact, e.chain.Artifact, e.answer.artifact)
	}
	return e.answer.runner.reports.verify(ctx, e.answer.req.Chat.Model, e.answer.req.Layers, e.chain, time.Time{})
}

// chat is the request for this epoch: it resumes after the last token delivered.
func (e *epoch) chat() engineapi.ChatRequest {
	chat := e.answer.req.Chat
	chat.Pipeline = &engineapi.Pipeline{
		Stream:           e.answer.req.StreamID,
		Epoch:            e.number,
		PlacementVersion: e.chain.PlacementVersion,
		Chain:            e.chain.Stages,
		ResumeTokens:     e.answer.delivered,
		KVHandle:         e.answer.kvHandle,
		Artifact:         e.chain.Artifact,
	}
	return chat
}

func (e *epoch) handleOpenError(ctx context.Context, err error) {
	e.result.Status = engineclient.Status(err)
	e.result.NotRun = engineclient.NotRun(err)
	switch {
	case e.result.NotRun && e.result.Status != 0:
		e.setEnd(EndRefused, err)
	case e.result.NotRun:
		e.setEnd(EndUnreachable, err)
	default:
		e.handleStreamError(ctx, err)
		return
	}
	e.preferCallerCause(ctx)
}

// handleEvent handles one event of the stream and reports whether the epoch is over.
func (e *epoch) handleEvent(ctx context.Context, stream *engineclient.Stream) bool {
	waitStart := time.Now()
	event, err := stream.Next()
	if err != nil {
		e.handleStreamError(ctx, err)
		return true
	}
	if event.Finish != "" {
		e.result.Load = event.Trace.Load
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

// handleEnd handles the event that says that the answer is whole.
func (e *epoch) handleEnd(event engineclient.Event, stream *engineclient.Stream) bool {
	reason := e.answer.check.VerifyEnd(&event.Trace)
	if reason.Stray() {
		return e.dropStray(reason)
	}
	if reason != Accepted {
		return e.rejectToken(reason)
	}
	e.answer.summary.FinishReason = event.Finish
	e.setEnd(EndDone, nil)
	e.watchdog.arm(drainTimeout)
	stream.Drain()
	return true
}

// drainTimeout bounds the wait for the end of a body whose answer is whole. Engines
// send it along with the last event; one that does not costs its connection.
const drainTimeout = 20 * time.Millisecond

// dropStray counts a token that belongs elsewhere. The watchdog runs on: such a
// token is no sign that the chain works for this stream.
func (e *epoch) dropStray(reason Reason) bool {
	e.answer.summary.StrayTokens++
	e.answer.runner.strayTokens.Add(1)
	e.strayTokens++
	if e.strayTokens <= maxStrayTokens {
		return false
	}
	return e.rejectToken(reason)
}

func (e *epoch) rejectToken(reason Reason) bool {
	e.result.Reason = reason
	e.setEnd(EndInvalidToken, nil)
	return true
}

// handleStreamError names the end of an epoch whose stream broke off.
func (e *epoch) handleStreamError(ctx context.Context, err error) {
	switch {
	case errors.Is(context.Cause(e.ctx), errStalled) && e.result.Tokens == 0:
		e.result.Unresponsive = errors.Is(context.Cause(e.ctx), errUnresponsive)
		e.setEnd(EndNoFirstToken, err)
	case errors.Is(context.Cause(e.ctx), errStalled):
		e.setEnd(EndStalled, err)
	case errors.Is(err, io.EOF):
		// The marker without the closing event: nothing says that the
		// tokens that came are all.
		e.setEnd(EndConnectionLost, engineclient.ErrCutShort)
	default:
		e.setEnd(EndConnectionLost, err)
	}
	e.preferCallerCause(ctx)
}

// preferCallerCause puts a caller's leaving and the deadline before what they caused.
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

// recordToken keeps the times of an accepted token.
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
		// The first token's own time is all there is to go by; prefill makes
		// it longer than those that follow, which errs to the safe side.
		e.gap.sample(gapOf(0, spans))
	}
}

// reportActivity tells the way check of a token, twice in the time after which it asks
// and not with each: all streams share its lock.
func (e *epoch) reportActivity(now time.Time) {
	if now.Sub(e.activityReportedAt) >= e.answer.runner.prober.probeInterval()/2 {
		e.activityReportedAt = now
		e.answer.runner.prober.recordActivity(e.chain, now)
	}
}

// renewReports takes the first token's spans as a sign of what the engines held
// when the stream was opened, if each stage ran what the plan says.
func (e *epoch) renewReports(spans []engineapi.Span) {
	matchesPlan := slices.EqualFunc(spans, e.chain.Stages, func(span engineapi.Span, stage engineapi.Stage) bool {
		return span.Endpoint == stage.Endpoint && span.First == stage.First && span.Last == stage.Last
	})
	if matchesPlan {
		e.answer.runner.reports.renew(e.answer.req.Chat.Model, e.chain, e.openedAt)
	}
}

// stallTimeout is how long to wait for the next token. Each stall before in this
// answer doubles it: if every chain is slow, moving on makes it worse.
func (e *epoch) stallTimeout() time.Duration {
	timeout := e.gap.timeout(e.answer.runner.options.MinStallTimeout, e.answer.req.MaxStallTimeout)
	return min(timeout<<min(e.answer.stalls, maxStallDoublings), max(e.answer.req.MaxStallTimeout, e.answer.runner.options.MinStallTimeout))
}

const maxStallDoublings = 6

// finish learns from the epoch, tells its stages and prepares the next one.
func (e *epoch) finish() {
	e.result.Hops = e.hops.means()
	if e.result.Tokens > 1 {
		e.result.MeanGap = time.Duration(e.gap.mean)
	}
	if e.result.End == EndStalled {
		e.answer.stalls++
		// The true gap is at least the wait: a chain that was only slow is
		// given longer next time.
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
		// The engine may refuse because it lost what it last reported.
		e.answer.runner.reports.invalidate(e.chain)
	}
	if e.result.NotRun {
		return
	}
	e.answer.runner.reports.invalidate(e.chain)
	e.answer.runner.cancels.cancel(e.chain, e.answer.req.StreamID, e.number)
}
