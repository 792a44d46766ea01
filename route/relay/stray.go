package relay

import (
	"errors"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/eventstream"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// strayBytes records that the replica has sent bytes that are no part of the stream. What it sends from
// there on can't be told from them either, so the attempt has failed.
func (a *attempt) strayBytes(e *upstream.Exchange, err error) *attemptResult {
	req := a.req
	var violation *eventstream.Violation
	if errors.As(err, &violation) {
		req.server.Metrics.StrayBytes(req.Service, string(violation.Reason))
		a.logOfReplica().Warn("replica sends stray bytes", "reason", string(violation.Reason), "last_event", violation.After,
			"ends_with_connection", e.EndsWithConnection(), "bytes", violation.Bytes)
	}
	return &attemptResult{kind: resultUnknown, detail: err.Error(), feedback: targets.Result{Failure: health.Internal}}
}

// reasonNoStream is the reason of stray bytes that are a whole answer: a success, but no stream of events.
const reasonNoStream = "no_stream"

// recordNoStream records that the replica answers a stream with a success that is none.
func (a *attempt) recordNoStream(e *upstream.Exchange) {
	a.req.server.Metrics.StrayBytes(a.req.Service, reasonNoStream)
	a.logOfReplica().Warn("replica answers with no stream", "status", e.StatusCode, "type", shownType(e), "ends_with_connection", e.EndsWithConnection())
}

// recordIgnored records bytes of the replica's stream that are no part of an event. There is one line of
// the log an attempt.
func (a *attempt) recordIgnored(ignored eventstream.Ignored) {
	if ignored.Bytes == 0 {
		return
	}
	a.req.server.Metrics.IgnoredBytes(a.req.Service, ignored.Bytes)
	if a.ignoredLogged {
		return
	}
	a.ignoredLogged = true
	a.logOfReplica().Info("replica sends bytes that are no event", "last_event", ignored.After, "bytes", ignored.First)
}

// logOfReplica returns a log whose lines name the replica of the attempt.
func (a *attempt) logOfReplica() hclog.Logger {
	return a.req.log.With("service", a.req.Service, "replica", a.target.Replica, "address", a.target.Address,
		"sends", a.req.attemptCount, "forwarded", a.forwarded)
}
