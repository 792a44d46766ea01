package modelservice

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cicadatack/cicadatack/route/callparser"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
	typeEventStream  = "text/event-stream"
	eventStart       = "data: "
	eventEnd         = "\n\n"
)

// responseWriter writes an answer to the caller: as events when the caller asked for a
// stream, else gathered and written whole.
type responseWriter struct {
	w       http.ResponseWriter
	flusher http.Flusher
	call    *callparser.Call
	stream  bool
	headerWritten   bool
	text    strings.Builder
	tokenCount  int
	// eventPrefix and after are what each token's event has around the token; event
	// is the space in which the next one is put together.
	eventPrefix []byte
	eventSuffix  []byte
	eventBuffer   []byte
}

// result is what the last event of a stream says.
type result struct {
	Request string          `json:"request"`
	Outcome outcome.Outcome `json:"outcome"`
	Tokens  int             `json:"tokens"`
}

// finalChunk is the event that closes a whole answer.
type finalChunk struct {
	engineapi.Chunk
	Result result `json:"cicadatack"`
}

// completion is the answer in one piece.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
	Result  result             `json:"cicadatack"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      engineapi.Message `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func newResponseWriter(w http.ResponseWriter, c *callparser.Call, chat engineapi.ChatRequest) *responseWriter {
	flusher, _ := w.(http.Flusher)
	s := &responseWriter{w: w, flusher: flusher, call: c, stream: chat.Stream}
	s.eventPrefix, s.eventSuffix = s.encodeEventFrame()
	return s
}

// encodeEventFrame splits the event of a token where the token goes. All but the token is
// the same in every event of an answer, so it is encoded once.
func (s *responseWriter) encodeEventFrame() (before, after []byte) {
	const placeholder = "\x00"
	quoted, _ := json.Marshal(placeholder)                                        // a string always encodes
	event, _ := json.Marshal(s.chunk(engineapi.Delta{Content: placeholder}, nil)) // so do these fields
	before, after, _ = bytes.Cut(event, quoted)
	return append([]byte(eventStart), before...), append(after, eventEnd...)
}

// writeToken passes one checked token on.
func (s *responseWriter) writeToken(token string) error {
	s.tokenCount++
	if !s.stream {
		s.text.WriteString(token)
		return nil
	}
	s.writeHeader()
	return s.writeTokenEvent(token)
}

// writeTokenEvent writes the event of one writeTokenEvent.
func (s *responseWriter) writeTokenEvent(token string) error {
	quoted, err := json.Marshal(token)
	if err != nil {
		return err
	}
	s.eventBuffer = append(s.eventBuffer[:0], s.eventPrefix...)
	s.eventBuffer = append(s.eventBuffer, quoted...)
	s.eventBuffer = append(s.eventBuffer, s.eventSuffix...)
	return s.writeAndFlush(s.eventBuffer)
}

func (s *responseWriter) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	h := s.w.Header()
	h.Set("Content-Type", typeEventStream)
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", outcome.Header)
	s.w.WriteHeader(http.StatusOK)
}

func (s *responseWriter) chunk(delta engineapi.Delta, finish *string) engineapi.Chunk {
	return engineapi.Chunk{
		ID:      s.call.ID,
		Object:  objectChunk,
		Model:   s.call.Service.Name,
		Choices: []engineapi.Choice{{Delta: delta, FinishReason: finish}},
	}
}

func (s *responseWriter) writeJSONEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeEvent(data)
}

func (s *responseWriter) writeEvent(data []byte) error {
	line := make([]byte, 0, len(eventStart)+len(data)+len(eventEnd))
	line = append(line, eventStart...)
	line = append(line, data...)
	line = append(line, eventEnd...)
	return s.writeAndFlush(line)
}

// writeAndFlush sends one event at once: the caller wants the first part early.
func (s *responseWriter) writeAndFlush(line []byte) error {
	if _, err := s.w.Write(line); err != nil {
		return err
	}
	if s.flusher != nil {
		s.flusher.Flush()
	}
	return nil
}

// finish closes a whole answer.
func (s *responseWriter) finish(reason string, callOutcome outcome.Outcome) {
	r := result{Request: s.call.ID, Outcome: callOutcome, Tokens: s.tokenCount}
	if !s.stream {
		s.writeCompletion(reason, r)
		return
	}
	s.writeHeader()
	// A caller who has gone by now has the whole answer all the same.
	_ = s.writeJSONEvent(finalChunk{Chunk: s.chunk(engineapi.Delta{}, &reason), Result: r})
	_ = s.writeEvent([]byte(engineapi.DoneMarker))
	s.w.Header().Set(outcome.Header, string(callOutcome))
}

func (s *responseWriter) writeCompletion(reason string, r result) {
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(outcome.Header, string(r.Outcome))
	// The caller may have gone; there is nobody left to tell.
	_ = json.NewEncoder(s.w).Encode(completion{
		ID:     s.call.ID,
		Object: objectCompletion,
		Model:  s.call.Service.Name,
		Choices: []completionChoice{{
			Message:      engineapi.Message{Role: "assistant", Content: s.text.String()},
			FinishReason: reason,
		}},
		Usage:  usage{CompletionTokens: s.tokenCount},
		Result: r,
	})
}

// fail ends an answer that is not whole. Once tokens have gone out the status
// can't change, so the last event carries the error and the closing marker is
// left out: no client takes the part for the whole.
func (s *responseWriter) fail(refusal *outcome.Refusal) {
	if !s.headerWritten {
		refusal.Write(s.w)
		return
	}
	_ = s.writeJSONEvent(refusal.JSON())
	s.w.Header().Set(outcome.Header, string(refusal.Outcome))
}
