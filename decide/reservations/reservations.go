// Package reservations adds up the capacity that the nodes of a failure domain have reserved
// on replicas, so that each node knows the remaining capacity.
//
// # Load pattern
//
// Many nodes send to the same replicas, and no replica reports in time how full it is.
// Callers are spread unevenly over the nodes, and nodes join and leave.
//
// # Failure without it
//
// Each node uses at most an even share of the capacity. With twenty nodes that is capacity
// for a handful of requests: some nodes have callers waiting while others leave their share
// unused. If a node exceeds its share, replicas refuse requests. Each node detects that
// separately, and the attempts are used up.
//
// # Rules
//
//   - A few nodes of the domain are hubs. The other nodes report their reservations to a
//     hub, and the hubs exchange the sums. A node that reports gets back the reservations
//     of all other nodes, as far as the hub knows them.
//   - A report is valid for ValidFor. For nodes without a report, the node that uses the
//     totals assumes an even share (decide/paths).
//
// The totals are a hint: a wrong sum costs a refusal or some unused capacity.
package reservations

import (
	"maps"
	"time"
)

// ValidFor is how long a report is valid: three exchanges may be lost.
const ValidFor = time.Second

// Totals is the capacity that a number of nodes have reserved together.
type Totals struct {
	// Nodes is the number of nodes.
	Nodes int
	// ReservedByReplica are the reserved capacities by replica, in tokens times layers.
	ReservedByReplica map[string]float64
}

// Plus returns the sum of t and other.
func (t Totals) Plus(other Totals) Totals {
	sum := Totals{Nodes: t.Nodes + other.Nodes, ReservedByReplica: maps.Clone(t.ReservedByReplica)}
	if sum.ReservedByReplica == nil {
		sum.ReservedByReplica = map[string]float64{}
	}
	for replica, amount := range other.ReservedByReplica {
		sum.ReservedByReplica[replica] += amount
	}
	return sum
}

// report is the last report of a node.
type report struct {
	received time.Time
	fromHub  bool
	totals   Totals
}

// Aggregator holds the reports that a node has received. The zero value is ready to use.
// It is not safe for concurrent use.
type Aggregator struct {
	latest map[string]report
}

// Record stores a node's report: its own reservations or, from a hub, a sum.
func (a *Aggregator) Record(now time.Time, node string, hub bool, totals Totals) {
	if a.latest == nil {
		a.latest = map[string]report{}
	}
	for name, r := range a.latest {
		if now.Sub(r.received) >= ValidFor {
			delete(a.latest, name)
		}
	}
	a.latest[node] = report{received: now, fromHub: hub, totals: totals}
}

// KeepOnly drops the reports of all nodes except one hub, whose sum includes the reports
// of the others.
func (a *Aggregator) KeepOnly(hub string) {
	maps.DeleteFunc(a.latest, func(node string, _ report) bool { return node != hub })
}

// FromOthers returns the reservations of all other nodes, as far as they are known.
func (a *Aggregator) FromOthers(now time.Time) Totals {
	return a.sum(now, func(string, report) bool { return true })
}

// HubTotals returns what a hub reports to other hubs: its own reservations and those that
// nodes reported to it directly.
func (a *Aggregator) HubTotals(now time.Time, own Totals) Totals {
	return own.Plus(a.sum(now, func(_ string, r report) bool { return !r.fromHub }))
}

// ReplyTo returns the reply to a node's report. Another hub gets HubTotals; any other
// node gets all known reservations but its own.
func (a *Aggregator) ReplyTo(now time.Time, own Totals, asker string, hub bool) Totals {
	if hub {
		return a.HubTotals(now, own)
	}
	return own.Plus(a.sum(now, func(node string, _ report) bool { return node != asker }))
}

func (a *Aggregator) sum(now time.Time, include func(node string, r report) bool) Totals {
	sum := Totals{ReservedByReplica: map[string]float64{}}
	for node, r := range a.latest {
		if now.Sub(r.received) >= ValidFor || !include(node, r) {
			continue
		}
		sum.Nodes += r.totals.Nodes
		for replica, amount := range r.totals.ReservedByReplica {
			sum.ReservedByReplica[replica] += amount
		}
	}
	return sum
}
