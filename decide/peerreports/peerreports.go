// Package peerreports decides what a node makes of what others have found out about replicas.
//
// # Load pattern
//
// Some replicas die or turn slow, and all nodes of a failure domain send to them.
//
// # Without it
//
// Each node finds out for itself, by a stream that goes silent for each replica: with forty
// nodes before nine lost replicas that is hundreds of streams, and hundreds of connections
// and reports at the replicas that live.
//
// # Rules
//
//   - A claim says what a node has seen itself: a replica that accepts no connection, one
//     that turns requests away although it has room, or how slow a replica says it is. It
//     has an age, and counts for ValidFor.
//   - What Enough nodes have seen independently is believed. What fewer have is looked at
//     by a few nodes, the confirmers, whom all nodes agree on; so one node's wrong view
//     convinces nobody alone, and a rumor does not send everybody to the same replica.
//   - Of the replicas of one service at most the part MostTaken is left out on the word of
//     others: a network that fails looks like replicas that do.
//   - A message holds Most claims, the youngest first. Claims that no node would make are
//     passed over and counted.
package peerreports

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
)

const (
	// ValidFor is how long a claim counts: some exchanges.
	ValidFor = 1500 * time.Millisecond
	// Quorum nodes are believed.
	Quorum = 3
	// Verifiers is how many nodes look for themselves at what fewer have seen.
	Verifiers = 3
	// MaxExcludedShare is the greatest part of a service's replicas that is left out on the word
	// of others.
	MaxExcludedShare = 0.25
	// MaxPerMessage is how many claims a message holds.
	MaxPerMessage = 128
	// maxNodes and mostPace bound what a claim may say.
	maxNodes    = 1 << 16
	maxSlowdown = 1e4
)

// Observation is what one or more nodes have seen of a replica.
type Observation struct {
	Replica string
	// Unreachable says that it accepts no connection.
	Unreachable bool
	// Refusing says that it lives and refuses what it is sent although it has room.
	Refusing bool
	// Slowdown is, of one that is not lost, how much slower than its kind it says it is.
	Slowdown float64
	// Age is how long ago it was seen.
	Age time.Duration
	// Nodes is how many have seen it.
	Nodes int
}

// valid says whether a node could have made the claim, and it still counts.
func (c Observation) valid() bool {
	known := c.Replica != "" && c.Nodes > 0 && c.Nodes <= maxNodes && c.Age >= 0 && c.Age < ValidFor
	return known && (c.Unreachable || c.Refusing || c.Slowdown >= 1 && c.Slowdown <= maxSlowdown)
}

// message is what one node told last.
type message struct {
	received     time.Time
	hub          bool
	observations []Observation
}

// Aggregator is what one node has been told. The zero value is ready. It is not safe for
// concurrent use.
type Aggregator struct {
	latest map[string]message
}

// Record notes what a node told: its own claims, or, as a hub, those of several. It says how
// many were passed over.
func (b *Aggregator) Record(now time.Time, node string, hub bool, observations []Observation) (dropped int) {
	if b.latest == nil {
		b.latest = map[string]message{}
	}
	for name, s := range b.latest {
		if now.Sub(s.received) >= ValidFor {
			delete(b.latest, name)
		}
	}
	kept := make([]Observation, 0, min(len(observations), MaxPerMessage))
	for _, c := range observations {
		if !c.valid() || len(kept) == MaxPerMessage {
			dropped++
			continue
		}
		kept = append(kept, c)
	}
	b.latest[node] = message{received: now, hub: hub, observations: kept}
	return dropped
}

// KeepOnly forgets all but what one hub told: that holds what any other told before.
func (b *Aggregator) KeepOnly(hub string) {
	for node := range b.latest {
		if node != hub {
			delete(b.latest, node)
		}
	}
}

// FromOthers is what others have seen.
func (b *Aggregator) FromOthers(now time.Time) []Observation {
	return b.merge(now, nil, func(string, message) bool { return true })
}

// ReplyTo is what a node that asked is told: another hub what was seen here and told by
// those that ask here, any other node all but its own.
func (b *Aggregator) ReplyTo(now time.Time, own []Observation, asker string, hub bool) []Observation {
	return b.merge(now, own, func(node string, s message) bool {
		if hub {
			return !s.hub
		}
		return node != asker
	})
}

// subject is what claims are about; those that agree on it are added up.
type subject struct {
	replica               string
	unreachable, refusing bool
}

func (b *Aggregator) merge(now time.Time, own []Observation, include func(node string, s message) bool) []Observation {
	merged := map[subject]Observation{}
	add := func(c Observation) {
		if !c.valid() {
			return
		}
		key := subject{c.Replica, c.Unreachable, c.Refusing}
		known, ok := merged[key]
		if !ok {
			merged[key] = c
			return
		}
		known.Nodes = min(known.Nodes+c.Nodes, maxNodes)
		if c.Age < known.Age {
			known.Age, known.Slowdown = c.Age, c.Slowdown
		}
		merged[key] = known
	}
	for _, c := range own {
		add(c)
	}
	for node, s := range b.latest {
		if !include(node, s) {
			continue
		}
		for _, c := range s.observations {
			c.Age += now.Sub(s.received)
			add(c)
		}
	}
	return newestFirst(merged)
}

func newestFirst(merged map[subject]Observation) []Observation {
	list := make([]Observation, 0, len(merged))
	for _, c := range merged {
		list = append(list, c)
	}
	slices.SortFunc(list, func(x, y Observation) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Replica, y.Replica))
	})
	return list[:min(len(list), MaxPerMessage)]
}

// View is what a node knows itself of the replicas of one service.
type View struct {
	// Node is its name, Near those of all nodes of its failure domain.
	Node        string
	DomainNodes []string
	// Known says whether a replica is one of the service, Suspected whether it is taken for
	// lost.
	Known, Suspected func(replica string) bool
	// Replicas is how many there are, SuspectedCount how many of them are taken for lost.
	Replicas, SuspectedCount int
}

// Decision is what a node does about claims.
type Decision struct {
	// Accept are claims that it takes for true, Verify those of which it looks at the
	// replica.
	Accept, Verify []Observation
}

// Evaluate decides on what others have seen.
func Evaluate(observations []Observation, v View) Decision {
	var decision Decision
	allowance := int(math.Floor(float64(v.Replicas)*MaxExcludedShare)) - v.SuspectedCount
	for _, c := range observations {
		if !v.Known(c.Replica) || c.Unreachable && v.Suspected(c.Replica) {
			continue
		}
		switch {
		case c.Nodes >= Quorum && !c.Unreachable && !c.Refusing:
			decision.Accept = append(decision.Accept, c)
		case c.Nodes >= Quorum && allowance > 0:
			allowance--
			decision.Accept = append(decision.Accept, c)
		case c.Refusing: // there is nothing to look at: it answers all but requests
		case v.Verifies(c.Replica):
			decision.Verify = append(decision.Verify, c)
		}
	}
	return decision
}

// Verifies says whether the node is one of those that look at a replica for all.
func (v View) Verifies(replica string) bool {
	key := rendezvous.Hash(replica)
	own := rendezvous.Score(key, rendezvous.Hash(v.Node))
	ranked := 0
	for _, name := range v.DomainNodes {
		if name != v.Node && rendezvous.Score(key, rendezvous.Hash(name)) > own {
			ranked++
		}
	}
	return ranked < Verifiers
}
