// Package headers describes what package relay has to know of requests and responses,
// independent of the names of the HTTP headers that carry it. A Codec translates the
// headers of one protocol; package relay itself knows none of these headers.
package headers

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/pushback"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// CallHead is what the headers of a caller's request say.
type CallHead struct {
	// ID identifies the request. IDEchoed says that endpoints repeat the ID in their
	// responses.
	ID       string
	IDEchoed bool
	// Key is the caller's API key; empty if there is none.
	Key string
	// Timeout is how long the caller waits for the answer; zero if not stated.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller has of a stream; empty if
	// none.
	LastEventID string
	// PromptTokens is the length of the prompt, MaxAnswerTokens the maximum number of
	// tokens to generate; zero if not stated.
	PromptTokens, MaxAnswerTokens int
	// ExpectedTokens is the caller's estimate of the number of tokens that will be
	// generated; zero if there is none. The estimates are right at the median, but
	// single estimates are often far off.
	ExpectedTokens int
	// PromptParts are the IDs of the parts of the prompt that requests may share, in order. The
	// last part of a prompt is the request's own and is left out.
	PromptParts []string
	// OwnPart is the ID of the last part; empty if the prompt has no parts.
	OwnPart string
}

// UpstreamFields is what package relay adds to a request that it sends to an endpoint.
type UpstreamFields struct {
	// ReplicaID is the endpoint's ID. If another endpoint has taken over the address,
	// it refuses the request because of this ID.
	ReplicaID string
	// Team is the team that the caller's key belongs to; empty if there is none.
	Team string
	// Remaining is how much longer an answer is of use.
	Remaining time.Duration
	// LastEventID replaces CallHead.LastEventID when package relay resumes a stream.
	LastEventID string
	// Priority, if not nil, is the priority of the request at the endpoint, from 0 for the most
	// urgent to 9.
	Priority *int
	// Path lists, in order, the replicas that the request passes through; empty if one
	// endpoint serves the request alone.
	Path paths.Path
}

// LoadReport is the load that an endpoint reports in a response.
type LoadReport struct{ RunningRequests, WaitingRequests, Slots int }

// RateLimit is the limit on requests that an endpoint states in a response. It applies to the
// requests of all nodes together, for as long as the endpoint states it.
type RateLimit struct {
	// Stated says that the response states a limit. RequestsPerSecond is 0 or more.
	Stated            bool
	RequestsPerSecond float64
	// Malformed is the text of a limit that can't be read; empty if there is none.
	Malformed string
}

// ParseRateLimit reads a limit in requests per second, a decimal number. An empty text states
// no limit.
func ParseRateLimit(text string) RateLimit {
	if text == "" {
		return RateLimit{}
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return RateLimit{Malformed: text}
	}
	return RateLimit{Stated: true, RequestsPerSecond: rate}
}

// Pushback is how long an endpoint that refuses a request wants no further requests from this
// node.
type Pushback struct {
	// Duration is 0 if the response states no time.
	Duration time.Duration
	// Malformed is the text of a time that can't be read; empty if there is none.
	Malformed string
}

// ParsePushback reads what a response with the given status states in its header Retry-After: a
// time in seconds, a decimal number, or a date. Only a refusal with status 503 states a pushback.
// With status 429, the time concerns one caller and not the node.
//
// A date is compared with the header Date of the same response, because the clocks of two machines
// may differ. A date without it can't be read.
func ParsePushback(status int, h http.Header) Pushback {
	text := h.Get("Retry-After")
	if status != http.StatusServiceUnavailable || text == "" {
		return Pushback{}
	}
	if until, err := http.ParseTime(text); err == nil {
		sent, err := http.ParseTime(h.Get("Date"))
		if err != nil {
			return Pushback{Malformed: text}
		}
		return Pushback{Duration: max(0, min(until.Sub(sent), pushback.MaxDuration))}
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return Pushback{Malformed: text}
	}
	return Pushback{Duration: time.Duration(min(seconds, pushback.MaxDuration.Seconds()) * float64(time.Second))}
}

// Leaving says whether an endpoint is about to exit and wants no new requests.
type Leaving struct {
	Stated bool
	// Malformed is the text that can't be read; empty if there is none.
	Malformed string
}

// ParseLeaving reads what an endpoint states about its leaving: "1" if it is leaving, "0" or
// nothing if it is not.
func ParseLeaving(text string) Leaving {
	switch strings.TrimSpace(text) {
	case "", "0":
		return Leaving{}
	case "1":
		return Leaving{Stated: true}
	}
	return Leaving{Malformed: text}
}

// ResponseHead is what the status and the headers of an endpoint's response say.
type ResponseHead struct {
	// RequestID is the ID of the request that the response belongs to; empty if not
	// stated.
	RequestID string
	// InvalidReason says why a successful response can't be the endpoint's own,
	// unmodified response; empty if it can.
	InvalidReason string
	// NotRun says that the endpoint has not run the request and never will.
	NotRun bool
	// Misdirected says that another endpoint has the address, or that a replica of the
	// path does not hold its layers.
	Misdirected bool
	// FaultAddress is the address of the replica of the path that failed; empty if not
	// stated.
	FaultAddress string
	// Load is nil if the response contains no load report.
	Load *LoadReport
	// RateLimit is the limit on requests that the endpoint states.
	RateLimit RateLimit
	// Pushback is how long the endpoint wants no further requests.
	Pushback Pushback
	// Leaving says whether the endpoint is about to exit.
	Leaving Leaving
	// IdleTimeout is how long the endpoint keeps an idle connection open; zero if not
	// stated.
	IdleTimeout time.Duration
}

// Codec translates the headers of one protocol. Implementations hold no state.
type Codec interface {
	// ParseRequest decodes the headers of a caller's request. The text of the error is
	// sent to the caller.
	ParseRequest(h http.Header) (CallHead, error)
	// UpstreamHeader returns the headers to send to an endpoint: the caller's headers
	// with fields added. Headers of a single connection, and headers that only package
	// relay may set, are removed from the caller's.
	UpstreamHeader(h http.Header, s UpstreamFields) http.Header
	// ParseResponse decodes the status and the headers of an endpoint's response.
	ParseResponse(status int, h http.Header) ResponseHead
	// DownstreamHeader returns an endpoint's headers without those of a single
	// connection.
	DownstreamHeader(h http.Header) http.Header
	// PromisesNotRun reports whether callers take the status of an answer as a promise that the
	// request has not run and never will.
	PromisesNotRun(status int) bool
	// NumericEventFields returns the names of the fields that events of endpoints' streams may have
	// beside the id and the data. Their values are whole numbers.
	NumericEventFields() []string
	// WriteRefusal writes a refusal by package relay itself.
	WriteRefusal(w http.ResponseWriter, call CallHead, r *outcome.Refusal)
}
