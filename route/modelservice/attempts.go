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

// mayRetry asks the budget and waits out the back-off. A model call may always
// run twice: the stream's positions keep its tokens from reaching the caller
// twice.
func (c *chooser) mayRetry(ctx context.Context) error {
	d := c.answer.Local.Retry.Allow(retry.Attempt{
		AttemptsMade: c.attemptsThatCount(),
		Failure:      c.whyNext(),
		Idempotent:   true,
		NotRun:       c.last.NotRun,
		Deadline:     c.answer.Deadline,
		Alternatives: 1, // Choose finds out whether there is one
	})
	if !d.Retry {
		return fmt.Errorf("not tried again: %s", d.Reason)
	}
	if !c.patient() {
		return pause(ctx, d.Delay)
	}
	return pause(ctx, c.partwayPause())
}

const (
	// maxPartwayTries bounds the chains tried in a row, with no token from any,
	// for an answer that the caller has a part of.
	maxPartwayTries = 6
	// partwayPauseFloor and partwayPauseCeiling bound the pause before such a
	// try; it doubles. All together they outlast a pause of every chain of some
	// seconds.
	partwayPauseFloor   = 100 * time.Millisecond
	partwayPauseCeiling = time.Second
)

// partway says whether the caller has a part of the answer already.
func (c *chooser) partway() bool {
	return slices.ContainsFunc(c.runs, func(r run) bool { return r.started })
}

// silent says whether a chain that had the request was not heard of any more before
// its first token. It may have run a part, so the caller can't be told otherwise.
func (c *chooser) silent() bool {
	return slices.ContainsFunc(c.runs, func(r run) bool { return r.silent })
}

// patient says whether the answer is tried for longer than a call that provably
// did not run. A silence is judged after a quarter of a second; when all chains
// stand still for a moment, as behind a switch that starts again, three tries are
// over within a second and the caller would be told "unknown".
func (c *chooser) patient() bool { return c.partway() || c.silent() }

// barren is how many of the last chains brought no token.
func (c *chooser) barren() int {
	n := 0
	for i := len(c.runs) - 1; i >= 0 && !c.runs[i].started; i-- {
		n++
	}
	return n
}

// attemptsThatCount is the number that the budget's bound on attempts is held
// against. Before the first token it is all, unless a chain fell silent. Partway, an answer given up is lost
// to the caller with what it has: a failover that brought tokens is a success,
// and when all chains stand still for a moment, three tries of 0.3 s are over
// before the first of them is back. So only tries in a row without a token
// count there, up to a bound of their own; the budget's share of retries stays
// in force, which is what keeps a service that is down from a storm.
func (c *chooser) attemptsThatCount() int {
	if !c.patient() {
		return len(c.runs)
	}
	if c.barren() >= maxPartwayTries {
		return math.MaxInt
	}
	return 1
}

// partwayPause is nothing for the first failover: the caller sees the gap. After
// that every other chain may be standing still too.
func (c *chooser) partwayPause() time.Duration {
	barren := c.barren()
	if barren == 0 {
		return 0
	}
	return min(partwayPauseFloor<<(barren-1), partwayPauseCeiling)
}

// whyNext is the failure that calls for another chain. While one is still
// underway the stream asks for a chain to leave it for, because it has turned
// slow.
func (c *chooser) whyNext() health.Failure {
	if c.ended < len(c.runs) {
		return health.Timeout
	}
	return failureOf(c.last)
}

// failureOf maps the end of an epoch to what it says of the replica's health.
func failureOf(r stream.AttemptResult) health.Failure {
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

func pause(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
