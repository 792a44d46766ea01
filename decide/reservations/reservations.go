// Package reservations adds up the capacity that the nodes of a failure domain have reserved
// on replicas, so that each node knows the remaining capacity.
//
// # Load pattern
//
// Many nodes send to the same replicas, and no replica reports in time how full it is.
// Callers are spread unevenly over the nodes, and nodes join and leave.
//
// # Failure without this package
//
// Each node uses at most an even share of the capacity. With twenty nodes, such a share is
// enough for only a handful of requests: callers wait at some nodes while other nodes leave
// their shares unused. If nodes exceed their shares, replicas refuse requests. Each node
// learns separately which replicas are full, and its requests run out of attempts.
//
// # Rules
//
//   - A few nodes of the domain are hubs. The other nodes report their reservations to a
//     hub, and the hubs exchange totals: the sum of a hub's own reservations and of those
//     reported to it by nodes that are not hubs. An exchange is a report and the reply. A
//     node that reports to a hub gets back the reservations of all other nodes, as far as
//     the hub knows them.
//   - A report is valid for ValidFor. For nodes without a report, the node that uses the
//     totals assumes an even share (decide/paths).
//
// The totals are a hint: a wrong total costs a refused request or some unused capacity.
package reservations

import (
	"maps"
	"time"
)

// ValidFor is how long a report is valid. With this value, the totals do not change when up
// to three exchanges in a row are lost.
const ValidFor = time.Second

// Totals is the capacity that several nodes have reserved together.
type Totals struct {
	// NodeCount is the number of nodes whose reservations are included.
	NodeCount int
	// ReservedByReplica is the reserved capacity of each replica, in tokens times layers.
	ReservedByReplica map[string]float64
}

// Plus returns the sum of t and other.
func (t Totals) Plus(other Totals) Totals {
	sum := Totals{NodeCount: t.NodeCount + other.NodeCount, ReservedByReplica: maps.Clone(t.ReservedByReplica)}
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
	receivedAt time.Time
	fromHub    bool
	totals     Totals
}

// Aggregator holds the reports that a node has received. The zero value is ready to use.
// It is not safe for concurrent use.
type Aggregator struct {
	latest map[string]report
}

// Record stores a node's report: the node's own reservations or, if fromHub is set, the
// totals of several nodes.
func (a *Aggregator) Record(now time.Time, node string, fromHub bool, totals Totals) {
	if a.latest == nil {
		a.latest = map[string]report{}
	}
	for name, r := range a.latest {
		if now.Sub(r.receivedAt) >= ValidFor {
			delete(a.latest, name)
		}
	}
	a.latest[node] = report{receivedAt: now, fromHub: fromHub, totals: totals}
}

// KeepOnlyFrom drops the reports of all nodes except the given hub. The totals of this hub
// include the reservations of the other nodes.
func (a *Aggregator) KeepOnlyFrom(hub string) {
	maps.DeleteFunc(a.latest, func(node string, _ report) bool { return node != hub })
}

// FromOthers returns the reservations of all other nodes, as far as they are known.
func (a *Aggregator) FromOthers(now time.Time) Totals {
	return a.sum(now, func(string, report) bool { return true })
}

// HubTotals returns what this node, as a hub, reports to other hubs: its own reservations
// and those of the nodes that report to it directly.
func (a *Aggregator) HubTotals(now time.Time, own Totals) Totals {
	return own.Plus(a.sum(now, func(_ string, r report) bool { return !r.fromHub }))
}

// ReplyTo returns the reply to a node's report. Another hub gets HubTotals. Any node that
// is not a hub gets all known reservations but its own.
func (a *Aggregator) ReplyTo(now time.Time, own Totals, asker string, askerIsHub bool) Totals {
	if askerIsHub {
		return a.HubTotals(now, own)
	}
	return own.Plus(a.sum(now, func(node string, _ report) bool { return node != asker }))
}

func (a *Aggregator) sum(now time.Time, include func(node string, r report) bool) Totals {
	sum := Totals{ReservedByReplica: map[string]float64{}}
	for node, r := range a.latest {
		if now.Sub(r.receivedAt) >= ValidFor || !include(node, r) {
			continue
		}
		sum.NodeCount += r.totals.NodeCount
		for replica, amount := range r.totals.ReservedByReplica {
			sum.ReservedByReplica[replica] += amount
		}
	}
	return sum
}
