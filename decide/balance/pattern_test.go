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
	faultTime = 20 * time.Second // start of the fault in a pattern
	runTime   = time.Minute
)

func balancerPolicy(cfg Config) func(int) *policy {
	return func(node int) *policy {
		cfg.Node, cfg.FailureDomain, cfg.Seed = fmt.Sprint("vm-", node), "bandung", uint64(node+1)
		return &policy{Balancer: New(cfg), reported: map[string]int{}}
	}
}

func constantRate(rate float64) func(float64) float64 {
	return func(float64) float64 { return rate }
}

// runPattern runs a pattern with 12 endpoints, which together serve 96 requests per
// second.
func runPattern(t *testing.T, name string, newPolicy func(int) *policy, nodes int, pattern func(*simulation), domains ...string) *simulation {
	if len(domains) == 0 {
		domains = []string{"bandung"}
	}
	return runPatternOn(t, name, newSimulation(nodes, newPolicy, 12/len(domains), domains...), pattern)
}

func runPatternOn(t *testing.T, name string, s *simulation, pattern func(*simulation)) *simulation {
	pattern(s)
	t.Logf("%-22s p50 %-6v p95 %-7v p99 %-7v failed %d", name, s.percentile(.5).Round(time.Millisecond),
		s.percentile(.95).Round(time.Millisecond), s.percentile(.99).Round(time.Millisecond), s.failed)
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
			pattern := func(s *simulation) { s.run(constantRate(c.rate), nil) }
			name := fmt.Sprintf(" %d nodes %.0f/s", c.nodes, c.rate)
			base := runPattern(t, "round robin"+name, roundRobin, c.nodes, pattern)
			s := runPattern(t, "balance"+name, balancerPolicy(Config{}), c.nodes, pattern)
			So(s.percentile(.95), ShouldBeLessThan, base.percentile(.95)*11/10)
		}
	})
}

// A twelfth of the callers waits tens of seconds. One endpoint becomes six times
// slower at 20 s. With round robin it is sent more than it can serve, so its queue
// grows for as long as it is slow.
func TestSlowEndpointGetsNoRequests(t *testing.T) {
	pattern := func(s *simulation) {
		s.measureFrom = faultTime
		s.schedule(faultTime, func() { s.engines[3].slowdown = 6 })
		s.run(constantRate(60), nil)
	}
	Convey("Given an endpoint that becomes slow", t, func() {
		base := runPattern(t, "round robin", roundRobin, 2, pattern)
		s := runPattern(t, "balance", balancerPolicy(Config{}), 2, pattern)
		t.Log("slow endpoint gets no new requests after", lastRequestAfter(faultTime, s.engines[3]))
		So(s.percentile(.95), ShouldBeLessThan, base.percentile(.95)/10)
		So(lastRequestAfter(faultTime, s.engines[3]), ShouldBeLessThan, 5*time.Second)
		So(lastRequestAfter(faultTime, base.engines[3]), ShouldBeGreaterThan, 30*time.Second)
	})
}

// A third of the calls has one prompt prefix, the others have one of sixty, and a
// cached prefix saves 540 of 600 ms. With round robin each endpoint sees every
// prefix, more than its cache holds. With unbounded hashing one endpoint gets all
// requests of the hot prefix and is overloaded.
func TestHotPrefixIsSpread(t *testing.T) {
	prefix := func(r *rand.Rand) uint64 {
		if r.Float64() < 0.33 {
			return 1000
		}
		return 1 + r.Uint64N(60)
	}
	pattern := func(s *simulation) {
		s.prefill, s.cachedPrefill = 600*time.Millisecond, 60*time.Millisecond
		s.run(constantRate(70), prefix)
	}
	Convey("Given a hot prefix", t, func() {
		base := runPattern(t, "round robin", roundRobin, 2, pattern)
		unbounded := runPattern(t, "hash without bound", hashOnly, 2, pattern)
		s := runPattern(t, "balance", balancerPolicy(Config{}), 2, pattern)
		So(s.percentile(.5), ShouldBeLessThan, base.percentile(.5)/5)
		So(s.percentile(.95), ShouldBeLessThan, base.percentile(.95)*3/4)
		So(s.percentile(.95), ShouldBeLessThan, unbounded.percentile(.95)/10)
	})
}

// Callers wait tens of seconds at endpoints that were added to help. Six join
// during a load peak, nine times slower at first and warm after 20 s. With round
// robin they get a full share at once; without slow start they get too much because
// their load shows too late.
func TestColdEndpointsJoinUnderLoad(t *testing.T) {
	pattern := func(s *simulation) {
		s.measureFrom, s.measureUntil, s.coldFactor = faultTime, 2*faultTime, 8
		s.schedule(faultTime, func() {
			for i := range 6 {
				s.addEngine(fmt.Sprint("new-", i), "bandung").coldUntil = s.now.Add(warmupTime)
			}
			s.publishReplicas()
		})
		s.run(func(at float64) float64 { return 55 + min(30, at) }, nil)
	}
	Convey("Given cold endpoints that join during a load peak", t, func() {
		base := runPattern(t, "round robin", roundRobin, 2, pattern)
		noRamp := runPattern(t, "no slow start", balancerPolicy(Config{SlowStart: 1}), 2, pattern)
		s := runPattern(t, "balance", balancerPolicy(Config{}), 2, pattern)
		So(s.percentile(.95), ShouldBeLessThan, base.percentile(.95)/10)
		So(s.percentile(.99), ShouldBeLessThan, noRamp.percentile(.99)/2)
	})
}

// Callers get errors or wait for the timeout. Four of twelve endpoints are lost at
// 20 s: two refuse connections, two freeze. With round robin a third of the
// attempts goes there until the list is updated, and some calls meet three of them.
func TestThirdOfEndpointsLost(t *testing.T) {
	pattern := func(s *simulation) {
		s.measureFrom = faultTime
		s.schedule(faultTime, func() {
			for i, e := range s.engines[:4] {
				s.failEngine(e, i%2 == 0)
			}
		})
		s.run(constantRate(50), nil)
	}
	Convey("Given a third of the endpoints lost", t, func() {
		base := runPattern(t, "round robin", roundRobin, 2, pattern)
		s := runPattern(t, "balance", balancerPolicy(Config{}), 2, pattern)
		t.Log("lost endpoints get no new requests after", lastRequestAfter(faultTime, s.engines[:4]...), "and probes in all:",
			receivedBetween(faultTime+3*time.Second, runTime, s.engines[:4]...))
		So(s.percentile(.95), ShouldBeLessThan, base.percentile(.95)/4)
		So(s.failed, ShouldBeLessThanOrEqualTo, base.failed/20)
		So(lastRequestAfter(faultTime, s.engines[:4]...), ShouldBeLessThan, 3*time.Second)
	})
}

// Callers wait for seconds although half of the endpoints are idle. Eight nodes
// learn the load two seconds late. If each sends to the replica with the lowest
// reported load, all of them overload the same endpoint until the next report.
func TestStaleReportsDoNotHerd(t *testing.T) {
	pattern := func(s *simulation) {
		s.reportLag = 2 * time.Second
		s.run(constantRate(80), nil)
	}
	Convey("Given load reports that lag", t, func() {
		base := runPattern(t, "round robin", roundRobin, 8, pattern)
		herd := runPattern(t, "least reported", leastReported, 8, pattern)
		s := runPattern(t, "balance", balancerPolicy(Config{}), 8, pattern)
		So(s.percentile(.95), ShouldBeLessThan, herd.percentile(.95)/10)
		So(s.percentile(.95), ShouldBeLessThan, base.percentile(.95)*11/10)
	})
}

// Callers lose an attempt at an endpoint that refuses requests because it is
// shutting down. With round robin it is sent a twelfth of all requests until the
// list is updated. The first refusal must be enough for the node that received it.
func TestRefusalAsLeavingEndsRequests(t *testing.T) {
	pattern := func(s *simulation) {
		s.schedule(faultTime, func() { s.engines[5].leaving = true })
		s.run(constantRate(60), nil)
	}
	Convey("Given an endpoint that shuts down", t, func() {
		base := runPattern(t, "round robin", roundRobin, 2, pattern)
		s := runPattern(t, "balance", balancerPolicy(Config{}), 2, pattern)
		t.Log("leaving endpoint gets no new requests after", lastRequestAfter(faultTime, s.engines[5]))
		So(receivedBetween(faultTime, runTime, s.engines[5]), ShouldBeLessThanOrEqualTo, 2)
		So(receivedBetween(faultTime, runTime, base.engines[5]), ShouldBeGreaterThan, 100)
	})
}

// Calls that cross to the other domain take 80 ms longer. With round robin half of
// the calls cross although the near endpoints have free slots. If the load exceeds
// the near endpoints, using only these overloads them; only the surplus should
// cross.
func TestOnlySurplusSpills(t *testing.T) {
	domains := []string{"bandung", "bekasi"}
	nearOnly := baseline(func(p *policy, _ Query) Replica { return p.nextOf(6) })
	for _, c := range []struct {
		name        string
		rate        float64
		maxCrossing float64 // share that crosses
	}{{"half the near capacity", 24, 0.01}, {"1.3 times the near capacity", 62, 0.4}} {
		pattern := func(s *simulation) {
			s.crossDomainDelay = 80 * time.Millisecond
			s.run(constantRate(c.rate), nil)
		}
		Convey("Given two failure domains at "+c.name, t, func() {
			base := runPattern(t, "round robin", roundRobin, 2, pattern, domains...)
			near := runPattern(t, "near only", nearOnly, 2, pattern, domains...)
			s := runPattern(t, "balance", balancerPolicy(Config{}), 2, pattern, domains...)
			crossed := float64(receivedBetween(0, runTime, s.engines[6:]...)) / float64(s.arrived)
			t.Logf("share that crosses: %.3f", crossed)
			So(crossed, ShouldBeLessThan, c.maxCrossing)
			So(slices.Max(s.delays), ShouldBeLessThanOrEqualTo, max(near.percentile(.99), base.percentile(.99)))
			So(s.percentile(.5), ShouldBeLessThanOrEqualTo, 200*time.Millisecond)
		})
	}
}

// Callers get errors although another domain works. All near endpoints refuse
// connections from 20 s on. Each must be found dead once; after that the requests
// must cross without trying the near endpoints first.
func TestNearDomainLost(t *testing.T) {
	pattern := func(s *simulation) {
		s.measureFrom, s.crossDomainDelay = faultTime, 80*time.Millisecond
		s.schedule(faultTime, func() {
			for _, e := range s.engines[:6] {
				s.failEngine(e, false)
			}
		})
		s.run(constantRate(30), nil)
	}
	Convey("Given all endpoints of the near domain lost", t, func() {
		base := runPattern(t, "round robin", roundRobin, 2, pattern, "bandung", "bekasi")
		s := runPattern(t, "balance", balancerPolicy(Config{}), 2, pattern, "bandung", "bekasi")
		t.Log("lost endpoints get no new requests after", lastRequestAfter(faultTime, s.engines[:6]...))
		So(s.failed, ShouldBeLessThanOrEqualTo, base.failed/10)
		So(lastRequestAfter(faultTime, s.engines[:6]...), ShouldBeLessThan, 2*time.Second)
		So(receivedBetween(faultTime, runTime, s.engines[:6]...), ShouldBeLessThan, receivedBetween(faultTime, runTime, base.engines[:6]...)/8)
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
		withPeerList := func(node int) *policy {
			p := balancerPolicy(Config{SubsetSize: 16})(node)
			p.SetPeers(epoch, peers)
			return p
		}
		p95 := func(name string, newPolicy func(int) *policy) time.Duration {
			s := newSimulation(12, newPolicy, 52, "bandung")
			return runPatternOn(t, name, s, func(s *simulation) { s.run(constantRate(312), nil) }).percentile(.95)
		}
		base, allReplicas := p95("round robin", roundRobin), p95("balance, all", balancerPolicy(Config{}))
		alone, withPeers := p95("balance, alone", balancerPolicy(Config{SubsetSize: 16})), p95("balance, with peers", withPeerList)
		So(withPeers, ShouldBeLessThan, base)
		So(withPeers, ShouldBeLessThan, allReplicas)
		So(withPeers, ShouldBeLessThan, alone*2/3)
	})
}
