package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	chunkObject  = "chat.completion.chunk"
	finishLength = "stop"
	// foreignStream and foreignToken are what the fault WrongStream sends.
	foreignStream = "another-callers-stream"
	foreignToken  = " FOREIGN"
)

// ownStreams numbers the streams of requests that name none.
var ownStreams atomic.Uint64

// answer is one answer underway on the first engine of a chain.
type answer struct {
	e     *Engine
	s     *session
	chat  engineapi.ChatRequest
	w     answerWriter
	state uint64
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var chat engineapi.ChatRequest
	if !readJSON(w, r, &chat) {
		return
	}
	if chat.Pipeline == nil {
		chat.Pipeline = e.wholeModel()
	}
	s, err := e.open(r.Context(), openRequest{Chat: chat, Covered: e.coveredByImport(r.Context(), chat.Pipeline)})
	if err != nil {
		e.countRefused()
		refuse(w, err)
		return
	}
	stop := context.AfterFunc(r.Context(), func() { e.callerGone(s) })
	defer stop()
	a := &answer{e: e, s: s, chat: chat, w: begin(w, e.Faults(), s.epoch)}
	err = a.run()
	e.finish(s, err != nil)
	a.w.end(err == nil)
}

// callerGone stops the work of a stream whose caller hung up. A frozen engine
// does not notice, so its later stages are not told either.
func (e *Engine) callerGone(s *session) {
	e.waitThawed()
	if !e.Faults().IgnoreCancel {
		s.cancel()
	}
}

// wholeModel is the chain of a request that names none: this engine alone.
func (e *Engine) wholeModel() *engineapi.Pipeline {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &engineapi.Pipeline{
		Stream:           "own-" + strconv.FormatUint(ownStreams.Add(1), 10),
		Epoch:            1,
		PlacementVersion: e.holding.PlacementVersion,
		Artifact:         engineapi.Artifact{Weights: e.holding.Weights},
		Chain:            []engineapi.Stage{{Endpoint: e.name(), Address: e.name(), First: e.holding.First, Last: e.holding.Last}},
	}
}

func (a *answer) run() error {
	a.state = promptState(a.chat.Messages)
	for _, token := range a.chat.Pipeline.ResumeTokens {
		a.state = appendToken(a.state, token)
	}
	length := answerLength(a.chat.MaxTokens)
	position := len(a.chat.Pipeline.ResumeTokens)
	for ; position < length; position++ {
		if err := a.sendStray(position); err != nil {
			return err
		}
		if err := a.token(position); err != nil {
			return err
		}
		if early := a.e.Faults().EarlyDone; early > 0 && position+1 >= early {
			return a.marker()
		}
	}
	return a.end(position)
}

// token makes one token and sends it.
func (a *answer) token(position int) error {
	if err := a.s.ctx.Err(); err != nil {
		return err
	}
	reply, err := a.e.step(a.s, position, firstHidden(a.state, position))
	if err != nil {
		return err
	}
	text := tokenText(reply.Hidden)
	a.state = appendToken(a.state, text)
	trace := engineapi.TokenTrace{
		Stream: a.s.stream, Epoch: a.s.epoch, Position: position,
		Spans: reply.Spans, Load: a.loadNowAndThen(position),
	}
	if err := a.sendLate(trace); err != nil {
		return err
	}
	if a.e.Faults().WrongStream {
		trace.Stream = foreignStream
		text = foreignToken
	}
	if a.e.Faults().WrongPosition {
		trace.Position++
	}
	return a.send(text, trace, nil)
}

func (a *answer) loadNowAndThen(position int) *engineapi.Load {
	resumed := len(a.chat.Pipeline.ResumeTokens)
	if (position-resumed)%a.e.cfg.LoadEvery != 0 {
		return nil
	}
	load := a.e.Load()
	return &load
}

// sendLate sends tokens of the epoch before, if that fault is in force.
func (a *answer) sendLate(trace engineapi.TokenTrace) error {
	late := a.e.Faults().LateTokens
	if a.s.epoch < 2 {
		return nil
	}
	trace.Epoch--
	for range late {
		if err := a.send(" LATE", trace, nil); err != nil {
			return err
		}
	}
	return nil
}

// end sends the event that closes an answer, and the marker after it.
func (a *answer) end(position int) error {
	if err := a.sendStray(position); err != nil {
		return err
	}
	reason := finishLength
	load := a.e.Load()
	trace := engineapi.TokenTrace{Stream: a.s.stream, Epoch: a.s.epoch, Position: position, Load: &load}
	if err := a.send("", trace, &reason); err != nil {
		return err
	}
	if err := a.sendStray(position + 1); err != nil {
		return err
	}
	if err := a.marker(); err != nil {
		return err
	}
	return a.sendStray(position + 2)
}

func (a *answer) marker() error {
	if _, err := fmt.Fprintf(a.w, "data: %s\n\n", engineapi.DoneMarker); err != nil {
		return err
	}
	a.flush()
	return nil
}

func (a *answer) send(text string, trace engineapi.TokenTrace, finish *string) error {
	chunk := engineapi.Chunk{
		ID: a.s.stream, Object: chunkObject, Model: a.chat.Model,
		Choices: []engineapi.Choice{{Delta: engineapi.Delta{Content: text}, FinishReason: finish}},
		Trace:   &trace,
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.w, "data: %s\n\n", data)
	a.flush()
	if err != nil && a.e.Faults().IgnoreCancel {
		return nil
	}
	return err
}

func (a *answer) flush() { a.w.Flush() }

// errNoBlob reports that an exported KV cache could not be fetched.
var errNoBlob = errors.New("the exported KV cache is not there")
