// Package targets finds, for each attempt of a request, the endpoint to send it to:
// a replica of a plain service, or a path through replicas that hold a model's
// layers. It holds the locks around the decisions of decide/paths and decide/balance
// and tells them how attempts ended.
package targets

import (
	"context"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/paths"
)

// ErrNoEndpoint means that no endpoint may be used now, ErrNoCapacity that those there
// are have no room.
var (
	ErrNoEndpoint = errors.New("no endpoint may be used now")
	ErrNoCapacity = errors.New("no endpoint has room")
)

// Query asks for a target.
type Query struct {
	// Tokens is the most memory that the request is expected to need.
	Tokens float64
	// PrefillTokens is the tokens that are read before the first event.
	PrefillTokens float64
	// Exclude names replicas that have failed this request.
	Exclude []string
	// FirstReplicas, if not empty, names the only replicas that may be handed the request.
	FirstReplicas []string
	// NonIdempotent is set for requests that must not run twice: they are not used to try
	// endpoints that failed of late.
	NonIdempotent bool
	// Rank orders those who wait for room, 0 first.
	Rank int
	// OnTimeUntil is up to when an answer that begins is on time. Those who wait beyond
	// it come after all others.
	OnTimeUntil time.Time
	// WaitUntil is up to when the request may wait for room.
	WaitUntil time.Time
}

// Target is where one attempt goes.
type Target struct {
	Replica string
	Address string
	Domain  string
	// Path is empty for plain services.
	Path paths.Path
	// MaxConns bounds this node's connections to the endpoint.
	MaxConns int
	// Active is set for paths.
	Active *ActiveRequest
	// Choice is what a balancer weighed; nil for paths.
	Choice *balance.Choice
}

// ReplicaByAddress is the replica of the target's path at an address, or "".
func (t Target) ReplicaByAddress(address string) string {
	for _, stage := range t.Path {
		if stage.Address == address {
			return stage.Replica
		}
	}
	return ""
}

// Result is how an attempt ended.
type Result struct {
	Failure health.Failure
	// Complete is set if the whole answer came.
	Complete bool
	// NoCapacity is set if the endpoint refused for want of room.
	NoCapacity bool
	// FaultAddress is the address of the part of the path at fault, if the answer named it.
	FaultAddress string
	// LayersMissing says that the part at fault does not hold the layers that it is listed
	// with.
	LayersMissing bool
	// Suspected says that the part at fault, the first if none is named, looks dead.
	Suspected bool
	// Duration is the time of the attempt.
	Duration time.Duration
	// Load is what the endpoint said, if it did.
	Load *Load
}

// Load is an endpoint's load as it says itself.
type Load struct{ Running, Waiting int }

// Targets chooses for one service. Safe for concurrent use.
type Targets interface {
	// Choose returns a target, waiting for room if it must. It fails with
	// ErrNoEndpoint, ErrNoRoom or the context's error. Each target needs one Ended.
	Choose(ctx context.Context, q Query) (Target, error)
	// Finish tells how the attempt went.
	Finish(t Target, r Result)
}
