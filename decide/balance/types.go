package balance

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/cacheindex"
	"github.com/cicadatack/cicadatack/decide/health"
)

// Failure says how an attempt ended.
type Failure = health.Failure

// Replica is an endpoint that serves the service.
type Replica struct {
	ID            string
	FailureDomain string
	// Slots is the number of requests that it runs at once; zero counts as 1.
	Slots int
	// Weight is its speed per slot relative to the others; zero counts as 1.
	Weight float64
}

// Query is a request to place.
type Query struct {
	// Prefix is a hash of the prompt's prefix, 0 for none.
	Prefix uint64
	// Holders are replicas that are thought to have the prompt's beginning cached,
	// those with the most of it first. They are hints.
	Holders []cacheindex.Holder
	// Cost is the expected work in tokens, 0 if unknown.
	Cost float64
	// Exclude holds endpoints already tried for the request.
	Exclude []string
	// NoProbe keeps the request from an endpoint that is being probed. It is
	// set for requests that may not repeat.
	NoProbe bool
}

// Candidate is an endpoint with its score; the lower the better.
type Candidate struct {
	ID    string
	Score float64
	// HeldBlocks is how many blocks of the prompt it is thought to have cached.
	HeldBlocks int
}

// Choice is the endpoint picked and why.
type Choice struct {
	Replica string
	Reason  Reason
	// Score is that of the chosen: the expected load per unit of capacity.
	Score float64
	// HeldBlocks is how many blocks of the prompt the chosen one is thought to have.
	HeldBlocks int
	// Alternatives are the endpoints that lost, with their scores; empty IDs
	// stand for none.
	Alternatives [maxAlternatives]Candidate
}

const maxAlternatives = 3

// Reason says why a replica was chosen.
type Reason uint8

const (
	// ReasonTwoChoices means that it was the better of two drawn at random in
	// the nearest failure domain.
	ReasonTwoChoices Reason = iota
	// ReasonOnly means that no other was left to draw.
	ReasonOnly
	// ReasonPrefix means that it is the home of the prompt's prefix.
	ReasonPrefix
	// ReasonPrefixMoved means that the home of the prefix was too loaded or
	// unusable, and this is the next in line.
	ReasonPrefixMoved
	// ReasonSpill means that the nearest failure domain was too loaded or gone.
	ReasonSpill
	// ReasonProbe means that an ejected endpoint is being tried again.
	ReasonProbe
	// ReasonLastResort means that only ejected endpoints were left.
	ReasonLastResort
	// ReasonHeld means that it is thought to have the most of the prompt cached.
	ReasonHeld
	// ReasonFewestOwn means that all are full and it has the fewest of the node's
	// own requests.
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

// Result tells how an attempt ended.
type Result struct {
	// Cost is what was given to Sent.
	Cost float64
	// FirstToken is the time from sending to the first part of the answer, and
	// Total to its end or to the failure. FirstToken is zero for plain services
	// and for attempts that failed before it.
	FirstToken time.Duration
	Total      time.Duration
	// Started is set if Started has been called for the attempt.
	Started bool
	Failure Failure
}

// Load is an endpoint's own report.
type Load struct {
	// Running and Waiting are its requests from all nodes.
	Running int
	Waiting int
	// Age is how old the figures were when they arrived.
	Age time.Duration
	// Leaving is set if the endpoint says that it shuts down.
	Leaving bool
}

// Source is who said that an endpoint leaves.
type Source uint8

const (
	// SourcePlatform is the platform's list of VMs, which lags.
	SourcePlatform Source = iota
	// SourceEndpoint is the endpoint's own report.
	SourceEndpoint
	// SourcePeer is another node.
	SourcePeer
	// SourceOperator is the environment document or a drain command.
	SourceOperator
	// sourceRefusal is a request refused by the endpoint as it leaves.
	sourceRefusal
)
