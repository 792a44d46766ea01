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

func makeReplicas(replicas, domains int) []Replica {
	all := make([]Replica, replicas)
	for i := range all {
		all[i] = Replica{ID: fmt.Sprint("replica-", i), FailureDomain: fmt.Sprint("fd-", i%domains), Slots: 64}
	}
	return all
}

func newBalancer(replicas, domains int) *Balancer {
	b := New(Config{Node: "vm-1", FailureDomain: "fd-0", Seed: 1})
	b.SetReplicas(epoch, makeReplicas(replicas, domains))
	return b
}

func pickCounts(b *Balancer, now time.Time, times int, q Query) map[string]int {
	got := map[string]int{}
	for range times {
		if c, ok := b.Pick(now, q); ok {
			got[c.Replica]++
		}
	}
	return got
}

// Requests sent to a leaving endpoint are refused. A single source is enough to
// mark an endpoint as leaving, and only the same source may withdraw the mark: the
// platform's list lags and still reports an endpoint as live that has reported its
// own shutdown.
func TestLeavingEndsOnlyBySameSource(t *testing.T) {
	const id = "replica-0"
	refusal := func(b *Balancer) {
		b.Sent(epoch, id, 1)
		b.Finished(epoch, id, Result{Cost: 1, Failure: health.Leaving})
	}
	for _, c := range []struct {
		name         string
		mark, unmark func(b *Balancer)
		usableAgain  bool
		atSecond     float64
	}{
		{"platform", func(b *Balancer) { b.SetLeaving(epoch, id, true) }, func(b *Balancer) { b.SetLeaving(epoch, id, false) }, true, 0},
		{"peer, platform list says live", func(b *Balancer) { b.MarkLeaving(epoch, id, SourcePeer, true) }, func(b *Balancer) { b.SetLeaving(epoch, id, false) }, false, 0},
		{"report, newer report", func(b *Balancer) { b.Report(epoch, id, Load{Leaving: true}) }, func(b *Balancer) { b.Report(seconds(1), id, Load{}) }, true, 1},
		{"report, older report", func(b *Balancer) { b.Report(epoch, id, Load{Leaving: true}) }, func(b *Balancer) { b.Report(seconds(1), id, Load{Age: 2 * time.Second}) }, false, 1},
		{"refusal, report", refusal, func(b *Balancer) { b.Report(seconds(1), id, Load{}) }, false, 1},
		{"refusal, leavingRefusalTTL elapsed", refusal, func(*Balancer) {}, true, 61},
		{"removed from the list and added again", refusal, func(b *Balancer) {
			b.SetReplicas(epoch, makeReplicas(4, 1)[1:])
			b.SetReplicas(epoch, makeReplicas(4, 1))
		}, true, 16}, // after the slow start of 15 s
	} {
		Convey("Given an endpoint marked as leaving by "+c.name, t, func() {
			b := newBalancer(4, 1)
			c.mark(b)
			So(pickCounts(b, epoch, 1000, Query{})[id], ShouldEqual, 0)
			So(pickCounts(b, epoch, 1000, Query{Prefix: 7})[id], ShouldEqual, 0)
			c.unmark(b)
			So(pickCounts(b, seconds(c.atSecond), 1000, Query{})[id] > 0, ShouldEqual, c.usableAgain)
		})
	}
	Convey("Given that all endpoints are leaving, none is picked and there is no headroom", t, func() {
		b := newBalancer(4, 1)
		for _, r := range makeReplicas(4, 1) {
			b.SetLeaving(epoch, r.ID, true)
		}
		_, ok := b.Pick(epoch, Query{})
		So(ok, ShouldBeFalse)
		So(b.Headroom(epoch), ShouldEqual, 0)
	})
}

func TestPickFollowsReplicaState(t *testing.T) {
	Convey("Given a replica that refused a request because it was full, it is avoided during the backoff", t, func() {
		b := newBalancer(2, 1)
		b.Sent(epoch, "replica-0", 0)
		b.Finished(epoch, "replica-0", Result{Failure: health.Overloaded})
		So(pickCounts(b, epoch, 100, Query{}), ShouldResemble, map[string]int{"replica-1": 100})
		So(pickCounts(b, epoch, 100, Query{Exclude: []string{"replica-1"}}), ShouldResemble, map[string]int{"replica-0": 100})
		So(len(pickCounts(b, seconds(0.3), 100, Query{})), ShouldEqual, 2)
	})
	Convey("Given that every endpoint refuses connections, only one of two is ejected", t, func() {
		b := newBalancer(2, 1)
		for range 10 {
			for _, id := range []string{"replica-0", "replica-1"} {
				b.Sent(epoch, id, 0)
				b.Finished(epoch, id, Result{Failure: health.Unreachable})
			}
		}
		So(b.health.Out(), ShouldEqual, 1)
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
		b.SetReplicas(seconds(1), makeReplicas(6, 1)[1:])
		So(b.members["replica-1"].inflight, ShouldEqual, 1)
		So(b.members["replica-1"].rampStart.IsZero(), ShouldBeTrue)
		So(b.members["replica-5"].rampStart, ShouldEqual, seconds(1))
		So(b.members["replica-0"], ShouldBeNil)
	})
	Convey("Given a service that grows tenfold, the capacity of new replicas is not withheld", t, func() {
		b := newBalancer(2, 1)
		b.SetReplicas(epoch, makeReplicas(20, 1))
		So(b.Capacity(epoch), ShouldBeBetween, 16*64, 20*64)
		few := newBalancer(18, 1)
		few.SetReplicas(epoch, makeReplicas(20, 1))
		So(few.Capacity(epoch), ShouldBeBetween, 18*64, 18.5*64)
		So(few.Capacity(seconds(15)), ShouldEqual, 20*64)
	})
	Convey("Given a replica that serves only long answers, it is not ejected as slow", t, func() {
		b := newBalancer(4, 1)
		for i := range 100 {
			for _, r := range makeReplicas(4, 1) {
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
	Convey("Given the same calls, two balancers with the same seed pick the same replicas", t, func() {
		So(pickCounts(newBalancer(40, 3), epoch, 500, Query{}), ShouldResemble, pickCounts(newBalancer(40, 3), epoch, 500, Query{}))
	})
}

// A node without slots refuses callers on admission. One of two replicas is
// ejected, then the other one leaves. The node must keep slots for the ejected one:
// health is evaluated only when a request arrives, so without requests the ejection
// would never end, and every caller would be refused until the document changes.
func TestEjectedReplicaKeepsCapacityWhenOthersLeave(t *testing.T) {
	Convey("Given two replicas, one ejected and one leaving", t, func() {
		b := newBalancer(2, 1)
		for range 3 {
			b.Sent(epoch, "replica-0", 1)
			b.Finished(epoch, "replica-0", Result{Cost: 1, Failure: health.Broken})
		}
		So(b.health.Out(), ShouldEqual, 1)
		So(b.Capacity(epoch), ShouldEqual, 64)
		b.SetLeaving(epoch, "replica-1", true)
		So(b.Capacity(epoch), ShouldEqual, 64)
		So(b.Headroom(epoch), ShouldEqual, 64)
		So(pickCounts(b, epoch, 10, Query{NoProbe: true}), ShouldResemble, map[string]int{"replica-0": 10})
		b.SetLeaving(epoch, "replica-0", true)
		So(b.Capacity(epoch), ShouldEqual, 0)
	})
}

// A report of 10 requests, made when 4 of them were this node's, means 6 requests
// of other nodes, whatever this node has sent or finished since.
func TestReportSubtractsOwnRequestsAtItsTime(t *testing.T) {
	Convey("Given a report that was made a second ago", t, func() {
		var l load
		for range 4 {
			l.sent(seconds(0), 0)
		}
		l.sent(seconds(1.5), 0)
		l.finished(seconds(1.7), 0)
		l.finished(seconds(1.8), 0)
		So(l.applyReport(seconds(2), Load{Running: 8, Waiting: 2, Age: time.Second}), ShouldBeTrue)
		So(l.otherRequests, ShouldEqual, 6)
		So(l.applyReport(seconds(2.1), Load{Running: 9, Age: 2 * time.Second}), ShouldBeFalse)
		So(l.reportWeight(seconds(1), 7), ShouldEqual, 1)
		So(l.reportWeight(seconds(8), 7), ShouldAlmostEqual, math.Exp(-1))
	})
}

// For any order of events, a leaving or excluded replica is never picked, and the
// in-flight counts never fall below zero and return to zero.
func TestBalancerInvariants(t *testing.T) {
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
					t.Fatalf("picked %+v although the service has no slots", c)
				}
				if leaving[c.Replica] || slices.Contains(q.Exclude, c.Replica) || !(c.Score > 0) {
					t.Fatalf("picked %+v, which is leaving, excluded or without a positive score", c)
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
				t.Fatalf("%s still has %d requests in flight with cost %v, its tier has %v", m.ID, m.inflight, m.cost, m.tier.inflight)
			}
		}
	})
}

// subsets returns the replicas that each node uses. Nodes are assigned to the
// failure domains by round robin.
func subsets(nodes, domains int, all []hashedReplica, knowPeers bool) [][]hashedReplica {
	near, peers, chosen := make([][][]hashedReplica, domains), make([][]uint64, domains), make([][]hashedReplica, nodes)
	for n := range nodes {
		peers[n%domains] = append(peers[n%domains], rendezvous.Hash(fmt.Sprint("vm-", n)))
	}
	for n := range nodes {
		d := n % domains
		s := subset{cfg: withDefaults(Config{FailureDomain: fmt.Sprint("fd-", d)}), nodeHash: rendezvous.Hash(fmt.Sprint("vm-", n))}
		if knowPeers {
			s.peerHashes = slices.DeleteFunc(slices.Clone(peers[d]), func(p uint64) bool { return p == s.nodeHash })
		}
		if near[d] == nil { // the same for all nodes of a domain
			near[d] = s.byNearness(all)
		}
		chosen[n] = slices.Concat(s.chooseFromDomains(near[d]))
	}
	return chosen
}

// coverStats returns the smallest, largest and mean number of nodes per replica.
func coverStats(all []hashedReplica, chosen [][]hashedReplica) (least, most int, mean float64) {
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

// A replica with many nodes gets too many requests and callers wait there; a
// replica without any node is idle. If nodes choose without knowing their peers,
// the number of nodes per replica is Poisson distributed.
func TestSubsetsCoverReplicasEvenly(t *testing.T) {
	for _, c := range []struct {
		nodes, replicas, domains int
		maxOverMean              float64
	}{{9, 40, 3, 1}, {275, 1250, 23, 1.15}, {2200, 10000, 23, 1.15}} {
		Convey(fmt.Sprintf("Given %d nodes and %d replicas", c.nodes, c.replicas), t, func() {
			all := hashReplicas(makeReplicas(c.replicas, c.domains))
			leastAlone, mostAlone, meanAlone := coverStats(all, subsets(c.nodes, c.domains, all, false))
			withPeers := subsets(c.nodes, c.domains, all, true)
			least, most, mean := coverStats(all, withPeers)
			bySize := func(a, b []hashedReplica) int { return len(a) - len(b) }
			t.Logf("nodes per replica: alone %d to %d, mean %.1f, max/mean %.2f; with peers %d to %d, mean %.1f, max/mean %.2f; subsets %d to %d",
				leastAlone, mostAlone, meanAlone, float64(mostAlone)/meanAlone, least, most, mean, float64(most)/mean,
				len(slices.MinFunc(withPeers, bySize)), len(slices.MaxFunc(withPeers, bySize)))
			So(least, ShouldBeGreaterThan, 0)
			So(float64(most)/mean, ShouldBeLessThanOrEqualTo, min(c.maxOverMean, float64(mostAlone)/meanAlone))
		})
	}
}

// A changed subset loses connections and warm caches. Removing a node or replica
// may change only its own edges; the edges of a removed node move to its peers.
func TestSubsetChangesOnlyAffectedEdges(t *testing.T) {
	const nodes, replicas = 96, 435
	edges := func(nodes int, all []hashedReplica) map[string]bool {
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
	Convey("Given 96 nodes and 435 replicas of one domain", t, func() {
		all := hashReplicas(makeReplicas(replicas, 1))
		before, noReplica, noNode := edges(nodes, all), edges(nodes, all[1:]), edges(nodes-1, all)
		t.Logf("%d edges; without one replica %d removed and %d added; without one node %d removed and %d added", len(before),
			missing(before, noReplica), missing(noReplica, before), missing(before, noNode), missing(noNode, before))
		So(missing(before, noReplica), ShouldEqual, len(before)/replicas)
		So(missing(noReplica, before), ShouldEqual, 0)
		So(missing(before, noNode), ShouldEqual, missing(noNode, before))
		So(missing(before, noNode), ShouldBeLessThan, 2*len(before)/nodes)
	})
}

// busyBalancer returns a balancer whose replicas have load from this node and from
// others.
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
	Convey("Given 10,000 replicas, Pick does not allocate", t, func() {
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

var sink *Balancer

func BenchmarkSetReplicas(b *testing.B) {
	replicas := makeReplicas(10000, 23)
	peers := make([]string, 96)
	for i := range peers {
		peers[i] = fmt.Sprint("vm-", i)
	}
	var before, after runtime.MemStats
	sink = nil
	runtime.GC()
	runtime.ReadMemStats(&before)
	sink = New(Config{Node: "vm-1", FailureDomain: "fd-0"})
	sink.SetPeers(epoch, peers)
	sink.SetReplicas(epoch, replicas)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		sink.SetReplicas(epoch, replicas)
	}
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/10000, "B/known")
	b.ReportMetric(float64(len(sink.members)), "members")
}
