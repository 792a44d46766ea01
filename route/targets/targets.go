// Package targets chooses, for each attempt of a request, the endpoint to send it to: a replica
// of a plain service, or a path through the replicas that hold a model's layers. It locks
// around the decisions of decide/paths and decide/balance and reports the results of attempts
// to them.
package targets

import (
	"context"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/paths"
)

// ErrNoEndpoint means that no endpoint is available, ErrNoCapacity that the available ones have no
// capacity.
var (
	ErrNoEndpoint = errors.New("no endpoint is available")
	ErrNoCapacity = errors.New("no endpoint has capacity")
)

// Query describes the target that an attempt needs.
type Query struct {
	// Tokens is the expected maximum of tokens that the request keeps in the KV cache.
	Tokens float64
	// PrefillTokens is the number of tokens to prefill before the first event.
	PrefillTokens float64
	// Exclude lists replicas that have failed this request.
	Exclude []string
	// FirstReplicas, if not empty, lists the only replicas that may receive the request.
	FirstReplicas []string
	// NonIdempotent requests must not run twice. They are not used to probe endpoints that
	// failed recently.
	NonIdempotent bool
	// Rank orders the requests that wait for capacity, 0 first.
	Rank int
	// OnTimeUntil is the time up to which an answer that begins is on time. Requests that wait
	// longer come after all others.
	OnTimeUntil time.Time
	// WaitUntil is the time up to which the request may wait for capacity.
	WaitUntil time.Time
}

// Target is the destination of one attempt.
type Target struct {
	Replica string
	Address string
	Domain  string
	// Path is empty for plain services.
	Path paths.Path
	// MaxConns bounds this node's connections to the endpoint.
	MaxConns int
	// Active is set for paths only.
	Active *ActiveRequest
	// Choice is the choice of the balancer with its alternatives; nil for paths.
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
	// NoCapacity is set if the endpoint refused for lack of capacity.
	NoCapacity bool
	// FaultAddress is the address of the faulty stage of the path, if the answer named it.
	FaultAddress string
	// LayersMissing is set if the faulty stage does not hold the layers that it is listed with.
	LayersMissing bool
	// Suspected is set if the faulty stage, or the first one if none is named, looks dead.
	Suspected bool
	// Duration is the duration of the attempt.
	Duration time.Duration
	// Load is the load that the endpoint reported, if any.
	Load *Load
}

// Load is an endpoint's load as reported by itself.
type Load struct{ Running, Waiting int }

// Targets chooses endpoints for one service. It is safe for concurrent use.
type Targets interface {
	// Choose returns a target and waits for capacity if necessary. It fails with ErrNoEndpoint,
	// ErrNoCapacity or the context's error. Each target must be released with Finish.
	Choose(ctx context.Context, q Query) (Target, error)
	// Finish releases the target and reports the result of the attempt.
	Finish(t Target, r Result)
}
