package loadshed

import (
	"maps"
	"time"
)

// ValidFor is how long a report is valid. Up to three exchanges in a row may be lost in that
// time.
const ValidFor = time.Second

// report is the last report of a node.
type report struct {
	receivedAt time.Time
	fromHub    bool
	totals     Totals
}

// Aggregator holds the reports that a node has received about one service. A hub is a node
// to which the other nodes of a failure domain report; hubs exchange sums. The zero value is
// ready to use. It is not safe for concurrent use.
type Aggregator struct {
	latest map[string]report
}

// Record stores a node's report: its own figures or, if fromHub is set, the sum of several
// nodes. It returns false for a report that no node would send, and drops it.
func (a *Aggregator) Record(now time.Time, node string, fromHub bool, totals Totals) bool {
	if !totals.Valid() {
		return false
	}
	if a.latest == nil {
		a.latest = map[string]report{}
	}
	maps.DeleteFunc(a.latest, func(_ string, r report) bool { return now.Sub(r.receivedAt) >= ValidFor })
	a.latest[node] = report{receivedAt: now, fromHub: fromHub, totals: totals}
	return true
}

// KeepOnlyFrom drops the reports of all nodes except the given hub, whose report includes the
// others.
func (a *Aggregator) KeepOnlyFrom(hub string) {
	maps.DeleteFunc(a.latest, func(node string, _ report) bool { return node != hub })
}

// FromOthers returns the figures of all other nodes.
func (a *Aggregator) FromOthers(now time.Time) Totals {
	return a.sum(now, func(string, report) bool { return true })
}

// HubTotals returns what this node, as a hub, reports to other hubs: its own figures and those
// of the nodes that report to it.
func (a *Aggregator) HubTotals(now time.Time, own Totals) Totals {
	return own.Plus(a.sum(now, func(_ string, r report) bool { return !r.fromHub })).Limited()
}

// ReplyTo returns the reply to a node's report. Another hub gets HubTotals, any other node all
// figures but its own.
func (a *Aggregator) ReplyTo(now time.Time, own Totals, asker string, askerIsHub bool) Totals {
	if askerIsHub {
		return a.HubTotals(now, own)
	}
	return own.Plus(a.sum(now, func(node string, _ report) bool { return node != asker })).Limited()
}

func (a *Aggregator) sum(now time.Time, include func(node string, r report) bool) Totals {
	var sum Totals
	for node, r := range a.latest {
		if now.Sub(r.receivedAt) < ValidFor && include(node, r) {
			sum = sum.Plus(r.totals)
		}
	}
	return sum
}
