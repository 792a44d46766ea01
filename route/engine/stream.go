package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/cicadatack/cicadatack/platform/engineapi"
)

// MaxEventBytes bounds one event. A token with the spans of a few dozen
// stages takes a few kilobytes.
const MaxEventBytes = 64 << 10

const firstBufferBytes = 4 << 10

var dataField = []byte("data:")

// Event is one event of an answer.
type Event struct {
	// Token is the text that the event carries.
	Token string
	// Trace says where the token comes from. Its Spans are good until the
	// next call of Next.
	Trace engineapi.TokenTrace
	// Finish is the reason that the answer ended, empty before its last event.
	Finish string
}

// Stream is the answer to a chat request. It is for one goroutine.
type Stream struct {
	address string
	body    io.ReadCloser
	decoder Decoder
}

func newStream(address string, body io.ReadCloser) *Stream {
	return &Stream{address: address, body: body, decoder: NewDecoder(body)}
}

// Next returns the next event. It returns io.EOF after the marker that closes
// a whole answer, and an error that wraps ErrCutShort if the stream ended
// without it.
func (s *Stream) Next() (Event, error) {
	event, err := s.decoder.Next()
	if err == nil || errors.Is(err, io.EOF) {
		return event, err
	}
	return Event{}, wrap(s.address, Unknown, 0, err)
}

// Close ends the stream; the engine sees its caller gone unless the whole
// answer has been read.
func (s *Stream) Close() { s.body.Close() }

// Decoder reads the server-sent events of an answer.
type Decoder struct {
	lines *bufio.Scanner
	trace engineapi.TokenTrace
}

// NewDecoder returns a decoder of r.
func NewDecoder(r io.Reader) Decoder {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, firstBufferBytes), MaxEventBytes)
	return Decoder{lines: lines}
}

// Next returns the next event, io.EOF after the closing marker, or an error
// that wraps ErrCutShort, ErrEventTooLong or ErrMalformed.
func (d *Decoder) Next() (Event, error) {
	for d.lines.Scan() {
		data, ok := bytes.CutPrefix(d.lines.Bytes(), dataField)
		if !ok {
			continue // a comment, another field, or the line between events
		}
		data = bytes.TrimSpace(data)
		if string(data) == engineapi.DoneMarker {
			return Event{}, io.EOF
		}
		return d.event(data)
	}
	return Event{}, d.endOfLines()
}

func (d *Decoder) endOfLines() error {
	err := d.lines.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return ErrEventTooLong
	}
	return errors.Join(ErrCutShort, err)
}

func (d *Decoder) event(data []byte) (Event, error) {
	// The spans are decoded into the same memory for each token. They are
	// cleared first, because json leaves fields that an event omits as they
	// were: a token would inherit the span of the one before.
	clear(d.trace.Spans)
	d.trace = engineapi.TokenTrace{Spans: d.trace.Spans[:0]}
	chunk := engineapi.Chunk{Trace: &d.trace}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, errors.Join(ErrMalformed, err)
	}
	if chunk.Trace == nil || len(chunk.Choices) != 1 {
		return Event{}, ErrMalformed
	}
	event := Event{Token: chunk.Choices[0].Delta.Content, Trace: *chunk.Trace}
	if reason := chunk.Choices[0].FinishReason; reason != nil {
		event.Finish = *reason
	}
	return event, nil
}
