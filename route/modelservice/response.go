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

// responseWriter writes an answer to the caller: as server-sent events if the caller
// asked for a stream, else in one piece at the end.
type responseWriter struct {
	w             http.ResponseWriter
	flusher       http.Flusher
	call          *callparser.Call
	stream        bool
	headerWritten bool
	text          strings.Builder
	tokenCount    int
	// eventPrefix and eventSuffix surround the token in each token's event. eventBuffer
	// is the buffer in which an event is assembled.
	eventPrefix []byte
	eventSuffix []byte
	eventBuffer []byte
}

// result says how the call ended. It is part of a stream's last event and of an answer
// in one piece.
type result struct {
	Request string          `json:"request"`
	Outcome outcome.Outcome `json:"outcome"`
	Tokens  int             `json:"tokens"`
}

// finalChunk is the last event of a complete answer, before the closing marker.
type finalChunk struct {
	engineapi.Chunk
	Result result `json:"cicadatack"`
}

// completion is an answer in one piece.
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
	rw := &responseWriter{w: w, flusher: flusher, call: c, stream: chat.Stream}
	rw.eventPrefix, rw.eventSuffix = rw.encodeEventFrame()
	return rw
}

// encodeEventFrame encodes a token's event and splits it where the token goes. All but
// the token is the same in every event of an answer, so it is encoded once.
func (rw *responseWriter) encodeEventFrame() (prefix, suffix []byte) {
	const placeholder = "\x00"
	quoted, _ := json.Marshal(placeholder)                                         // can't fail for a string
	event, _ := json.Marshal(rw.chunk(engineapi.Delta{Content: placeholder}, nil)) // can't fail for these fields
	prefix, suffix, _ = bytes.Cut(event, quoted)
	return append([]byte(eventStart), prefix...), append(suffix, eventEnd...)
}

// writeToken passes one checked token to the caller, or collects the token for an
// answer in one piece.
func (rw *responseWriter) writeToken(token string) error {
	rw.tokenCount++
	if !rw.stream {
		rw.text.WriteString(token)
		return nil
	}
	rw.writeHeader()
	return rw.writeTokenEvent(token)
}

// writeTokenEvent writes the event of one token.
func (rw *responseWriter) writeTokenEvent(token string) error {
	quoted, err := json.Marshal(token)
	if err != nil {
		return err
	}
	rw.eventBuffer = append(rw.eventBuffer[:0], rw.eventPrefix...)
	rw.eventBuffer = append(rw.eventBuffer, quoted...)
	rw.eventBuffer = append(rw.eventBuffer, rw.eventSuffix...)
	return rw.writeAndFlush(rw.eventBuffer)
}

func (rw *responseWriter) writeHeader() {
	if rw.headerWritten {
		return
	}
	rw.headerWritten = true
	h := rw.w.Header()
	h.Set("Content-Type", typeEventStream)
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", outcome.Header)
	rw.w.WriteHeader(http.StatusOK)
}

func (rw *responseWriter) chunk(delta engineapi.Delta, finish *string) engineapi.Chunk {
	return engineapi.Chunk{
		ID:      rw.call.ID,
		Object:  objectChunk,
		Model:   rw.call.Service.Name,
		Choices: []engineapi.Choice{{Delta: delta, FinishReason: finish}},
	}
}

func (rw *responseWriter) writeJSONEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return rw.writeEvent(data)
}

func (rw *responseWriter) writeEvent(data []byte) error {
	event := make([]byte, 0, len(eventStart)+len(data)+len(eventEnd))
	event = append(event, eventStart...)
	event = append(event, data...)
	event = append(event, eventEnd...)
	return rw.writeAndFlush(event)
}

// writeAndFlush sends one event without buffering, so that the caller gets the first
// tokens early.
func (rw *responseWriter) writeAndFlush(event []byte) error {
	if _, err := rw.w.Write(event); err != nil {
		return err
	}
	if rw.flusher != nil {
		rw.flusher.Flush()
	}
	return nil
}

// finish ends a complete answer.
func (rw *responseWriter) finish(reason string, callOutcome outcome.Outcome) {
	r := result{Request: rw.call.ID, Outcome: callOutcome, Tokens: rw.tokenCount}
	if !rw.stream {
		rw.writeCompletion(reason, r)
		return
	}
	rw.writeHeader()
	// Write errors are ignored: all tokens have been sent.
	_ = rw.writeJSONEvent(finalChunk{Chunk: rw.chunk(engineapi.Delta{}, &reason), Result: r})
	_ = rw.writeEvent([]byte(engineapi.DoneMarker))
	rw.w.Header().Set(outcome.Header, string(callOutcome))
}

func (rw *responseWriter) writeCompletion(reason string, r result) {
	rw.w.Header().Set("Content-Type", "application/json")
	rw.w.Header().Set(outcome.Header, string(r.Outcome))
	// A write error means that the caller has disconnected, so there is nobody to tell.
	_ = json.NewEncoder(rw.w).Encode(completion{
		ID:     rw.call.ID,
		Object: objectCompletion,
		Model:  rw.call.Service.Name,
		Choices: []completionChoice{{
			Message:      engineapi.Message{Role: "assistant", Content: rw.text.String()},
			FinishReason: reason,
		}},
		Usage:  usage{CompletionTokens: rw.tokenCount},
		Result: r,
	})
}

// fail ends an incomplete answer. Once an event has been sent, the status can't change.
// The last event then carries the error, and the closing marker is left out, so that no
// client takes the partial answer for a complete one.
func (rw *responseWriter) fail(refusal *outcome.Refusal) {
	if !rw.headerWritten {
		refusal.Write(rw.w)
		return
	}
	_ = rw.writeJSONEvent(refusal.JSON())
	rw.w.Header().Set(outcome.Header, string(refusal.Outcome))
}
