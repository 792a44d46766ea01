// Package headers names what the data path must know of a request and an answer,
// whatever the headers that carry it are called. An adapter implements Dialect for
// the protocol that callers and endpoints speak; the data path knows no header of it.
package headers

import (
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// Call is one request as its caller described it.
type Call struct {
	// ID is the name of this request; Echoed says that endpoints tell it back.
	ID     string
	Echoed bool
	// Key is the caller's credential, "" if there is none.
	Key string
	// Patience is how long the caller waits; zero if it did not say.
	Patience time.Duration
	// After is the last event that the caller has of a stream, "" if none.
	After string
	// Prompt is the prompt's length and MaxAnswer the most tokens to generate; zero
	// if the caller did not say.
	Prompt, MaxAnswer int
	// Expected is the caller's estimate of the tokens that will be generated; right
	// at the median and often far off. Zero if there is none.
	Expected int
}

// Sending is what the data path adds to a request for one endpoint.
type Sending struct {
	// Replica is the endpoint's id: another endpoint at the same address refuses.
	Replica string
	// Team holds the caller's key; "" for none.
	Team string
	// Left is the time in which an answer is of use.
	Left time.Duration
	// After replaces Call.After where an answer is resumed.
	After string
	// Path is empty for endpoints that serve alone.
	Path paths.Path
}

// Load is what an endpoint says of itself along with an answer.
type Load struct{ Running, Waiting, Slots int }

// Answer is what an answer's head says.
type Answer struct {
	// ID is the request that it belongs to; "" if it does not say.
	ID string
	// Unsound says what keeps a success from being the endpoint's own as it made it;
	// "" if nothing does.
	Unsound string
	// NotRun says that the endpoint has not run the request and never will.
	NotRun bool
	// Misdirected says that another endpoint has the address, or that a part of the
	// path does not hold its layers.
	Misdirected bool
	// Fault is the address of the part of the path that is at fault; "" if not said.
	Fault string
	// Load is nil if the endpoint did not tell it.
	Load *Load
	// KeepFor is how long the endpoint keeps the connection idle; zero if not said.
	KeepFor time.Duration
}

// Dialect translates heads of requests and answers. Implementations hold no state.
type Dialect interface {
	// Read decodes a caller's request. The error is for the caller to read.
	Read(h http.Header) (Call, error)
	// Forward returns the head to send to an endpoint: the caller's, without what
	// concerns one connection or is the data path's to say, and with s.
	Forward(h http.Header, s Sending) http.Header
	// Answer decodes the head of an endpoint's answer.
	Answer(status int, h http.Header) Answer
	// Return removes from an endpoint's head what concerns one connection only.
	Return(h http.Header) http.Header
	// Refuse writes an answer of the data path's own.
	Refuse(w http.ResponseWriter, call Call, r *outcome.Refusal)
}
