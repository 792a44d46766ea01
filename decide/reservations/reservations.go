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

// Totals is what some nodes have booked together.
type Totals struct {
	// Nodes is how many.
	Nodes int
	// Amounts are by replica, in tokens times layers.
	Amounts map[string]float64
}

// Plus is the sum of two.
func (h Totals) Plus(other Totals) Totals {
	sum := Totals{Nodes: h.Nodes + other.Nodes, Amounts: maps.Clone(h.Amounts)}
	if sum.Amounts == nil {
		sum.Amounts = map[string]float64{}
	}
	for replica, amount := range other.Amounts {
		sum.Amounts[replica] += amount
	}
	return sum
}

// report is what one node told last.
type report struct {
	received time.Time
	hub      bool
	totals   Totals
}

// Aggregator is what one node has been told. The zero value is ready. It is not safe for
// concurrent use.
type Aggregator struct {
	latest map[string]report
}

// Record notes what a node told: its own bookings, or, as a hub, a sum.
func (b *Aggregator) Record(now time.Time, node string, hub bool, totals Totals) {
	if b.latest == nil {
		b.latest = map[string]report{}
	}
	for name, e := range b.latest {
		if now.Sub(e.received) >= ValidFor {
			delete(b.latest, name)
		}
	}
	b.latest[node] = report{received: now, hub: hub, totals: totals}
}

// KeepOnly forgets all but what one hub told: its sum holds what any other told before.
func (b *Aggregator) KeepOnly(hub string) {
	maps.DeleteFunc(b.latest, func(node string, _ report) bool { return node != hub })
}

// FromOthers is what all other nodes have booked, as far as it is known.
func (b *Aggregator) FromOthers(now time.Time) Totals {
	return b.sum(now, func(string, report) bool { return true })
}

// HubTotals is what a hub tells the others: its own and what it was told directly.
func (b *Aggregator) HubTotals(now time.Time, own Totals) Totals {
	return own.Plus(b.sum(now, func(_ string, e report) bool { return !e.hub }))
}

// ReplyTo is what a node that asked is told: another hub the local sum, any other node
// all that is known but for its own.
func (b *Aggregator) ReplyTo(now time.Time, own Totals, asker string, hub bool) Totals {
	if hub {
		return b.HubTotals(now, own)
	}
	return own.Plus(b.sum(now, func(node string, _ report) bool { return node != asker }))
}

func (b *Aggregator) sum(now time.Time, include func(node string, e report) bool) Totals {
	sum := Totals{Amounts: map[string]float64{}}
	for node, e := range b.latest {
		if now.Sub(e.received) >= ValidFor || !include(node, e) {
			continue
		}
		sum.Nodes += e.totals.Nodes
		for replica, amount := range e.totals.Amounts {
			sum.Amounts[replica] += amount
		}
	}
	return sum
}
