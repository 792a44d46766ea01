package site

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/decide/draining"
	"github.com/cicadatack/cicadatack/state/wait"
)

const (
	// leaveMargin of the time until SIGKILL is left for the end of the process.
	leaveMargin = 400 * time.Millisecond
	// leaveTTLs times the time that answers hold is how long a leaving node takes new
	// requests in any case: some callers keep answers three times as long as told.
	leaveTTLs = 3
	leaveLook = 20 * time.Millisecond
)

// leavingFor is how long ago SIGTERM came, zero if it did not.
func (n *Node) leavingFor() time.Duration {
	at := n.leaving.Load()
	if at == 0 {
		return 0
	}
	return max(1, time.Since(n.started)-time.Duration(at))
}

// drain describes the time that this node has left once SIGTERM has come. Settings that change the grace period after
// that never make it longer: the platform may go by the period that was in force.
func (n *Node) drain() draining.Drain {
	grace := n.bounds().Grace
	if atStop := n.graceAtStop.Load(); atStop > 0 {
		grace = min(grace, time.Duration(atStop))
	}
	end := grace - leaveMargin
	return draining.Drain{Elapsed: n.leavingFor(), AcceptFor: min(leaveTTLs*n.timing.EntryTTL, end), End: end}
}

// leave takes the node out of the answers and serves on until callers have gone and
// what is underway has ended. What has not ended in time is ended by the node, so that its
// callers are answered.
func (n *Node) leave(ctx context.Context) {
	n.graceAtStop.Store(int64(n.bounds().Grace))
	n.leaving.Store(int64(time.Since(n.started)))
	n.log.Info("leaving", "underway", n.underway.Load())
	go n.unlist(ctx)
	if n.ended(ctx, n.drain().LastAnswer()) {
		return
	}
	if underway := n.underway.Load(); underway > 0 {
		n.log.Warn("requests ended by the stop", "underway", underway, "leaving_ms", n.leavingFor().Milliseconds())
	}
	n.endRequests()
	n.ended(ctx, n.drain().Elapsed+draining.AnswerMargin)
}

// ended waits until callers have gone and no request is underway. It says whether that was so
// before the given time after SIGTERM.
func (n *Node) ended(ctx context.Context, until time.Duration) bool {
	for drain := n.drain(); drain.Elapsed < until; drain = n.drain() {
		if drain.Elapsed >= drain.AcceptFor && n.underway.Load() == 0 {
			return true
		}
		if !wait.For(ctx, leaveLook) {
			return true
		}
	}
	return false
}
