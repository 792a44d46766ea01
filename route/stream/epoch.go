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
	a      *answer
	chain  Chain
	number uint32
	ctx    context.Context
	dog    *watchdog
	gap    gapEstimate
	pace   pace
	sent   time.Time
	// opened is sent by the clock of the holding check.
	opened time.Time
	// told is when the way check was last told of a token.
	told   time.Time
	hops   hopTimes
	stray  int
	result AttemptResult
}

// maxStray bounds the late or foreign tokens that one epoch may bring. They
// never reach the caller, but a chain that sends many is not worth waiting on.
const maxStray = 64

func (e *epoch) run(ctx context.Context) {
	if err := e.verify(ctx); err != nil {
		e.result.NotRun = true
		e.end(EndMismatch, err)
		e.callerFirst(ctx)
		return
	}
	epochCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.ctx = epochCtx
	e.dog = newWatchdog(cancel)
	defer e.dog.disarm()
	e.sent = time.Now()
	e.opened = e.a.r.holdings.now()
	e.dog.armFirst(e.a.r.ways.tick(), e.a.req.FirstTokenTimeout, func(since time.Time) bool {
		return e.a.r.ways.silent(e.a.req.Chat.Model, e.chain, since, e.a.silences)
	})
	stream, err := e.a.r.client.Open(epochCtx, e.chain.Stages[0].Address, e.chat())
	if err != nil {
		e.openFailed(ctx, err)
		return
	}
	defer stream.Close()
	for !e.next(ctx, stream) {
	}
}

// verify is the check at use.
//
// A chain with other weights or another adapter than made the answer so far is not
// used: the caller would get one answer's beginning and another's end, both
// plausible. Nothing was sent, so another chain may be tried.
func (e *epoch) verify(ctx context.Context) error {
	if len(e.a.delivered) > 0 && e.chain.Artifact != e.a.artifact {
		return fmt.Errorf("%w: %+v, not %+v", errOtherArtifact, e.chain.Artifact, e.a.artifact)
	}
	return e.a.r.holdings.verify(ctx, e.a.req.Chat.Model, e.a.req.Layers, e.chain, time.Time{})
}

// chat is the request for this epoch: it resumes after the last token delivered.
func (e *epoch) chat() engineapi.ChatRequest {
	chat := e.a.req.Chat
	chat.Pipeline = &engineapi.Pipeline{
		Stream:           e.a.req.Stream,
		Epoch:            e.number,
		PlacementVersion: e.chain.PlacementVersion,
		Chain:            e.chain.Stages,
		ResumeTokens:     e.a.delivered,
		KVHandle:         e.a.handle,
		Artifact:         e.chain.Artifact,
	}
	return chat
}

func (e *epoch) openFailed(ctx context.Context, err error) {
	e.result.Status = engineclient.Status(err)
	e.result.NotRun = engineclient.NotRun(err)
	switch {
	case e.result.NotRun && e.result.Status != 0:
		e.end(EndRefused, err)
	case e.result.NotRun:
		e.end(EndUnreachable, err)
	default:
		e.lost(ctx, err)
		return
	}
	e.callerFirst(ctx)
}

// next handles one event of the stream and reports whether the epoch is over.
func (e *epoch) next(ctx context.Context, stream *engineclient.Stream) bool {
	waited := time.Now()
	event, err := stream.Next()
	if err != nil {
		e.lost(ctx, err)
		return true
	}
	if event.Finish != "" {
		e.result.Load = event.Trace.Load
		return e.closing(event, stream)
	}
	reason := e.a.check.Token(&event.Trace)
	if reason.Stray() {
		return e.drop(reason)
	}
	if reason != Accepted {
		return e.reject(reason)
	}
	e.dog.disarm()
	e.noteToken(time.Since(waited), event.Trace.Spans)
	if err := e.a.deliver(event.Token, event.Trace); err != nil {
		e.end(EndCallerGone, err)
		return true
	}
	e.a.accept(event.Token, e.chain.Artifact)
	if e.leaveSlow(ctx) {
		return true
	}
	e.dog.arm(e.bound())
	return false
}

// closing handles the event that says that the answer is whole.
func (e *epoch) closing(event engineclient.Event, stream *engineclient.Stream) bool {
	reason := e.a.check.End(&event.Trace)
	if reason.Stray() {
		return e.drop(reason)
	}
	if reason != Accepted {
		return e.reject(reason)
	}
	e.a.summary.Finish = event.Finish
	e.end(EndDone, nil)
	e.dog.arm(tailWait)
	stream.Drain()
	return true
}

// tailWait bounds the wait for the end of a body whose answer is whole. Engines
// send it along with the last event; one that does not costs its connection.
const tailWait = 20 * time.Millisecond

// drop counts a token that belongs elsewhere. The watchdog runs on: such a
// token is no sign that the chain works for this stream.
func (e *epoch) drop(reason Reason) bool {
	e.a.summary.Stray++
	e.a.r.stray.Add(1)
	e.stray++
	if e.stray <= maxStray {
		return false
	}
	return e.reject(reason)
}

func (e *epoch) reject(reason Reason) bool {
	e.result.Reason = reason
	e.end(EndRejected, nil)
	return true
}

// lost names the end of an epoch whose stream broke off.
func (e *epoch) lost(ctx context.Context, err error) {
	switch {
	case errors.Is(context.Cause(e.ctx), errStalled) && e.result.Tokens == 0:
		e.result.Silent = errors.Is(context.Cause(e.ctx), errSilent)
		e.end(EndNoFirstToken, err)
	case errors.Is(context.Cause(e.ctx), errStalled):
		e.end(EndStalled, err)
	case errors.Is(err, io.EOF):
		// The marker without the closing event: nothing says that the
		// tokens that came are all.
		e.end(EndCut, engineclient.ErrCutShort)
	default:
		e.end(EndCut, err)
	}
	e.callerFirst(ctx)
}

// callerFirst puts a caller's leaving and the deadline before what they caused.
func (e *epoch) callerFirst(ctx context.Context) {
	if e.a.caller.Err() != nil {
		e.end(EndCallerGone, e.a.caller.Err())
		return
	}
	if ctx.Err() != nil {
		e.end(EndDeadline, ctx.Err())
	}
}

func (e *epoch) end(end End, err error) {
	e.result.End = end
	e.result.Err = err
}

// noteToken keeps the times of an accepted token.
func (e *epoch) noteToken(wait time.Duration, spans []engineapi.Span) {
	e.result.Tokens++
	e.hops.add(spans)
	e.tellWay(time.Now())
	if e.result.Tokens > 1 {
		gap := gapOf(wait, spans)
		e.gap.sample(gap)
		e.pace.add(gap)
		return
	}
	e.result.FirstToken = time.Since(e.sent)
	e.renewHoldings(spans)
	e.a.r.resumes.learn(e.a.handle != "", e.a.contextTokens(), e.result.FirstToken+e.a.exporting)
	if !e.gap.known {
		// The first token's own time is all there is to go by; prefill makes
		// it longer than those that follow, which errs to the safe side.
		e.gap.sample(gapOf(0, spans))
	}
}

// tellWay tells the way check of a token, twice in the time after which it asks
// and not with each: all streams share its lock.
func (e *epoch) tellWay(now time.Time) {
	if now.Sub(e.told) >= e.a.r.ways.interval()/2 {
		e.told = now
		e.a.r.ways.heard(e.chain, now)
	}
}

// renewHoldings takes the first token's spans as a sign of what the engines held
// when the stream was opened, if each stage ran what the plan says.
func (e *epoch) renewHoldings(spans []engineapi.Span) {
	ranThePlan := slices.EqualFunc(spans, e.chain.Stages, func(span engineapi.Span, stage engineapi.Stage) bool {
		return span.Endpoint == stage.Endpoint && span.First == stage.First && span.Last == stage.Last
	})
	if ranThePlan {
		e.a.r.holdings.renew(e.a.req.Chat.Model, e.chain, e.opened)
	}
}

// bound is how long to wait for the next token. Each stall before in this
// answer doubles it: if every chain is slow, moving on makes it worse.
func (e *epoch) bound() time.Duration {
	bound := e.gap.bound(e.a.r.options.StallFloor, e.a.req.TokenStall)
	return min(bound<<min(e.a.stalls, maxStallDoublings), max(e.a.req.TokenStall, e.a.r.options.StallFloor))
}

const maxStallDoublings = 6

// finish learns from the epoch, tells its stages and prepares the next one.
func (e *epoch) finish() {
	e.result.Hops = e.hops.means()
	if e.result.Tokens > 1 {
		e.result.MeanGap = time.Duration(e.gap.mean)
	}
	if e.result.End == EndStalled {
		e.a.stalls++
		// The true gap is at least the wait: a chain that was only slow is
		// given longer next time.
		e.gap.sample(time.Since(e.a.lastToken))
	}
	if e.result.Silent {
		e.a.silences++
	}
	if e.gap.known {
		e.a.r.gaps.put(e.chain.Replica, e.gap)
	}
	if e.result.End == EndDone {
		return
	}
	if e.result.End != EndCallerGone && e.result.End != EndDeadline {
		e.a.noteFailure(e.result)
	}
	if e.result.End == EndRefused {
		// The engine may refuse because it lost what it last reported.
		e.a.r.holdings.forget(e.chain)
	}
	if e.result.NotRun {
		return
	}
	e.a.r.holdings.forget(e.chain)
	e.a.r.cancels.cancel(e.chain, e.a.req.Stream, e.number)
}
