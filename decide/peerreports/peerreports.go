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
	// Enough nodes are believed.
	Enough = 3
	// Confirmers is how many nodes look for themselves at what fewer have seen.
	Confirmers = 3
	// MostTaken is the greatest part of a service's replicas that is left out on the word
	// of others.
	MostTaken = 0.25
	// Most is how many claims a message holds.
	Most = 128
	// mostNodes and mostPace bound what a claim may say.
	mostNodes = 1 << 16
	mostPace  = 1e4
)

// Claim is what one or more nodes have seen of a replica.
type Claim struct {
	Replica string
	// Lost says that it accepts no connection.
	Lost bool
	// TurnsAway says that it lives and refuses what it is sent although it has room.
	TurnsAway bool
	// Pace is, of one that is not lost, how much slower than its kind it says it is.
	Pace float64
	// Age is how long ago it was seen.
	Age time.Duration
	// Nodes is how many have seen it.
	Nodes int
}

// valid says whether a node could have made the claim, and it still counts.
func (c Claim) valid() bool {
	known := c.Replica != "" && c.Nodes > 0 && c.Nodes <= mostNodes && c.Age >= 0 && c.Age < ValidFor
	return known && (c.Lost || c.TurnsAway || c.Pace >= 1 && c.Pace <= mostPace)
}

// saying is what one node told last.
type saying struct {
	at     time.Time
	hub    bool
	claims []Claim
}

// Board is what one node has been told. The zero value is ready. It is not safe for
// concurrent use.
type Board struct {
	told map[string]saying
}

// Tell notes what a node told: its own claims, or, as a hub, those of several. It says how
// many were passed over.
func (b *Board) Tell(now time.Time, node string, hub bool, claims []Claim) (dropped int) {
	if b.told == nil {
		b.told = map[string]saying{}
	}
	for name, s := range b.told {
		if now.Sub(s.at) >= ValidFor {
			delete(b.told, name)
		}
	}
	kept := make([]Claim, 0, min(len(claims), Most))
	for _, c := range claims {
		if !c.valid() || len(kept) == Most {
			dropped++
			continue
		}
		kept = append(kept, c)
	}
	b.told[node] = saying{at: now, hub: hub, claims: kept}
	return dropped
}

// Follow forgets all but what one hub told: that holds what any other told before.
func (b *Board) Follow(hub string) {
	for node := range b.told {
		if node != hub {
			delete(b.told, node)
		}
	}
}

// Others is what others have seen.
func (b *Board) Others(now time.Time) []Claim {
	return b.merge(now, nil, func(string, saying) bool { return true })
}

// Answer is what a node that asked is told: another hub what was seen here and told by
// those that ask here, any other node all but its own.
func (b *Board) Answer(now time.Time, own []Claim, asker string, hub bool) []Claim {
	return b.merge(now, own, func(node string, s saying) bool {
		if hub {
			return !s.hub
		}
		return node != asker
	})
}

// subject is what claims are about; those that agree on it are added up.
type subject struct {
	replica         string
	lost, turnsAway bool
}

func (b *Board) merge(now time.Time, own []Claim, counts func(node string, s saying) bool) []Claim {
	merged := map[subject]Claim{}
	add := func(c Claim) {
		if !c.valid() {
			return
		}
		key := subject{c.Replica, c.Lost, c.TurnsAway}
		known, ok := merged[key]
		if !ok {
			merged[key] = c
			return
		}
		known.Nodes = min(known.Nodes+c.Nodes, mostNodes)
		if c.Age < known.Age {
			known.Age, known.Pace = c.Age, c.Pace
		}
		merged[key] = known
	}
	for _, c := range own {
		add(c)
	}
	for node, s := range b.told {
		if !counts(node, s) {
			continue
		}
		for _, c := range s.claims {
			c.Age += now.Sub(s.at)
			add(c)
		}
	}
	return youngest(merged)
}

func youngest(merged map[subject]Claim) []Claim {
	list := make([]Claim, 0, len(merged))
	for _, c := range merged {
		list = append(list, c)
	}
	slices.SortFunc(list, func(x, y Claim) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Replica, y.Replica))
	})
	return list[:min(len(list), Most)]
}

// View is what a node knows itself of the replicas of one service.
type View struct {
	// Node is its name, Near those of all nodes of its failure domain.
	Node string
	Near []string
	// Known says whether a replica is one of the service, Lost whether it is taken for
	// lost.
	Known, Lost func(replica string) bool
	// Replicas is how many there are, Taken how many of them are taken for lost.
	Replicas, Taken int
}

// Verdict is what a node does about claims.
type Verdict struct {
	// Believe are claims that it takes for true, Look those of which it looks at the
	// replica.
	Believe, Look []Claim
}

// Judge decides on what others have seen.
func Judge(claims []Claim, v View) Verdict {
	var verdict Verdict
	room := int(math.Floor(float64(v.Replicas)*MostTaken)) - v.Taken
	for _, c := range claims {
		if !v.Known(c.Replica) || c.Lost && v.Lost(c.Replica) {
			continue
		}
		switch {
		case c.Nodes >= Enough && !c.Lost && !c.TurnsAway:
			verdict.Believe = append(verdict.Believe, c)
		case c.Nodes >= Enough && room > 0:
			room--
			verdict.Believe = append(verdict.Believe, c)
		case c.TurnsAway: // there is nothing to look at: it answers all but requests
		case v.Confirms(c.Replica):
			verdict.Look = append(verdict.Look, c)
		}
	}
	return verdict
}

// Confirms says whether the node is one of those that look at a replica for all.
func (v View) Confirms(replica string) bool {
	key := rendezvous.Hash(replica)
	own := rendezvous.Score(key, rendezvous.Hash(v.Node))
	before := 0
	for _, name := range v.Near {
		if name != v.Node && rendezvous.Score(key, rendezvous.Hash(name)) > own {
			before++
		}
	}
	return before < Confirmers
}
