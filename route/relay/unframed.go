package relay

import (
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// cutUnframed reports whether an answer that ends with its connection may have been cut. The replica
// of a complete answer lives on. One that has ended may have closed the connection before the answer
// was complete, so that a part of an answer would look like all of it.
func (a *attempt) cutUnframed(e *upstream.Exchange) bool {
	if a.forwarded || a.req.server.Prober == nil || !e.EndsWithConnection() {
		return false
	}
	lost := a.req.server.Prober.FindUnreachable(a.req.ctx, connprobe.ReasonUnframed, []string{a.target.Address})
	return len(lost) > 0
}

// brokenOff is the result of an attempt whose answer is not complete.
func brokenOff(detail string) attemptResult {
	return attemptResult{kind: resultUnknown, detail: detail, feedback: targets.Result{Failure: health.BrokenResponse}}
}

const (
	detailCutUnframed = "the replica ended at the end of the answer, which states no length"
	detailNoEvents    = "the stream ended before its first event"
)
