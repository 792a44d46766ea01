// Package endpointlimits holds what the replicas of one service state in their answers about the
// requests that they want: rate limits, and pushbacks, which are times without requests. It
// makes decide/endpointrate and decide/pushback safe for concurrent use.
package endpointlimits

import (
	"slices"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/endpointrate"
	"github.com/cicadatack/cicadatack/decide/pushback"
)

// Limits are the rate limits and pushbacks of one service's replicas, as one node knows them.
// Safe for concurrent use.
type Limits struct {
	now func() time.Time

	mu        sync.Mutex
	limiter   *endpointrate.Limiter
	pushbacks *pushback.Tracker
}

// New returns Limits of a node. Each node must pass a different seed.
func New(node endpointrate.Node, seed uint64, now func() time.Time) *Limits {
	return &Limits{now: now, limiter: endpointrate.New(node, seed), pushbacks: pushback.New()}
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

// ObservePushback records that a replica wants no requests from this node for a time. It
// reports whether the replica wants none for longer than it was known to.
func (l *Limits) ObservePushback(replica string, duration time.Duration) (extended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pushbacks.Observe(l.now(), replica, duration)
}

// Pushbacks returns the pushbacks that are not over.
func (l *Limits) Pushbacks() []pushback.Pushback {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pushbacks.Active(l.now())
}

// PushbackMillis returns for how many milliseconds from now on replicas want no requests, by
// replica, for operators.
func (l *Limits) PushbackMillis() map[string]int64 {
	millis := map[string]int64{}
	for _, p := range l.Pushbacks() {
		millis[p.Replica] = p.Remaining.Milliseconds()
	}
	return millis
}

// PushbackRemaining returns for how long a replica wants no requests from now on, 0 if it
// wants some.
func (l *Limits) PushbackRemaining(replica string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	until := l.pushbacks.Until(now, replica)
	return max(0, until.Sub(now))
}

// PushbackEnd returns the earliest end of the pushbacks of the replicas, or the zero time if all
// of them want requests.
func (l *Limits) PushbackEnd(replicas []string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	return earliest(replicas, func(replica string) time.Time { return l.pushbacks.Until(now, replica) })
}

// Blocked returns the replicas to which this node may not send a request now.
func (l *Limits) Blocked() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	blocked := l.limiter.Blocked(now)
	for _, p := range l.pushbacks.Active(now) {
		if !slices.Contains(blocked, p.Replica) {
			blocked = append(blocked, p.Replica)
		}
	}
	return blocked
}

// Take reports whether this node may send a request to a replica now, and counts it if so.
func (l *Limits) Take(replica string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !l.pushbacks.Until(now, replica).IsZero() || !l.limiter.MaySend(now, replica) {
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
	return earliest(replicas, func(replica string) time.Time {
		at, until := l.limiter.NextSendAt(now, replica), l.pushbacks.Until(now, replica)
		if until.After(at) {
			return until
		}
		return at
	})
}

// earliest returns the earliest of the replicas' times that are not zero, or the zero time.
func earliest(replicas []string, timeOf func(replica string) time.Time) time.Time {
	var first time.Time
	for _, replica := range replicas {
		at := timeOf(replica)
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
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
