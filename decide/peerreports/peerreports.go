// Package peerreports decides how a node uses what other nodes report about replicas.
//
// # Load pattern
//
// Some replicas die or become slow while all nodes of a failure domain send requests to
// them.
//
// # Failure without this package
//
// Each node detects the fault by itself, through one stalled stream for each lost replica.
// With forty nodes and nine lost replicas, hundreds of streams stall, and the nodes make
// hundreds of connections and status requests to the remaining replicas.
//
// # Rules
//
//   - A few nodes of the failure domain are hubs. In an exchange, a node sends its own
//     observations to a hub and gets the observations of the other nodes. The hubs exchange
//     their observations among each other.
//   - An observation states what a node has seen itself: a replica that accepts no
//     connection, a replica that refuses requests although it has capacity, the slowdown
//     that a replica reports about itself, or a replica that accepts connections although
//     it was in doubt. An observation has an age and is valid for ValidFor.
//   - A failed connection is evidence about a link. If this node or another one has reached
//     the replica, reports that it accepts no connection come from nodes whose links have
//     failed. They are not accepted, and the Verifiers check the replica.
//   - A node accepts an observation that at least Quorum nodes have made independently.
//     If fewer nodes have made the observation, or if accepting it would exceed
//     MaxExcludedShare, a few nodes, the Verifiers, check the replica themselves.
//     Refusals are not checked, because the replica answers any check and refuses only
//     requests. All nodes agree on which nodes are the Verifiers of a replica. So a
//     single wrong observation convinces no other node, and not all nodes contact the
//     same replica because of this observation.
//   - At most the share MaxExcludedShare of a service's replicas is excluded because of
//     reports from other nodes, because a network fault can make many replicas look lost.
//     Replicas that the node already treats as lost count towards this share.
//   - A message holds at most MaxPerMessage observations, the most recent first.
//     Observations that no node would send are dropped and counted.
package peerreports

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

const (
	// ValidFor is how long an observation is valid. Several exchanges take place in this
	// time.
	ValidFor = 1500 * time.Millisecond
	// Quorum is the number of nodes that must have made an observation for it to be
	// accepted without verification.
	Quorum = 3
	// Verifiers is the number of nodes that check a replica if fewer than Quorum nodes
	// have made an observation about the replica, or if accepting the observation would
	// exceed MaxExcludedShare.
	Verifiers = 3
	// MaxExcludedShare is the largest share of a service's replicas that is excluded
	// because of reports from other nodes.
	MaxExcludedShare = 0.25
	// MaxPerMessage is the maximum number of observations in a message.
	MaxPerMessage = 128
	// maxObservers and maxSlowdown are the largest number of observers and the largest
	// slowdown in a valid observation.
	maxObservers = 1 << 16
	maxSlowdown  = 1e4
)

// Observation is what one or more nodes have observed about a replica.
type Observation struct {
	Replica string
	// Unreachable is set if the replica accepts no connection.
	Unreachable bool
	// Refusing is set if the replica is alive but refuses requests although it has
	// capacity.
	Refusing bool
	// Reached is set if the replica accepts connections, after it was suspected or reported
	// as unreachable.
	Reached bool
	// Slowdown is the factor by which a reachable replica is slower than others of its
	// kind, as reported by the replica itself.
	Slowdown float64
	// Age is the time since the observation.
	Age time.Duration
	// Observers is the number of nodes that made the observation.
	Observers int
}

// valid reports whether a node could have made the observation and the observation has
// not expired.
func (o Observation) valid() bool {
	known := o.Replica != "" && o.Observers > 0 && o.Observers <= maxObservers && o.Age >= 0 && o.Age < ValidFor
	return known && (o.Unreachable || o.Refusing || o.Reached || o.Slowdown >= 1 && o.Slowdown <= maxSlowdown)
}

// message is the last message received from a node.
type message struct {
	receivedAt   time.Time
	fromHub      bool
	observations []Observation
}

// Aggregator holds what other nodes have reported to this node. The zero value is ready
// to use. It is not safe for concurrent use.
type Aggregator struct {
	latest map[string]message
}

// Record stores the message of a node: the node's own observations or, if fromHub is set,
// the observations of several nodes. Record returns how many observations were dropped.
func (a *Aggregator) Record(now time.Time, node string, fromHub bool, observations []Observation) (dropped int) {
	if a.latest == nil {
		a.latest = map[string]message{}
	}
	for name, m := range a.latest {
		if now.Sub(m.receivedAt) >= ValidFor {
			delete(a.latest, name)
		}
	}
	kept := make([]Observation, 0, min(len(observations), MaxPerMessage))
	for _, o := range observations {
		if !o.valid() || len(kept) == MaxPerMessage {
			dropped++
			continue
		}
		kept = append(kept, o)
	}
	a.latest[node] = message{receivedAt: now, fromHub: fromHub, observations: kept}
	return dropped
}

// KeepOnlyFrom drops the messages of all nodes except the given hub. The message of this hub
// includes the observations of the other nodes.
func (a *Aggregator) KeepOnlyFrom(hub string) {
	for node := range a.latest {
		if node != hub {
			delete(a.latest, node)
		}
	}
}

// FromOthers returns the observations of other nodes.
func (a *Aggregator) FromOthers(now time.Time) []Observation {
	return a.merge(now, nil, func(string, message) bool { return true })
}

// ReplyTo returns the observations to send to a node that asked. Another hub gets this
// node's own observations and those of the nodes that report to this node. Any node that
// is not a hub gets all observations but its own.
func (a *Aggregator) ReplyTo(now time.Time, own []Observation, asker string, askerIsHub bool) []Observation {
	return a.merge(now, own, func(node string, m message) bool {
		if askerIsHub {
			return !m.fromHub
		}
		return node != asker
	})
}

// subject identifies what an observation is about. Observations with the same subject are
// merged into one.
type subject struct {
	replica                        string
	unreachable, refusing, reached bool
}

func (a *Aggregator) merge(now time.Time, own []Observation, include func(node string, m message) bool) []Observation {
	merged := map[subject]Observation{}
	add := func(o Observation) {
		if !o.valid() {
			return
		}
		key := subject{o.Replica, o.Unreachable, o.Refusing, o.Reached}
		known, ok := merged[key]
		if !ok {
			merged[key] = o
			return
		}
		known.Observers = min(known.Observers+o.Observers, maxObservers)
		if o.Age < known.Age {
			known.Age, known.Slowdown = o.Age, o.Slowdown
		}
		merged[key] = known
	}
	for _, o := range own {
		add(o)
	}
	for node, m := range a.latest {
		if !include(node, m) {
			continue
		}
		for _, o := range m.observations {
			o.Age += now.Sub(m.receivedAt)
			add(o)
		}
	}
	return newestFirst(merged)
}

func newestFirst(merged map[subject]Observation) []Observation {
	list := make([]Observation, 0, len(merged))
	for _, o := range merged {
		list = append(list, o)
	}
	slices.SortFunc(list, func(x, y Observation) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Replica, y.Replica))
	})
	return list[:min(len(list), MaxPerMessage)]
}

// View is what a node itself knows about the replicas of one service.
type View struct {
	// Node is the name of this node. DomainNodes are the names of all nodes in its
	// failure domain.
	Node        string
	DomainNodes []string
	// Known reports whether a replica belongs to the service. Suspected reports whether
	// this node already treats a replica as lost. Reached reports whether this node has
	// itself reached the replica within ValidFor.
	Known, Suspected, Reached func(replica string) bool
	// ReplicaCount is the number of replicas of the service, SuspectedCount the number of
	// those that this node already treats as lost.
	ReplicaCount, SuspectedCount int
}

// Decision is how a node uses the observations of other nodes.
type Decision struct {
	// Accept holds the observations to act on. Verify holds the observations about
	// replicas that this node should check itself.
	Accept, Verify []Observation
}

// Evaluate decides how a node uses the observations of other nodes.
func Evaluate(observations []Observation, v View) Decision {
	var decision Decision
	remainingExclusions := int(math.Floor(float64(v.ReplicaCount)*MaxExcludedShare)) - v.SuspectedCount
	reached := reachedReplicas(observations)
	for _, o := range observations {
		if o.Reached || !v.Known(o.Replica) || o.Unreachable && v.Suspected(o.Replica) {
			continue
		}
		switch {
		case o.Unreachable && (reached[o.Replica] || v.Reached(o.Replica)):
			// If no other node has reached the replica, this node's evidence must not expire.
			if v.Verifies(o.Replica) || !reached[o.Replica] {
				decision.Verify = append(decision.Verify, o)
			}
		case o.Observers >= Quorum && !o.Unreachable && !o.Refusing:
			decision.Accept = append(decision.Accept, o)
		case o.Observers >= Quorum && remainingExclusions > 0:
			remainingExclusions--
			decision.Accept = append(decision.Accept, o)
		case o.Refusing: // not verifiable: the replica answers any check and refuses only requests
		case v.Verifies(o.Replica):
			decision.Verify = append(decision.Verify, o)
		}
	}
	return decision
}

// reachedReplicas returns the replicas that some node has reached.
func reachedReplicas(observations []Observation) map[string]bool {
	reached := map[string]bool{}
	for _, o := range observations {
		if o.Reached {
			reached[o.Replica] = true
		}
	}
	return reached
}

// Verifies reports whether this node is one of the Verifiers of the given replica.
func (v View) Verifies(replica string) bool {
	key := rendezvous.Hash(replica)
	own := rendezvous.Score(key, rendezvous.Hash(v.Node))
	rankedHigher := 0
	for _, name := range v.DomainNodes {
		if name != v.Node && rendezvous.Score(key, rendezvous.Hash(name)) > own {
			rankedHigher++
		}
	}
	return rankedHigher < Verifiers
}
