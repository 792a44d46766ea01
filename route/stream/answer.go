package stream

import (
	"context"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

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
	silences  int                // chains given up before their first token
	lastToken time.Time          // last token delivered, or start of the epoch
	failedAt  time.Time          // when the last epoch was given up, zero if none
	handle    string             // exported KV cache for the next epoch
	artifact  engineapi.Artifact // what made the tokens delivered, if there are any
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

// mayTry reports whether another chain may be tried.
func (a *answer) mayTry(epoch uint32) bool {
	return a.worked < a.r.options.MaxEpochs && int(epoch) <= a.r.options.MaxTries
}

// chooser is the answer's own, or the Runner's.
func (a *answer) chooser() Chooser {
	if a.req.Chooser != nil {
		return a.req.Chooser
	}
	return a.r.chooser
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
	a.check.Require(chain.Artifact)
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

// accept notes a token that the caller has.
func (a *answer) accept(token string, artifact engineapi.Artifact) {
	now := time.Now()
	a.artifact = artifact
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
