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

// epochPlus returns the time that is the given number of seconds after epoch.
func epochPlus(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// makeReplicas returns replicas of 64 slots, assigned to the failure domains by
// round robin.
func makeReplicas(replicaCount, domainCount int) []Replica {
	replicas := make([]Replica, replicaCount)
	for i := range replicas {
		replicas[i] = Replica{ID: fmt.Sprint("replica-", i), FailureDomain: fmt.Sprint("fd-", i%domainCount), Slots: 64}
	}
	return replicas
}

func newBalancer(replicaCount, domainCount int) *Balancer {
	b := New(Config{Node: "vm-1", FailureDomain: "fd-0", Seed: 1})
	b.SetReplicas(epoch, makeReplicas(replicaCount, domainCount))
	return b
}

// pickCounts returns how many of the given number of picks went to each replica.
func pickCounts(b *Balancer, now time.Time, picks int, q Query) map[string]int {
	counts := map[string]int{}
	for range picks {
		if c, ok := b.Pick(now, q); ok {
			counts[c.ReplicaID]++
		}
	}
	return counts
}

// A leaving endpoint refuses requests. A statement by any one source is enough to
// mark an endpoint as leaving. Only the same source may withdraw the mark, because
// the platform's list lags: it still shows an endpoint as live after the endpoint
// has reported its own shutdown. If the list could withdraw the mark, requests
// would go to that endpoint and be refused.
func TestLeavingEndsOnlyBySameSource(t *testing.T) {
	const id = "replica-0"
	refusal := func(b *Balancer) {
		b.Sent(epoch, id, 1)
		b.Finished(epoch, id, Result{Cost: 1, Failure: health.Leaving})
	}
	for _, c := range []struct {
		name                    string
		markLeaving, endLeaving func(b *Balancer)
		usableAgain             bool
		checkedAtSecond         float64
	}{
		{"platform", func(b *Balancer) { b.SetLeaving(epoch, id, true) }, func(b *Balancer) { b.SetLeaving(epoch, id, false) }, true, 0},
		{"peer, platform list says live", func(b *Balancer) { b.MarkLeaving(epoch, id, SourcePeer, true) }, func(b *Balancer) { b.SetLeaving(epoch, id, false) }, false, 0},
		{"report, newer report", func(b *Balancer) { b.Report(epoch, id, LoadReport{Leaving: true}) }, func(b *Balancer) { b.Report(epochPlus(1), id, LoadReport{}) }, true, 1},
		{"report, older report", func(b *Balancer) { b.Report(epoch, id, LoadReport{Leaving: true}) }, func(b *Balancer) { b.Report(epochPlus(1), id, LoadReport{Age: 2 * time.Second}) }, false, 1},
		{"refusal, report", refusal, func(b *Balancer) { b.Report(epochPlus(1), id, LoadReport{}) }, false, 1},
		{"refusal, leavingAnswerTTL elapsed", refusal, func(*Balancer) {}, true, 61},
		{"removed from the list and added again", refusal, func(b *Balancer) {
			b.SetReplicas(epoch, makeReplicas(4, 1)[1:])
			b.SetReplicas(epoch, makeReplicas(4, 1))
		}, true, 16}, // one second after the end of the slow start
	} {
		Convey("Given an endpoint marked as leaving by "+c.name, t, func() {
			b := newBalancer(4, 1)
			c.markLeaving(b)
			So(pickCounts(b, epoch, 1000, Query{})[id], ShouldEqual, 0)
			So(pickCounts(b, epoch, 1000, Query{Prefix: 7})[id], ShouldEqual, 0)
			c.endLeaving(b)
			So(pickCounts(b, epochPlus(c.checkedAtSecond), 1000, Query{})[id] > 0, ShouldEqual, c.usableAgain)
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
		So(len(pickCounts(b, epochPlus(0.3), 100, Query{})), ShouldEqual, 2)
	})
	Convey("Given that every endpoint refuses connections, only one of two is ejected", t, func() {
		b := newBalancer(2, 1)
		for range 10 {
			for _, id := range []string{"replica-0", "replica-1"} {
				b.Sent(epoch, id, 0)
				b.Finished(epoch, id, Result{Failure: health.Unreachable})
			}
		}
		So(b.detector.OutOfRotation(), ShouldEqual, 1)
		So(b.Changes(), ShouldResemble, []ReplicaStateChange{{epoch, "replica-0", health.Healthy, health.Ejected, health.ConsecutiveFailures}})
		So(b.Changes(), ShouldBeEmpty)
		status := b.Status(epoch)
		So(fmt.Sprint(status[1].ID, " ", status[1].State, status[1].Cause, status[0].State), ShouldEqual, "replica-0 ejected consecutive healthy")
		c, ok := b.Pick(epoch, Query{Exclude: []string{"replica-0"}})
		So(ok, ShouldBeTrue)
		So(c.ReplicaID, ShouldEqual, "replica-1")
	})
	Convey("Given a list that changes, the replicas that stay keep their state", t, func() {
		b := newBalancer(4, 1)
		b.Sent(epoch, "replica-1", 10)
		b.SetReplicas(epochPlus(1), makeReplicas(6, 1)[1:])
		So(b.members["replica-1"].inflightRequests, ShouldEqual, 1)
		So(b.members["replica-1"].slowStartBeganAt.IsZero(), ShouldBeTrue)
		So(b.members["replica-5"].slowStartBeganAt, ShouldEqual, epochPlus(1))
		So(b.members["replica-0"], ShouldBeNil)
	})
	Convey("Given a service that grows tenfold, the capacity of new replicas is not withheld", t, func() {
		b := newBalancer(2, 1)
		b.SetReplicas(epoch, makeReplicas(20, 1))
		So(b.Capacity(epoch), ShouldBeBetween, 16*64, 20*64)
		mostlyOldBalancer := newBalancer(18, 1)
		mostlyOldBalancer.SetReplicas(epoch, makeReplicas(20, 1))
		So(mostlyOldBalancer.Capacity(epoch), ShouldBeBetween, 18*64, 18.5*64)
		So(mostlyOldBalancer.Capacity(epochPlus(15)), ShouldEqual, 20*64)
	})
	Convey("Given a replica that serves only long answers, it is not ejected as slow", t, func() {
		b := newBalancer(4, 1)
		for i := range 100 {
			for _, r := range makeReplicas(4, 1) {
				tokens := 10.0
				if r.ID == "replica-0" {
					tokens = 1000
				}
				b.Sent(epochPlus(float64(i)), r.ID, tokens)
				b.Finished(epochPlus(float64(i)), r.ID, Result{Cost: tokens, TimeToFirstToken: time.Second, TotalTime: time.Second + time.Duration(tokens)*10*time.Millisecond})
			}
			b.Pick(epochPlus(float64(i)), Query{})
		}
		So(b.Changes(), ShouldBeEmpty)
	})
	Convey("Given the same calls, two balancers with the same seed pick the same replicas", t, func() {
		So(pickCounts(newBalancer(40, 3), epoch, 500, Query{}), ShouldResemble, pickCounts(newBalancer(40, 3), epoch, 500, Query{}))
	})
}

// If one of two replicas is ejected and the other one then leaves, no replica is
// usable. If the node counted no slots for the ejected replica, it would refuse
// every request on admission. Health is evaluated only when a replica is picked
// for a request, so the ejection would never end. The node would refuse all
// requests until operators change the environment document.
func TestEjectedReplicaKeepsCapacityWhenOthersLeave(t *testing.T) {
	Convey("Given two replicas, one ejected and one leaving", t, func() {
		b := newBalancer(2, 1)
		for range 3 {
			b.Sent(epoch, "replica-0", 1)
			b.Finished(epoch, "replica-0", Result{Cost: 1, Failure: health.BrokenResponse})
		}
		So(b.detector.OutOfRotation(), ShouldEqual, 1)
		So(b.Capacity(epoch), ShouldEqual, 64)
		b.SetLeaving(epoch, "replica-1", true)
		So(b.Capacity(epoch), ShouldEqual, 64)
		So(b.Headroom(epoch), ShouldEqual, 64)
		So(pickCounts(b, epoch, 10, Query{NoProbe: true}), ShouldResemble, map[string]int{"replica-0": 10})
		b.SetLeaving(epoch, "replica-0", true)
		So(b.Capacity(epoch), ShouldEqual, 0)
	})
}

// The load from other nodes is the reported load minus this node's own requests at
// the time of the report. If the node subtracted its current requests, each
// request that it sends would make the replica look less loaded, and the node
// would send still more requests there. Here a report shows 10 requests. When the
// report was made, 4 of them were this node's. The other 6 are from other nodes,
// whatever this node has sent or finished since.
func TestReportSubtractsOwnRequestsAtReportTime(t *testing.T) {
	Convey("Given a report that was made a second ago", t, func() {
		var loadState replicaLoad
		for range 4 {
			loadState.recordSent(epochPlus(0), 0)
		}
		loadState.recordSent(epochPlus(1.5), 0)
		loadState.recordFinished(epochPlus(1.7), 0)
		loadState.recordFinished(epochPlus(1.8), 0)
		So(loadState.applyReport(epochPlus(2), LoadReport{RunningRequests: 8, WaitingRequests: 2, Age: time.Second}), ShouldBeTrue)
		So(loadState.reportedOtherNodeRequests, ShouldEqual, 6)
		So(loadState.applyReport(epochPlus(2.1), LoadReport{RunningRequests: 9, Age: 2 * time.Second}), ShouldBeFalse)
		So(loadState.reportWeight(epochPlus(1), 7), ShouldEqual, 1)
		So(loadState.reportWeight(epochPlus(8), 7), ShouldAlmostEqual, math.Exp(-1))
	})
}

// For any order of events, Pick never returns a leaving or excluded replica. The
// counts of in-flight requests and their costs return to zero once all requests
// have ended.
func TestBalancerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBalancer(10, 2)
		now, isLeaving, inflightIDs := epoch, map[string]bool{}, []string{}
		randomID := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("replica-", rapid.IntRange(0, 10).Draw(t, "n")) })
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"leave": func(t *rapid.T) {
				id := randomID.Draw(t, "id")
				isLeaving[id] = rapid.Bool().Draw(t, "leaving")
				b.SetLeaving(now, id, isLeaving[id])
			},
			"report": func(t *rapid.T) {
				b.Report(now, randomID.Draw(t, "id"), LoadReport{RunningRequests: rapid.IntRange(0, 200).Draw(t, "n")})
			},
			"send": func(t *rapid.T) {
				q := Query{Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix"), Exclude: []string{randomID.Draw(t, "not")}}
				c, ok := b.Pick(now, q)
				if !ok {
					return
				}
				if b.Capacity(now) == 0 {
					t.Fatalf("picked %+v although the service has no slots", c)
				}
				if isLeaving[c.ReplicaID] || slices.Contains(q.Exclude, c.ReplicaID) || !(c.Score > 0) {
					t.Fatalf("picked %+v, which is leaving, excluded or without a positive score", c)
				}
				b.Sent(now, c.ReplicaID, 5)
				inflightIDs = append(inflightIDs, c.ReplicaID)
			},
			"finish": func(t *rapid.T) {
				if len(inflightIDs) > 0 {
					b.Finished(now, inflightIDs[0], Result{Cost: 5, TotalTime: time.Second, Failure: health.Failure(rapid.IntRange(0, 7).Draw(t, "failure"))})
					inflightIDs = inflightIDs[1:]
				}
			},
		})
		for _, id := range inflightIDs {
			b.Finished(now, id, Result{Cost: 5, TotalTime: time.Second})
		}
		for _, m := range b.members {
			if m.inflightRequests != 0 || m.knownCost != 0 || m.tier.inflightRequests != 0 {
				t.Fatalf("%s still has %d requests in flight with cost %v, its tier has %v", m.ID, m.inflightRequests, m.knownCost, m.tier.inflightRequests)
			}
		}
	})
}

// subsetsOfNodes returns the subset of each node. Nodes are assigned to the failure
// domains by round robin.
func subsetsOfNodes(nodeCount, domainCount int, replicas []hashedReplica, peersKnown bool) [][]hashedReplica {
	replicasByNearness, nodeHashes, subsets := make([][][]hashedReplica, domainCount), make([][]uint64, domainCount), make([][]hashedReplica, nodeCount)
	for n := range nodeCount {
		nodeHashes[n%domainCount] = append(nodeHashes[n%domainCount], rendezvous.Hash(fmt.Sprint("vm-", n)))
	}
	for n := range nodeCount {
		domain := n % domainCount
		chooser := subsetChooser{cfg: withDefaults(Config{FailureDomain: fmt.Sprint("fd-", domain)}), nodeHash: rendezvous.Hash(fmt.Sprint("vm-", n))}
		if peersKnown {
			chooser.peerHashes = slices.DeleteFunc(slices.Clone(nodeHashes[domain]), func(hash uint64) bool { return hash == chooser.nodeHash })
		}
		if replicasByNearness[domain] == nil { // all nodes of a domain have the same order of domains
			replicasByNearness[domain] = chooser.groupByNearness(replicas)
		}
		subsets[n] = slices.Concat(chooser.chooseFromDomains(replicasByNearness[domain]))
	}
	return subsets
}

// nodesPerReplicaStats returns the smallest, largest and mean number of nodes that
// use a replica.
func nodesPerReplicaStats(replicas []hashedReplica, subsets [][]hashedReplica) (fewest, most int, mean float64) {
	nodesOfReplica, pairCount := map[string]int{}, 0
	for _, r := range slices.Concat(subsets...) {
		nodesOfReplica[r.ID]++
		pairCount++
	}
	fewest = pairCount
	for _, r := range replicas {
		fewest, most = min(fewest, nodesOfReplica[r.ID]), max(most, nodesOfReplica[r.ID])
	}
	return fewest, most, float64(pairCount) / float64(len(replicas))
}

// If nodes choose their subsets without knowing their peers, the number of nodes
// per replica is Poisson distributed. A replica with many nodes then gets too many
// requests and callers wait there, while a replica without any node is idle.
func TestSubsetsGiveReplicasEqualNodeCounts(t *testing.T) {
	for _, c := range []struct {
		nodes, replicas, domains int
		maxToMeanRatio           float64
	}{{9, 40, 3, 1}, {275, 1250, 23, 1.15}, {2200, 10000, 23, 1.15}} {
		Convey(fmt.Sprintf("Given %d nodes and %d replicas", c.nodes, c.replicas), t, func() {
			replicas := hashReplicas(makeReplicas(c.replicas, c.domains))
			fewestWithoutPeers, mostWithoutPeers, meanWithoutPeers := nodesPerReplicaStats(replicas, subsetsOfNodes(c.nodes, c.domains, replicas, false))
			subsetsWithPeers := subsetsOfNodes(c.nodes, c.domains, replicas, true)
			fewest, most, mean := nodesPerReplicaStats(replicas, subsetsWithPeers)
			compareSizes := func(a, b []hashedReplica) int { return len(a) - len(b) }
			t.Logf("nodes per replica: without peers %d to %d, mean %.1f, max/mean %.2f; with peers %d to %d, mean %.1f, max/mean %.2f; subsets %d to %d",
				fewestWithoutPeers, mostWithoutPeers, meanWithoutPeers, float64(mostWithoutPeers)/meanWithoutPeers, fewest, most, mean, float64(most)/mean,
				len(slices.MinFunc(subsetsWithPeers, compareSizes)), len(slices.MaxFunc(subsetsWithPeers, compareSizes)))
			So(fewest, ShouldBeGreaterThan, 0)
			So(float64(most)/mean, ShouldBeLessThanOrEqualTo, min(c.maxToMeanRatio, float64(mostWithoutPeers)/meanWithoutPeers))
		})
	}
}

// If the removal of a node or replica changes more of the subsets than necessary,
// nodes lose connections and replicas lose warm caches. Only the node-replica
// pairs to which the removed node or replica belongs may disappear. The pairs of a
// removed node move to its peers.
func TestSubsetChangesOnlyAffectedPairs(t *testing.T) {
	const nodes, replicas = 96, 435
	pairsOf := func(nodeCount int, replicas []hashedReplica) map[string]bool {
		pairs := map[string]bool{}
		for node, subset := range subsetsOfNodes(nodeCount, 1, replicas, true) {
			for _, r := range subset {
				pairs[fmt.Sprint(node, " ", r.ID)] = true
			}
		}
		return pairs
	}
	countMissing := func(pairs, otherPairs map[string]bool) (count int) {
		for pair := range pairs {
			if !otherPairs[pair] {
				count++
			}
		}
		return count
	}
	Convey("Given 96 nodes and 435 replicas of one domain", t, func() {
		allReplicas := hashReplicas(makeReplicas(replicas, 1))
		originalPairs, withoutReplica, withoutNode := pairsOf(nodes, allReplicas), pairsOf(nodes, allReplicas[1:]), pairsOf(nodes-1, allReplicas)
		t.Logf("%d node-replica pairs; without one replica %d removed and %d added; without one node %d removed and %d added", len(originalPairs),
			countMissing(originalPairs, withoutReplica), countMissing(withoutReplica, originalPairs), countMissing(originalPairs, withoutNode), countMissing(withoutNode, originalPairs))
		So(countMissing(originalPairs, withoutReplica), ShouldEqual, len(originalPairs)/replicas)
		So(countMissing(withoutReplica, originalPairs), ShouldEqual, 0)
		So(countMissing(originalPairs, withoutNode), ShouldEqual, countMissing(withoutNode, originalPairs))
		So(countMissing(originalPairs, withoutNode), ShouldBeLessThan, 2*len(originalPairs)/nodes)
	})
}

// loadedBalancer returns a balancer whose replicas have load from this node and
// from other nodes.
func loadedBalancer(replicaCount int) *Balancer {
	b := newBalancer(replicaCount, 23)
	b.SetPeers(epoch, []string{"vm-1", "vm-2", "vm-3"})
	for i, id := range b.Subset() {
		b.Report(epoch, id, LoadReport{RunningRequests: i % 60})
		for range i % 9 {
			b.Sent(epoch, id, 200)
		}
	}
	return b
}

func TestPickAllocatesNothing(t *testing.T) {
	Convey("Given 10,000 replicas, Pick does not allocate", t, func() {
		b, i := loadedBalancer(10000), 0
		So(testing.AllocsPerRun(1000, func() {
			i++
			b.Pick(epoch.Add(time.Duration(i)*time.Millisecond), Query{Cost: 200, Prefix: uint64(i % 2 * i)})
		}), ShouldEqual, 0)
	})
}

func BenchmarkPick(b *testing.B) {
	for _, replicaCount := range []int{10, 100, 1000, 10000} {
		for _, prefixCount := range []uint64{0, 1000} {
			b.Run(fmt.Sprintf("%d replicas %d prefixes", replicaCount, prefixCount), func(b *testing.B) {
				balancer, query, now := loadedBalancer(replicaCount), Query{Cost: 200}, epoch
				b.ReportAllocs()
				for i := uint64(0); b.Loop(); i++ {
					now = now.Add(time.Millisecond)
					if prefixCount > 0 {
						query.Prefix = 1 + i%prefixCount
					}
					balancer.Pick(now, query)
				}
			})
		}
	}
}

var benchmarkedBalancer *Balancer

func BenchmarkSetReplicas(b *testing.B) {
	replicas := makeReplicas(10000, 23)
	peers := make([]string, 96)
	for i := range peers {
		peers[i] = fmt.Sprint("vm-", i)
	}
	var before, after runtime.MemStats
	benchmarkedBalancer = nil
	runtime.GC()
	runtime.ReadMemStats(&before)
	benchmarkedBalancer = New(Config{Node: "vm-1", FailureDomain: "fd-0"})
	benchmarkedBalancer.SetPeers(epoch, peers)
	benchmarkedBalancer.SetReplicas(epoch, replicas)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		benchmarkedBalancer.SetReplicas(epoch, replicas)
	}
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/10000, "B/known")
	b.ReportMetric(float64(len(benchmarkedBalancer.members)), "members")
}
