package entrypoints

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func members(n, domains int) []Member {
	all := make([]Member, n)
	for i := range all {
		id := fmt.Sprint("vm-", i)
		all[i] = Member{ID: id, Address: "192.0.2.1", FailureDomain: fmt.Sprint("fd-", i%domains)}
	}
	return all
}

func countMissing(a, b []string) (n int) {
	for _, x := range a {
		if !slices.Contains(b, x) {
			n++
		}
	}
	return n
}

// Guards against team limits that move from node to node. A team's limit is split over
// the team's homes, so a change of the member list must change few of the homes. A team
// must also need few homes, however many nodes there are.
func TestHomes(t *testing.T) {
	Convey("Given 2,200 nodes and a team with 1/200 of the load", t, func() {
		all := members(2200, 23)
		k := HomeCount(1.0/200, len(all))
		homes := Homes("dispatch", all, k)
		So(k, ShouldEqual, 44)
		So(len(homes), ShouldEqual, k)
		all[17].Load = 0.9
		So(Homes("dispatch", all, k), ShouldResemble, homes)
		withoutOne := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.ID == homes[3] })
		So(countMissing(homes, Homes("dispatch", withoutOne, k)), ShouldEqual, 1)
		So(countMissing(homes, Homes("dispatch", members(2300, 23), k)), ShouldBeLessThan, 8)
		So(countMissing(homes, Homes("bakers", all, k)), ShouldBeGreaterThan, 35)
	})
	Convey("The number of homes grows with the share, from two to all", t, func() {
		So(HomeCount(0, 9), ShouldEqual, 2)
		So(HomeCount(0.1, 9), ShouldEqual, 4)
		So(HomeCount(1, 9), ShouldEqual, 9)
		So(HomeCount(1, 1), ShouldEqual, 1)
		So(Homes("bakers", nil, 2), ShouldBeEmpty)
	})
}

// Guards against answers that name a draining or dead node: a caller that connects to
// this node loses its requests until the answer expires. A full node is still better than
// no address.
func TestAnswer(t *testing.T) {
	Convey("Given nine nodes of which some are draining or suspected", t, func() {
		all := members(9, 3)
		all[0].Draining, all[1].Suspected, all[2].Suspected = true, true, true
		named := map[string]bool{}
		for caller := range 200 {
			a := Answer(Query{Team: "bakers", Caller: fmt.Sprint(caller), Share: 1, FailureDomain: "fd-1"}, all)
			sum := 0.0
			for _, x := range a.Addresses {
				named[x.ID] = true
				sum += x.Weight
			}
			if len(a.Addresses) != MaxAddresses || a.ValidFor != ValidFor || math.Abs(sum-1) > 1e-9 {
				t.Errorf("caller %d got %+v", caller, a)
			}
		}
		So(len(named), ShouldEqual, 6)
		for _, m := range all[:3] {
			So(named[m.ID], ShouldBeFalse)
		}
	})
	Convey("Given only full nodes, callers still get addresses", t, func() {
		all := members(3, 1)
		for i := range all {
			all[i].Load = 1.5
		}
		So(len(Answer(Query{Team: "bakers"}, all).Addresses), ShouldEqual, 2)
	})
	Convey("Given no usable node, the caller asks again soon", t, func() {
		a := Answer(Query{Team: "bakers"}, []Member{{ID: "vm-0", Draining: true}})
		So(a.Addresses, ShouldBeEmpty)
		So(a.ValidFor, ShouldEqual, RetryAfter)
		So(DrainDuration(3*time.Second), ShouldEqual, 23*time.Second)
	})
	Convey("Given homes in three domains, most requests stay in the caller's domain", t, func() {
		localShare := 0.0
		for caller := range 300 {
			q := Query{Team: "bakers", Caller: fmt.Sprint(caller), Share: 1, FailureDomain: "fd-2"}
			for _, a := range Answer(q, members(9, 3)).Addresses {
				if a.FailureDomain == q.FailureDomain {
					localShare += a.Weight / 300
				}
			}
		}
		t.Logf("share of requests in the caller's domain: %.2f", localShare)
		So(localShare, ShouldBeGreaterThan, 0.8)
	})
}

// Guards against callers that are cut off by the loss of a failure domain. All nodes of
// the domain fail at once, and callers keep their answers for up to ValidFor. A caller
// whose answer names a node in another domain connects to that node; any other caller has
// no node left. Every answer must therefore name nodes of two domains. The homes must
// also be in two domains, because only homes have a part of the team's limit.
func TestLossOfAFailureDomain(t *testing.T) {
	for _, c := range []struct {
		nodes, domains int
		share          float64
	}{{6, 3, 0}, {9, 3, 0}, {9, 3, 0.5}, {9, 2, 1}, {230, 23, 0.01}} {
		all, singleDomain := members(c.nodes, c.domains), 0
		const teams = 100
		for team := range teams {
			q := Query{Team: fmt.Sprint(team), Caller: "192.0.2.7", Share: c.share, FailureDomain: "fd-1"}
			domains := map[string]bool{}
			for _, a := range Answer(q, all).Addresses {
				domains[a.FailureDomain] = true
			}
			if len(domains) < 2 {
				singleDomain++
			}
		}
		if singleDomain > 0 {
			t.Errorf("%d nodes in %d domains, share %.2f: %d of %d answers name only one domain", c.nodes, c.domains, c.share, singleDomain, teams)
		}
	}
}

// peakLoadRatio simulates the callers of 240 teams, of which a few teams are large. In
// each step a tenth of the callers ask again. peakLoadRatio returns the load of the
// busiest node divided by the mean load of all nodes. With ignoreLoad, the answers do not
// depend on the nodes' loads.
func peakLoadRatio(nodes, callers int, headroom float64, ignoreLoad bool) float64 {
	const teams, domains, steps, meanLoad = 240, 23, 40, 0.5
	random := rand.New(rand.NewPCG(1, 2))
	all, index, sum := members(nodes, domains), map[string]int{}, 0.0
	for i, m := range all {
		index[m.ID] = i
	}
	for i := range teams {
		sum += 1 / float64(i+5)
	}
	var homes [][]Member // homes by the caller's index; the callers of a team share one slice
	var queries []Query
	for i := range teams {
		share := 1 / float64(i+5) / sum
		h := homesOf(fmt.Sprint(i), all, max(MinHomes, int(math.Ceil(headroom*share*float64(nodes)))))
		for range int(share * float64(callers)) {
			n := len(queries)
			queries = append(queries, Query{Team: fmt.Sprint(i), Caller: fmt.Sprint(n), FailureDomain: fmt.Sprint("fd-", n%domains)})
			homes = append(homes, h)
		}
	}
	load, answers := make([]float64, nodes), make([][]Address, len(queries))
	add := func(c int, sign float64) {
		for _, a := range answers[c] {
			load[index[a.ID]] += sign * a.Weight * float64(nodes) / float64(len(queries))
		}
	}
	for step := range steps {
		knownLoad := slices.Clone(load)
		for c, q := range queries {
			if step > 0 && random.IntN(10) > 0 {
				continue
			}
			for i := range homes[c] {
				if m := &homes[c][i]; !ignoreLoad {
					m.Load = knownLoad[index[m.ID]] * meanLoad
				}
			}
			add(c, -1)
			answers[c] = withWeights(q, selectHomes(q, homes[c]))
			add(c, 1)
		}
	}
	return slices.Max(load)
}

// Guards against callers that wait because the homes of their team are full while other
// nodes are idle. Homes are full when the hashes of several teams select the same homes.
// If answers take the loads into account, callers move to other homes of their team.
func TestLoadSpread(t *testing.T) {
	Convey("Given 240 teams over 230 nodes", t, func() {
		busiest, ignoringLoad := peakLoadRatio(230, 2000, HomeHeadroom, false), peakLoadRatio(230, 2000, HomeHeadroom, true)
		t.Logf("load of the busiest node over the mean: %.2f, without loads %.2f", busiest, ignoringLoad)
		So(busiest, ShouldBeLessThan, 1.8)
		So(busiest, ShouldBeLessThan, ignoringLoad*2/3)
	})
}

// BenchmarkLoadSpread reports the peak load ratio at the target size of 2,200 nodes.
func BenchmarkLoadSpread(b *testing.B) {
	for _, headroom := range []float64{1, 2, HomeHeadroom, 8} {
		b.Run(fmt.Sprint("headroom ", headroom), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(peakLoadRatio(2200, 20000, headroom, false), "busiest/mean")
			}
		})
	}
}

func BenchmarkAnswer(b *testing.B) {
	all := members(2200, 23)
	for b.Loop() {
		Answer(Query{Team: "bakers", Caller: "192.0.2.7", Share: 0.005, FailureDomain: "fd-1"}, all)
	}
}
