package stream

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// answer is the state of one answer in progress.
type answer struct {
	runner    *Runner
	req       Request
	deliver   Deliver
	callerCtx context.Context
	check     TokenCheck
	startedAt time.Time

	deliveredTokens    []string
	excludedReplicas   []string
	executions         int    // number of chains that may have run part of the answer
	attempts           int    // number of chains tried, without those that ran nothing and were silent
	nextChain          *Chain // already chosen by leaveSlowChain, or nil
	leftSlowChain      bool
	stalls             int
	unresponsiveChains int                // number of chains that became unresponsive before their first token
	lastTokenAt        time.Time          // time of the epoch's last delivered token, or start of the epoch
	failedAt           time.Time          // time of the first failure since the last delivered token, or zero
	kvHandle           string             // handle of the exported KV cache for the next epoch, or empty
	artifact           engineapi.Artifact // artifact of the delivered tokens, if any
	exportTime         time.Duration
	summary            Summary
}

// run tries chains, one epoch each, until the answer is complete. run returns an error if
// the caller disconnects, the deadline passes, no chain is available, or mayAttempt allows
// no further epoch.
func (a *answer) run(ctx context.Context) error {
	for epoch := uint32(1); a.mayAttempt(); epoch++ {
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
		a.exclude(chain.Replica)
		a.prepareResume(ctx, chain, result)
	}
	return errors.Join(ErrAttemptsExhausted, a.summary.LastResult.Err)
}

// mayAttempt reports whether MaxExecutions and MaxAttempts allow one more epoch.
func (a *answer) mayAttempt() bool {
	return a.executions < a.runner.options.MaxExecutions && a.attempts < a.runner.options.MaxAttempts
}

// exclude makes replica the last of the excluded replicas.
func (a *answer) exclude(replica string) {
	others := slices.DeleteFunc(a.excludedReplicas, func(r string) bool { return r == replica })
	a.excludedReplicas = append(others, replica)
}

// chooser returns the request's chooser, or the Runner's if there is none.
func (a *answer) chooser() Chooser {
	if a.req.Chooser != nil {
		return a.req.Chooser
	}
	return a.runner.chooser
}

// choose returns the chain that leaveSlowChain has already chosen, or asks the
// chooser.
func (a *answer) choose(ctx context.Context) (Chain, error) {
	if a.nextChain == nil {
		return a.chooser().Choose(ctx, a.excludedReplicas)
	}
	chain := *a.nextChain
	a.nextChain = nil
	return chain, nil
}

// chooseError maps the chooser's error to ErrCallerGone, ErrDeadline or ErrNoChain.
func (a *answer) chooseError(ctx context.Context, err error) error {
	if a.callerCtx.Err() != nil {
		return ErrCallerGone
	}
	if ctx.Err() != nil {
		return ErrDeadline
	}
	return errors.Join(ErrNoChain, err, a.summary.LastResult.Err)
}

// outcome returns OutcomeNotRun for a failed request only if every chain provably ran
// nothing. This decision uses AttemptResult.NotRun of each epoch, never the error's text.
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

// runEpoch runs the rest of the answer on one chain.
func (a *answer) runEpoch(ctx context.Context, number uint32, chain Chain) AttemptResult {
	a.check.StartEpoch(number)
	a.check.RequireArtifact(chain.Artifact)
	a.summary.Epochs = int(number)
	e := &epoch{answer: a, chain: chain, number: number, gap: a.runner.gaps.get(chain.Replica)}
	e.slowness.baselineGap = time.Duration(e.gap.meanNanos)
	a.lastTokenAt = time.Now()
	e.run(ctx)
	e.result.Epoch = number
	if !e.result.NotRun {
		a.executions++
	}
	if !e.result.NotRun || !e.result.Silent {
		a.attempts++
	}
	e.finish()
	a.summary.LastResult = e.result
	return e.result
}

// recordDelivered records a token that was sent to the caller.
func (a *answer) recordDelivered(token string, artifact engineapi.Artifact) {
	now := time.Now()
	a.artifact = artifact
	a.deliveredTokens = append(a.deliveredTokens, token)
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

// countDropped counts a token that is kept from the caller.
func (a *answer) countDropped(reason Reason) {
	if a.summary.Dropped == nil {
		a.summary.Dropped = map[Reason]int{}
	}
	a.summary.Dropped[reason]++
}

// contextTokens estimates the number of tokens of the prompt and of the answer so far.
// A chain needs all of them in its KV cache to continue the answer.
func (a *answer) contextTokens() int {
	bytes := 0
	for _, m := range a.req.Chat.Messages {
		bytes += len(m.Content)
	}
	return bytes/bytesPerToken + len(a.deliveredTokens)
}

const bytesPerToken = 4

// recordFailure adds a Recovery to the summary. recordDelivered completes it when the
// next token is delivered.
func (a *answer) recordFailure(result AttemptResult) {
	now := time.Now()
	a.summary.Recoveries = append(a.summary.Recoveries, Recovery{
		Cause: result.End, Reason: result.Reason, DetectionTime: now.Sub(a.lastTokenAt),
	})
	if a.failedAt.IsZero() {
		a.failedAt = now
	}
}
