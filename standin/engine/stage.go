package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// pushbackError is the refusal of an engine that wants no further requests for a time, in
// seconds.
type pushbackError struct{ retryAfter string }

// Error implements error.
func (p *pushbackError) Error() string { return "the engine wants no requests" }

// errRefusedNext wraps a refusal of a later stage before any work.
var errRefusedNext = errors.New("a later stage refused")

// open takes a slot here and on every later stage, or none at all.
func (e *Engine) open(ctx context.Context, req openRequest) (*session, error) {
	p := req.Chat.Pipeline
	if req.Index < 0 || req.Index >= len(p.Chain) {
		return nil, errHolding
	}
	if err := e.admit(p, req.Index); err != nil {
		return nil, err
	}
	if err := e.acquire(ctx, req.Index == 0); err != nil {
		return nil, err
	}
	s, err := e.register(p, req)
	if err != nil {
		return nil, err
	}
	if next, ok := s.next(); ok {
		req.Index++
		if err := e.post(ctx, next, pathOpen, req, nil); err != nil {
			e.finish(s, true)
			return nil, fmt.Errorf("%w: %w", errRefusedNext, err)
		}
	}
	return s, nil
}

// admit refuses what this engine will not run.
func (e *Engine) admit(p *engineapi.Pipeline, index int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Drain || e.holding.Role == engineapi.RoleDrain {
		return errDraining
	}
	if e.faults.Refuse {
		return &pushbackError{retryAfter: e.faults.RetryAfter}
	}
	stage := p.Chain[index]
	holds := stage.First == e.holding.First && stage.Last == e.holding.Last && e.report().Runs(p.Artifact)
	if e.cfg.CheckFencing && (!holds || p.PlacementVersion != e.holding.PlacementVersion) {
		return errHolding
	}
	return nil
}

// register enters the session that a slot has been taken for. An epoch that
// has been cancelled or overtaken gives the slot back.
func (e *Engine) register(p *engineapi.Pipeline, req openRequest) (*session, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table.stale(p.Stream, p.Epoch) || e.table.sessions[sessionKey{p.Stream, p.Epoch}] != nil {
		e.release()
		return nil, errCancelled
	}
	if p.Epoch > 0 {
		for _, older := range e.table.upTo(p.Stream, p.Epoch-1) {
			e.drop(older)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{
		stream: p.Stream, epoch: p.Epoch, chain: p.Chain, index: req.Index,
		first: e.holding.First, last: e.holding.Last, artifact: p.Artifact,
		ctx: ctx, cancel: cancel, lastUsed: time.Now(),
	}
	s.prefillDue, s.tokens = e.prefill(req)
	e.table.add(s)
	e.stats.Opened++
	if p.Adapter != "" && e.holds(p.Adapter) {
		e.artifacts.uses[p.Adapter]++
	}
	return s, nil
}

// prefill returns the time to build the KV cache of prompt and resumed tokens,
// and their number. The caller holds mu.
func (e *Engine) prefill(req openRequest) (time.Duration, int) {
	words := promptWords(req.Chat.Messages)
	total := len(words) + len(req.Chat.Pipeline.ResumeTokens)
	cached := e.cache.store(req.Chat.Messages)
	if req.Covered > 0 {
		e.stats.Imported++
		covered := min(req.Covered, total)
		imported := e.cfg.ImportFixed + time.Duration(covered)*e.cfg.ImportToken
		return imported + time.Duration(total-covered)*e.cfg.PrefillToken, total
	}
	e.stats.Recomputed++
	return time.Duration(total-cached) * e.cfg.PrefillToken, total
}

// step runs this stage's layers and those of all later stages on one token.
func (e *Engine) step(s *session, position int, hidden uint64) (stepReply, error) {
	start := time.Now()
	if err := e.work(s.ctx, e.takeDue(s)); err != nil {
		return stepReply{}, err
	}
	layers := e.layersToRun(s)
	artifact := e.runs(s)
	for _, layer := range layers {
		hidden = runLayer(hidden^salt(artifact), layer)
	}
	reply := stepReply{Hidden: hidden}
	if next, ok := s.next(); ok {
		req := stepRequest{Stream: s.stream, Epoch: s.epoch, Position: position, Hidden: hidden}
		if err := e.post(s.ctx, next, pathStep, req, &reply); err != nil {
			return stepReply{}, err
		}
	}
	own := time.Since(start).Microseconds() - totalMicros(reply.Spans)
	reply.Spans = append(e.spansOf(layers, artifact, max(own, 0)), reply.Spans...)
	return reply, nil
}

// takeDue returns the time of the next step, prefill included.
func (e *Engine) takeDue(s *session) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	due := s.prefillDue + e.stepTime(len(e.table.sessions))
	s.prefillDue = 0
	s.tokens++
	e.stats.Steps++
	return due
}

// layersToRun lists the layers in the order in which they run, faults included.
func (e *Engine) layersToRun(s *session) []int {
	faults := e.Faults()
	layers := make([]int, 0, s.last-s.first+2)
	for layer := s.first; layer <= s.last; layer++ {
		if faults.SkipLayer != nil && *faults.SkipLayer == layer {
			continue
		}
		layers = append(layers, layer)
		if faults.RepeatLayer != nil && *faults.RepeatLayer == layer {
			layers = append(layers, layer)
		}
	}
	return layers
}

// spansOf describes a run of layers truthfully; the first span carries the time.
func (e *Engine) spansOf(layers []int, artifact engineapi.Artifact, micros int64) []engineapi.Span {
	var spans []engineapi.Span
	for i, layer := range layers {
		if i > 0 && layer == layers[i-1]+1 {
			spans[len(spans)-1].Last = layer
			continue
		}
		spans = append(spans, engineapi.Span{Endpoint: e.name(), First: layer, Last: layer, Artifact: artifact})
	}
	if len(spans) > 0 {
		spans[0].Micros = micros
	}
	return spans
}

func totalMicros(spans []engineapi.Span) int64 {
	total := int64(0)
	for _, s := range spans {
		total += s.Micros
	}
	return total
}

// finish ends a session here and on the later stages. If another stream waits for the slot, the
// later stages free theirs first: that stream needs all of them, and later stages have no queue.
func (e *Engine) finish(s *session, cancelled bool) {
	e.mu.Lock()
	if cancelled {
		e.table.rememberCancel(s.stream, s.epoch)
		e.stats.Cancelled++
	}
	handsOver := len(e.slots.waiting) > 0
	if !handsOver {
		e.drop(s)
	}
	e.mu.Unlock()
	e.closeNext(s, cancelled)
	if handsOver {
		e.mu.Lock()
		e.drop(s)
		e.mu.Unlock()
	}
}

func (e *Engine) closeNext(s *session, cancelled bool) {
	next, ok := s.next()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// The error is dropped: a stage that cannot be told frees the slot when
	// it is needed, see reapIdle.
	e.post(ctx, next, pathClose, closeRequest{Stream: s.stream, Epoch: s.epoch, Cancelled: cancelled}, nil)
}

// Cancel ends the epochs of a stream up to the given one, zero meaning all,
// here and on the later stages.
func (e *Engine) Cancel(stream string, epoch uint32) {
	if epoch == 0 {
		epoch = ^uint32(0)
	}
	for _, s := range e.cancelHere(stream, epoch) {
		// The first stage's own handler closes the later ones.
		if s.index > 0 {
			e.background(func() { e.closeNext(s, true) })
		}
	}
}

// cancelHere ends the sessions that a cancel is meant for and returns them.
func (e *Engine) cancelHere(stream string, epoch uint32) []*session {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.IgnoreCancel {
		return nil
	}
	e.table.rememberCancel(stream, epoch)
	ended := e.table.upTo(stream, epoch)
	for _, s := range ended {
		e.stats.Cancelled++
		if s.index == 0 && len(e.slots.waiting) > 0 {
			s.cancel() // its handler finishes it, and hands the slot over in order
			continue
		}
		e.drop(s)
	}
	return ended
}

// background runs f unless the engine is closed.
func (e *Engine) background(f func()) {
	if !e.begin() {
		return
	}
	go func() {
		defer e.wg.Done()
		f()
	}()
}
