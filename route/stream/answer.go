package stream

import (
	"context"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// answer is one answer underway.
type answer struct {
	runner    *Runner
	req       Request
	deliver   Deliver
	callerCtx context.Context
	check     TokenCheck
	startedAt time.Time

	delivered          []string
	exclude            []string
	executions         int    // chains that may have run some of it
	nextChain          *Chain // chosen already, to leave a slow chain for
	switchedFromSlow   bool
	stalls             int
	unresponsiveChains int                // chains given up before their first token
	lastTokenAt        time.Time          // last token delivered, or start of the epoch
	failedAt           time.Time          // when the last epoch was given up, zero if none
	kvHandle           string             // exported KV cache for the next epoch
	artifact           engineapi.Artifact // what made the tokens delivered, if there are any
	exportTime         time.Duration
	summary            Summary
}

// run tries chains, one epoch each, until the answer is whole.
func (a *answer) run(ctx context.Context) error {
	for epoch := uint32(1); a.mayAttempt(epoch); epoch++ {
		chain, err := a.choose(ctx)
		if err != nil {
			return a.chooseError(ctx, err)
		}
		result := a.runEpoch(ctx, epoch, chain)
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
	return errors.Join(ErrAttemptsExhausted, a.summary.LastResult.Err)
}

// mayAttempt reports whether another chain may be tried.
func (a *answer) mayAttempt(epoch uint32) bool {
	return a.executions < a.runner.options.MaxExecutions && int(epoch) <= a.runner.options.MaxAttempts
}

// chooser is the answer's own, or the Runner's.
func (a *answer) chooser() Chooser {
	if a.req.Chooser != nil {
		return a.req.Chooser
	}
	return a.runner.chooser
}

// choose returns the chain that a slow one was left for, or asks for one.
func (a *answer) choose(ctx context.Context) (Chain, error) {
	if a.nextChain == nil {
		return a.chooser().Choose(ctx, a.exclude)
	}
	chain := *a.nextChain
	a.nextChain = nil
	return chain, nil
}

// chooseError names what kept the chooser from choosing.
func (a *answer) chooseError(ctx context.Context, err error) error {
	if a.callerCtx.Err() != nil {
		return ErrCallerGone
	}
	if ctx.Err() != nil {
		return ErrDeadline
	}
	return errors.Join(ErrNoChain, err, a.summary.LastResult.Err)
}

// outcome follows from what was proved of each epoch, never from how the
// error reads: "not run" needs every chain to have provably done nothing.
func (a *answer) outcome(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeDone
	case a.executions > 0:
		return OutcomeUnknown
	default:
		return OutcomeNotRun
	}
}

// runEpoch runs the answer on one chain from where it stands.
func (a *answer) runEpoch(ctx context.Context, number uint32, chain Chain) AttemptResult {
	a.check.StartEpoch(number)
	a.check.RequireArtifact(chain.Artifact)
	a.summary.Epochs = int(number)
	e := &epoch{answer: a, chain: chain, number: number, gap: a.runner.gaps.get(chain.Replica)}
	e.slowness.baseline = time.Duration(e.gap.mean)
	a.lastTokenAt = time.Now()
	e.run(ctx)
	e.result.Epoch = number
	if !e.result.NotRun {
		a.executions++
	}
	e.finish()
	a.summary.LastResult = e.result
	return e.result
}

// recordDelivered notes a token that the caller has.
func (a *answer) recordDelivered(token string, artifact engineapi.Artifact) {
	now := time.Now()
	a.artifact = artifact
	a.delivered = append(a.delivered, token)
	a.lastTokenAt = now
	if a.summary.FirstToken == 0 {
		a.summary.FirstToken = now.Sub(a.startedAt)
	}
	if a.failedAt.IsZero() {
		return
	}
	last := &a.summary.Recoveries[len(a.summary.Recoveries)-1]
	last.ResumeTime = now.Sub(a.failedAt)
	last.Imported = a.kvHandle != ""
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

// recordFailure starts the clock of a recovery.
func (a *answer) recordFailure(result AttemptResult) {
	now := time.Now()
	a.summary.Recoveries = append(a.summary.Recoveries, Recovery{
		Cause: result.End, Reason: result.Reason, DetectionTime: now.Sub(a.lastTokenAt),
	})
	if a.failedAt.IsZero() {
		a.failedAt = now
	}
}
