// Package balance decides which replica of a service serves a request.
package balance

import "time"

// Config sets a Balancer. Zero values take the defaults.
type Config struct {
	// Node is the ID of the entry VM on which the Balancer runs.
	Node string
	// FailureDomain of the node.
	FailureDomain string
	// NearDomains are the other failure domains, nearest first. Without it the
	// order is one of the node's own.
	NearDomains []string
	// Seed of the random choices; nodes take different ones.
	Seed uint64
	// SubsetSize is how many replicas the node uses.
	SubsetSize int
}

// Balancer places the requests of one service on one node. It is not safe for
// concurrent use; the caller locks.
type Balancer struct {
	cfg      Config
	replicas []Replica
	next     int
}

// New returns a Balancer without replicas.
func New(cfg Config) *Balancer { return &Balancer{cfg: cfg} }

// SetReplicas replaces the list of the service's replicas.
func (b *Balancer) SetReplicas(now time.Time, replicas []Replica) { b.replicas = replicas }

// SetPeers tells the live nodes of the node's own failure domain, itself included.
func (b *Balancer) SetPeers(now time.Time, nodes []string) {}

// SetLeaving is Leaving by SourcePlatform.
func (b *Balancer) SetLeaving(now time.Time, id string, leaving bool) {}

// Leaving records what one source says of an endpoint.
func (b *Balancer) Leaving(now time.Time, id string, source Source, leaving bool) {}

// Pick chooses a replica; false means that none may be used.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, bool) {
	if len(b.replicas) == 0 {
		return Choice{}, false
	}
	b.next = (b.next + 1) % len(b.replicas)
	return Choice{Replica: b.replicas[b.next].ID}, true
}

// Sent records a request sent to the replica.
func (b *Balancer) Sent(now time.Time, id string, cost float64) {}

// Started records the first part of an answer.
func (b *Balancer) Started(now time.Time, id string, firstToken time.Duration) {}

// Finished records the end of an attempt that Sent recorded.
func (b *Balancer) Finished(now time.Time, id string, r Result) {}

// Report records a replica's load.
func (b *Balancer) Report(now time.Time, id string, l Load) {}

// FreeSlots returns the room left in the usable part of the subset.
func (b *Balancer) FreeSlots(now time.Time) int { return len(b.replicas) }

// Capacity returns the slots of the usable part of the subset.
func (b *Balancer) Capacity(now time.Time) int { return len(b.replicas) }
