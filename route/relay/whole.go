package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

const (
	// maxWhole is the longest answer that is held back until it is known to be
	// whole. Longer ones are passed on as they come, and cut if they end early.
	maxWhole = 1 << 20
	// silenceFactor times the objective is how long an endpoint may leave a
	// repeatable request unanswered before another one is asked. Below it the tail
	// of usual work would be asked for twice.
	silenceFactor = 3
	headerLength  = "Content-Length"
)

// wholeAnswer is an endpoint's answer, read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// write passes the answer on as it is.
func (w *wholeAnswer) write(q *request) {
	length := len(w.body)
	if n, err := strconv.Atoi(w.header.Get(headerLength)); err == nil && q.in.Method == http.MethodHead {
		length = n // of the body that was not asked for
	}
	q.writeHead(w.status, w.header, length)
	// The caller may have gone; there is nobody left to tell.
	_, _ = q.w.Write(w.body)
	q.done("status", w.status)
}

// writeHead begins the caller's answer; a negative length is not told.
func (q *request) writeHead(status int, header http.Header, length int) {
	h := q.w.Header()
	for name, values := range q.s.Dialect.Return(header) {
		h[name] = values
	}
	if length >= 0 {
		h.Set(headerLength, strconv.Itoa(length))
	} else {
		h.Del(headerLength)
	}
	q.w.WriteHeader(status)
}

// whole makes an attempt whose answer is passed on only once it is whole.
func (a *attempt) whole() verdict {
	within := a.q.deadline.Sub(a.q.s.Now())
	if a.q.route.Idempotent() && a.q.route.MaxReplicas > 1 {
		within = silenceFactor * a.q.route.Objective
	}
	exchange, failed := a.send(a.q.ctx, within)
	if failed != nil {
		return *failed
	}
	defer exchange.Close()
	return a.wholeFrom(exchange)
}

// wholeFrom reads an answer whose head has come.
func (a *attempt) wholeFrom(e *upstream.Exchange) verdict {
	if a.seen.NotRun || a.seen.Misdirected {
		a.drain(e)
		return a.refused(e.StatusCode)
	}
	body, err := a.readAll(e)
	if errors.Is(err, errLong) {
		return a.passOn(e, body)
	}
	if err != nil {
		return a.failed(err)
	}
	e.Keep(a.seen.KeepFor)
	answer := &wholeAnswer{status: e.StatusCode, header: e.Header, body: body}
	switch {
	case answer.status < http.StatusMultipleChoices:
		if bad := a.bad(e); bad != "" {
			return verdict{end: endUnknown, detail: bad, result: targets.Result{Failure: health.Internal}}
		}
	case answer.status >= http.StatusInternalServerError:
		return verdict{
			end: endFailed, detail: fmt.Sprintf("the endpoint's own %d", answer.status),
			answer: answer, result: targets.Result{Failure: health.Internal},
		}
	}
	answer.write(a.q)
	return verdict{end: endWhole, result: targets.Result{Whole: true}}
}

// bad says what keeps a success from being one: it must be the endpoint's own, to
// this request, and as it was made.
func (a *attempt) bad(e *upstream.Exchange) string {
	switch {
	case a.seen.ID != a.q.call.ID:
		return "a success without the request's id"
	case !a.seen.Proved:
		return "a success without the endpoint's proof"
	case e.Header.Get("Content-Encoding") != "":
		return "a success in an encoding that nobody asked for"
	}
	return ""
}

// drain reads the rest of a refusal so that its connection can be kept.
func (a *attempt) drain(e *upstream.Exchange) {
	if _, err := a.readAll(e); err == nil {
		e.Keep(a.seen.KeepFor)
	}
}

var errLong = errors.New("the answer is long")

// readAll reads the body to its end, or up to maxWhole.
func (a *attempt) readAll(e *upstream.Exchange) ([]byte, error) {
	body := make([]byte, 0, max(512, min(int(e.ContentLength), maxWhole)))
	for {
		if len(body) >= maxWhole {
			return body, errLong
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := e.Read(body[len(body):cap(body)], a.q.deadline.Sub(a.q.s.Now()))
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// passOn gives a long answer to the caller as it comes.
func (a *attempt) passOn(e *upstream.Exchange, first []byte) verdict {
	q := a.q
	if bad := a.bad(e); bad != "" && e.StatusCode < http.StatusMultipleChoices {
		return verdict{end: endUnknown, detail: bad, result: targets.Result{Failure: health.Internal}}
	}
	q.writeHead(e.StatusCode, e.Header, int(e.ContentLength))
	q.started = true
	if _, err := q.w.Write(first); err != nil {
		return verdict{end: endCallerGone, detail: err.Error()}
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := e.Read(buffer, q.deadline.Sub(q.s.Now()))
		if _, gone := q.w.Write(buffer[:n]); gone != nil {
			return verdict{end: endCallerGone, detail: gone.Error()}
		}
		if errors.Is(err, io.EOF) {
			e.Keep(a.seen.KeepFor)
			q.done("status", e.StatusCode)
			return verdict{end: endWhole, result: targets.Result{Whole: true}}
		}
		if err != nil {
			return a.failed(err)
		}
	}
}

// done logs the end of a request that was answered.
func (q *request) done(fields ...any) {
	took := q.s.Now().Sub(q.arrived)
	q.s.Figures.Request(q.service, q.teamName(), "done")
	if q.sends == 1 && !q.late() && q.number%successSample != 0 {
		return
	}
	q.log.Info("answered", append(fields, "service", q.service, "team", q.teamName(), "route", q.route.Name,
		"configuration", q.rules.Version, "replica", q.lastTarget.Replica, "sends", q.sends, "took_ms", took.Milliseconds())...)
}

// late says whether the answer missed its route's objectives.
func (q *request) late() bool {
	if q.route.Kind == ruleset.Stream {
		return q.first > q.route.Objective || q.route.MaxPause > 0 && q.longest > q.route.MaxPause
	}
	return q.s.Now().Sub(q.arrived) > q.route.Objective
}

// successSample: of the requests that are answered on time at the first try one in so
// many is logged. All others are.
const successSample = 10

// cut ends an answer that has begun and can't be completed. The connection ends
// without the mark of a whole answer.
func (q *request) cut(reason string) {
	q.log.Info("answer cut", "service", q.service, "reason", reason, "sends", q.sends, "events", q.events,
		"last_event", q.lastID, "last_try", q.last.detail, "took_ms", q.s.Now().Sub(q.arrived).Milliseconds())
	q.s.Figures.Request(q.service, q.teamName(), "cut")
	panic(http.ErrAbortHandler)
}
