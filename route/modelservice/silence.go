package modelservice

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/stream"
)

const (
	// minSilenceBackoff and maxSilenceBackoff bound the backoff before another chain is
	// tried after a silent one. The engines get few calls all the same: a call for an
	// engine's report is shared by all streams and waits for its timeout.
	minSilenceBackoff = 25 * time.Millisecond
	maxSilenceBackoff = 400 * time.Millisecond
	// maxSilence bounds the attempts of a call without a deadline while all chains are
	// silent.
	maxSilence = 30 * time.Second
)

var errSilent = errors.New("all chains have been silent for too long")

// ReserveRetry implements stream.RetryReserver. The retry budget is asked before the answer
// leaves a silent chain. If it were asked afterwards and refused, nothing would be left to
// wait for, although the chain may be sound.
func (c *chainChooser) ReserveRetry() bool {
	if c.reservedRetry.Load() {
		return true
	}
	allowed := c.call.Local.RetryBudget.Allow(retry.Attempt{
		AttemptsMade: 1, Failure: health.Timeout, Idempotent: true, Deadline: c.call.Deadline, Alternatives: 1,
	}).Retry
	if allowed {
		c.reservedRetry.Store(true)
	}
	return allowed
}

// leftSilentChain reports whether the last chain has been left because it was silent, and the
// next chain needs no decision of the retry budget: either the retry has been reserved, or
// nothing has been sent to the chain but a question for what it holds. It uses up the
// reservation.
func (c *chainChooser) leftSilentChain() bool {
	if c.endedEpochs < len(c.epochs) || !c.lastResult.Silent {
		return false
	}
	reserved := c.reservedRetry.Swap(false)
	return reserved || c.lastResult.NotRun
}

// waitAfterSilence waits until another chain is tried. Silent chains don't use up the
// attempts of a call: it ends at its deadline, or after maxSilence without one.
func (c *chainChooser) waitAfterSilence(ctx context.Context) error {
	failures := c.trailingFailures()
	if failures == 0 {
		return nil
	}
	since := c.epochs[len(c.epochs)-failures].startedAt
	if c.call.Deadline.IsZero() && c.call.Now().Sub(since) > maxSilence {
		return errSilent
	}
	backoff := maxSilenceBackoff
	if doublings := failures - 1; doublings < 4 {
		backoff = min(minSilenceBackoff<<doublings, maxSilenceBackoff)
	}
	return sleep(ctx, backoff)
}

// failedAttempts returns the number of epochs that failed otherwise than by silence.
func failedAttempts(epochs []epochState) int {
	n := 0
	for _, e := range epochs {
		if !e.silent {
			n++
		}
	}
	return n
}

// hadSilentChain reports whether a chain has been left because it was silent.
func (c *chainChooser) hadSilentChain() bool {
	return slices.ContainsFunc(c.epochs, func(e epochState) bool { return e.silent })
}

// pickSilentChain picks a chain for a call that has tried each chain once: one that was
// silent when it was tried last. The chain that was tried last is the last choice.
func (c *chainChooser) pickSilentChain(ctx context.Context) (stream.Chain, error) {
	var failed []string
	for i, e := range c.epochs {
		triedLater := slices.ContainsFunc(c.epochs[i+1:], func(later epochState) bool { return later.replica == e.replica })
		if !e.silent && !triedLater {
			failed = append(failed, e.replica)
		}
	}
	last := c.epochs[len(c.epochs)-1].replica
	chain, err := c.pickUsableChain(ctx, append(slices.Clone(failed), last))
	if errors.Is(err, errNoReplica) {
		return c.pickUsableChain(ctx, failed)
	}
	return chain, err
}
