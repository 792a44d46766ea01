// Package outcome says whether a request was run, and writes refusals to callers.
//
// Every final answer carries one Outcome. NotRun needs proof: the request was never
// sent, the connection was refused, or the endpoint refused the request before any
// work.
package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a request was run.
type Outcome string

// Outcomes of a request. A request with the outcome Unknown may have been run.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Headers of requests and answers.
const (
	Header               = "Cicadatack-Outcome"
	HeaderRequest        = "Cicadatack-Request"
	HeaderReplica        = "Cicadatack-Replica"
	HeaderReplayed       = "Cicadatack-Replayed"
	HeaderTimeout        = "Cicadatack-Timeout-Ms"
	HeaderClass          = "Cicadatack-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
	contentTypeJSON      = "application/json"
)

// Refusal is an answer without a result. It says why there is none, whether the request
// was run, and when to retry.
type Refusal struct {
	Status  int
	Code    string
	Message string
	Outcome Outcome
	// RetryAfter is how long the caller should wait before a retry. If it is zero, the
	// answer has no Retry-After header.
	RetryAfter time.Duration
}

// Error implements error.
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

// JSON returns the body of the answer.
func (r *Refusal) JSON() Body {
	return Body{Error: BodyError{
		Code:             r.Code,
		Message:          r.Message,
		Outcome:          r.Outcome,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}}
}

// Write sends the refusal to the caller.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", contentTypeJSON)
	h.Set(Header, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(ceilSeconds(r.RetryAfter), 10))
	}
	w.WriteHeader(r.Status)
	// A write error means that the caller has disconnected, so there is nobody to tell.
	_ = json.NewEncoder(w).Encode(r.JSON())
}

// ceilSeconds rounds up: Retry-After has no fractions of a second, and a caller that
// retries too early is only refused again.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
