package headers

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/route/outcome"
)

// Headers between two nodes, of which one serves a request on behalf of the other. They hold
// JSON.
const (
	headerForward       = "Cicadatack-Forward"
	headerForwardResult = "Cicadatack-Forward-Result"
)

// Forward is what a node says of a request that it forwards to another node.
type Forward struct {
	// Node is the name of the node that forwards the request.
	Node string `json:"node"`
	// Revision is the version of the configuration that the node has in force. A node with another
	// version must not serve the request.
	Revision int64 `json:"revision"`
	// Service is the service that the request was meant for.
	Service string `json:"service"`
	// CutOffFromAll is set if the node reaches no replica of any service.
	CutOffFromAll bool `json:"cut_off_from_all,omitempty"`
	// Admitted is set if the forwarding node has admitted the request under load control.
	Admitted bool `json:"admitted,omitempty"`
	// ElapsedMicros is the time since the request arrived from its caller.
	ElapsedMicros int64 `json:"elapsed_us"`
	// MayHaveRunOn are the first replicas that may have begun the request.
	MayHaveRunOn []string `json:"may_have_run_on,omitempty"`
	// ResumeAfter is the id of the last event that the caller has; empty if it has none.
	ResumeAfter string `json:"resume_after,omitempty"`
}

// maxElapsed is above the time for which any caller waits.
const maxElapsed = 24 * time.Hour

// Elapsed is the time since the request arrived from its caller.
func (f Forward) Elapsed() time.Duration { return time.Duration(f.ElapsedMicros) * time.Microsecond }

// Set writes the header.
func (f Forward) Set(h http.Header) { setJSON(h, headerForward, f) }

// TakeForward reads the header and removes it. ok is false if it is missing or can't be read.
func TakeForward(h http.Header) (f Forward, ok bool) {
	ok = takeJSON(h, headerForward, &f) && f.Node != "" && f.ElapsedMicros >= 0 && f.ElapsedMicros <= maxElapsed.Microseconds()
	return f, ok
}

// ForwardResult is what the node that serves a forwarded request says of its answer.
type ForwardResult struct {
	// Replica is the first replica of the request, if the answer is a replica's.
	Replica string `json:"replica,omitempty"`
	// Refusal is set if the node itself refused the request.
	Refusal *ForwardRefusal `json:"refusal,omitempty"`
	// Revision is the version of the configuration that the node has in force.
	Revision int64 `json:"revision,omitempty"`
	// Serving are nodes that serve the requests of the node that refuses, as it reaches no replica
	// either.
	Serving []string `json:"serving,omitempty"`
}

// RefusedAs reports whether the node refused the request for a reason, so that it has not run.
func (r ForwardResult) RefusedAs(code string) bool {
	return r.Refusal != nil && r.Refusal.Code == code && r.Refusal.Outcome == outcome.NotRun
}

// ForwardRefusal is the refusal of a forwarded request.
type ForwardRefusal struct {
	Code             string          `json:"code"`
	Message          string          `json:"message"`
	Outcome          outcome.Outcome `json:"outcome"`
	RetryAfterMicros int64           `json:"retry_after_us,omitempty"`
}

// Set writes the header.
func (r ForwardResult) Set(h http.Header) { setJSON(h, headerForwardResult, r) }

// TakeForwardResult reads the header and removes it. ok is false if it is missing or can't be
// read.
func TakeForwardResult(h http.Header) (r ForwardResult, ok bool) {
	ok = takeJSON(h, headerForwardResult, &r)
	return r, ok
}

func setJSON(h http.Header, name string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	h.Set(name, string(data))
}

func takeJSON(h http.Header, name string, value any) bool {
	text := h.Get(name)
	h.Del(name)
	return text != "" && json.Unmarshal([]byte(text), value) == nil
}
