package callforward

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	eventStart = "data: "
	eventEnd   = "\n\n"
	// maxEventBytes bounds an event. A token of an engine has at most 64 KB, of which each byte may take
	// six in JSON.
	maxEventBytes      = 512 << 10
	initialEventBuffer = 4 << 10
)

var doneMarker = []byte(engineapi.DoneMarker)

// eventOf returns the event of a text without line ends.
func eventOf(text []byte) []byte { return slices.Concat([]byte(eventStart), text, []byte(eventEnd)) }

var (
	errNoEvent   = Error.New("what the node sent is not the next event of the answer")
	errCutStream = Error.New("the node's stream ended before the answer was complete")
)

// splitEvents is a bufio.SplitFunc for the events of a node's stream. A node writes each as one line of data
// and an empty line, and nothing between them. A lost event can't be told from those behind it, so nothing
// else is passed over.
func splitEvents(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if n := min(len(data), len(eventStart)); string(data[:n]) != eventStart[:n] {
		return 0, nil, errNoEvent
	}
	end := bytes.IndexAny(data, "\r\n")
	switch {
	case end < 0 || end+1 == len(data):
		if atEOF && len(data) > 0 {
			return 0, nil, errCutStream
		}
		return 0, nil, nil
	case string(data[end:end+len(eventEnd)]) != eventEnd:
		return 0, nil, errNoEvent
	}
	return end + len(eventEnd), data[len(eventStart):end], nil
}

// passedStream is a stream that is being passed on.
type passedStream struct {
	call   *forwardedCall
	answer *http.Response
	// tokens is the number of events with a token so far.
	tokens int
	// closed is set after the closing event, ended after the stream's last one. outcome is what the closing
	// event or the event of an error says.
	closed, ended bool
	outcome       outcome.Outcome
	begun         bool
}

// passStream passes on the events of a model's stream, each once it is judged to be the next one.
func (f *forwardedCall) passStream(answer *http.Response) error {
	s := &passedStream{call: f, answer: answer}
	events := bufio.NewScanner(answer.Body)
	events.Buffer(make([]byte, 0, initialEventBuffer), maxEventBytes)
	events.Split(splitEvents)
	for !s.ended && events.Scan() {
		text, ok := s.judge(events.Bytes())
		if !ok {
			return s.fail(errNoEvent)
		}
		if !s.write(eventOf(text)) {
			return nil // the caller has left
		}
	}
	if !s.ended {
		err := events.Err()
		if err == nil {
			err = errCutStream
		}
		return s.fail(Error.Wrap(err))
	}
	f.w.Header().Set(outcome.Header, string(s.outcome)) // the trailer
	return nil
}

// judge returns the text of an event if it is the next one of the stream.
func (s *passedStream) judge(data []byte) (text []byte, ok bool) {
	if bytes.Equal(data, doneMarker) {
		s.ended = s.closed
		return doneMarker, s.closed
	}
	if s.closed {
		return nil, false
	}
	if told, isRefusal := decodeRefusal(data); isRefusal {
		text, err := json.Marshal(outcome.Body{Error: told})
		s.ended, s.outcome = true, told.Outcome
		return text, err == nil
	}
	event, text, ok := s.call.judge(data, s.answer.Header.Get(outcome.HeaderRequest), objectChunk)
	switch {
	case !ok:
		return nil, false
	case event.Result == nil:
		s.tokens++
	case event.Result.Tokens != s.tokens:
		return nil, false
	default:
		s.closed, s.outcome = true, event.Result.Outcome
	}
	return text, true
}

// write writes an event. It returns false if the caller has left.
func (s *passedStream) write(event []byte) bool {
	w := s.call.w
	if !s.begun {
		s.begun = true
		w.Header().Set("Trailer", outcome.Header)
		s.call.writeHead(s.answer)
	}
	if _, err := w.Write(event); err != nil {
		return false
	}
	_ = http.NewResponseController(w).Flush() // a listener that can't flush sends the answer at its end
	return true
}

// fail ends a stream that is not complete. It returns the error if the caller has got nothing yet.
func (s *passedStream) fail(err error) error {
	if !s.begun {
		return err
	}
	s.call.recordFault(err)
	panic(http.ErrAbortHandler)
}
