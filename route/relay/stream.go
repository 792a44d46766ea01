package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/eventstream"
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
	res := a.runMonitored(ctx, monitor)
	if res.answer == nil {
		a.memory.Release()
	}
	return monitor.finalResult(res)
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
		return a.forwardStream(a.hedge.exchange, &a.hedge.reader, monitor)
	}
	a.resumeAfter = a.req.resumePosition()
	exchange, failed := a.send(ctx, a.idleTimeout())
	if failed != nil {
		return *failed
	}
	defer exchange.Close()
	if !isEventStream(exchange) {
		return a.answerWithoutStream(exchange, monitor)
	}
	if bad := a.invalidReason(); bad != "" {
		return invalidAnswer(bad)
	}
	reader := a.newReader()
	return a.forwardStream(exchange, &reader, monitor)
}

// resumePosition is the id of the event after which an attempt resumes the stream; "" if the stream
// has not begun.
func (req *requestState) resumePosition() string {
	switch {
	case req.answerStarted:
		return req.lastEvent.ID()
	case req.Forwarded != nil:
		return req.Forwarded.ResumeAfter
	}
	return ""
}

// position is the position in the stream after which the answer to the attempt goes on: the caller has
// the events up to it.
func (a *attempt) position() eventstream.Position {
	req := a.req
	switch {
	case req.answerStarted:
		return req.lastEvent
	case a.resumeAfter == "" && req.Route.Resumable:
		return eventstream.ParsePosition(req.Call.LastEventID)
	}
	return eventstream.ParsePosition(a.resumeAfter)
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

// newReader returns a reader of the answer to the attempt.
func (a *attempt) newReader() eventstream.Reader {
	return eventstream.NewReader(a.position(), eventstream.Format{NumericFields: a.req.server.HeaderCodec.NumericEventFields()})
}

// takenOver is the result of an attempt that may pass on nothing more. finalResult replaces it.
func takenOver() attemptResult {
	return attemptResult{kind: resultUnknown, detail: "a hedge has taken over", feedback: targets.Result{Failure: health.Canceled}}
}

// forwardStream passes complete events on until the stream ends. reader holds what was read already.
func (a *attempt) forwardStream(e *upstream.Exchange, reader *eventstream.Reader, monitor *pathMonitor) attemptResult {
	buffer := make([]byte, readBytes)
	for {
		if res := a.forwardEvents(e, reader, monitor); res != nil {
			return *res
		}
		n, err := e.Read(buffer, a.idleTimeout())
		reader.Add(buffer[:n])
		if full := a.chargePending(reader); full != nil {
			return *full
		}
		if err == nil {
			continue
		}
		if res := a.forwardEvents(e, reader, monitor); res != nil {
			return *res
		}
		if errors.Is(err, io.EOF) {
			return a.finish(e, reader, monitor)
		}
		return a.resultOfError(err)
	}
}

// forwardEvents writes the complete events received so far to the caller. It returns a result if the
// attempt has ended: the caller has left, a hedge has taken over, or the replica has sent stray bytes.
func (a *attempt) forwardEvents(e *upstream.Exchange, reader *eventstream.Reader, monitor *pathMonitor) *attemptResult {
	written := 0
	var res *attemptResult
	for res == nil {
		event, ok, err := reader.Next()
		if err != nil {
			res = a.strayBytes(e, err)
			break
		}
		if !ok {
			break
		}
		res = a.forwardEvent(e, event, monitor, &written)
	}
	a.recordIgnored(reader.TakeIgnored())
	if gone := a.flush(monitor, written); gone != nil {
		return gone
	}
	return res
}

// forwardEvent writes an event to the caller, unless the caller already has it. written is the number of
// events that were written and not flushed yet. It returns a result if the attempt has ended.
func (a *attempt) forwardEvent(e *upstream.Exchange, event eventstream.Event, monitor *pathMonitor, written *int) *attemptResult {
	req := a.req
	req.guarded.Event()
	if event.Repeated {
		return nil
	}
	if *written == 0 && !monitor.beginForward() {
		res := takenOver()
		return &res
	}
	a.beginStream(e)
	if _, err := req.w.Write(event.Data); err != nil {
		return callerGone(err)
	}
	*written++
	req.eventCount++
	req.lastEvent.Advance(event.ID)
	return nil
}

// flush sends the events that were written to the caller, and records them. It returns a result if the
// caller has left.
func (a *attempt) flush(monitor *pathMonitor, written int) *attemptResult {
	if written == 0 {
		return nil
	}
	a.req.awaiting.FirstEvent()
	a.req.recordPause()
	monitor.recordEvents()
	monitor.endForward()
	if err := http.NewResponseController(a.req.w).Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

// callerGone is the result of an attempt whose events can't be written to the caller.
func callerGone(err error) *attemptResult {
	return &attemptResult{kind: resultCallerGone, detail: err.Error(), feedback: targets.Result{Failure: health.Canceled}}
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
func (a *attempt) beginStream(e *upstream.Exchange) {
	req := a.req
	if req.answerStarted {
		return
	}
	req.lastEvent = a.position()
	req.answerStarted = true
	if err := http.NewResponseController(req.w).SetWriteDeadline(req.Deadline); err != nil {
		req.log.Debug("setting the write deadline failed", "error", err)
	}
	req.writeHead(e.StatusCode, e.Header, -1)
	req.server.Metrics.FirstToken(req.Service, req.server.Now().Sub(req.Arrived))
}

// finish passes on what the end of the stream makes complete, and checks that the stream is.
func (a *attempt) finish(e *upstream.Exchange, reader *eventstream.Reader, monitor *pathMonitor) attemptResult {
	req := a.req
	if a.cutUnframed(e) {
		return brokenOff(detailCutUnframed)
	}
	reader.Complete()
	if res := a.forwardEvents(e, reader, monitor); res != nil {
		return *res
	}
	switch {
	case reader.Incomplete():
		return brokenOff("the stream ended in the middle of an event")
	case !reader.WentOn() && !a.nothingLeft():
		return brokenOff(detailNoEvents)
	case !monitor.beginForward():
		return takenOver()
	}
	a.beginStream(e)
	e.KeepAlive(a.head.IdleTimeout)
	req.recordFinish(map[string]float64{
		"events": float64(req.eventCount), "parts": float64(len(a.target.Path)), "first_ms": millis(req.timeToFirstEvent),
		"longest_pause_ms": millis(req.longestPause), "pause_after_event": float64(req.eventsAtLongestPause),
	})
	return attemptResult{kind: resultComplete, feedback: targets.Result{Complete: true}}
}

// nothingLeft reports whether an answer without a further event says that the caller has all events. Only
// the answer to a stream that is resumed can say so; its reader has found that it is empty.
func (a *attempt) nothingLeft() bool { return a.req.answerStarted || a.position().ID() != "" }
