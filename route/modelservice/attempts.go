package modelservice

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/stream"
	"github.com/cicadatack/cicadatack/route/upstream"
	"github.com/cicadatack/cicadatack/state/wait"
)

// waitForRetry asks the retry budget and waits for the backoff. A model call may always
// run twice: each token has a position in the stream, so no token reaches the caller
// twice.
func (c *chainChooser) waitForRetry(ctx context.Context) error {
	if c.leftSilentChain() {
		return c.waitAfterSilence(ctx)
	}
	d := c.call.Local.RetryBudget.Allow(retry.Attempt{
		AttemptsMade: c.countedAttempts(),
		Failure:      c.retryCause(),
		Idempotent:   true,
		NotRun:       c.lastResult.NotRun,
		Deadline:     c.call.Deadline,
		Alternatives: 1, // assumed; Choose fails if no other replica is available
	})
	if !d.Retry {
		return fmt.Errorf("not tried again: %s", d.Reason)
	}
	if !c.extendsRetries() {
		return sleep(ctx, d.Delay)
	}
	return sleep(ctx, c.extendedBackoff())
}

const (
	// maxConsecutiveFailures is the number of consecutive chains without a token after
	// which an extended retry ends (see extendsRetries). Silent chains are not counted.
	maxConsecutiveFailures = 6
	// minExtendedBackoff and maxExtendedBackoff bound the backoff of extended retries,
	// which doubles with each retry. If all chains pause for a few seconds, the retries
	// last longer than the pause.
	minExtendedBackoff = 100 * time.Millisecond
	maxExtendedBackoff = time.Second
)

// hasPartialAnswer says whether the caller already has part of the answer.
func (c *chainChooser) hasPartialAnswer() bool {
	return slices.ContainsFunc(c.epochs, func(r epochState) bool { return r.gotFirstToken })
}

// hadUnresponsiveChain says whether a chain received the request and became
// unresponsive before its first token. The chain may have run part of the request, so
// the caller can't be told that the request was not run.
func (c *chainChooser) hadUnresponsiveChain() bool {
	return slices.ContainsFunc(c.epochs, func(r epochState) bool { return r.unresponsive })
}

// extendsRetries says whether the call is retried for longer than a call that provably
// was not run. A chain counts as unresponsive after a quarter of a second. If all
// chains pause for a moment, for example behind a switch that restarts, three attempts
// are over within a second, and the caller would get the outcome "unknown".
func (c *chainChooser) extendsRetries() bool { return c.hasPartialAnswer() || c.hadUnresponsiveChain() }

// trailingFailures returns the number of consecutive chains without a token, counted
// back from the last chain.
func (c *chainChooser) trailingFailures() int {
	n := 0
	for i := len(c.epochs) - 1; i >= 0 && !c.epochs[i].gotFirstToken; i-- {
		n++
	}
	return n
}

// countedAttempts returns the number of attempts that the retry budget compares with
// its maximum. Unless retries are extended, all attempts count, except those that
// ended because the chain was silent.
//
// With extended retries, a chain that brought tokens is a success, and only the
// consecutive chains without a token are bounded, by maxConsecutiveFailures. If all
// attempts counted, a pause of all chains would use up three attempts of 0.3 s before
// the first chain is back, and the caller would lose the part of the answer that it
// has. The budget's ratio of retries to requests still applies and prevents a retry
// storm when a service is down.
func (c *chainChooser) countedAttempts() int {
	if !c.extendsRetries() {
		return failedAttempts(c.epochs)
	}
	trailing := c.epochs[len(c.epochs)-c.trailingFailures():]
	if failedAttempts(trailing) >= maxConsecutiveFailures {
		return math.MaxInt
	}
	return 1
}

// extendedBackoff is zero for the first failover, because the caller notices the gap.
// Later failovers wait, because all other chains may be paused too.
func (c *chainChooser) extendedBackoff() time.Duration {
	failures := c.trailingFailures()
	if failures == 0 {
		return 0
	}
	return min(minExtendedBackoff<<(failures-1), maxExtendedBackoff)
}

// retryCause returns the failure that makes another chain necessary. If the current
// epoch has not ended, the stream asks for another chain because the current chain has
// become slow.
func (c *chainChooser) retryCause() health.Failure {
	if c.endedEpochs < len(c.epochs) {
		return health.Timeout
	}
	return healthFailure(c.lastResult)
}

// healthFailure maps the end of an epoch to a failure for the replica's outlier
// detection.
func healthFailure(r stream.AttemptResult) health.Failure {
	switch r.End {
	case stream.EndDone:
		return health.None
	case stream.EndCallerGone, stream.EndDeadline:
		return health.Canceled
	case stream.EndRefused:
		if r.Pushback.Duration > 0 {
			return health.PushedBack
		}
		return upstream.RefusalFailure(r.Status)
	case stream.EndUnreachable:
		return health.Unreachable
	case stream.EndNoFirstToken, stream.EndStalled, stream.EndSlow:
		return health.Timeout
	case stream.EndMismatch:
		return health.Internal
	default:
		return health.BrokenResponse
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
