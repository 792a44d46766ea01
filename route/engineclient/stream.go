package engineclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/goccy/go-json"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// MaxEventBytes bounds the size of one event. A token with the spans of a few dozen
// stages takes a few kilobytes.
const MaxEventBytes = 64 << 10

const initialBufferBytes = 4 << 10

// maxTrailingLines bounds the lines that Drain reads. The closing marker and the lines
// around the marker are far fewer.
const maxTrailingLines = 16

var dataField = []byte("data:")

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
// complete answer, and an error that wraps ErrTruncated if the stream ended without
// the marker.
func (s *Stream) Next() (Event, error) {
	event, err := s.decoder.Next()
	if err == nil || errors.Is(err, io.EOF) {
		return event, err
	}
	return Event{}, sendError(s.address, StateUnknown, 0, err)
}

// Drain reads what follows the last event of an answer: the closing marker and the
// end of the body. The connection can be reused only if its body was read to the end.
// Without Drain each stream costs a connection, and a node that opens some hundred
// streams a second to one engine runs out of local ports. The stream's context bounds
// the time of Drain, and maxTrailingLines bounds the lines that it reads.
func (s *Stream) Drain() {
	for range maxTrailingLines {
		if !s.decoder.lines.Scan() {
			return
		}
	}
}

// Close ends the stream. Unless the complete answer has been read, the engine sees
// that its caller has disconnected.
func (s *Stream) Close() { s.body.Close() }

// Decoder decodes the server-sent events of an answer.
type Decoder struct {
	lines   *bufio.Scanner
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
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) Decoder {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialBufferBytes), MaxEventBytes)
	return Decoder{lines: lines}
}

// Next returns the next event, io.EOF after the closing marker, or an error
// that wraps ErrTruncated, ErrEventTooLong or ErrMalformed.
func (d *Decoder) Next() (Event, error) {
	for d.lines.Scan() {
		data, ok := bytes.CutPrefix(d.lines.Bytes(), dataField)
		if !ok {
			continue // a comment, another field, or the empty line between events
		}
		data = bytes.TrimSpace(data)
		if string(data) == engineapi.DoneMarker {
			return Event{}, io.EOF
		}
		return d.decode(data)
	}
	return Event{}, d.endError()
}

func (d *Decoder) endError() error {
	err := d.lines.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return ErrEventTooLong
	}
	return errors.Join(ErrTruncated, err)
}

func (d *Decoder) decode(data []byte) (Event, error) {
	// Spans and choices are decoded into the same memory for each token. The memory
	// is cleared first, because json leaves the fields that an event omits unchanged.
	// If the memory were not cleared, a token would inherit a span or the text of an
	// earlier token.
	clear(d.trace.Spans[:cap(d.trace.Spans)])
	clear(d.choices[:cap(d.choices)])
	d.trace = engineapi.TokenTrace{Spans: d.trace.Spans[:0]}
	decoded := chunk{Trace: &d.trace, Choices: d.choices[:0]}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Event{}, errors.Join(ErrMalformed, err)
	}
	d.choices = decoded.Choices
	if decoded.Trace == nil || len(decoded.Choices) != 1 {
		return Event{}, ErrMalformed
	}
	first := &decoded.Choices[0]
	return Event{Token: first.Delta.Content, Trace: *decoded.Trace, Finish: first.FinishReason}, nil
}
