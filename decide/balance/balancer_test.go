package balance

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
	"github.com/cicadatack/cicadatack/decide/health"
)

func seconds(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func fleet(replicas, domains int) []Replica {
	all := make([]Replica, replicas)
	for i := range all {
		all[i] = Replica{ID: fmt.Sprint("replica-", i), FailureDomain: fmt.Sprint("fd-", i%domains), Slots: 64}
	}
	return all
}

func newBalancer(replicas, domains int) *Balancer {
	b := New(Config{Node: "vm-1", FailureDomain: "fd-0", Seed: 1})
	b.SetReplicas(epoch, fleet(replicas, domains))
	return b
}

func picked(b *Balancer, now time.Time, times int, q Query) map[string]int {
	got := map[string]int{}
	for range times {
		if c, ok := b.Pick(now, q); ok {
			got[c.Replica]++
		}
	}
	return got
}

// Callers would meet a refusal on an endpoint that leaves. Any one source is
// believed, and only the same source can take it back: the platform's list lags
// and still says live when the endpoint itself has said that it leaves.
func TestLeavingSources(t *testing.T) {
	const id = "replica-0"
	refusal := func(b *Balancer) {
		b.Sent(epoch, id, 1)
		b.Finished(epoch, id, Result{Cost: 1, Failure: health.Leaving})
	}
	for _, c := range []struct {
		name        string
		say, unsay  func(b *Balancer)
		comesBack   bool
		afterSecond float64
	}{
		{"platform", func(b *Balancer) { b.SetLeaving(epoch, id, true) }, func(b *Balancer) { b.SetLeaving(epoch, id, false) }, true, 0},
		{"peer, list lags", func(b *Balancer) { b.Leaving(epoch, id, SourcePeer, true) }, func(b *Balancer) { b.SetLeaving(epoch, id, false) }, false, 0},
		{"report, newer report", func(b *Balancer) { b.Report(epoch, id, Load{Leaving: true}) }, func(b *Balancer) { b.Report(seconds(1), id, Load{}) }, true, 1},
		{"report, older report", func(b *Balancer) { b.Report(epoch, id, Load{Leaving: true}) }, func(b *Balancer) { b.Report(seconds(1), id, Load{Age: 2 * time.Second}) }, false, 1},
		{"refusal, report", refusal, func(b *Balancer) { b.Report(seconds(1), id, Load{}) }, false, 1},
		{"refusal, held long enough", refusal, func(*Balancer) {}, true, 61},
		{"list forgets and names it anew", refusal, func(b *Balancer) {
			b.SetReplicas(epoch, fleet(4, 1)[1:])
			b.SetReplicas(epoch, fleet(4, 1))
		}, true, 16}, // after its slow start
	} {
		Convey("Given an endpoint called leaving by "+c.name, t, func() {
			b := newBalancer(4, 1)
			c.say(b)
			So(picked(b, epoch, 1000, Query{})[id], ShouldEqual, 0)
			So(picked(b, epoch, 1000, Query{Prefix: 7})[id], ShouldEqual, 0)
			c.unsay(b)
			So(picked(b, seconds(c.afterSecond), 1000, Query{})[id] > 0, ShouldEqual, c.comesBack)
		})
	}
	Convey("Given that all endpoints leave", t, func() {
		b := newBalancer(4, 1)
		for _, r := range fleet(4, 1) {
			b.SetLeaving(epoch, r.ID, true)
		}
		_, ok := b.Pick(epoch, Query{})
		So(ok, ShouldBeFalse)
		So(b.Room(epoch), ShouldEqual, 0)
	})
}

func TestChoices(t *testing.T) {
	Convey("Given a replica that refused for want of room", t, func() {
		b := newBalancer(2, 1)
		b.Sent(epoch, "replica-0", 0)
		b.Finished(epoch, "replica-0", Result{Failure: health.Overloaded})
		So(picked(b, epoch, 100, Query{}), ShouldResemble, map[string]int{"replica-1": 100})
		So(picked(b, epoch, 100, Query{Exclude: []string{"replica-1"}}), ShouldResemble, map[string]int{"replica-0": 100})
		So(len(picked(b, seconds(0.3), 100, Query{})), ShouldEqual, 2)
	})
	Convey("Given that every endpoint refuses connections", t, func() {
		b := newBalancer(2, 1)
		for range 10 {
			for _, id := range []string{"replica-0", "replica-1"} {
				b.Sent(epoch, id, 0)
				b.Finished(epoch, id, Result{Failure: health.Unreachable})
			}
		}
		So(b.health.OutOfRotation(), ShouldEqual, 1)
		So(b.Changes(), ShouldResemble, []Change{{epoch, "replica-0", health.Healthy, health.Ejected, health.Consecutive}})
		So(b.Changes(), ShouldBeEmpty)
		status := b.Status(epoch)
		So(fmt.Sprint(status[1].ID, " ", status[1].State, status[1].Cause, status[0].State), ShouldEqual, "replica-0 ejected consecutive healthy")
		c, ok := b.Pick(epoch, Query{Exclude: []string{"replica-0"}})
		So(ok, ShouldBeTrue)
		So(c.Replica, ShouldEqual, "replica-1")
	})
	Convey("Given a list that changes, the replicas that stay keep their state", t, func() {
		b := newBalancer(4, 1)
		b.Sent(epoch, "replica-1", 10)
		b.SetReplicas(seconds(1), fleet(6, 1)[1:])
		So(b.members["replica-1"].inflight, ShouldEqual, 1)
		So(b.members["replica-1"].joined.IsZero(), ShouldBeTrue)
		So(b.members["replica-5"].joined, ShouldEqual, seconds(1))
		So(b.members["replica-0"], ShouldBeNil)
	})
	Convey("Given a service that grows tenfold, its newcomers are not held back", t, func() {
		b := newBalancer(2, 1)
		b.SetReplicas(epoch, fleet(20, 1))
		So(b.Capacity(epoch), ShouldBeBetween, 16*64, 20*64)
		few := newBalancer(18, 1)
		few.SetReplicas(epoch, fleet(20, 1))
		So(few.Capacity(epoch), ShouldBeBetween, 18*64, 18.5*64)
		So(few.Capacity(seconds(15)), ShouldEqual, 20*64)
	})
	Convey("Given a replica that gets long answers only, it is not taken for slow", t, func() {
		b := newBalancer(4, 1)
		for i := range 100 {
			for _, r := range fleet(4, 1) {
				tokens := 10.0
				if r.ID == "replica-0" {
					tokens = 1000
				}
				b.Sent(seconds(float64(i)), r.ID, tokens)
				b.Finished(seconds(float64(i)), r.ID, Result{Cost: tokens, FirstToken: time.Second, Total: time.Second + time.Duration(tokens)*10*time.Millisecond})
			}
			b.Pick(seconds(float64(i)), Query{})
		}
		So(b.Changes(), ShouldBeEmpty)
	})
	Convey("Given the same calls, two balancers choose the same", t, func() {
		So(picked(newBalancer(40, 3), epoch, 500, Query{}), ShouldResemble, picked(newBalancer(40, 3), epoch, 500, Query{}))
	})
}

// Callers are refused at the door by a node without slots. One of two replicas is
// ejected, then the other one leaves. The node must keep room for the ejected
// one: judgements come with requests, so without a request its ejection would
// never end, and every caller would be refused until the document changes.
func TestLastReplicaIsEjected(t *testing.T) {
	Convey("Given two replicas, one ejected and one that leaves", t, func() {
		b := newBalancer(2, 1)
		for range 3 {
			b.Sent(epoch, "replica-0", 1)
			b.Finished(epoch, "replica-0", Result{Cost: 1, Failure: health.Broken})
		}
		So(b.health.OutOfRotation(), ShouldEqual, 1)
		So(b.Capacity(epoch), ShouldEqual, 64)
		b.SetLeaving(epoch, "replica-1", true)
		So(b.Capacity(epoch), ShouldEqual, 64)
		So(b.Room(epoch), ShouldEqual, 64)
		So(picked(b, epoch, 10, Query{NoProbe: true}), ShouldResemble, map[string]int{"replica-0": 10})
		b.SetLeaving(epoch, "replica-0", true)
		So(b.Capacity(epoch), ShouldEqual, 0)
	})
}

// A report of 10 running that was made when 4 of this node's were there tells
// of 6 from other nodes, whatever this node has sent or ended since.
func TestReportLag(t *testing.T) {
	Convey("Given a report that is a second old", t, func() {
		var l load
		for range 4 {
			l.sent(seconds(0), 0)
		}
		l.sent(seconds(1.5), 0)
		l.finished(seconds(1.7), 0)
		l.finished(seconds(1.8), 0)
		So(l.report(seconds(2), Load{Running: 8, Waiting: 2, Age: time.Second}), ShouldBeTrue)
		So(l.others, ShouldEqual, 6)
		So(l.report(seconds(2.1), Load{Running: 9, Age: 2 * time.Second}), ShouldBeFalse)
		So(l.trust(seconds(1), 7), ShouldEqual, 1)
		So(l.trust(seconds(8), 7), ShouldAlmostEqual, math.Exp(-1))
	})
}

// Whatever happens in whatever order, a leaving or excluded replica is never
// picked, and the counts neither go below zero nor stay above it.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBalancer(10, 2)
		now, leaving, sent := epoch, map[string]bool{}, []string{}
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("replica-", rapid.IntRange(0, 10).Draw(t, "n")) })
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"leave": func(t *rapid.T) {
				r := id.Draw(t, "id")
				leaving[r] = rapid.Bool().Draw(t, "leaving")
				b.SetLeaving(now, r, leaving[r])
			},
			"report": func(t *rapid.T) { b.Report(now, id.Draw(t, "id"), Load{Running: rapid.IntRange(0, 200).Draw(t, "n")}) },
			"send": func(t *rapid.T) {
				q := Query{Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix"), Exclude: []string{id.Draw(t, "not")}}
				c, ok := b.Pick(now, q)
				if !ok {
					return
				}
				if b.Capacity(now) == 0 {
					t.Fatalf("picked %+v of a service without slots", c)
				}
				if leaving[c.Replica] || slices.Contains(q.Exclude, c.Replica) || !(c.Score > 0) {
					t.Fatalf("picked %+v", c)
				}
				b.Sent(now, c.Replica, 5)
				sent = append(sent, c.Replica)
			},
			"finish": func(t *rapid.T) {
				if len(sent) > 0 {
					b.Finished(now, sent[0], Result{Cost: 5, Total: time.Second, Failure: health.Failure(rapid.IntRange(0, 7).Draw(t, "failure"))})
					sent = sent[1:]
				}
			},
		})
		for _, r := range sent {
			b.Finished(now, r, Result{Cost: 5, Total: time.Second})
		}
		for _, m := range b.members {
			if m.inflight != 0 || m.cost != 0 || m.tier.inflight != 0 {
				t.Fatalf("%s holds %d requests of cost %v, its tier %v", m.ID, m.inflight, m.cost, m.tier.inflight)
			}
		}
	})
}

// subsets returns the replicas that each node uses. Nodes are spread over the
// failure domains in turn.
func subsets(nodes, domains int, all []known, tellPeers bool) [][]known {
	near, peers, chosen := make([][][]known, domains), make([][]uint64, domains), make([][]known, nodes)
	for n := range nodes {
		peers[n%domains] = append(peers[n%domains], rendezvous.Hash(fmt.Sprint("vm-", n)))
	}
	for n := range nodes {
		d := n % domains
		s := subset{cfg: withDefaults(Config{FailureDomain: fmt.Sprint("fd-", d)}), self: rendezvous.Hash(fmt.Sprint("vm-", n))}
		if tellPeers {
			s.peers = slices.DeleteFunc(slices.Clone(peers[d]), func(p uint64) bool { return p == s.self })
		}
		if near[d] == nil { // the same for all nodes of a domain
			near[d] = s.byNearness(all)
		}
		chosen[n] = slices.Concat(s.chooseFrom(near[d]))
	}
	return chosen
}

// spread returns how many nodes use the replica with the fewest, with the most
// and on average.
func spread(all []known, chosen [][]known) (least, most int, mean float64) {
	nodes, sum := map[string]int{}, 0
	for _, k := range slices.Concat(chosen...) {
		nodes[k.ID]++
		sum++
	}
	least = sum
	for _, k := range all {
		least, most = min(least, nodes[k.ID]), max(most, nodes[k.ID])
	}
	return least, most, float64(sum) / float64(len(all))
}

// Callers wait where a replica has many nodes, and one without any is bought
// for nothing. When nodes choose alone, the cover is Poisson spread.
func TestCover(t *testing.T) {
	for _, c := range []struct {
		nodes, replicas, domains int
		uneven                   float64
	}{{9, 40, 3, 1}, {275, 1250, 23, 1.15}, {2200, 10000, 23, 1.15}} {
		Convey(fmt.Sprintf("Given %d nodes before %d replicas", c.nodes, c.replicas), t, func() {
			all := knownFrom(fleet(c.replicas, c.domains))
			least0, most0, mean0 := spread(all, subsets(c.nodes, c.domains, all, false))
			told := subsets(c.nodes, c.domains, all, true)
			least, most, mean := spread(all, told)
			bySize := func(a, b []known) int { return len(a) - len(b) }
			t.Logf("nodes per replica: alone %d to %d, mean %.1f, max/mean %.2f; with peers %d to %d, mean %.1f, max/mean %.2f; subsets %d to %d",
				least0, most0, mean0, float64(most0)/mean0, least, most, mean, float64(most)/mean,
				len(slices.MinFunc(told, bySize)), len(slices.MaxFunc(told, bySize)))
			So(least, ShouldBeGreaterThan, 0)
			So(float64(most)/mean, ShouldBeLessThanOrEqualTo, min(c.uneven, float64(most0)/mean0))
		})
	}
}

// Connections and warm caches are lost where a subset changes. A node or replica
// that goes may take its own edges with it and no others; those of a node go to
// its peers.
func TestChurn(t *testing.T) {
	const nodes, replicas = 96, 435
	edges := func(nodes int, all []known) map[string]bool {
		found := map[string]bool{}
		for n, chosen := range subsets(nodes, 1, all, true) {
			for _, k := range chosen {
				found[fmt.Sprint(n, " ", k.ID)] = true
			}
		}
		return found
	}
	missing := func(from, in map[string]bool) (n int) {
		for e := range from {
			if !in[e] {
				n++
			}
		}
		return n
	}
	Convey("Given 96 nodes before 435 replicas of a domain", t, func() {
		all := knownFrom(fleet(replicas, 1))
		before, noReplica, noNode := edges(nodes, all), edges(nodes, all[1:]), edges(nodes-1, all)
		t.Logf("%d edges; without a replica %d go and %d come; without a node %d go and %d come", len(before),
			missing(before, noReplica), missing(noReplica, before), missing(before, noNode), missing(noNode, before))
		So(missing(before, noReplica), ShouldEqual, len(before)/replicas)
		So(missing(noReplica, before), ShouldEqual, 0)
		So(missing(before, noNode), ShouldEqual, missing(noNode, before))
		So(missing(before, noNode), ShouldBeLessThan, 2*len(before)/nodes)
	})
}

// busyBalancer has load of its own and of other nodes everywhere.
func busyBalancer(replicas int) *Balancer {
	b := newBalancer(replicas, 23)
	b.SetPeers(epoch, []string{"vm-1", "vm-2", "vm-3"})
	for i, id := range b.Subset() {
		b.Report(epoch, id, Load{Running: i % 60})
		for range i % 9 {
			b.Sent(epoch, id, 200)
		}
	}
	return b
}

func TestPickAllocatesNothing(t *testing.T) {
	Convey("Given 10,000 replicas known", t, func() {
		b, i := busyBalancer(10000), 0
		So(testing.AllocsPerRun(1000, func() {
			i++
			b.Pick(epoch.Add(time.Duration(i)*time.Millisecond), Query{Cost: 200, Prefix: uint64(i % 2 * i)})
		}), ShouldEqual, 0)
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		for _, prefixes := range []uint64{0, 1000} {
			b.Run(fmt.Sprintf("%d replicas %d prefixes", n, prefixes), func(b *testing.B) {
				bal, q, now := busyBalancer(n), Query{Cost: 200}, epoch
				b.ReportAllocs()
				for i := uint64(0); b.Loop(); i++ {
					now = now.Add(time.Millisecond)
					if prefixes > 0 {
						q.Prefix = 1 + i%prefixes
					}
					bal.Pick(now, q)
				}
			})
		}
	}
}

var keep *Balancer

func BenchmarkSetReplicas(b *testing.B) {
	replicas := fleet(10000, 23)
	peers := make([]string, 96)
	for i := range peers {
		peers[i] = fmt.Sprint("vm-", i)
	}
	var before, after runtime.MemStats
	keep = nil
	runtime.GC()
	runtime.ReadMemStats(&before)
	keep = New(Config{Node: "vm-1", FailureDomain: "fd-0"})
	keep.SetPeers(epoch, peers)
	keep.SetReplicas(epoch, replicas)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		keep.SetReplicas(epoch, replicas)
	}
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/10000, "B/known")
	b.ReportMetric(float64(len(keep.members)), "members")
}
