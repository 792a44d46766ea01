// Package outcome says what became of a request, and writes it to the caller.
//
// Every final answer carries one Outcome. NotRun may be claimed only from a
// state that proves it: the request was never sent, the connection was
// refused, or the endpoint itself refused before any work.
package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome is what became of a request.
type Outcome string

// The three outcomes.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Headers of every final answer.
const (
	Header          = "Cicadatack-Outcome"
	HeaderRequest   = "Cicadatack-Request"
	HeaderReplica   = "Cicadatack-Replica"
	HeaderReplayed  = "Cicadatack-Replayed"
	HeaderTimeout   = "Cicadatack-Timeout-Ms"
	HeaderClass     = "Cicadatack-Class"
	HeaderIdempotencyKey  = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
	contentTypeJSON = "application/json"
)

// Refusal is an answer that carries no result: why, what became of the
// request, and when it makes sense to come back.
type Refusal struct {
	Status  int
	Code    string
	Message string
	Outcome Outcome
	// RetryAfter is how long the caller should wait; zero says nothing.
	RetryAfter time.Duration
}

// Error makes a Refusal usable as an error.
func (r *Refusal) Error() string {
	return r.Code + ": " + r.Message
}

// Body is the JSON form of a Refusal.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of Body.
type BodyError struct {
	Code             string  `json:"code"`
	Message          string  `json:"message"`
	Outcome          Outcome `json:"outcome"`
	RetryAfterMillis int64   `json:"retry_after_ms,omitempty"`
}

// JSON returns the refusal as a caller reads it.
func (r *Refusal) JSON() Body {
	return Body{Error: BodyError{
		Code:             r.Code,
		Message:          r.Message,
		Outcome:          r.Outcome,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}}
}

// Write sends the refusal as the whole answer.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", contentTypeJSON)
	h.Set(Header, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(ceilSeconds(r.RetryAfter), 10))
	}
	w.WriteHeader(r.Status)
	// The caller may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(r.JSON())
}

// ceilSeconds rounds up, as Retry-After has no fractions and coming back too
// early only meets another refusal.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
