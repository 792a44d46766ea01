package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Each test runs the same calls through the Balancer and through baselines. The
// margins are chosen so that a baseline in place of the Balancer fails the test.
// `go test -v` prints the figures that docs/design/balance.md quotes.

const (
	faultAt     = 20 * time.Second // when the fault of a load pattern begins
	arrivalsEnd = time.Minute      // when the last call arrives
)

func balancerPolicy(cfg Config) func(int) *policy {
	return func(node int) *policy {
		cfg.Node, cfg.FailureDomain, cfg.Seed = fmt.Sprint("vm-", node), "bandung", uint64(node+1)
		return &policy{Balancer: New(cfg), reportedLoad: map[string]int{}}
	}
}

func constantRate(callsPerSecond float64) func(float64) float64 {
	return func(float64) float64 { return callsPerSecond }
}

// runOn12Endpoints runs a load pattern with 12 endpoints, which together serve 96
// calls per second.
func runOn12Endpoints(t *testing.T, name string, newPolicy func(int) *policy, nodeCount int, loadPattern func(*simulation), domains ...string) *simulation {
	if len(domains) == 0 {
		domains = []string{"bandung"}
	}
	return runLoadPattern(t, name, newSimulation(nodeCount, newPolicy, 12/len(domains), domains...), loadPattern)
}

func runLoadPattern(t *testing.T, name string, s *simulation, loadPattern func(*simulation)) *simulation {
	loadPattern(s)
	t.Logf("%-22s p50 %-6v p95 %-7v p99 %-7v failed %d", name, s.delayPercentile(.5).Round(time.Millisecond),
		s.delayPercentile(.95).Round(time.Millisecond), s.delayPercentile(.99).Round(time.Millisecond), s.failedCalls)
	return s
}

// If a balancer acts on noise in the load reports, callers wait longer than with
// round robin. Without a fault, round robin spreads requests evenly, and a balancer
// can only do worse. The noise is largest if many nodes have few requests each.
func TestEqualEndpointsWithoutFault(t *testing.T) {
	Convey("Given equal endpoints without a fault", t, func() {
		for _, c := range []struct {
			nodes          int
			callsPerSecond float64
		}{{1, 75}, {2, 75}, {8, 75}, {2, 85}, {8, 85}, {24, 75}} {
			loadPattern := func(s *simulation) { s.runCalls(constantRate(c.callsPerSecond), nil) }
			name := fmt.Sprintf(" %d nodes %.0f/s", c.nodes, c.callsPerSecond)
			roundRobinRun := runOn12Endpoints(t, "round robin"+name, roundRobin, c.nodes, loadPattern)
			balancerRun := runOn12Endpoints(t, "balance"+name, balancerPolicy(Config{}), c.nodes, loadPattern)
			So(balancerRun.delayPercentile(.95), ShouldBeLessThan, roundRobinRun.delayPercentile(.95)*11/10)
		}
	})
}

// With round robin, a twelfth of the callers waits tens of seconds if one of
// twelve endpoints becomes six times slower. The slow endpoint gets more requests
// than it can serve, and its queue grows as long as the endpoint is slow. Here the
// endpoint becomes slow at 20 s.
func TestSlowEndpointGetsNoRequests(t *testing.T) {
	loadPattern := func(s *simulation) {
		s.measureFrom = faultAt
		s.schedule(faultAt, func() { s.engines[3].slowdownFactor = 6 })
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

// With round robin, each endpoint receives requests of all prefixes, and its cache
// cannot hold that many prefixes. With hashing without a load bound, one endpoint
// receives all requests of the hot prefix and is overloaded. Here a third of the
// calls have the same prompt prefix, the other calls have one of sixty. A cached
// prefix saves 540 of the 600 ms before the first token.
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

// If cold endpoints that join during a load peak get too many requests, callers
// wait at these endpoints for tens of seconds. Here six endpoints join that are
// nine times slower at first and warm after 20 s. With round robin, the new
// endpoints immediately get as many requests as the other endpoints. Without slow
// start, they get too many requests, because load reports show their load too
// late.
func TestColdEndpointsJoinUnderLoad(t *testing.T) {
	loadPattern := func(s *simulation) {
		s.measureFrom, s.measureUntil, s.coldSlowdownIncrease = faultAt, 2*faultAt, 8
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

// If lost endpoints are not ejected, callers get errors or wait for the timeout.
// Here four of twelve endpoints are lost at 20 s: two refuse connections, two
// freeze. With round robin, a third of the attempts go to lost endpoints until the
// list of replicas is updated. Some calls then try three lost endpoints and fail.
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

// If each node sends to the replica with the lowest reported load, callers wait for
// seconds although half of the endpoints are idle. Here eight nodes receive load
// reports two seconds late. All nodes then overload the same endpoint until the
// next report.
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

// If a node keeps sending to an endpoint that refuses requests because it is
// shutting down, each such call loses an attempt. With round robin, a twelfth of
// all requests go to that endpoint until the list of replicas is updated. After
// the first refusal, the node that received it must stop sending to that endpoint.
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

// With round robin, half of the requests go to the other failure domain although
// the endpoints of the nearest domain have free slots. Each of these requests
// takes 80 ms longer. If only the nearest domain is used, its endpoints are
// overloaded when the load exceeds their capacity. Only the surplus should go to
// the other domain.
func TestOnlySurplusSpills(t *testing.T) {
	domains := []string{"bandung", "bekasi"}
	nearOnly := newFixedRulePolicy(func(p *policy, _ Query) Replica { return p.nextRoundRobinOfFirst(6) })
	for _, c := range []struct {
		name            string
		callsPerSecond  float64
		maxSpilledShare float64 // largest share of the requests that may go to the other domain
	}{{"half the near capacity", 24, 0.01}, {"1.3 times the near capacity", 62, 0.4}} {
		loadPattern := func(s *simulation) {
			s.crossDomainDelay = 80 * time.Millisecond
			s.runCalls(constantRate(c.callsPerSecond), nil)
		}
		Convey("Given two failure domains at "+c.name, t, func() {
			roundRobinRun := runOn12Endpoints(t, "round robin", roundRobin, 2, loadPattern, domains...)
			nearOnlyRun := runOn12Endpoints(t, "near only", nearOnly, 2, loadPattern, domains...)
			balancerRun := runOn12Endpoints(t, "balance", balancerPolicy(Config{}), 2, loadPattern, domains...)
			spilledShare := float64(countReceived(0, arrivalsEnd, balancerRun.engines[6:]...)) / float64(balancerRun.measuredCalls)
			t.Logf("share of the requests to the other domain: %.3f", spilledShare)
			So(spilledShare, ShouldBeLessThan, c.maxSpilledShare)
			So(slices.Max(balancerRun.firstTokenDelays), ShouldBeLessThanOrEqualTo, max(nearOnlyRun.delayPercentile(.99), roundRobinRun.delayPercentile(.99)))
			So(balancerRun.delayPercentile(.5), ShouldBeLessThanOrEqualTo, 200*time.Millisecond)
		})
	}
}

// If lost endpoints are not ejected, callers get errors although the other failure
// domain works. Here all endpoints of the nearest domain refuse connections from
// 20 s on. Once a node has found each of these endpoints unreachable, the node must
// send its requests straight to the other domain.
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

// If the subsets give some replicas more nodes than others, callers wait at the
// replicas with more nodes. Here 12 nodes share 52 replicas, and each node uses
// about 13 of the replicas. Nodes that know their peers must serve as well as nodes
// that use all replicas. If nodes do not know their peers, some replicas are
// overloaded.
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
		withoutPeersP95, withPeersP95 := p95("balance, without peers", balancerPolicy(Config{SubsetSize: 16})), p95("balance, with peers", newPolicyWithPeers)
		So(withPeersP95, ShouldBeLessThan, roundRobinP95)
		So(withPeersP95, ShouldBeLessThan, allReplicasP95)
		So(withPeersP95, ShouldBeLessThan, withoutPeersP95*2/3)
	})
}
