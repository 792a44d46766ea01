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

// silenceLimit is the pause after which a stream is given up although all of its path
// can be reached: longer than engines themselves wait for a part.
const silenceLimit = 4 * time.Second

// stream makes an attempt whose events are passed on as they come.
func (a *attempt) stream() verdict {
	q := a.q
	if q.started {
		a.after = q.at.String()
	}
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	watch := a.watch(ctx, cancel)
	defer watch.stop()
	exchange, failed := a.send(ctx, silenceLimit)
	if failed != nil {
		return watch.judge(*failed)
	}
	defer exchange.Close()
	if !isEvents(exchange) {
		if q.started {
			return a.unexpected(exchange)
		}
		return a.wholeFrom(exchange)
	}
	if bad := a.bad(); bad != "" {
		return verdict{end: endUnknown, detail: bad, result: targets.Result{Failure: health.Internal}}
	}
	return watch.judge(a.copyEvents(exchange, watch))
}

func isEvents(e *upstream.Exchange) bool {
	kind, _, err := mime.ParseMediaType(e.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && e.StatusCode == http.StatusOK
}

// unexpected judges an answer to a resumed stream that is none.
func (a *attempt) unexpected(e *upstream.Exchange) verdict {
	if a.seen.NotRun || a.seen.Misdirected {
		a.drain(e)
		return a.refused(e.StatusCode)
	}
	return verdict{
		end: endUnknown, detail: fmt.Sprintf("%d to a stream that goes on", e.StatusCode),
		result: targets.Result{Failure: health.Internal},
	}
}

// copyEvents passes whole events on until the stream ends.
func (a *attempt) copyEvents(e *upstream.Exchange, watch *watch) verdict {
	q := a.q
	var split splitter
	buffer := make([]byte, 2<<10)
	for {
		n, err := e.Read(buffer, min(silenceLimit, q.Deadline.Sub(q.s.Now())))
		split.add(buffer[:n])
		if gone := a.passEvents(e, &split, watch); gone != nil {
			return verdict{end: endCallerGone, detail: gone.Error(), result: targets.Result{Failure: health.Canceled}}
		}
		switch {
		case errors.Is(err, io.EOF):
			return a.finish(e, &split)
		case err != nil:
			return a.failed(err)
		case split.rest() > maxEvent:
			return verdict{end: endUnknown, detail: "an event without an end", result: targets.Result{Failure: health.Internal}}
		}
	}
}

// passEvents gives the whole events that have come to the caller. It fails if the
// caller has gone.
func (a *attempt) passEvents(e *upstream.Exchange, split *splitter, watch *watch) error {
	q := a.q
	wrote := false
	for {
		ev, ok := split.next()
		if !ok {
			break
		}
		if !q.at.before(ev.id) {
			continue
		}
		q.beginStream(e)
		if _, err := q.w.Write(ev.data); err != nil {
			return err
		}
		wrote = true
		q.events++
		if len(ev.id) > 0 {
			q.at.set(ev.id)
		}
	}
	if !wrote {
		return nil
	}
	q.noteProgress()
	watch.heard()
	return http.NewResponseController(q.w).Flush()
}

// noteProgress measures the pauses that the caller sees.
func (q *request) noteProgress() {
	now := q.s.Now()
	if q.heard.IsZero() {
		q.first = now.Sub(q.Arrived)
	} else if pause := now.Sub(q.heard); pause > q.longest {
		q.longest, q.pausedAt = pause, q.events
	}
	q.heard = now
}

// beginStream writes the head with the first event. Until then another replica's
// answer can take its place.
func (q *request) beginStream(e *upstream.Exchange) {
	if q.started {
		return
	}
	q.started = true
	if err := http.NewResponseController(q.w).SetWriteDeadline(q.Deadline); err != nil {
		q.log.Debug("write deadline", "error", err)
	}
	q.writeHead(e.StatusCode, e.Header, -1)
	q.s.Figures.FirstToken(q.Service, q.s.Now().Sub(q.Arrived))
}

// finish judges a stream that has ended as whole.
func (a *attempt) finish(e *upstream.Exchange, split *splitter) verdict {
	if split.rest() > 0 {
		return verdict{end: endUnknown, detail: "the stream ended within an event", result: targets.Result{Failure: health.Broken}}
	}
	q := a.q
	q.beginStream(e)
	e.Keep(a.seen.KeepFor)
	q.done(map[string]float64{
		"events": float64(q.events), "parts": float64(len(a.target.Path)), "first_ms": millis(q.first),
		"longest_pause_ms": millis(q.longest), "pause_after_event": float64(q.pausedAt),
	})
	return verdict{end: endWhole, result: targets.Result{Whole: true}}
}
