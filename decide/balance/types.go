package balance

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/cacheindex"
	"github.com/cicadatack/cicadatack/decide/health"
)

// Failure classifies how an attempt ended.
type Failure = health.Failure

// Replica is an endpoint that serves the service.
type Replica struct {
	ID            string
	FailureDomain string
	// Slots is the number of requests that the replica runs concurrently; zero
	// counts as 1.
	Slots int
	// Weight is the replica's speed per slot relative to the other replicas; zero
	// counts as 1.
	Weight float64
}

// Query describes a request for which a replica is to be picked.
type Query struct {
	// Prefix is a hash of the prompt's prefix; 0 means none.
	Prefix uint64
	// Holders are replicas that probably have the beginning of the prompt cached,
	// longest cached prefix first. They are hints and may be wrong.
	Holders []cacheindex.Holder
	// Cost is the expected work in tokens; 0 means unknown.
	Cost float64
	// Exclude lists endpoints that have already been tried for this request.
	Exclude []string
	// NoProbe keeps the request away from an endpoint that is being probed. It is
	// set for requests that must not be retried.
	NoProbe bool
}

// Candidate is an endpoint with its score; lower is better.
type Candidate struct {
	ID    string
	Score float64
	// HeldBlocks is the estimated number of the prompt's blocks in its cache.
	HeldBlocks int
}

// Choice is the picked endpoint and the reason for it.
type Choice struct {
	Replica string
	Reason  Reason
	// Score is the score of the picked endpoint: the expected load per unit of
	// capacity.
	Score float64
	// HeldBlocks is the estimated number of the prompt's blocks in its cache.
	HeldBlocks int
	// Alternatives are the endpoints that were considered and not picked, with
	// their scores. Unused entries have an empty ID.
	Alternatives [maxAlternatives]Candidate
}

const maxAlternatives = 3

// Reason states why a replica was picked.
type Reason uint8

const (
	// ReasonTwoChoices means that the replica was the better of two candidates
	// drawn in the nearest failure domain.
	ReasonTwoChoices Reason = iota
	// ReasonOnly means that no other candidate could be drawn.
	ReasonOnly
	// ReasonPrefix means that the replica is the home of the prompt's prefix on the
	// hash ring.
	ReasonPrefix
	// ReasonPrefixMoved means that the home of the prefix was overloaded or
	// unusable, and that this replica follows it on the hash ring.
	ReasonPrefixMoved
	// ReasonSpill means that the nearest failure domain was overloaded or had no
	// usable replica.
	ReasonSpill
	// ReasonProbe means that the request probes an ejected endpoint.
	ReasonProbe
	// ReasonLastResort means that only ejected endpoints were left.
	ReasonLastResort
	// ReasonHeld means that the replica probably has the longest part of the prompt
	// cached.
	ReasonHeld
	// ReasonFewestOwn means that all replicas are full and that this one has the
	// fewest in-flight requests of this node.
	ReasonFewestOwn
)

var reasonNames = [...]string{
	"two choices", "only", "prefix", "prefix moved", "spill", "probe", "last resort", "prefix held", "fewest own",
}

func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Result describes how an attempt ended.
type Result struct {
	// Cost is the cost that was passed to Sent.
	Cost float64
	// FirstToken is the time from sending the request to the first part of the
	// answer. It is zero for plain services and for attempts that failed before the
	// first part. Total is the time from sending to the end or to the failure.
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	// Started is set if Balancer.Started has been called for the attempt.
	Started bool
	Failure Failure
}

// Load is a load report made by an endpoint.
type LoadReport struct {
	// Running and Waiting count the endpoint's requests from all nodes.
	RunningRequests int
	WaitingRequests int
	// Age is how old the figures were when the report arrived.
	Age time.Duration
	// Leaving is set if the endpoint reports that it is shutting down.
	Leaving bool
}

// Source identifies who reported that an endpoint is leaving.
type Source uint8

const (
	// SourcePlatform is the platform's list of VMs, which lags behind.
	SourcePlatform Source = iota
	// SourceEndpoint is the endpoint's own load report.
	SourceEndpoint
	// SourcePeer is another node.
	SourcePeer
	// SourceOperator is the environment document or a drain command.
	SourceOperator
	// sourceRefusal is a request that the endpoint refused because it is shutting
	// down.
	sourceRefusal
)
