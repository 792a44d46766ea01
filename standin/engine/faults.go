package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Faults is what is wrong with an engine. It is the body of POST /control,
// which replaces the faults in force.
type Faults struct {
	// ProbeDelay is how long the engine waits before it answers a probe along the chain.
	ProbeDelay time.Duration `json:"probe_delay_ns,omitempty"`
	// Freeze stops every answer, /control aside, until it is lifted.
	Freeze bool `json:"freeze,omitempty"`
	// Busy holds every step, as work on a long prompt does, until it is lifted;
	// all other calls are answered.
	Busy bool `json:"busy,omitempty"`
	// Slow multiplies the time of each step; zero means one.
	Slow float64 `json:"slow,omitempty"`
	// SlowPerToken is added to each step.
	SlowPerToken time.Duration `json:"slow_per_token_ns,omitempty"`
	// SkipLayer and RepeatLayer name a layer that is left out or run twice.
	SkipLayer   *int `json:"skip_layer,omitempty"`
	RepeatLayer *int `json:"repeat_layer,omitempty"`
	// WrongStream sends another caller's token, labelled as such, in place of
	// each token; WrongPosition mislabels each token.
	WrongStream   bool `json:"wrong_stream,omitempty"`
	WrongPosition bool `json:"wrong_position,omitempty"`
	// LateTokens is how many tokens labelled with the epoch before precede
	// each token of a stream's later epochs.
	LateTokens int `json:"late_tokens,omitempty"`
	// IgnoreCancel makes the engine work on after a cancel or a caller gone.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// CutNext loses every call to the next stage: no answer, no error.
	CutNext bool `json:"cut_next,omitempty"`
	// EarlyDone ends an answer after this many tokens with the marker that
	// closes a stream, but without the event that closes the answer.
	EarlyDone int `json:"early_done,omitempty"`
	// Refuse refuses new streams with 503. RetryAfter is what these refusals state, in
	// seconds; empty for nothing.
	Refuse     bool   `json:"refuse,omitempty"`
	RetryAfter string `json:"retry_after,omitempty"`
	// Stray are bytes that the engine sends with its answers. Unframed ends answers with their connection,
	// without a length or chunks.
	Stray    Stray `json:"stray,omitzero"`
	Unframed bool  `json:"unframed,omitempty"`
	// Status and ContentType are those of answers, if set.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	// Drain reports draining and refuses new streams; those underway finish.
	Drain bool `json:"drain,omitempty"`
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Freeze && e.thaw == nil {
		e.thaw = make(chan struct{})
	}
	if !f.Freeze && e.thaw != nil {
		close(e.thaw)
		e.thaw = nil
	}
	if f.Busy && e.idle == nil {
		e.idle = make(chan struct{})
	}
	if !f.Busy && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
	e.faults = f
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// waitThawed blocks while the engine is frozen. Like a stopped process it
// does not notice that a caller has gone.
func (e *Engine) waitThawed() {
	for {
		e.mu.Lock()
		thaw := e.thaw
		e.mu.Unlock()
		if thaw == nil {
			return
		}
		select {
		case <-thaw:
		case <-e.closed:
			return
		}
	}
}

// waitIdle blocks while the engine is busy with something else.
func (e *Engine) waitIdle(ctx context.Context) {
	e.mu.Lock()
	idle := e.idle
	e.mu.Unlock()
	if idle == nil {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	case <-e.closed:
	}
}

// work passes the time of a step, or of what prefill is due before it.
func (e *Engine) work(ctx context.Context, d time.Duration) error {
	e.waitThawed()
	e.waitIdle(ctx)
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	case <-e.closed:
		return errClosed
	}
	e.waitThawed()
	return ctx.Err()
}

func (e *Engine) handleControl(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
