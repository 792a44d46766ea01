package docsync

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func vm(i int) string { return fmt.Sprintf("vm-%04d", i) }

// fleet returns n nodes dealt over failure domains.
func fleet(n, domains int) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{Name: vm(i), FailureDomain: fmt.Sprintf("fd-%02d", i%domains), Heard: true, Steady: true}
	}
	return nodes
}

func machineOf(nodes []Node, self int) *Machine {
	m := New(Config{Self: nodes[self].Name, FailureDomain: nodes[self].FailureDomain, Environment: "stock"})
	m.Step(membersWithout(nodes, self))
	return m
}

func membersWithout(nodes []Node, self int) Members {
	others := append(append([]Node(nil), nodes[:self]...), nodes[self+1:]...)
	return Members{Nodes: others, Whole: true}
}

func learn(m *Machine, revision int64, source Source) Batch {
	return m.Step(Learned{Record: testRecord(revision, []byte("{}")), Source: source})
}

// Records reach a node in any order, late and repeatedly, from the store and
// from peers. What callers are served must never go back to an older one.
func TestRevisionNeverFalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := machineOf(fleet(3, 1), 0)
		highest := int64(0)
		for range rapid.IntRange(1, 30).Draw(rt, "records") {
			revision := int64(rapid.IntRange(1, 9).Draw(rt, "revision"))
			source := rapid.SampledFrom([]Source{FromStore, FromPeer}).Draw(rt, "source")
			accepted := learn(m, revision, source).Accepted != nil
			if accepted != (revision > highest) {
				rt.Fatalf("revision %d accepted=%v over %d", revision, accepted, highest)
			}
			highest = max(highest, revision)
			if m.Latest().Revision != highest {
				rt.Fatalf("holds %d, highest was %d", m.Latest().Revision, highest)
			}
		}
	})
}

// A node starts while the store is down. Its first peer lags and still holds
// revision 4, the others serve 5. It must not serve 4 to its callers.
func TestStartWithoutTheStoreTakesTheHighestOfSeveral(t *testing.T) {
	type answer struct {
		peer     int
		revision int64
	}
	const notFetched = 6
	for _, c := range []struct {
		name    string
		nodes   int
		whole   bool
		answers []answer
		ready   bool
	}{
		{"one answer of many peers", 6, true, []answer{{1, 4}}, false},
		{"two of many", 6, true, []answer{{1, 4}, {2, 5}}, false},
		{"three of many", 6, true, []answer{{1, 4}, {2, 5}, {3, 5}}, true},
		{"all of two", 3, true, []answer{{1, 4}, {2, 5}}, true},
		{"one of two", 3, true, []answer{{1, 4}}, false},
		{"view not received yet", 3, false, []answer{{1, 4}, {2, 5}}, false},
		{"a peer that starts too is not waited for", 3, true, []answer{{1, 5}, {2, 0}}, true},
		{"all start", 3, true, []answer{{1, 0}, {2, 0}}, false},
		{"the highest is known and not held yet", 6, true, []answer{{1, 5}, {2, 5}, {3, notFetched}}, false},
		{"same peer three times", 6, true, []answer{{1, 4}, {1, 4}, {1, 4}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := machineOf(fleet(c.nodes, 1), 0)
			members := membersWithout(fleet(c.nodes, 1), 0)
			members.Whole = c.whole
			m.Step(members)
			for _, a := range c.answers {
				if m.Step(Heard{Peer: vm(a.peer), Holding: testRecord(a.revision, nil).Holding(), Asked: true}).Fetch != "" && a.revision != notFetched {
					learn(m, a.revision, FromPeer)
				}
			}
			m.Step(members)
			if m.Ready() != c.ready {
				t.Fatalf("ready %v with revision %d, want %v", m.Ready(), m.Latest().Revision, c.ready)
			}
			if c.ready && m.Latest().Revision != 5 {
				t.Fatalf("serves revision %d, want 5", m.Latest().Revision)
			}
		})
	}
}

// The store counts each waiting watch as a call. The watches must depend on
// the failure domains and not on the nodes; one whose holder dies moves on.
func TestWatchesDoNotGrowWithTheFleet(t *testing.T) {
	for _, c := range []struct{ nodes, domains int }{{3, 3}, {9, 3}, {100, 3}, {2200, 23}} {
		nodes := fleet(c.nodes, c.domains)
		watching := 0
		for i := range nodes {
			if machineOf(nodes, i).Watching() {
				watching++
			}
		}
		if want := min(c.nodes, c.domains*holders); watching != want {
			t.Errorf("%d nodes in %d failure domains hold %d watches, want %d", c.nodes, c.domains, watching, want)
		}
		t.Logf("%d nodes, %d failure domains: %d watches", c.nodes, c.domains, watching)
	}
	nodes := fleet(8, 1)
	for i := range nodes {
		nodes[i].Steady = !machineOf(fleet(8, 1), i).Watching()
	}
	successors := 0
	for i := range nodes {
		if nodes[i].Steady && machineOf(nodes, i).Watching() {
			successors++
		}
	}
	if successors != holders {
		t.Errorf("%d nodes take over from two dead holders, want %d", successors, holders)
	}
}

// A change reaches the two holders of a failure domain of 96 nodes, some of
// which are dead. Every node that runs must be offered it by the tree, and the
// number of offers must stay near one a node.
func TestTreeReachesEveryNode(t *testing.T) {
	const n = 96
	for _, dead := range []int{0, 1, 9, 40} {
		nodes := fleet(n, 1)
		machines := make([]*Machine, n)
		for i := range nodes {
			machines[i] = machineOf(nodes, i)
		}
		down := map[string]bool{}
		for i := 0; len(down) < dead; i++ {
			if !machines[i*2].Watching() {
				down[vm(i*2)] = true
			}
		}
		offers := pushAll(machines, down)
		for i, m := range machines {
			if !down[vm(i)] && m.Latest().Revision != 7 {
				t.Errorf("%d dead: %s was not reached", dead, vm(i))
			}
		}
		if limit := 3*dead + n + 2*holders; offers > limit {
			t.Errorf("%d dead: %d offers, want at most %d", dead, offers, limit)
		}
		t.Logf("%d nodes, %d dead: %d offers", n, dead, offers)
	}
}

// pushAll gives revision 7 to the holders and follows every push.
func pushAll(machines []*Machine, down map[string]bool) int {
	type offer struct{ from, to int }
	var queue []offer
	index := map[string]int{}
	for i := range machines {
		index[vm(i)] = i
	}
	push := func(from int, b Batch) {
		for _, name := range b.Push {
			queue = append(queue, offer{from, index[name]})
		}
	}
	for i, m := range machines {
		if m.Watching() {
			push(i, learn(m, 7, FromStore))
		}
	}
	offers := 0
	for ; len(queue) > 0; queue = queue[1:] {
		o := queue[0]
		offers++
		if down[vm(o.to)] {
			push(o.from, machines[o.from].Step(PushFailed{Peer: vm(o.to), Revision: 7}))
			continue
		}
		push(o.to, learn(machines[o.to], 7, FromPeer))
	}
	return offers
}

// A push got lost. The next exchange shows by digest that one side lags, and
// whichever side started it, the lagging one gets the record.
func TestDigestRepairsAMissedPush(t *testing.T) {
	old, young := testRecord(1, []byte("{}")).Holding(), testRecord(2, nil).Holding()
	other := Holding{Revision: 1, Mark: 42}
	for _, c := range []struct {
		name     string
		heard    Heard
		fetch    bool
		push     bool
		conflict bool
	}{
		{"peer is ahead", Heard{Peer: "p", Holding: young}, true, false, false},
		{"asked peer is behind", Heard{Peer: "p", Asked: true}, false, true, false},
		{"asking peer is behind: the answer shows it", Heard{Peer: "p"}, false, false, false},
		{"equal", Heard{Peer: "p", Holding: old}, false, false, false},
		{"two records of one revision", Heard{Peer: "p", Holding: other}, false, false, true},
	} {
		m := machineOf(fleet(3, 1), 0)
		learn(m, 1, FromStore)
		b := m.Step(c.heard)
		if (b.Fetch != "") != c.fetch || (len(b.Push) > 0) != c.push || b.Conflict != c.conflict {
			t.Errorf("%s: %+v", c.name, b)
		}
	}
}

// Guards against a fleet in which no document comes into force any more, since a peer has told a
// record of a revision that no store reaches.
func TestRevisionsThatNoStoreReaches(t *testing.T) {
	for _, odd := range []int64{math.MaxInt64, maxRevision + 1, math.MinInt64, -1} {
		m := machineOf(fleet(3, 1), 0)
		learn(m, 4, FromStore)
		if batch := m.Step(Heard{Peer: vm(1), Holding: Holding{Revision: odd, Mark: 1}}); batch.Fetch != "" || batch.Conflict {
			t.Errorf("heard of revision %d: %+v", odd, batch)
		}
		if learn(m, odd, FromPeer).Accepted != nil || learn(m, 5, FromPeer).Accepted == nil {
			t.Errorf("after revision %d revision %d is in force, want 5", odd, m.Latest().Revision)
		}
	}
}
