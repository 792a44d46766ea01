package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

const (
	// streamIdleTimeout is the silence after which a stream is hedged although all replicas of its
	// path can be reached. Engines give up a silent stage sooner. Where nothing can be hedged, at
	// another node or at a plain service, an attempt that can be resumed ends.
	streamIdleTimeout = 4 * time.Second
	// readBytes is the size of the buffer into which a stream is read.
	readBytes = 2 << 10
)

// runStream makes an attempt whose events are passed on as they arrive.
func (a *attempt) runStream() attemptResult {
	ctx, cancel := a.streamContext()
	defer cancel()
	monitor := a.monitor(ctx, cancel)
	defer monitor.stop()
	return monitor.finalResult(a.runMonitored(ctx, monitor))
}

// streamContext returns the context of the attempt and a function that cancels the attempt.
func (a *attempt) streamContext() (context.Context, context.CancelFunc) {
	if a.hedge != nil {
		return a.hedge.ctx, a.hedge.cancel
	}
	return context.WithCancel(a.req.ctx)
}

func (a *attempt) runMonitored(ctx context.Context, monitor *pathMonitor) attemptResult {
	if a.hedge != nil {
		defer a.hedge.exchange.Close()
		return a.forwardStream(a.hedge.exchange, &a.hedge.split, monitor)
	}
	a.resumeAfter = a.req.resumePosition()
	exchange, failed := a.send(ctx, a.idleTimeout())
	if failed != nil {
		return *failed
	}
	defer exchange.Close()
	if !isEventStream(exchange) {
		if a.req.answerStarted {
			return a.unexpected(exchange)
		}
		return a.readInsteadOfStream(exchange, monitor)
	}
	if bad := a.invalidReason(); bad != "" {
		return attemptResult{kind: resultUnknown, detail: bad, feedback: targets.Result{Failure: health.Internal}}
	}
	return a.forwardStream(exchange, &eventSplitter{}, monitor)
}

// resumePosition is the id of the event after which an attempt resumes the stream; "" if the stream
// has not begun.
func (req *requestState) resumePosition() string {
	switch {
	case req.answerStarted:
		return req.lastEvent.String()
	case req.Forwarded != nil:
		return req.Forwarded.ResumeAfter
	}
	return ""
}

// idleTimeout is how long the attempt may be silent. The silence of a replica does not end an
// attempt: the replica may be sound, and the monitor finds another one that goes on.
func (a *attempt) idleTimeout() time.Duration {
	remaining := a.req.Deadline.Sub(a.req.server.Now())
	if a.target.Active == nil && a.req.Route.Idempotent() {
		return min(streamIdleTimeout, remaining)
	}
	return remaining
}

// readInsteadOfStream reads an answer that is no stream. A complete success counts as the first
// event. Otherwise replicas that answer all requests this way would seem to serve none, and load
// control would refuse nearly all requests.
func (a *attempt) readInsteadOfStream(e *upstream.Exchange, monitor *pathMonitor) attemptResult {
	failed := a.head.NotRun || a.head.Misdirected || e.StatusCode >= http.StatusInternalServerError
	if !failed && !monitor.beginForward() {
		return takenOver()
	}
	res := a.readBuffered(e)
	if res.kind == resultComplete && e.StatusCode < http.StatusMultipleChoices {
		a.req.awaiting.FirstEvent()
	}
	return res
}

func isEventStream(e *upstream.Exchange) bool {
	kind, _, err := mime.ParseMediaType(e.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && e.StatusCode == http.StatusOK
}

// unexpected classifies the answer to a request to resume a stream, if that answer is no stream.
func (a *attempt) unexpected(e *upstream.Exchange) attemptResult {
	if a.head.NotRun || a.head.Misdirected {
		a.discardBody(e)
		return a.refusedResult(e.StatusCode)
	}
	return attemptResult{
		kind: resultUnknown, detail: fmt.Sprintf("status %d instead of a resumed stream", e.StatusCode),
		feedback: targets.Result{Failure: health.Internal},
	}
}

// errTakenOver means that a hedge continues the stream.
var errTakenOver = errors.New("a hedge has taken over")

// takenOver is the result of an attempt that may pass on nothing more. finalResult replaces it.
func takenOver() attemptResult {
	return attemptResult{kind: resultUnknown, detail: errTakenOver.Error(), feedback: targets.Result{Failure: health.Canceled}}
}

// forwardStream passes complete events on until the stream ends. split holds what was read already.
func (a *attempt) forwardStream(e *upstream.Exchange, split *eventSplitter, monitor *pathMonitor) attemptResult {
	buffer := make([]byte, readBytes)
	var readErr error
	for {
		writeErr := a.forwardEvents(e, split, monitor)
		switch {
		case errors.Is(writeErr, errTakenOver):
			return takenOver()
		case writeErr != nil:
			return attemptResult{kind: resultCallerGone, detail: writeErr.Error(), feedback: targets.Result{Failure: health.Canceled}}
		case errors.Is(readErr, io.EOF):
			return a.finish(e, split, monitor)
		case readErr != nil:
			return a.resultOfError(readErr)
		case split.incompleteBytes() > maxEventBytes:
			return attemptResult{kind: resultUnknown, detail: "an event exceeds the size limit", feedback: targets.Result{Failure: health.Internal}}
		}
		var n int
		n, readErr = e.Read(buffer, a.idleTimeout())
		split.add(buffer[:n])
	}
}

// forwardEvents writes the complete events received so far to the caller. It fails if the
// caller has left, or with errTakenOver.
func (a *attempt) forwardEvents(e *upstream.Exchange, split *eventSplitter, monitor *pathMonitor) error {
	req := a.req
	forwarded := false
	for {
		ev, ok := split.next()
		if !ok {
			break
		}
		req.guarded.Event()
		if !req.lastEvent.precedes(ev.id) {
			continue
		}
		if !forwarded && !monitor.beginForward() {
			return errTakenOver
		}
		if !isNumericID(ev.id) {
			a.recordStrayBytes(e, ev)
		}
		req.beginStream(e)
		if _, err := req.w.Write(ev.data); err != nil {
			return err
		}
		forwarded = true
		req.eventCount++
		if len(ev.id) > 0 {
			req.lastEvent.set(ev.id)
		}
	}
	if !forwarded {
		return nil
	}
	req.awaiting.FirstEvent()
	req.recordPause()
	monitor.recordEvents()
	monitor.endForward()
	return http.NewResponseController(req.w).Flush()
}

// recordStrayBytes records an event whose id can't be one of the stream's.
func (a *attempt) recordStrayBytes(e *upstream.Exchange, ev event) {
	const maxShownBytes = 64
	const reason = "id"
	req := a.req
	req.server.Metrics.StrayBytes(req.Service, reason)
	req.log.Warn("replica sends stray bytes", "service", req.Service, "replica", a.target.Replica, "address", a.target.Address, "reason", reason,
		"last_event", req.lastEvent.String(), "sends", req.attemptCount, "ends_with_connection", e.EndsWithConnection(),
		"bytes", string(ev.data[:min(len(ev.data), maxShownBytes)]))
}

// recordPause records the time to the first event or, for a later event, the pause before it if
// that is the longest so far.
func (req *requestState) recordPause() {
	now := req.server.Now()
	if req.lastEventAt.IsZero() {
		req.timeToFirstEvent = now.Sub(req.Arrived)
	} else if pause := now.Sub(req.lastEventAt); pause > req.longestPause {
		req.longestPause, req.eventsAtLongestPause = pause, req.eventCount
	}
	req.lastEventAt = now
}

// beginStream writes the head of the answer before the first event. Until the head is written,
// any answer of another replica can still be sent instead.
func (req *requestState) beginStream(e *upstream.Exchange) {
	if req.answerStarted {
		return
	}
	req.answerStarted = true
	if err := http.NewResponseController(req.w).SetWriteDeadline(req.Deadline); err != nil {
		req.log.Debug("setting the write deadline failed", "error", err)
	}
	req.writeHead(e.StatusCode, e.Header, -1)
	req.server.Metrics.FirstToken(req.Service, req.server.Now().Sub(req.Arrived))
}

// finish checks that a stream that has ended is complete.
func (a *attempt) finish(e *upstream.Exchange, split *eventSplitter, monitor *pathMonitor) attemptResult {
	req := a.req
	switch {
	case split.incompleteBytes() > 0:
		return brokenOff("the stream ended in the middle of an event")
	case !req.answerStarted && a.resumeAfter == "" && req.Call.LastEventID == "":
		return brokenOff(detailNoEvents)
	case a.cutUnframed(e):
		return brokenOff(detailCutUnframed)
	case !monitor.beginForward():
		return takenOver()
	}
	req.beginStream(e)
	e.KeepAlive(a.head.IdleTimeout)
	req.recordFinish(map[string]float64{
		"events": float64(req.eventCount), "parts": float64(len(a.target.Path)), "first_ms": millis(req.timeToFirstEvent),
		"longest_pause_ms": millis(req.longestPause), "pause_after_event": float64(req.eventsAtLongestPause),
	})
	return attemptResult{kind: resultComplete, feedback: targets.Result{Complete: true}}
}
