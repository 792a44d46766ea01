package callforward

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/plainservice"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// A node answers a forwarded call in one of four ways: with a refusal, a stream of events, a model's answer
// in one piece, or the answer of a plain service's endpoint. The caller gets only what has been judged to be
// one of them, written anew where the form is known. A faulty node may send any other bytes, and one of
// another release an answer that this one does not know: they are refused as unknown before the first event
// of a stream, and cut behind it.

const (
	typeJSON        = "application/json"
	typeEventStream = "text/event-stream"
	objectChunk     = "chat.completion.chunk"
	objectWhole     = "chat.completion"
	// maxAnswerBytes bounds the body of an answer. The node that serves a call bounds its endpoint's
	// answer in the same way.
	maxAnswerBytes = plainservice.MaxAnswerBytes
)

var (
	errNoAnswer = Error.New("what the node sent is no answer to a forwarded call")
	errTooLong  = Error.New("the node's answer exceeds the size limit")
)

// wantsStream reports whether the caller of a model asked for a stream.
func (f *forwardedCall) wantsStream() bool {
	var chat struct {
		Stream bool `json:"stream"`
	}
	return json.Unmarshal(f.body, &chat) == nil && chat.Stream
}

// passOn judges an answer and passes it on. An error means that the caller has got nothing yet. An answer
// that turns out to be faulty after that is aborted.
func (f *forwardedCall) passOn(answer *http.Response) error {
	said, model := outcome.Outcome(answer.Header.Get(outcome.Header)), f.call.Service.Kind == document.KindModel
	switch {
	case said == outcome.NotRun || said == outcome.Unknown:
		if answer.StatusCode < http.StatusBadRequest {
			return errNoAnswer
		}
		refused, err := readRefusal(answer)
		if err != nil {
			return err
		}
		refused.write(f.w)
		return nil
	case model && f.wantsStream() && isStream(answer):
		return f.passStream(answer)
	case model && !f.wantsStream() && said == outcome.Done && answer.StatusCode == http.StatusOK && answer.Header.Get("Content-Type") == typeJSON:
		return f.passWhole(answer)
	case !model && said == outcome.Done && answer.StatusCode >= http.StatusOK:
		f.passPlain(answer)
		return nil
	}
	return errNoAnswer
}

// isStream reports whether the head of an answer is that of a model's stream.
func isStream(answer *http.Response) bool {
	_, announced := answer.Trailer[outcome.Header]
	return answer.StatusCode == http.StatusOK && answer.Header.Get("Content-Type") == typeEventStream && announced
}

// writeHead writes the status and the headers of an answer.
func (f *forwardedCall) writeHead(answer *http.Response) {
	for name, values := range headers.EndToEnd(answer.Header) {
		f.w.Header()[name] = values
	}
	f.w.WriteHeader(answer.StatusCode)
}

// passPlain passes on the answer of an endpoint as it arrives.
func (f *forwardedCall) passPlain(answer *http.Response) {
	f.writeHead(answer)
	flusher := http.NewResponseController(f.w)
	buffer := make([]byte, 4<<10)
	for left := maxAnswerBytes; ; {
		n, err := answer.Body.Read(buffer)
		if left -= n; left < 0 {
			f.recordFault(errTooLong)
			panic(http.ErrAbortHandler)
		}
		if _, writeErr := f.w.Write(buffer[:n]); writeErr != nil {
			return // the caller has left
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = flusher.Flush() // a listener that can't flush sends the answer at its end
	}
}

// nodeAnswer has the fields of a model's answer, in one piece or as an event, by which it is judged. The
// caller gets its other fields as well.
type nodeAnswer struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Model   string `json:"model"`
	Choices []struct {
		Index        int     `json:"index"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Result *struct {
		Request string          `json:"request"`
		Outcome outcome.Outcome `json:"outcome"`
		Tokens  int             `json:"tokens"`
	} `json:"cicadatack"`
	Error json.RawMessage `json:"error"`
}

// judge decodes exactly one JSON object that belongs to the call, and returns its text without white space.
func (f *forwardedCall) judge(data []byte, request, object string) (answer nodeAnswer, text []byte, ok bool) {
	if json.Unmarshal(data, &answer) != nil || answer.ID == "" || answer.ID != request || answer.Object != object ||
		answer.Model != f.call.Service.Name || len(answer.Choices) != 1 || answer.Choices[0].Index != 0 || answer.Error != nil {
		return nodeAnswer{}, nil, false
	}
	finished := answer.Choices[0].FinishReason != nil
	if finished != (answer.Result != nil) || finished && (answer.Result.Request != request || answer.Result.Outcome != outcome.Done) {
		return nodeAnswer{}, nil, false
	}
	var compact bytes.Buffer
	if json.Compact(&compact, data) != nil {
		return nodeAnswer{}, nil, false
	}
	return answer, compact.Bytes(), true
}

// passWhole passes on a model's answer in one piece.
func (f *forwardedCall) passWhole(answer *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return Error.Wrap(err)
	}
	if len(body) > maxAnswerBytes {
		return errTooLong
	}
	whole, text, ok := f.judge(body, answer.Header.Get(outcome.HeaderRequest), objectWhole)
	if !ok || whole.Result == nil {
		return errNoAnswer
	}
	f.writeHead(answer)
	_, _ = f.w.Write(append(text, '\n')) // the caller may have left
	return nil
}

// refusedAnswer is a node's refusal of a call. The outcome in its head says all; its body only words it.
type refusedAnswer struct {
	outcome.Refusal
	// request and replayed are what the node says of the call in its headers.
	request, replayed string
}

// saysNotRun reports whether the head of an answer says that the call has not run.
func saysNotRun(answer *http.Response) bool {
	return answer.Header.Get(outcome.Header) == string(outcome.NotRun)
}

// refusalOf returns the refusal of a node after which another node may serve the call, or nil.
func refusalOf(answer *http.Response) (*refusedAnswer, error) {
	if !saysNotRun(answer) {
		return nil, nil
	}
	if answer.StatusCode != http.StatusServiceUnavailable && answer.StatusCode != http.StatusTooManyRequests {
		return nil, nil
	}
	return readRefusal(answer)
}

// readRefusal reads the refusal of a node. Where its body is none, or breaks off, the words are this node's. It fails
// if the refusal turns out to be no answer: the call may have run.
func readRefusal(answer *http.Response) (*refusedAnswer, error) {
	refused := &refusedAnswer{
		Refusal: outcome.Refusal{
			Status: answer.StatusCode, Code: codeRefused, Message: "the node that was to serve the call refused it",
			Outcome: outcome.Outcome(answer.Header.Get(outcome.Header)), RetryAfter: retryAfter,
		},
		request: answer.Header.Get(outcome.HeaderRequest), replayed: answer.Header.Get(outcome.HeaderReplayed),
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxRefusalBytes))
	if httpanswer.IsFault(err) {
		return nil, Error.Wrap(err)
	}
	if told, ok := decodeRefusal(data); err == nil && ok && told.Outcome == refused.Outcome {
		refused.Code, refused.Message, refused.RetryAfter = told.Code, told.Message, time.Duration(told.RetryAfterMillis)*time.Millisecond
	}
	return refused, nil
}

// decodeRefusal decodes the JSON of a refusal. Fields that this release does not know are left out.
func decodeRefusal(data []byte) (told outcome.BodyError, ok bool) {
	var body outcome.Body
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" || body.Error.RetryAfterMillis < 0 {
		return outcome.BodyError{}, false
	}
	return body.Error, body.Error.Outcome == outcome.NotRun || body.Error.Outcome == outcome.Unknown
}

func (r *refusedAnswer) write(w http.ResponseWriter) {
	for name, value := range map[string]string{outcome.HeaderRequest: r.request, outcome.HeaderReplayed: r.replayed} {
		if value != "" {
			w.Header().Set(name, value)
		}
	}
	r.Write(w)
}
