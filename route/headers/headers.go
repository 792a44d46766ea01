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

// CallHead is one request as its caller described it.
type CallHead struct {
	// ID is the name of this request; Echoed says that endpoints tell it back.
	ID     string
	IDEchoed bool
	// Key is the caller's credential, "" if there is none.
	Key string
	// Timeout is how long the caller waits; zero if it did not say.
	Timeout time.Duration
	// LastEventID is the last event that the caller has of a stream, "" if none.
	LastEventID string
	// PromptTokens is the prompt's length and MaxAnswerTokens the most tokens to generate; zero
	// if the caller did not say.
	PromptTokens, MaxAnswerTokens int
	// ExpectedTokens is the caller's estimate of the tokens that will be generated; right
	// at the median and often far off. Zero if there is none.
	ExpectedTokens int
}

// UpstreamFields is what the data path adds to a request for one endpoint.
type UpstreamFields struct {
	// ReplicaID is the endpoint's id: another endpoint at the same address refuses.
	ReplicaID string
	// Team holds the caller's key; "" for none.
	Team string
	// Remaining is the time in which an answer is of use.
	Remaining time.Duration
	// LastEventID replaces Call.LastEventID where an answer is resumed.
	LastEventID string
	// Path is empty for endpoints that serve alone.
	Path paths.Path
}

// LoadReport is what an endpoint says of itself along with an answer.
type LoadReport struct{ RunningRequests, WaitingRequests, Slots int }

// ResponseHead is what an answer's head says.
type ResponseHead struct {
	// RequestID is the request that it belongs to; "" if it does not say.
	RequestID string
	// InvalidReason says what keeps a success from being the endpoint's own as it made it;
	// "" if nothing does.
	InvalidReason string
	// NotRun says that the endpoint has not run the request and never will.
	NotRun bool
	// Misdirected says that another endpoint has the address, or that a part of the
	// path does not hold its layers.
	Misdirected bool
	// FaultAddress is the address of the part of the path that is at fault; "" if not said.
	FaultAddress string
	// Load is nil if the endpoint did not tell it.
	Load *LoadReport
	// IdleTimeout is how long the endpoint keeps the connection idle; zero if not said.
	IdleTimeout time.Duration
}

// Codec translates heads of requests and answers. Implementations hold no state.
type Codec interface {
	// ParseRequest decodes a caller's request. The error is for the caller to read.
	ParseRequest(h http.Header) (CallHead, error)
	// UpstreamHeader returns the head to send to an endpoint: the caller's, without what
	// concerns one connection or is the data path's to say, and with s.
	UpstreamHeader(h http.Header, s UpstreamFields) http.Header
	// ParseResponse decodes the head of an endpoint's answer.
	ParseResponse(status int, h http.Header) ResponseHead
	// DownstreamHeader removes from an endpoint's head what concerns one connection only.
	DownstreamHeader(h http.Header) http.Header
	// WriteRefusal writes an answer of the data path's own.
	WriteRefusal(w http.ResponseWriter, call CallHead, r *outcome.Refusal)
}
