package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/cicadatack/cicadatack/state/wait"
)

// openRequest reserves a slot on a stage and on those behind it. Covered is
// how many tokens of KV cache the chain imports.
type openRequest struct {
	Chat    engineapi.ChatRequest `json:"chat"`
	Index   int                   `json:"index"`
	Covered int                   `json:"covered"`
}

type stepRequest struct {
	Stream   string `json:"stream"`
	Epoch    uint32 `json:"epoch"`
	Position int    `json:"position"`
	Hidden   uint64 `json:"hidden"`
}

type stepReply struct {
	Hidden uint64           `json:"hidden"`
	Spans  []engineapi.Span `json:"spans"`
}

type closeRequest struct {
	Stream    string `json:"stream"`
	Epoch     uint32 `json:"epoch"`
	Cancelled bool   `json:"cancelled"`
}

func (e *Engine) handleOpen(w http.ResponseWriter, r *http.Request) {
	var req openRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.Chat.Pipeline == nil {
		http.Error(w, "no pipeline", http.StatusBadRequest)
		return
	}
	if _, err := e.open(r.Context(), req); err != nil {
		e.countRefused()
		refuse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// handleWay answers for this stage and, over the link that activations take,
// for those behind it.
func (e *Engine) handleWay(w http.ResponseWriter, r *http.Request) {
	var req engineapi.WayRequest
	if !readJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	reply := engineapi.WayReply{Holdings: []engineapi.Report{e.report()}}
	delay := e.faults.ProbeDelay
	e.mu.Unlock()
	if !wait.For(r.Context(), delay) {
		return // nobody waits for the reply
	}
	if req.Index++; req.Index > 0 && req.Index < len(req.Chain) {
		var rest engineapi.WayReply
		if err := e.post(r.Context(), req.Chain[req.Index], engineapi.PathWay, req, &rest); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		reply.Holdings = append(reply.Holdings, rest.Holdings...)
	}
	e.mu.Lock()
	e.stats.Ways++
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

func (e *Engine) handleStep(w http.ResponseWriter, r *http.Request) {
	var req stepRequest
	if !readJSON(w, r, &req) {
		return
	}
	s, err := e.find(sessionKey{req.Stream, req.Epoch})
	if err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	stop := context.AfterFunc(r.Context(), func() { e.earlierStageGone(s) })
	defer stop()
	reply, err := e.step(s, req.Position, req.Hidden)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// earlierStageGone ends a stream whose earlier stage hung up during a step.
func (e *Engine) earlierStageGone(s *session) {
	e.waitThawed()
	if e.Faults().IgnoreCancel {
		return
	}
	e.finish(s, true)
}

func (e *Engine) handleClose(w http.ResponseWriter, r *http.Request) {
	var req closeRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.Cancelled {
		e.Cancel(req.Stream, req.Epoch)
	} else if s, err := e.find(sessionKey{req.Stream, req.Epoch}); err == nil {
		e.finish(s, false)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req engineapi.CancelRequest
	if !readJSON(w, r, &req) {
		return
	}
	e.Cancel(req.Stream, req.Epoch)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) countRefused() {
	e.mu.Lock()
	e.stats.Refused++
	e.mu.Unlock()
}

// post calls the next stage; a nil reply is not read.
func (e *Engine) post(ctx context.Context, to engineapi.Stage, path string, body, reply any) error {
	if e.Faults().CutNext {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	defer io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("stage %s: %s", to.Endpoint, resp.Status)
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(reply)
}
