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

// waitForRetry asks the budget and waits out the back-off. A model call may always
// run twice: the stream's positions keep its tokens from reaching the caller
// twice.
func (c *chainChooser) waitForRetry(ctx context.Context) error {
	d := c.modelCall.Local.Retry.Allow(retry.Attempt{
		AttemptsMade: c.countedAttempts(),
		Failure:      c.retryCause(),
		Idempotent:   true,
		NotRun:       c.lastResult.NotRun,
		Deadline:     c.modelCall.Deadline,
		Alternatives: 1, // Choose finds out whether there is one
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
	// maxConsecutiveFailures bounds the chains tried in a row, with no token from any,
	// for an answer that the caller has a part of.
	maxConsecutiveFailures = 6
	// minExtendedBackoff and partwayPauseCeiling bound the pause before such a
	// try; it doubles. All together they outlast a pause of every chain of some
	// seconds.
	minExtendedBackoff   = 100 * time.Millisecond
	maxExtendedBackoff = time.Second
)

// hasPartialAnswer says whether the caller has a part of the answer already.
func (c *chainChooser) hasPartialAnswer() bool {
	return slices.ContainsFunc(c.epochs, func(r epochState) bool { return r.gotFirstToken })
}

// hadUnresponsiveChain says whether a chain that had the request was not heard of any more before
// its first token. It may have run a part, so the caller can't be told otherwise.
func (c *chainChooser) hadUnresponsiveChain() bool {
	return slices.ContainsFunc(c.epochs, func(r epochState) bool { return r.unresponsive })
}

// extendsRetries says whether the answer is tried for longer than a call that provably
// did not run. A silence is judged after a quarter of a second; when all chains
// stand still for a moment, as behind a switch that starts again, three tries are
// over within a second and the caller would be told "unknown".
func (c *chainChooser) extendsRetries() bool { return c.hasPartialAnswer() || c.hadUnresponsiveChain() }

// trailingFailures is how many of the last chains brought no token.
func (c *chainChooser) trailingFailures() int {
	n := 0
	for i := len(c.epochs) - 1; i >= 0 && !c.epochs[i].gotFirstToken; i-- {
		n++
	}
	return n
}

// countedAttempts is the number that the budget's bound on attempts is held
// against. Before the first token it is all, unless a chain fell silent. Partway, an answer given up is lost
// to the caller with what it has: a failover that brought tokens is a success,
// and when all chains stand still for a moment, three tries of 0.3 s are over
// before the first of them is back. So only tries in a row without a token
// count there, up to a bound of their own; the budget's share of retries stays
// in force, which is what keeps a service that is down from a storm.
func (c *chainChooser) countedAttempts() int {
	if !c.extendsRetries() {
		return len(c.epochs)
	}
	if c.trailingFailures() >= maxConsecutiveFailures {
		return math.MaxInt
	}
	return 1
}

// extendedBackoff is nothing for the first failover: the caller sees the gap. After
// that every other chain may be standing still too.
func (c *chainChooser) extendedBackoff() time.Duration {
	failures := c.trailingFailures()
	if failures == 0 {
		return 0
	}
	return min(minExtendedBackoff<<(failures-1), maxExtendedBackoff)
}

// retryCause is the failure that calls for another chain. While one is still
// underway the stream asks for a chain to leave it for, because it has turned
// slow.
func (c *chainChooser) retryCause() health.Failure {
	if c.endedEpochs < len(c.epochs) {
		return health.Timeout
	}
	return healthFailure(c.lastResult)
}

// healthFailure maps the end of an epoch to what it says of the replica's health.
func healthFailure(r stream.AttemptResult) health.Failure {
	switch r.End {
	case stream.EndDone:
		return health.None
	case stream.EndCallerGone, stream.EndDeadline:
		return health.Canceled
	case stream.EndRefused:
		return upstream.RefusalFailure(r.Status)
	case stream.EndUnreachable:
		return health.Unreachable
	case stream.EndNoFirstToken, stream.EndStalled, stream.EndSlow:
		return health.Timeout
	case stream.EndMismatch:
		return health.Internal
	default:
		return health.Broken
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
