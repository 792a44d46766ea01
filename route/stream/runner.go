package stream

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/route/engine"
)

// Deliver hands a token to the caller. An error means that the caller has
// gone. The trace's spans are good until it returns.
type Deliver func(token string, trace engineapi.TokenTrace) error

// Runner runs streams over the replicas of one model. It is safe for
// concurrent use.
type Runner struct {
	client   *engine.Client
	chooser  Chooser
	options  Options
	holdings *holdingCheck
	cancels  *canceller
	gaps     *gapTable
	resumes  *resumeCosts
	stray    atomic.Int64
}

// New returns a runner.
func New(client *engine.Client, chooser Chooser, options Options) *Runner {
	options = options.withDefaults()
	return &Runner{
		client:   client,
		chooser:  chooser,
		options:  options,
		holdings: newHoldingCheck(client, options),
		cancels:  newCanceller(client),
		gaps:     newGapTable(),
		resumes:  &resumeCosts{},
	}
}

// Close waits until the stages of streams given up have been told, or ctx ends.
func (r *Runner) Close(ctx context.Context) error { return r.cancels.wait(ctx) }

// Stray returns how many late or foreign tokens were dropped so far.
func (r *Runner) Stray() int64 { return r.stray.Load() }

// Run makes one answer and delivers its tokens. The summary's outcome holds
// also if an error is returned: the error says why the answer is not whole.
func (r *Runner) Run(ctx context.Context, req Request, deliver Deliver) (Summary, error) {
	req.FirstTokenTimeout = orDefault(req.FirstTokenTimeout, DefaultFirstTokenTimeout)
	req.TokenStall = orDefault(req.TokenStall, DefaultTokenStall)
	runCtx, cancel := ctx, context.CancelFunc(func() {})
	if !req.Deadline.IsZero() {
		runCtx, cancel = context.WithDeadline(ctx, req.Deadline)
	}
	defer cancel()
	a := &answer{
		r: r, req: req, deliver: deliver, caller: ctx,
		check:   NewCheck(req.Stream, req.Layers, r.options.MaxTokens),
		started: time.Now(),
	}
	err := a.run(runCtx)
	a.summary.Tokens = len(a.delivered)
	a.summary.Outcome = a.outcome(err)
	if err != nil {
		err = Error.Wrap(err)
	}
	return a.summary, err
}

// answer is one answer underway.
type answer struct {
	r       *Runner
	req     Request
	deliver Deliver
	caller  context.Context
	check   Check
	started time.Time

	delivered []string
	exclude   []string
	worked    int    // chains that may have run some of it
	better    *Chain // chosen already, to leave a slow chain for
	leftSlow  bool
	stalls    int
	lastToken time.Time // last token delivered, or start of the epoch
	failedAt  time.Time // when the last epoch was given up, zero if none
	handle    string    // exported KV cache for the next epoch
	exporting time.Duration
	summary   Summary
}

// run tries chains, one epoch each, until the answer is whole.
func (a *answer) run(ctx context.Context) error {
	for epoch := uint32(1); a.mayTry(epoch); epoch++ {
		chain, err := a.choose(ctx)
		if err != nil {
			return a.whyNoChain(ctx, err)
		}
		result := a.epoch(ctx, epoch, chain)
		a.chooser().Ended(chain, result)
		switch result.End {
		case EndDone:
			return nil
		case EndCallerGone:
			return ErrCallerGone
		case EndDeadline:
			return ErrDeadline
		}
		a.exclude = append(a.exclude, chain.Replica)
		a.prepareResume(ctx, chain, result)
	}
	return errors.Join(ErrAttempts, a.summary.Last.Err)
}

func (a *answer) chooser() Chooser {
	if a.req.Chooser != nil {
		return a.req.Chooser
	}
	return a.r.chooser
}

// mayTry reports whether another chain may be tried.
func (a *answer) mayTry(epoch uint32) bool {
	return a.worked < a.r.options.MaxEpochs && int(epoch) <= a.r.options.MaxTries
}

// choose returns the chain that a slow one was left for, or asks for one.
func (a *answer) choose(ctx context.Context) (Chain, error) {
	if a.better == nil {
		return a.chooser().Choose(ctx, a.exclude)
	}
	chain := *a.better
	a.better = nil
	return chain, nil
}

// whyNoChain names what kept the chooser from choosing.
func (a *answer) whyNoChain(ctx context.Context, err error) error {
	if a.caller.Err() != nil {
		return ErrCallerGone
	}
	if ctx.Err() != nil {
		return ErrDeadline
	}
	return errors.Join(ErrNoChain, err, a.summary.Last.Err)
}

// outcome follows from what was proved of each epoch, never from how the
// error reads: "not run" needs every chain to have provably done nothing.
func (a *answer) outcome(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeDone
	case a.worked > 0:
		return OutcomeUnknown
	default:
		return OutcomeNotRun
	}
}

// epoch runs the answer on one chain from where it stands.
func (a *answer) epoch(ctx context.Context, number uint32, chain Chain) AttemptResult {
	a.check.Begin(number)
	a.summary.Epochs = int(number)
	e := &epoch{a: a, chain: chain, number: number, gap: a.r.gaps.get(chain.Replica)}
	e.pace.usual = time.Duration(e.gap.mean)
	a.lastToken = time.Now()
	e.run(ctx)
	e.result.Epoch = number
	if !e.result.NotRun {
		a.worked++
	}
	e.finish()
	a.summary.Last = e.result
	return e.result
}

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
	hops   hopTimes
	stray  int
	result AttemptResult
}

// maxStray bounds the late or foreign tokens that one epoch may bring. They
// never reach the caller, but a chain that sends many is not worth waiting on.
const maxStray = 64

func (e *epoch) run(ctx context.Context) {
	if err := e.verify(ctx, time.Time{}); err != nil {
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
	e.dog.armFirst(e.a.r.options.StallFloor, e.a.req.FirstTokenTimeout, func(since time.Time) bool {
		return e.verify(epochCtx, since) == nil
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

// verify is the check at use, by reports no older than since.
func (e *epoch) verify(ctx context.Context, since time.Time) error {
	return e.a.r.holdings.verify(ctx, e.a.req.Chat.Model, e.a.req.Layers, e.chain, since)
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
	}
	return chat
}

func (e *epoch) openFailed(ctx context.Context, err error) {
	e.result.Status = engine.Status(err)
	e.result.NotRun = engine.NotRun(err)
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
func (e *epoch) next(ctx context.Context, stream *engine.Stream) bool {
	waited := time.Now()
	event, err := stream.Next()
	if err != nil {
		e.lost(ctx, err)
		return true
	}
	e.noteLoad(event.Trace.Load)
	if event.Finish != "" {
		return e.closing(event)
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
	e.a.accept(event.Token)
	if e.leaveSlow(ctx) {
		return true
	}
	e.dog.arm(e.bound())
	return false
}

// closing handles the event that says that the answer is whole.
func (e *epoch) closing(event engine.Event) bool {
	reason := e.a.check.End(&event.Trace)
	if reason.Stray() {
		return e.drop(reason)
	}
	if reason != Accepted {
		return e.reject(reason)
	}
	e.a.summary.Finish = event.Finish
	e.end(EndDone, nil)
	return true
}

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
		e.end(EndNoFirstToken, err)
	case errors.Is(context.Cause(e.ctx), errStalled):
		e.end(EndStalled, err)
	case errors.Is(err, io.EOF):
		// The marker without the closing event: nothing says that the
		// tokens that came are all.
		e.end(EndCut, engine.ErrCutShort)
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

func (e *epoch) noteLoad(load *engineapi.Load) {
	if load != nil {
		e.result.Load = load
	}
}

// noteToken keeps the times of an accepted token.
func (e *epoch) noteToken(wait time.Duration, spans []engineapi.Span) {
	e.result.Tokens++
	e.hops.add(spans)
	if e.result.Tokens > 1 {
		gap := gapOf(wait, spans)
		e.gap.sample(gap)
		e.pace.add(gap)
		return
	}
	e.result.FirstToken = time.Since(e.sent)
	e.a.r.resumes.learn(e.a.handle != "", e.a.contextTokens(), e.result.FirstToken+e.a.exporting)
	if !e.gap.known {
		// The first token's own time is all there is to go by; prefill makes
		// it longer than those that follow, which errs to the safe side.
		e.gap.sample(gapOf(0, spans))
	}
}

// bound is how long to wait for the next token. Each stall before in this
// answer doubles it: if every chain is slow, moving on makes it worse.
func (e *epoch) bound() time.Duration {
	bound := e.gap.bound(e.a.r.options.StallFloor, e.a.req.TokenStall)
	return min(bound<<min(e.a.stalls, maxStallDoublings), max(e.a.req.TokenStall, e.a.r.options.StallFloor))
}

const maxStallDoublings = 6

// accept notes a token that the caller has.
func (a *answer) accept(token string) {
	now := time.Now()
	a.delivered = append(a.delivered, token)
	a.lastToken = now
	if a.summary.FirstToken == 0 {
		a.summary.FirstToken = now.Sub(a.started)
	}
	if a.failedAt.IsZero() {
		return
	}
	last := &a.summary.Recoveries[len(a.summary.Recoveries)-1]
	last.Resume = now.Sub(a.failedAt)
	last.Imported = a.handle != ""
	a.failedAt = time.Time{}
}

// contextTokens estimates how many tokens a chain must know to go on.
func (a *answer) contextTokens() int {
	bytes := 0
	for _, m := range a.req.Chat.Messages {
		bytes += len(m.Content)
	}
	return bytes/bytesPerToken + len(a.delivered)
}

const bytesPerToken = 4

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
	if e.gap.known {
		e.a.r.gaps.put(e.chain.Replica, e.gap)
	}
	if e.result.End == EndDone {
		return
	}
	if e.result.End != EndCallerGone && e.result.End != EndDeadline {
		e.a.noteFailure(e.result)
	}
	if e.result.NotRun {
		return
	}
	e.a.r.holdings.forget(e.chain)
	e.a.r.cancels.cancel(e.chain, e.a.req.Stream, e.number)
}

// noteFailure starts the clock of a recovery.
func (a *answer) noteFailure(result AttemptResult) {
	now := time.Now()
	a.summary.Recoveries = append(a.summary.Recoveries, Recovery{
		From: result.End, Reason: result.Reason, Detection: now.Sub(a.lastToken),
	})
	if a.failedAt.IsZero() {
		a.failedAt = now
	}
}

// hopTimes sums the times of the stages over an epoch.
type hopTimes struct {
	names []string
	sums  []int64
	count int64
}

func (h *hopTimes) add(spans []engineapi.Span) {
	if h.names == nil {
		for i := range spans {
			h.names = append(h.names, spans[i].Endpoint)
		}
		h.sums = make([]int64, len(spans))
	}
	if len(spans) != len(h.sums) {
		return
	}
	for i := range spans {
		h.sums[i] += spans[i].Micros
	}
	h.count++
}

func (h *hopTimes) means() []Hop {
	if h.count == 0 {
		return nil
	}
	hops := make([]Hop, len(h.names))
	for i, name := range h.names {
		hops[i] = Hop{Endpoint: name, Micros: float64(h.sums[i]) / float64(h.count)}
	}
	return slices.Clip(hops)
}
