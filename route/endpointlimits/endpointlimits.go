// Package endpointlimits applies the rate limits that the replicas of one service state in
// their answers. It makes decide/endpointrate safe for concurrent use.
package endpointlimits

import (
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/endpointrate"
)

// Limits are the rate limits of one service's replicas, as one node knows them. Safe for
// concurrent use.
type Limits struct {
	now func() time.Time

	mu      sync.Mutex
	limiter *endpointrate.Limiter
}

// New returns Limits of a node. Each node must pass a different seed.
func New(node endpointrate.Node, seed uint64, now func() time.Time) *Limits {
	return &Limits{now: now, limiter: endpointrate.New(node, seed)}
}

// SetNodes replaces the list of nodes that divide the limits.
func (l *Limits) SetNodes(nodes []endpointrate.Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetNodes(l.now(), nodes)
}

// SetReplicas replaces the list of replicas, with their failure domains.
func (l *Limits) SetReplicas(domains map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetReplicas(domains)
}

// Observe records what an answer states, which arrived at this node or at another one. It
// reports whether the replica's limit begins, changes or ends by it.
func (l *Limits) Observe(s endpointrate.Statement) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Observe(l.now(), s)
}

// Blocked returns the replicas to which this node may not send a request now.
func (l *Limits) Blocked() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Blocked(l.now())
}

// Take reports whether this node may send a request to a replica now, and counts it if so.
func (l *Limits) Take(replica string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !l.limiter.MaySend(now, replica) {
		return false
	}
	l.limiter.Sent(now, replica)
	return true
}

// NextSendAt returns the earliest time at which this node may send to one of the replicas.
func (l *Limits) NextSendAt(replicas []string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var next time.Time
	for _, replica := range replicas {
		if at := l.limiter.NextSendAt(now, replica); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// Statements returns what replicas have stated lately, for the other nodes.
func (l *Limits) Statements() []endpointrate.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Statements(l.now())
}

// InForce returns the limits in force, for operators.
func (l *Limits) InForce() []endpointrate.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Limits(l.now())
}
