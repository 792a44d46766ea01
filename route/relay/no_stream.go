package relay

import (
	"fmt"
	"mime"
	"net/http"

	"github.com/cicadatack/cicadatack/route/upstream"
)

// answerWithoutStream handles an answer that is no stream. A refusal or a failure is passed on if no event
// was. A success is not: its caller expects events, and would take the body for one.
func (a *attempt) answerWithoutStream(e *upstream.Exchange, monitor *pathMonitor) attemptResult {
	failed := a.head.NotRun || a.head.Misdirected || a.ofAnotherRequest() || e.StatusCode >= http.StatusInternalServerError
	switch {
	case a.req.answerStarted || isSuccess(e.StatusCode):
		return a.resultWithoutStream(e)
	case !failed && !monitor.beginForward():
		return takenOver()
	}
	return a.readBuffered(e)
}

const (
	headerType      = "Content-Type"
	typeEventStream = "text/event-stream"
)

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func isEventStream(e *upstream.Exchange) bool {
	types := e.Header.Values(headerType)
	if e.StatusCode != http.StatusOK || len(types) != 1 {
		return false
	}
	kind, _, err := mime.ParseMediaType(types[0])
	return err == nil && kind == typeEventStream
}

// resultWithoutStream classifies an answer that is no stream, and that is not passed on.
func (a *attempt) resultWithoutStream(e *upstream.Exchange) attemptResult {
	switch {
	case a.head.NotRun || a.head.Misdirected:
		return a.resultOfRefusal(e.StatusCode, a.discardAndReuse(e))
	case a.ofAnotherRequest():
		if a.head.RequestID == "" && isSuccess(e.StatusCode) {
			a.recordNoStream(e) // an answer that names another request may only be late
		}
		return invalidAnswer(detailOtherRequest)
	case isSuccess(e.StatusCode):
		a.recordNoStream(e)
		return invalidAnswer(fmt.Sprintf("an answer that is no stream of events: status %d, type %q", e.StatusCode, shownType(e)))
	}
	return invalidAnswer(fmt.Sprintf("status %d instead of a resumed stream", e.StatusCode))
}

// maxShownTypeBytes bounds a content type in the log.
const maxShownTypeBytes = 40

func shownType(e *upstream.Exchange) string {
	text := e.Header.Get(headerType)
	return text[:min(len(text), maxShownTypeBytes)]
}
