package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Each test runs the same calls through the Balancer and through baselines, and
// asserts a margin between them that the baseline itself would not meet.
// `go test -v` prints the figures that docs/design/balance.md quotes.

const (
	faultAt     = 20 * time.Second // start of the fault in a loadPattern
	arrivalsEnd = time.Minute
)

func balancerPolicy(cfg Config) func(int) *policy {
	return func(node int) *policy {
		cfg.Node, cfg.FailureDomain, cfg.Seed = fmt.Sprint("vm-", node), "bandung", uint64(node+1)
		return &policy{Balancer: New(cfg), reportedLoad: map[string]int{}}
	}
}

func constantRate(rate float64) func(float64) float64 {
	return func(float64) float64 { return rate }
}

// runPattern runs a pattern with 12 endpoints, which together serve 96 requests per
// second.
func runOn12Endpoints(t *testing.T, name string, newPolicy func(int) *policy, nodes int, loadPattern func(*simulation), domains ...string) *simulation {
	if len(domains) == 0 {
		domains = []string{"bandung"}
	}
	return runLoadPattern(t, name, newSimulation(nodes, newPolicy, 12/len(domains), domains...), loadPattern)
}

func runLoadPattern(t *testing.T, name string, s *simulation, loadPattern func(*simulation)) *simulation {
	loadPattern(s)
	t.Logf("%-22s p50 %-6v p95 %-7v p99 %-7v failed %d", name, s.delayPercentile(.5).Round(time.Millisecond),
		s.delayPercentile(.95).Round(time.Millisecond), s.delayPercentile(.99).Round(time.Millisecond), s.failedCalls)
	return s
}

// Without a fault, round robin spreads requests evenly, and a balancer can only do
// worse by acting on noise, most of all if many nodes have few requests each.
func TestEqualEndpointsWithoutFault(t *testing.T) {
	Convey("Given equal endpoints without a fault", t, func() {
		for _, c := range []struct {
			nodes int
			rate  float64
		}{{1, 75}, {2, 75}, {8, 75}, {2, 85}, {8, 85}, {24, 75}} {
			loadPattern := func(s *simulation) { s.runCalls(constantRate(c.rate), nil) }
			name := fmt.Sprintf(" %d nodes %.0f/s", c.nodes, c.rate)
			roundRobinRun := runOn12Endpoints(t, "round robin"+name, roundRobin, c.nodes, loadPattern)
			balancerRun := runOn12Endpoints(t, "balance"+name, balancerPolicy(Config{}), c.nodes, loadPattern)
			So(balancerRun.delayPercentile(.95), ShouldBeLessThan, roundRobinRun.delayPercentile(.95)*11/10)
		}
	})
}

// A twelfth of the callers waits tens of seconds. One endpoint becomes six times
// slower at 20 s. With round robin it is sent more than it can serve, so its queue
// grows for as long as it is slow.
func TestSlowEndpointGetsNoRequests(t *testing.T) {
	loadPattern := func(s *simulation) {
		s.measureFrom = faultAt
		s.schedule(faultAt, func() { s.engines[3].slowdown = 6 })
		s.runCalls(constantRate(60), nil)
	}
	Convey("Given an endpoint that becomes slow", t, func() {
		roundRobinRun := runOn12Endpoints(t, "round robin", roundRobin, 2, loadPattern)
		balancerRun := runOn12Endpoints(t, "balance", balancerPolicy(Config{}), 2, loadPattern)
		t.Log("slow endpoint gets no new requests after", timeToLastRequest(faultAt, balancerRun.engines[3]))
		So(balancerRun.delayPercentile(.95), ShouldBeLessThan, roundRobinRun.delayPercentile(.95)/10)
		So(timeToLastRequest(faultAt, balancerRun.engines[3]), ShouldBeLessThan, 5*time.Second)
		So(timeToLastRequest(faultAt, roundRobinRun.engines[3]), ShouldBeGreaterThan, 30*time.Second)
	})
}

// A third of the calls has one prompt prefix, the others have one of sixty, and a
// cached prefix saves 540 of 600 ms. With round robin each endpoint sees every
// prefix, more than its cache holds. With unbounded hashing one endpoint gets all
// requests of the hot prefix and is overloaded.
func TestHotPrefixIsSpread(t *testing.T) {
	randomPrefix := func(r *rand.Rand) uint64 {
		if r.Float64() < 0.33 {
			return 1000
		}
		return 1 + r.Uint64N(60)
	}
	loadPattern := func(s *simulation) {
		s.prefillTime, s.cachedPrefillTime = 600*time.Millisecond, 60*time.Millisecond
		s.runCalls(constantRate(70), randomPrefix)
	}
	Convey("Given a hot prefix", t, func() {
		roundRobinRun := runOn12Endpoints(t, "round robin", roundRobin, 2, loadPattern)
		hashOnlyRun := runOn12Endpoints(t, "hash without bound", hashOnly, 2, loadPattern)
		balancerRun := runOn12Endpoints(t, "balance", balancerPolicy(Config{}), 2, loadPattern)
		So(balancerRun.delayPercentile(.5), ShouldBeLessThan, roundRobinRun.delayPercentile(.5)/5)
		So(balancerRun.delayPercentile(.95), ShouldBeLessThan, roundRobinRun.delayPercentile(.95)*3/4)
		So(balancerRun.delayPercentile(.95), ShouldBeLessThan, hashOnlyRun.delayPercentile(.95)/10)
	})
}

// Callers wait tens of seconds at endpoints that were added to help. Six join
// during a load peak, nine times slower at first and warm after 20 s. With round
// robin they get a full share at once; without slow start they get too much because
// their load shows too late.
func TestColdEndpointsJoinUnderLoad(t *testing.T) {
	loadPattern := func(s *simulation) {
		s.measureFrom, s.measureUntil, s.coldSlowdown = faultAt, 2*faultAt, 8
		s.schedule(faultAt, func() {
			for i := range 6 {
				s.addEngine(fmt.Sprint("new-", i), "bandung").coldUntil = s.now.Add(warmupTime)
			}
			s.publishReplicas()
		})
		s.runCalls(func(at float64) float64 { return 55 + min(30, at) }, nil)
	}
	Convey("Given cold endpoints that join during a load peak", t, func() {
		roundRobinRun := runOn12Endpoints(t, "round robin", roundRobin, 2, loadPattern)
		noSlowStartRun := runOn12Endpoints(t, "no slow start", balancerPolicy(Config{SlowStart: 1}), 2, loadPattern)
		balancerRun := runOn12Endpoints(t, "balance", balancerPolicy(Config{}), 2, loadPattern)
		So(balancerRun.delayPercentile(.95), ShouldBeLessThan, roundRobinRun.delayPercentile(.95)/10)
		So(balancerRun.delayPercentile(.99), ShouldBeLessThan, noSlowStartRun.delayPercentile(.99)/2)
	})
}

// Callers get errors or wait for the timeout. Four of twelve endpoints are lost at
// 20 s: two refuse connections, two freeze. With round robin a third of the
// attempts goes there until the list is updated, and some calls meet three of them.
func TestThirdOfEndpointsLost(t *testing.T) {
	loadPattern := func(s *simulation) {
		s.measureFrom = faultAt
		s.schedule(faultAt, func() {
			for i, e := range s.engines[:4] {
				s.failEngine(e, i%2 == 0)
			}
		})
		s.runCalls(constantRate(50), nil)
	}
	Convey("Given a third of the endpoints lost", t, func() {
		roundRobinRun := runOn12Endpoints(t, "round robin", roundRobin, 2, loadPattern)
		balancerRun := runOn12Endpoints(t, "balance", balancerPolicy(Config{}), 2, loadPattern)
		t.Log("lost endpoints get no new requests after", timeToLastRequest(faultAt, balancerRun.engines[:4]...), "and probes in all:",
			countReceived(faultAt+3*time.Second, arrivalsEnd, balancerRun.engines[:4]...))
		So(balancerRun.delayPercentile(.95), ShouldBeLessThan, roundRobinRun.delayPercentile(.95)/4)
		So(balancerRun.failedCalls, ShouldBeLessThanOrEqualTo, roundRobinRun.failedCalls/20)
		So(timeToLastRequest(faultAt, balancerRun.engines[:4]...), ShouldBeLessThan, 3*time.Second)
	})
}

// Callers wait for seconds although half of the endpoints are idle. Eight nodes
// learn the load two seconds late. If each sends to the replica with the lowest
// reported load, all of them overload the same endpoint until the next report.
func TestStaleReportsDoNotHerd(t *testing.T) {
	loadPattern := func(s *simulation) {
		s.reportLag = 2 * time.Second
		s.runCalls(constantRate(80), nil)
	}
	Convey("Given load reports that lag", t, func() {
		roundRobinRun := runOn12Endpoints(t, "round robin", roundRobin, 8, loadPattern)
		leastLoadRun := runOn12Endpoints(t, "least reported", leastReportedLoad, 8, loadPattern)
		balancerRun := runOn12Endpoints(t, "balance", balancerPolicy(Config{}), 8, loadPattern)
		So(balancerRun.delayPercentile(.95), ShouldBeLessThan, leastLoadRun.delayPercentile(.95)/10)
		So(balancerRun.delayPercentile(.95), ShouldBeLessThan, roundRobinRun.delayPercentile(.95)*11/10)
	})
}

// Callers lose an attempt at an endpoint that refuses requests because it is
// shutting down. With round robin it is sent a twelfth of all requests until the
// list is updated. The first refusal must be enough for the node that received it.
func TestRefusalAsLeavingEndsRequests(t *testing.T) {
	loadPattern := func(s *simulation) {
		s.schedule(faultAt, func() { s.engines[5].leaving = true })
		s.runCalls(constantRate(60), nil)
	}
	Convey("Given an endpoint that shuts down", t, func() {
		roundRobinRun := runOn12Endpoints(t, "round robin", roundRobin, 2, loadPattern)
		balancerRun := runOn12Endpoints(t, "balance", balancerPolicy(Config{}), 2, loadPattern)
		t.Log("leaving endpoint gets no new requests after", timeToLastRequest(faultAt, balancerRun.engines[5]))
		So(countReceived(faultAt, arrivalsEnd, balancerRun.engines[5]), ShouldBeLessThanOrEqualTo, 2)
		So(countReceived(faultAt, arrivalsEnd, roundRobinRun.engines[5]), ShouldBeGreaterThan, 100)
	})
}

// Calls that cross to the other domain take 80 ms longer. With round robin half of
// the calls cross although the near endpoints have free slots. If the load exceeds
// the near endpoints, using only these overloads them; only the surplus should
// cross.
func TestOnlySurplusSpills(t *testing.T) {
	domains := []string{"bandung", "bekasi"}
	nearOnly := fixedRulePolicy(func(p *policy, _ Query) Replica { return p.nextOfFirst(6) })
	for _, c := range []struct {
		name            string
		rate            float64
		maxSpilledShare float64 // share that crosses
	}{{"half the near capacity", 24, 0.01}, {"1.3 times the near capacity", 62, 0.4}} {
		loadPattern := func(s *simulation) {
			s.crossDomainDelay = 80 * time.Millisecond
			s.runCalls(constantRate(c.rate), nil)
		}
		Convey("Given two failure domains at "+c.name, t, func() {
			roundRobinRun := runOn12Endpoints(t, "round robin", roundRobin, 2, loadPattern, domains...)
			nearOnlyRun := runOn12Endpoints(t, "near only", nearOnly, 2, loadPattern, domains...)
			balancerRun := runOn12Endpoints(t, "balance", balancerPolicy(Config{}), 2, loadPattern, domains...)
			spilledShare := float64(countReceived(0, arrivalsEnd, balancerRun.engines[6:]...)) / float64(balancerRun.measuredCalls)
			t.Logf("share that crosses: %.3f", spilledShare)
			So(spilledShare, ShouldBeLessThan, c.maxSpilledShare)
			So(slices.Max(balancerRun.firstTokenDelays), ShouldBeLessThanOrEqualTo, max(nearOnlyRun.delayPercentile(.99), roundRobinRun.delayPercentile(.99)))
			So(balancerRun.delayPercentile(.5), ShouldBeLessThanOrEqualTo, 200*time.Millisecond)
		})
	}
}

// Callers get errors although another domain works. All near endpoints refuse
// connections from 20 s on. Each must be found dead once; after that the requests
// must cross without trying the near endpoints first.
func TestNearDomainLost(t *testing.T) {
	loadPattern := func(s *simulation) {
		s.measureFrom, s.crossDomainDelay = faultAt, 80*time.Millisecond
		s.schedule(faultAt, func() {
			for _, e := range s.engines[:6] {
				s.failEngine(e, false)
			}
		})
		s.runCalls(constantRate(30), nil)
	}
	Convey("Given all endpoints of the near domain lost", t, func() {
		roundRobinRun := runOn12Endpoints(t, "round robin", roundRobin, 2, loadPattern, "bandung", "bekasi")
		balancerRun := runOn12Endpoints(t, "balance", balancerPolicy(Config{}), 2, loadPattern, "bandung", "bekasi")
		t.Log("lost endpoints get no new requests after", timeToLastRequest(faultAt, balancerRun.engines[:6]...))
		So(balancerRun.failedCalls, ShouldBeLessThanOrEqualTo, roundRobinRun.failedCalls/10)
		So(timeToLastRequest(faultAt, balancerRun.engines[:6]...), ShouldBeLessThan, 2*time.Second)
		So(countReceived(faultAt, arrivalsEnd, balancerRun.engines[:6]...), ShouldBeLessThan, countReceived(faultAt, arrivalsEnd, roundRobinRun.engines[:6]...)/8)
	})
}

// Callers wait if the subsets leave some replicas with more nodes than others. Here
// 12 nodes share 52 replicas, and each node uses about 13 of them. A node that
// knows its peers loses little compared to one that uses all replicas; without that
// knowledge some replicas are overloaded.
func TestSubsetServesLikeAllReplicas(t *testing.T) {
	Convey("Given subsets of a quarter of the replicas", t, func() {
		var peers []string
		for i := range 12 {
			peers = append(peers, fmt.Sprint("vm-", i))
		}
		newPolicyWithPeers := func(node int) *policy {
			p := balancerPolicy(Config{SubsetSize: 16})(node)
			p.SetPeers(epoch, peers)
			return p
		}
		p95 := func(name string, newPolicy func(int) *policy) time.Duration {
			s := newSimulation(12, newPolicy, 52, "bandung")
			return runLoadPattern(t, name, s, func(s *simulation) { s.runCalls(constantRate(312), nil) }).delayPercentile(.95)
		}
		roundRobinP95, allReplicasP95 := p95("round robin", roundRobin), p95("balance, all", balancerPolicy(Config{}))
		withoutPeersP95, withPeersP95 := p95("balance, alone", balancerPolicy(Config{SubsetSize: 16})), p95("balance, with peers", newPolicyWithPeers)
		So(withPeersP95, ShouldBeLessThan, roundRobinP95)
		So(withPeersP95, ShouldBeLessThan, allReplicasP95)
		So(withPeersP95, ShouldBeLessThan, withoutPeersP95*2/3)
	})
}
