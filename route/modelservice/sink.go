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

// sink writes an answer to the caller: as events when the caller asked for a
// stream, else gathered and written whole.
type sink struct {
	w       http.ResponseWriter
	flusher http.Flusher
	call    *callparser.Call
	stream  bool
	begun   bool
	text    strings.Builder
	tokens  int
	// before and after are what each token's event has around the token; event
	// is the space in which the next one is put together.
	before []byte
	after  []byte
	line   []byte
}

// result is what the last event of a stream says.
type result struct {
	Request string          `json:"request"`
	Outcome outcome.Outcome `json:"outcome"`
	Tokens  int             `json:"tokens"`
}

// lastChunk is the event that closes a whole answer.
type lastChunk struct {
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

func newSink(w http.ResponseWriter, c *callparser.Call, chat engineapi.ChatRequest) *sink {
	flusher, _ := w.(http.Flusher)
	s := &sink{w: w, flusher: flusher, call: c, stream: chat.Stream}
	s.before, s.after = s.frame()
	return s
}

// frame splits the event of a token where the token goes. All but the token is
// the same in every event of an answer, so it is encoded once.
func (s *sink) frame() (before, after []byte) {
	const mark = "\x00"
	quoted, _ := json.Marshal(mark)                                        // a string always encodes
	whole, _ := json.Marshal(s.chunk(engineapi.Delta{Content: mark}, nil)) // so do these fields
	before, after, _ = bytes.Cut(whole, quoted)
	return append([]byte(eventStart), before...), append(after, eventEnd...)
}

// deliver passes one checked token on.
func (s *sink) deliver(token string) error {
	s.tokens++
	if !s.stream {
		s.text.WriteString(token)
		return nil
	}
	s.begin()
	return s.token(token)
}

// token writes the event of one token.
func (s *sink) token(token string) error {
	quoted, err := json.Marshal(token)
	if err != nil {
		return err
	}
	s.line = append(s.line[:0], s.before...)
	s.line = append(s.line, quoted...)
	s.line = append(s.line, s.after...)
	return s.write(s.line)
}

func (s *sink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	h := s.w.Header()
	h.Set("Content-Type", typeEventStream)
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", outcome.Header)
	s.w.WriteHeader(http.StatusOK)
}

func (s *sink) chunk(delta engineapi.Delta, finish *string) engineapi.Chunk {
	return engineapi.Chunk{
		ID:      s.call.ID,
		Object:  objectChunk,
		Model:   s.call.Service.Name,
		Choices: []engineapi.Choice{{Delta: delta, FinishReason: finish}},
	}
}

func (s *sink) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.raw(data)
}

func (s *sink) raw(data []byte) error {
	line := make([]byte, 0, len(eventStart)+len(data)+len(eventEnd))
	line = append(line, eventStart...)
	line = append(line, data...)
	line = append(line, eventEnd...)
	return s.write(line)
}

// write sends one event at once: the caller wants the first part early.
func (s *sink) write(line []byte) error {
	if _, err := s.w.Write(line); err != nil {
		return err
	}
	if s.flusher != nil {
		s.flusher.Flush()
	}
	return nil
}

// finish closes a whole answer.
func (s *sink) finish(reason string, what outcome.Outcome) {
	r := result{Request: s.call.ID, Outcome: what, Tokens: s.tokens}
	if !s.stream {
		s.whole(reason, r)
		return
	}
	s.begin()
	// A caller who has gone by now has the whole answer all the same.
	_ = s.event(lastChunk{Chunk: s.chunk(engineapi.Delta{}, &reason), Result: r})
	_ = s.raw([]byte(engineapi.DoneMarker))
	s.w.Header().Set(outcome.Header, string(what))
}

func (s *sink) whole(reason string, r result) {
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
		Usage:  usage{CompletionTokens: s.tokens},
		Result: r,
	})
}

// fail ends an answer that is not whole. Once tokens have gone out the status
// can't change, so the last event carries the error and the closing marker is
// left out: no client takes the part for the whole.
func (s *sink) fail(refusal *outcome.Refusal) {
	if !s.begun {
		refusal.Write(s.w)
		return
	}
	_ = s.event(refusal.JSON())
	s.w.Header().Set(outcome.Header, string(refusal.Outcome))
}
