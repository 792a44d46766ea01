package reservations

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func oneNode(amount float64) Totals {
	return Totals{NodeCount: 1, ReservedByReplica: map[string]float64{"r": amount}}
}

// domain simulates the exchanges of a failure domain. The first nodes in the list are the
// hubs, and each other node reports to one hub.
type domain struct {
	aggregators []Aggregator
	ownReserved []float64
	hubs        int
}

func (d *domain) name(i int) string { return fmt.Sprint("n", i) }

func (d *domain) exchange(now time.Time, i int) {
	for _, hub := range d.hubsOf(i) {
		asHub := i < d.hubs
		sent := oneNode(d.ownReserved[i])
		if asHub {
			sent = d.aggregators[i].HubTotals(now, sent)
		}
		d.aggregators[hub].Record(now, d.name(i), asHub, sent)
		answer := d.aggregators[hub].ReplyTo(now, oneNode(d.ownReserved[hub]), d.name(i), asHub)
		if !asHub {
			d.aggregators[i].KeepOnlyFrom(d.name(hub))
		}
		d.aggregators[i].Record(now, d.name(hub), true, answer)
	}
}

func (d *domain) hubsOf(i int) []int {
	if i >= d.hubs {
		return []int{i % d.hubs}
	}
	var others []int
	for hub := range d.hubs {
		if hub != i {
			others = append(others, hub)
		}
	}
	return others
}

// Guards against reservations that are missed or counted twice. After each node has made
// its exchanges twice, each node knows the reservations of all others, whatever the
// number of hubs.
func TestEachNodeCountsAllOthersOnce(t *testing.T) {
	for _, c := range []struct{ nodes, hubs int }{{1, 1}, {2, 2}, {3, 3}, {9, 3}, {27, 3}, {5, 1}} {
		d := &domain{aggregators: make([]Aggregator, c.nodes), hubs: c.hubs}
		total := 0.0
		for i := range c.nodes {
			d.ownReserved = append(d.ownReserved, float64(i+1))
			total += float64(i + 1)
		}
		now := start
		for range 2 {
			for i := range c.nodes {
				d.exchange(now, i)
			}
			now = now.Add(300 * time.Millisecond)
		}
		for i := range c.nodes {
			others := d.aggregators[i].FromOthers(now)
			if others.NodeCount != c.nodes-1 || others.ReservedByReplica["r"] != total-d.ownReserved[i] {
				t.Errorf("%d nodes, %d hubs: node %d counts %d others with %v, want %v", c.nodes, c.hubs, i, others.NodeCount, others.ReservedByReplica["r"], total-d.ownReserved[i])
			}
		}
	}
}

// Guards against counting reservations of nodes that have died or are cut off. Also
// guards against counting reservations twice after a node has switched to another hub.
func TestReportsExpire(t *testing.T) {
	var b Aggregator
	b.Record(start, "a", false, oneNode(5))
	b.Record(start.Add(ValidFor/2), "b", false, oneNode(7))
	if got := b.FromOthers(start.Add(ValidFor - 1)); got.NodeCount != 2 || got.ReservedByReplica["r"] != 12 {
		t.Errorf("%+v", got)
	}
	if got := b.FromOthers(start.Add(ValidFor)); got.NodeCount != 1 || got.ReservedByReplica["r"] != 7 {
		t.Errorf("%+v", got)
	}
	b.KeepOnlyFrom("c")
	b.Record(start.Add(ValidFor), "c", true, Totals{NodeCount: 9, ReservedByReplica: map[string]float64{"r": 20}})
	if got := b.FromOthers(start.Add(ValidFor)); got.NodeCount != 9 || got.ReservedByReplica["r"] != 20 {
		t.Errorf("%+v", got)
	}
}
