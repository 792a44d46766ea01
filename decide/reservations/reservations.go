// Package reservations adds up what the nodes of a failure domain have booked on replicas,
// so that each can reckon with the room that is really left.
//
// # Load pattern
//
// Many nodes send to the same replicas, and no replica tells in time how full it is.
// Callers are spread unevenly over the nodes, and nodes come and go.
//
// # Without it
//
// Each node keeps to an even part of the room. With twenty nodes that is room for a
// handful of requests: while one node has callers waiting, others leave theirs unused;
// and where a node uses more than its part, replicas refuse, each node learns that by
// itself, and the tries are spent.
//
// # Rules
//
//   - A few nodes of the domain, the hubs, are told by the others what these have booked,
//     and tell each other the sums. Whoever asks is answered with what all others have
//     booked, as far as it is known here.
//   - What was told counts for ValidFor. Of nodes that are not heard of, the reader
//     reckons that they use their even part (decide/paths).
//
// All of it is a hint: a wrong sum costs a refusal or some unused room.
package reservations

import (
	"maps"
	"time"
)

// ValidFor is how long what was told counts: three exchanges may be lost.
const ValidFor = time.Second

// Held is what some nodes have booked together.
type Held struct {
	// Nodes is how many.
	Nodes int
	// Amounts are by replica, in tokens times layers.
	Amounts map[string]float64
}

// Plus is the sum of two.
func (h Held) Plus(other Held) Held {
	sum := Held{Nodes: h.Nodes + other.Nodes, Amounts: maps.Clone(h.Amounts)}
	if sum.Amounts == nil {
		sum.Amounts = map[string]float64{}
	}
	for replica, amount := range other.Amounts {
		sum.Amounts[replica] += amount
	}
	return sum
}

// entry is what one node told last.
type entry struct {
	at   time.Time
	hub  bool
	held Held
}

// Board is what one node has been told. The zero value is ready. It is not safe for
// concurrent use.
type Board struct {
	told map[string]entry
}

// Tell notes what a node told: its own bookings, or, as a hub, a sum.
func (b *Board) Tell(now time.Time, node string, hub bool, held Held) {
	if b.told == nil {
		b.told = map[string]entry{}
	}
	for name, e := range b.told {
		if now.Sub(e.at) >= ValidFor {
			delete(b.told, name)
		}
	}
	b.told[node] = entry{at: now, hub: hub, held: held}
}

// Follow forgets all but what one hub told: its sum holds what any other told before.
func (b *Board) Follow(hub string) {
	maps.DeleteFunc(b.told, func(node string, _ entry) bool { return node != hub })
}

// Others is what all other nodes have booked, as far as it is known.
func (b *Board) Others(now time.Time) Held {
	return b.sum(now, func(string, entry) bool { return true })
}

// Local is what a hub tells the others: its own and what it was told directly.
func (b *Board) Local(now time.Time, own Held) Held {
	return own.Plus(b.sum(now, func(_ string, e entry) bool { return !e.hub }))
}

// Answer is what a node that asked is told: another hub the local sum, any other node
// all that is known but for its own.
func (b *Board) Answer(now time.Time, own Held, asker string, hub bool) Held {
	if hub {
		return b.Local(now, own)
	}
	return own.Plus(b.sum(now, func(node string, _ entry) bool { return node != asker }))
}

func (b *Board) sum(now time.Time, counts func(node string, e entry) bool) Held {
	sum := Held{Amounts: map[string]float64{}}
	for node, e := range b.told {
		if now.Sub(e.at) >= ValidFor || !counts(node, e) {
			continue
		}
		sum.Nodes += e.held.Nodes
		for replica, amount := range e.held.Amounts {
			sum.Amounts[replica] += amount
		}
	}
	return sum
}
