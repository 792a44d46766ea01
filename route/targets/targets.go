package targets

import (
	"context"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/route/endpointlimits"
)

// ErrNoEndpoint means that no endpoint is available. ErrNoCapacity means that endpoints are
// available but have no capacity, or may be sent no request now because of their rate limits.
var (
	ErrNoEndpoint = errors.New("no endpoint is available")
	ErrNoCapacity = errors.New("no endpoint has capacity")
)

// ErrUnreachable means that endpoints could serve the request, but this node can't reach those
// that the request needs. Another node may reach them. errors.Is(err, ErrNoEndpoint) is true.
var ErrUnreachable error = unreachableError{}

type unreachableError struct{}

// Error implements error.
func (unreachableError) Error() string { return "this node reaches no endpoint that could serve" }

// Is implements the interface that errors.Is uses.
func (unreachableError) Is(target error) bool { return target == ErrNoEndpoint }

// PushbackError means that replicas could serve a request, but want none before Until, which is
// too late for the request. errors.Is(err, ErrNoCapacity) is true.
type PushbackError struct{ Until time.Time }

// Error implements error.
func (p *PushbackError) Error() string { return "the endpoints that could serve want no requests now" }

// Is implements the interface that errors.Is uses.
func (p *PushbackError) Is(target error) bool { return target == ErrNoCapacity }

// BlockedError returns the error of a request that no replica can serve in time because of what
// the replicas state: a PushbackError if some of them want no requests, otherwise ErrNoCapacity.
func BlockedError(limits *endpointlimits.Limits, blocked []string) error {
	if until := limits.PushbackEnd(blocked); !until.IsZero() {
		return &PushbackError{Until: until}
	}
	return ErrNoCapacity
}

// Query describes the target that an attempt needs.
type Query struct {
	// Tokens is the number of tokens that the request is expected to hold in the KV cache at
	// its end.
	Tokens float64
	// PrefillTokens is the number of tokens to prefill before the first event.
	PrefillTokens float64
	// Exclude lists replicas that have failed this request.
	Exclude []string
	// AllowedFirstReplicas, if not empty, lists the only replicas that may receive the request.
	AllowedFirstReplicas []string
	// NonIdempotent requests must not run twice. They are not used to probe endpoints that
	// failed recently.
	NonIdempotent bool
	// Rank orders the requests that wait for capacity; requests of rank 0 come first.
	Rank int
	// OnTimeUntil is the latest time at which an attempt can begin so that its answer is still
	// on time. After this time the request waits behind all requests that can still be on time.
	OnTimeUntil time.Time
	// WaitUntil is the time up to which the request may wait for capacity.
	WaitUntil time.Time
	// FailIfUnreachable makes Choose fail with ErrUnreachable at once if the endpoints that could
	// serve are out of this node's reach. Otherwise Choose waits for them as for capacity.
	FailIfUnreachable bool
}

// Target is the destination of one attempt.
type Target struct {
	Replica string
	// Incarnation is that of the replica when it was chosen; 0 if it is not known.
	Incarnation int64
	// Version is the version of the replica's software; "" if it is not known.
	Version string
	Address string
	Domain  string
	// Path is empty for plain services.
	Path paths.Path
	// MaxConns bounds this node's connections to the endpoint; zero for no bound.
	MaxConns int
	// Active is the request that runs along Path; nil for plain services.
	Active *ActiveRequest
	// Choice is the balancer's choice with its alternatives; nil for paths.
	Choice *balance.Choice
}

// ReplicaByAddress returns the replica of the path at an address, or "".
func (t Target) ReplicaByAddress(address string) string {
	for _, stage := range t.Path {
		if stage.Address == address {
			return stage.Replica
		}
	}
	return ""
}

// Result is the result of an attempt.
type Result struct {
	Failure health.Failure
	// Complete is set if the complete answer arrived.
	Complete bool
	// NoCapacity is set if the request was refused for lack of capacity, by the endpoint or by
	// this node's connection limit.
	NoCapacity bool
	// FaultAddress is the address of the faulty stage of the path, if the answer named it.
	FaultAddress string
	// LayersMissing is set if the faulty stage does not hold the layers that it is listed with.
	LayersMissing bool
	// Suspected is set if the faulty stage looks dead. If FaultAddress is empty, the first stage
	// or the replica of the plain service is meant.
	Suspected bool
	// Duration is the time from the start of the attempt, after its target was chosen, to the
	// end of the attempt.
	Duration time.Duration
	// Load is the load that the endpoint reported with its answer; nil if it reported none.
	Load *Load
}

// Load is the number of running and of waiting requests that an endpoint reports.
type Load struct{ Running, Waiting int }

// Targets chooses endpoints for one service. It is safe for concurrent use.
type Targets interface {
	// Choose returns a target. It may wait for capacity until Query.WaitUntil. It fails with
	// ErrNoEndpoint, ErrNoCapacity or the context's error. Each target must be released with
	// Finish.
	Choose(ctx context.Context, q Query) (Target, error)
	// Finish releases the target and reports the result of the attempt.
	Finish(t Target, r Result)
	// MarkLeaving records that the target's replica has said in an answer that it is leaving. The
	// replica gets no new requests. MarkLeaving reports whether that was not known.
	MarkLeaving(t Target) bool
	// Limits are the rate limits and pushbacks that the endpoints state. Choose keeps to them.
	Limits() *endpointlimits.Limits
}
