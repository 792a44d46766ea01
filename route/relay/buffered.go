package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/answermemory"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

const (
	// DefaultMaxBufferedBytes bounds the answers that are buffered until they are complete.
	// Longer answers are passed on as they arrive, and aborted if they end early.
	DefaultMaxBufferedBytes = 1 << 20
	// headTimeoutFactor is multiplied by the route's objective. The product is the time after
	// which an unanswered idempotent request is sent to another endpoint as well. With a lower
	// factor, slow requests that are still within the usual range would be sent twice too.
	headTimeoutFactor = 3
	headerLength      = "Content-Length"
)

// Answer is an endpoint's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// memory is what the body is charged to.
	memory *answermemory.Account
}

// Release gives back the memory that the answer is charged for, once it was written.
func (a *Answer) Release() { a.memory.Release() }

// write writes a complete answer to the caller.
func (req *requestState) write(a *Answer) {
	length := len(a.Body)
	if n, err := strconv.Atoi(a.Header.Get(headerLength)); err == nil && req.Method == http.MethodHead {
		length = n // the length of the body that an answer to HEAD leaves out
	}
	req.writeHead(a.Status, a.Header, length)
	// A write fails only if the caller has left, so the error is ignored.
	_, _ = req.w.Write(a.Body)
	req.recordFinish(map[string]float64{"status": float64(a.Status)})
}

// writeHead writes the status and headers; a negative length is omitted.
func (req *requestState) writeHead(status int, header http.Header, length int) {
	h := req.w.Header()
	for name, values := range req.server.HeaderCodec.DownstreamHeader(header) {
		h[name] = values
	}
	if length >= 0 {
		h.Set(headerLength, strconv.Itoa(length))
	} else {
		h.Del(headerLength)
	}
	if req.Forwarded != nil {
		headers.ForwardResult{Replica: req.lastTarget.Replica, Revision: req.Revision}.Set(h)
	}
	req.w.WriteHeader(status)
}

// runBuffered makes an attempt whose answer is passed on only once it is complete, or once it
// exceeds the buffer limit. If its replica is silent, another attempt may join it.
func (a *attempt) runBuffered() attemptResult {
	if a.mayBeHedged() {
		return newParallelAttempts(a).run()
	}
	r := a.receive(a.req.ctx, func() {})
	defer r.close()
	return a.bufferedResult(r)
}

// response is what an endpoint has answered to one attempt. Either failed or exchange is set; err is
// why the body is not complete.
type response struct {
	failed   *attemptResult
	exchange *upstream.Exchange
	body     []byte
	err      error
}

// close closes the connection unless it was returned to the pool.
func (r response) close() {
	if r.exchange != nil {
		r.exchange.Close()
	}
}

// receive sends the request and reads the whole answer into memory, up to the buffer limit. begun is
// called once the head of the answer is there.
func (a *attempt) receive(ctx context.Context, begun func()) response {
	exchange, failed := a.send(ctx, a.req.Deadline.Sub(a.req.server.Now()))
	if failed != nil {
		return response{failed: failed}
	}
	begun()
	return a.read(exchange)
}

// readBuffered reads the whole body of an answer into memory and classifies the attempt.
func (a *attempt) readBuffered(e *upstream.Exchange) attemptResult {
	return a.bufferedResult(a.read(e))
}

// read reads the body of an answer, as far as it is of use.
func (a *attempt) read(e *upstream.Exchange) response {
	if a.isRefusal() {
		return response{exchange: e, err: a.discard(e)}
	}
	if a.ofAnotherRequest() || isSuccess(e.StatusCode) && a.head.InvalidReason != "" {
		return response{exchange: e}
	}
	body, err := a.readAll(e)
	return response{exchange: e, body: body, err: err}
}

// isRefusal reports whether the endpoint says that it has not run the request.
func (a *attempt) isRefusal() bool { return a.head.NotRun || a.head.Misdirected }

// bufferedResult classifies an attempt, and keeps the memory of an answer that may be the request's. An
// answer that exceeds the buffer limit is passed to the caller of Serve as it arrives; for Do, the attempt
// fails.
func (a *attempt) bufferedResult(r response) attemptResult {
	res := a.classify(r)
	if res.answer == nil {
		a.memory.Release()
	} else {
		a.req.held = append(a.req.held, a.memory)
	}
	return res
}

func (a *attempt) classify(r response) attemptResult {
	e := r.exchange
	switch {
	case r.failed != nil:
		return *r.failed
	case a.isRefusal() && e.MoreReceived():
		return invalidAnswer(detailMoreReceived)
	case a.isRefusal():
		if r.err == nil {
			e.KeepAlive(a.head.IdleTimeout)
		}
		return a.resultOfRefusal(e.StatusCode, r.err)
	case a.ofAnotherRequest():
		// The connection is closed: the answer to this request may follow.
		return invalidAnswer(detailOtherRequest)
	case isSuccess(e.StatusCode) && a.head.InvalidReason != "":
		return invalidAnswer(a.head.InvalidReason)
	case a.exceedsBuffer(r):
		return a.forwardUnbuffered(e, r.body)
	case r.err != nil:
		return a.resultOfError(r.err)
	case a.cutUnframed(e):
		return brokenOff(detailCutUnframed)
	}
	e.KeepAlive(a.head.IdleTimeout)
	return a.resultOfAnswer(&Answer{Status: e.StatusCode, Header: e.Header, Body: r.body, memory: a.memory})
}

// exceedsBuffer reports whether an answer is passed on to the caller of Serve as it arrives. Of an answer
// to a stream only events are, and failures that are complete.
func (a *attempt) exceedsBuffer(r response) bool {
	isStream := a.req.Route.Kind == ruleset.Stream
	tooLong := errors.Is(r.err, upstream.ErrTooLong) || errors.Is(r.err, errAnswerMemory)
	return tooLong && a.req.w != nil && !isStream && !a.isRefusal()
}

// resultOfAnswer classifies an attempt that has a whole answer.
func (a *attempt) resultOfAnswer(answer *Answer) attemptResult {
	switch {
	case answer.Status >= http.StatusInternalServerError:
		return attemptResult{
			kind: resultFailed, detail: fmt.Sprintf("the endpoint's own status %d", answer.Status),
			answer: answer, feedback: targets.Result{Failure: health.Internal},
		}
	}
	return attemptResult{kind: resultComplete, answer: answer, feedback: targets.Result{Complete: true}}
}

// invalidReason says why a successful answer must not be passed on, "" if it may be passed on.
// Such an answer must come from the endpoint itself, carry the id of this request and be
// unmodified.
func (a *attempt) invalidReason() string {
	if a.ofAnotherRequest() {
		return detailOtherRequest
	}
	return a.head.InvalidReason
}

const (
	detailOtherRequest = "the answer does not carry the request's id"
	// An endpoint that has not run a request has nothing to say behind its refusal, which need not name
	// the request.
	detailMoreReceived = "bytes follow the refusal"
)

// ofAnotherRequest reports whether an answer may belong to another request, or to none.
func (a *attempt) ofAnotherRequest() bool {
	return a.req.Call.IDEchoed && a.head.RequestID != a.req.Call.ID
}

// invalidAnswer is the result of an attempt whose answer must not be passed on.
func invalidAnswer(reason string) attemptResult {
	return attemptResult{kind: resultUnknown, detail: reason, feedback: targets.Result{Failure: health.Internal}}
}

// forwardUnbuffered passes an answer that exceeds the buffer limit to the caller as it arrives.
// first is the part of the body that was already read.
func (a *attempt) forwardUnbuffered(e *upstream.Exchange, first []byte) attemptResult {
	req := a.req
	if req.unproven(e.StatusCode) {
		return a.resultOfAnswer(&Answer{Status: e.StatusCode})
	}
	req.writeHead(e.StatusCode, e.Header, int(e.ContentLength))
	req.answerStarted = true
	if _, err := req.w.Write(first); err != nil {
		return attemptResult{kind: resultCallerGone, detail: err.Error()}
	}
	a.memory.Release()
	buffer := make([]byte, 32<<10)
	for {
		n, err := e.Read(buffer, req.Deadline.Sub(req.server.Now()))
		if _, writeErr := req.w.Write(buffer[:n]); writeErr != nil {
			return attemptResult{kind: resultCallerGone, detail: writeErr.Error()}
		}
		if errors.Is(err, io.EOF) && a.cutUnframed(e) {
			return brokenOff(detailCutUnframed)
		}
		if errors.Is(err, io.EOF) {
			e.KeepAlive(a.head.IdleTimeout)
			req.recordFinish(map[string]float64{"status": float64(e.StatusCode)})
			return attemptResult{kind: resultComplete, feedback: targets.Result{Complete: true}}
		}
		if err != nil {
			return a.resultOfError(err)
		}
	}
}

// recordFinish records that a request was answered.
func (req *requestState) recordFinish(figures map[string]float64) {
	req.server.Metrics.Request(req.Service, req.Team, string(outcome.Done))
	figures["sends"] = float64(req.attemptCount)
	figures["took_ms"] = millis(req.server.Now().Sub(req.Arrived))
	if req.late() {
		req.addLateness(figures)
	}
	req.record(decisionlog.Decision{
		Kind: decisionlog.Finish, Chosen: req.lastTarget.Replica, Reason: string(outcome.Done),
		TextValues: req.withRoute(), Values: figures,
		SkipLog: !req.sampled && req.attemptCount == 1 && !req.late(),
	})
}

// addLateness adds the objectives of the route, and how long the request waited for capacity
// and for the retry budget.
func (req *requestState) addLateness(figures map[string]float64) {
	figures["late"] = 1
	figures["objective_ms"] = millis(req.Route.LatencyObjective)
	figures["waited_room_ms"] = millis(req.capacityWait)
	figures["waited_budget_ms"] = millis(req.budgetWait)
	if req.Route.Kind == ruleset.Stream {
		figures["pause_limit_ms"] = millis(req.Route.MaxEventGap)
	}
	if active := req.lastTarget.Active; active != nil {
		figures["slowest_pace"] = active.MaxSlowdown()
	}
}

// late reports whether the answer missed an objective of its route.
func (req *requestState) late() bool {
	if req.Route.Kind == ruleset.Stream {
		return req.timeToFirstEvent > req.Route.LatencyObjective || req.Route.MaxEventGap > 0 && req.longestPause > req.Route.MaxEventGap
	}
	return req.server.Now().Sub(req.Arrived) > req.Route.LatencyObjective
}

// abort ends an answer that has begun and can't be completed. The connection is closed so that
// the caller sees an incomplete answer.
func (req *requestState) abort(reason string) {
	d := decisionlog.Decision{
		Kind: decisionlog.Finish, Chosen: req.lastTarget.Replica, Reason: "answer cut: " + reason,
		TextValues: req.withRoute(decisionlog.TextValue{Name: "last_event", Text: req.lastEvent.ID()}, decisionlog.TextValue{Name: "last_try", Text: req.lastResult.detail}),
		Values: map[string]float64{
			"sends": float64(req.attemptCount), "events": float64(req.eventCount), "took_ms": millis(req.server.Now().Sub(req.Arrived)),
			"silent_ms": millis(req.silentFor()),
		},
	}
	if req.leftAt.After(req.lastEventAt) {
		d.TextValues = append(d.TextValues, decisionlog.TextValue{Name: "left", Text: req.leftReplica})
		d.Values["left_silent_ms"] = millis(req.leftSilence)
	}
	req.record(d)
	req.server.Metrics.Request(req.Service, req.Team, "cut")
	panic(http.ErrAbortHandler)
}
