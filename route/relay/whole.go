package relay

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

const (
	// DefaultHoldBytes is the longest answer that is held back until it is known to be
	// whole. Longer ones are passed on as they come, and cut if they end early.
	DefaultHoldBytes = 1 << 20
	// silenceFactor times the objective is how long an endpoint may leave a
	// repeatable request unanswered before another one is asked. Below it the tail
	// of usual work would be asked for twice.
	silenceFactor = 3
	headerLength  = "Content-Length"
)

// Answer is an endpoint's answer, read to its end.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// write passes the answer on as it is.
func (q *request) write(a *Answer) {
	length := len(a.Body)
	if n, err := strconv.Atoi(a.Header.Get(headerLength)); err == nil && q.Method == http.MethodHead {
		length = n // of the body that was not asked for
	}
	q.writeHead(a.Status, a.Header, length)
	// The caller may have gone; there is nobody left to tell.
	_, _ = q.w.Write(a.Body)
	q.done(map[string]float64{"status": float64(a.Status)})
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
	within := a.q.Deadline.Sub(a.q.s.Now())
	if a.q.Route.Idempotent() && a.q.Route.MaxReplicas > 1 {
		within = silenceFactor * a.q.Route.Objective
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
	if errors.Is(err, upstream.ErrLong) && a.q.w != nil {
		return a.passOn(e, body)
	}
	if err != nil {
		return a.failed(err)
	}
	e.Keep(a.seen.KeepFor)
	answer := &Answer{Status: e.StatusCode, Header: e.Header, Body: body}
	switch {
	case answer.Status < http.StatusMultipleChoices:
		if bad := a.bad(); bad != "" {
			return verdict{end: endUnknown, detail: bad, result: targets.Result{Failure: health.Internal}}
		}
	case answer.Status >= http.StatusInternalServerError:
		return verdict{
			end: endFailed, detail: fmt.Sprintf("the endpoint's own %d", answer.Status),
			answer: answer, result: targets.Result{Failure: health.Internal},
		}
	}
	return verdict{end: endWhole, answer: answer, result: targets.Result{Whole: true}}
}

// bad says what keeps a success from being one: it must be the endpoint's own, to
// this request, and as it was made.
func (a *attempt) bad() string {
	if a.q.Call.Echoed && a.seen.ID != a.q.Call.ID {
		return "a success without the request's id"
	}
	return a.seen.Unsound
}

// drain reads the rest of a refusal so that its connection can be kept.
func (a *attempt) drain(e *upstream.Exchange) {
	if _, err := a.readAll(e); err == nil {
		e.Keep(a.seen.KeepFor)
	}
}

// readAll reads the body to its end, or up to what is held back.
func (a *attempt) readAll(e *upstream.Exchange) ([]byte, error) {
	return e.ReadAll(cmp.Or(a.q.s.HoldBytes, DefaultHoldBytes), a.q.Deadline.Sub(a.q.s.Now()))
}

// passOn gives a long answer to the caller as it comes.
func (a *attempt) passOn(e *upstream.Exchange, first []byte) verdict {
	q := a.q
	if bad := a.bad(); bad != "" && e.StatusCode < http.StatusMultipleChoices {
		return verdict{end: endUnknown, detail: bad, result: targets.Result{Failure: health.Internal}}
	}
	q.writeHead(e.StatusCode, e.Header, int(e.ContentLength))
	q.started = true
	if _, err := q.w.Write(first); err != nil {
		return verdict{end: endCallerGone, detail: err.Error()}
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := e.Read(buffer, q.Deadline.Sub(q.s.Now()))
		if _, gone := q.w.Write(buffer[:n]); gone != nil {
			return verdict{end: endCallerGone, detail: gone.Error()}
		}
		if errors.Is(err, io.EOF) {
			e.Keep(a.seen.KeepFor)
			q.done(map[string]float64{"status": float64(e.StatusCode)})
			return verdict{end: endWhole, result: targets.Result{Whole: true}}
		}
		if err != nil {
			return a.failed(err)
		}
	}
}

// done records the end of a request that was answered.
func (q *request) done(figures map[string]float64) {
	q.s.Figures.Request(q.Service, q.Team, string(outcome.Done))
	figures["sends"] = float64(q.sends)
	figures["took_ms"] = millis(q.s.Now().Sub(q.Arrived))
	if q.late() {
		q.addLateness(figures)
	}
	q.record(decisionlog.Decision{
		Kind: decisionlog.Finish, Chosen: q.lastTarget.Replica, Reason: string(outcome.Done),
		Notes: q.notes(), Figures: figures,
		Quiet: !q.sampled && q.sends == 1 && !q.late(),
	})
}

// addLateness adds what an answer was late by, and what it waited for.
func (q *request) addLateness(figures map[string]float64) {
	figures["late"] = 1
	figures["objective_ms"] = millis(q.Route.Objective)
	figures["waited_room_ms"] = millis(q.waitedRoom)
	figures["waited_budget_ms"] = millis(q.waitedBudget)
	if q.Route.Kind == ruleset.Stream {
		figures["pause_limit_ms"] = millis(q.Route.MaxPause)
	}
	if flight := q.lastTarget.Flight; flight != nil {
		figures["slowest_pace"] = flight.SlowestPace()
	}
}

// late says whether the answer missed its route's objectives.
func (q *request) late() bool {
	if q.Route.Kind == ruleset.Stream {
		return q.first > q.Route.Objective || q.Route.MaxPause > 0 && q.longest > q.Route.MaxPause
	}
	return q.s.Now().Sub(q.Arrived) > q.Route.Objective
}

// cut ends an answer that has begun and can't be completed. The connection ends
// without the mark of a whole answer.
func (q *request) cut(reason string) {
	q.record(decisionlog.Decision{
		Kind: decisionlog.Finish, Chosen: q.lastTarget.Replica, Reason: "answer cut: " + reason,
		Notes: q.notes(decisionlog.Note{Name: "last_event", Text: q.at.String()}, decisionlog.Note{Name: "last_try", Text: q.last.detail}),
		Figures: map[string]float64{
			"sends": float64(q.sends), "events": float64(q.events), "took_ms": millis(q.s.Now().Sub(q.Arrived)),
		},
	})
	q.s.Figures.Request(q.Service, q.Team, "cut")
	panic(http.ErrAbortHandler)
}
