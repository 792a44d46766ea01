package balance

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/cacheindex"
	"github.com/cicadatack/cicadatack/decide/health"
)

// Failure classifies the end of an attempt; health.None means that the attempt
// succeeded.
type Failure = health.Failure

// Replica is an endpoint of the service.
type Replica struct {
	ID            string
	FailureDomain string
	// Slots is the number of requests that the replica runs concurrently; zero
	// counts as 1.
	Slots int
	// Weight is the speed of one slot of the replica relative to one slot of a
	// replica of weight 1; zero counts as 1.
	Weight float64
}

// Query describes a request for which a replica is to be picked.
type Query struct {
	// Prefix is a hash of the prompt's prefix; 0 means that the prompt has no prefix.
	Prefix uint64
	// Holders lists the replicas that probably have the beginning of the prompt
	// cached. The replica with the longest cached part comes first. The list is a
	// hint: some of these replicas may no longer have that part cached.
	Holders []cacheindex.Holder
	// Cost is the expected work for the request in tokens; 0 means unknown.
	Cost float64
	// Exclude lists the replicas on which this request has already been tried.
	Exclude []string
	// NoProbe keeps the request away from a replica that is being probed. Callers
	// set NoProbe for requests that must not be retried.
	NoProbe bool
}

// Candidate is a replica that was considered for a request.
type Candidate struct {
	ID string
	// Score is the score of the replica; doc.go defines scores. Lower is better.
	Score float64
	// CachedBlocks is the estimated number of the prompt's blocks in the replica's
	// cache.
	CachedBlocks int
}

// Choice is the picked replica and the reason for which it was picked.
type Choice struct {
	ReplicaID string
	Reason    Reason
	// Score is the score of the picked replica; doc.go defines scores. Lower is
	// better.
	Score float64
	// CachedBlocks is the estimated number of the prompt's blocks in the picked
	// replica's cache. It is known only if Reason is ReasonPrefixCached.
	CachedBlocks int
	// Alternatives lists replicas that were considered and not picked. An unused
	// entry has an empty ID.
	Alternatives [maxAlternatives]Candidate
}

const maxAlternatives = 3

// Reason states why a replica was picked.
type Reason uint8

const (
	// ReasonTwoChoices means that the replica was the better of two candidates from
	// the nearest failure domain.
	ReasonTwoChoices Reason = iota
	// ReasonOnly means that the replica was the only candidate from the nearest
	// failure domain.
	ReasonOnly
	// ReasonPrefix means that the replica is the owner of the prompt's prefix.
	ReasonPrefix
	// ReasonPrefixMoved means that the request moved from the owner of its prefix to
	// another replica. The owner did not accept the request, for example because the
	// owner was overloaded or unusable. The picked replica is the next replica on the
	// hash ring that accepted the request.
	ReasonPrefixMoved
	// ReasonSpill means that the request spilled because the nearest failure domain
	// was overloaded or had no usable replica.
	ReasonSpill
	// ReasonProbe means that the request probes an ejected replica.
	ReasonProbe
	// ReasonLastResort means that no usable replica could be picked, so that an
	// ejected or probed replica was picked.
	ReasonLastResort
	// ReasonPrefixCached means that, of the replicas that accept the request, the
	// picked one probably has the longest part of the prompt cached.
	ReasonPrefixCached
	// ReasonFewestOwnRequests means that all replicas were full. The picked replica had the
	// fewest in-flight requests of this node relative to its capacity.
	ReasonFewestOwnRequests
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

// Result describes the end of an attempt.
type Result struct {
	// Cost is the cost that was passed to Sent.
	Cost float64
	// TimeToFirstToken is the time from sending the request to the first part of
	// the answer. It is zero for services that do not stream their answers, and for
	// attempts that failed before the first part arrived.
	TimeToFirstToken time.Duration
	// TotalTime is the time from sending the request to the end of the answer or to
	// the failure.
	TotalTime time.Duration
	// Started is set if Balancer.Started has been called for the attempt.
	Started bool
	Failure Failure
}

// LoadReport is a load report made by a replica.
type LoadReport struct {
	// RunningRequests and WaitingRequests count the requests of all nodes at the
	// replica.
	RunningRequests int
	WaitingRequests int
	// Age is the time from the making of the report to its arrival at this node.
	Age time.Duration
	// Leaving is set if the replica reports that it is shutting down.
	Leaving bool
}

// Source identifies the origin of a statement that a replica is leaving.
type Source uint8

const (
	// SourcePlatform is the platform's list of VMs. A shutdown appears in this
	// list later than in the load report of the replica.
	SourcePlatform Source = iota
	// SourceEndpoint is the replica itself, which states in a load report that it
	// is leaving.
	SourceEndpoint
	// SourcePeer is a peer: another node of the node's failure domain.
	SourcePeer
	// SourceOperator is the environment document or a drain command.
	SourceOperator
	// SourceDrainMark is a mark of package drainmark. Its keeper withdraws it when the
	// replica has started anew.
	SourceDrainMark
	// sourceAnswer is the replica itself, which says in an answer that it is shutting
	// down.
	sourceAnswer
)
