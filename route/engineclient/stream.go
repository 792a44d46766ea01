package engineclient

import (
	"bytes"
	"errors"
	"io"
	"math"
	"unicode/utf8"

	"github.com/goccy/go-json"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// MaxEventBytes bounds the size of one event. A token with the spans of a few dozen
// stages takes a few kilobytes.
const MaxEventBytes = 64 << 10

const initialBufferBytes = 4 << 10

// maxTrailingEvents bounds the events that Drain reads. The closing marker is the only one that a sound
// engine sends.
const maxTrailingEvents = 4

// noPosition is the position of a trace that states none. No answer has it.
const noPosition = math.MinInt

// Event is one event of an answer.
type Event struct {
	// Token is the text that the event carries.
	Token string
	// Trace says which engines computed the token. Its Spans are valid until the
	// next call to Next.
	Trace engineapi.TokenTrace
	// Finish is the reason why the answer ended. It is empty before the last event.
	Finish string
}

// Stream is the answer to a chat request. It is not safe for concurrent use.
type Stream struct {
	address string
	body    io.ReadCloser
	decoder Decoder
}

func newStream(address string, body io.ReadCloser) *Stream {
	return &Stream{address: address, body: body, decoder: NewDecoder(body)}
}

// Next returns the next event. It returns io.EOF after the marker that closes a
// complete answer, an error that wraps ErrTruncated if the stream ended without
// the marker, and one that wraps a *Violation for bytes that break the contract of an answer. After a
// violation that does not end the answer, Next may be called again.
func (s *Stream) Next() (Event, error) {
	event, err := s.decoder.Next()
	if err == nil || errors.Is(err, io.EOF) {
		return event, err
	}
	return Event{}, sendError(s.address, StateUnknown, 0, err)
}

// Drain reads what follows the closing event of an answer: the closing marker and the end of the body.
// The connection can be reused only if its body was read to the end. Without Drain each stream costs a
// connection, and a node that opens some hundred streams a second to one engine runs out of local
// ports. The stream's context bounds the time of Drain, and maxTrailingEvents bounds the events that it
// reads.
//
// Drain returns a *Violation if a token of the same epoch follows before the marker: the answer goes on
// then, and what looked like its closing event was no part of it. Other bytes behind the closing event
// are ignored.
func (s *Stream) Drain(closing engineapi.TokenTrace) error {
	marked := false
	for range maxTrailingEvents {
		event, err := s.decoder.Next()
		switch {
		case errors.Is(err, io.EOF):
			marked = true
		case errors.Is(err, ErrTruncated):
			return nil
		case err == nil && !marked && event.continues(closing):
			return &Violation{Reason: ReasonAfterEnd, Bytes: event.Token}
		}
	}
	return nil
}

// continues reports whether the event is a token of the epoch that a closing event has ended.
func (e Event) continues(closing engineapi.TokenTrace) bool {
	sameEpoch := e.Trace.Stream == closing.Stream && e.Trace.Epoch == closing.Epoch
	return sameEpoch && e.Finish == "" && (e.Token != "" || len(e.Trace.Spans) > 0)
}

// Close ends the stream. Unless the complete answer has been read, the engine sees
// that its caller has disconnected.
func (s *Stream) Close() { s.body.Close() }

// Decoder decodes the server-sent events of an answer. The package documentation states what they must be.
type Decoder struct {
	blocks  blockReader
	trace   engineapi.TokenTrace
	choices []choice
}

// chunk has the fields of engineapi.Chunk that the router needs. The other fields are
// the same in each event, and decoding them would allocate three strings per token.
type chunk struct {
	Choices []choice              `json:"choices"`
	Trace   *engineapi.TokenTrace `json:"cicadatack"`
}

type choice struct {
	Index int `json:"index"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) Decoder { return Decoder{blocks: newBlockReader(r)} }

// Next returns the next event, io.EOF after the closing marker, a *Violation, or an error that wraps
// ErrTruncated. After a violation that does not end the answer, Next may be called again.
func (d *Decoder) Next() (Event, error) {
	data, unfinished, err := d.blocks.next()
	if err != nil {
		return Event{}, err
	}
	data = bytes.TrimSpace(data)
	if string(data) == engineapi.DoneMarker {
		return Event{}, io.EOF
	}
	event, violation := d.decode(data)
	switch {
	case violation == nil:
		return event, nil
	case unfinished:
		return Event{}, ErrTruncated // the rest of the event is missing
	}
	return Event{}, violation
}

func (d *Decoder) decode(data []byte) (Event, *Violation) {
	// Spans and choices are decoded into the same memory for each token. The memory
	// is cleared first, because json leaves the fields that an event omits unchanged.
	// If the memory were not cleared, a token would inherit a span or the text of an
	// earlier token.
	clear(d.trace.Spans[:cap(d.trace.Spans)])
	clear(d.choices[:cap(d.choices)])
	d.trace = engineapi.TokenTrace{Spans: d.trace.Spans[:0], Position: noPosition}
	decoded := chunk{Trace: &d.trace, Choices: d.choices[:0]}
	if err := unmarshal(data, &decoded); err != nil {
		violation := violates(ReasonJSON, data)
		violation.Cause = err
		return Event{}, violation
	}
	d.choices = decoded.Choices
	if decoded.Trace == nil || decoded.Trace.Position == noPosition || len(decoded.Choices) != 1 || decoded.Choices[0].Index != 0 {
		return Event{}, violates(ReasonForm, data)
	}
	first := &decoded.Choices[0]
	if first.FinishReason != "" && (first.Delta.Content != "" || !isFinishReason(first.FinishReason)) {
		return Event{}, violates(ReasonClosing, data)
	}
	return Event{Token: first.Delta.Content, Trace: *decoded.Trace, Finish: first.FinishReason}, nil
}

// maxFinishReasonBytes is above the length of any reason of the chat-completions form.
const maxFinishReasonBytes = 32

// isFinishReason reports whether a text has the form of a reason, such as "content_filter". The caller gets
// the reason.
func isFinishReason(text string) bool {
	if len(text) > maxFinishReasonBytes {
		return false
	}
	for _, c := range []byte(text) {
		if (c < 'a' || c > 'z') && c != '_' {
			return false
		}
	}
	return true
}

// errNotUTF8 reports data that is no JSON text, which is always UTF-8.
var errNotUTF8 = errors.New("invalid UTF-8")

// unmarshal decodes a JSON text. The library takes invalid UTF-8 over into strings, which the standard
// library would replace.
func unmarshal(data []byte, v any) error {
	if !utf8.Valid(data) {
		return errNotUTF8
	}
	return json.Unmarshal(data, v)
}
