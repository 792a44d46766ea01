package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Each test runs the same calls through the Balancer and through baselines and
// asserts the margin between them; the bound is one that the baseline misses.
// `go test -v` prints the figures that docs/design/balance.md quotes.

const (
	fault   = 20 * time.Second // when a pattern's trouble begins
	runTime = time.Minute
)

func balanced(cfg Config) func(int) *policy {
	return func(node int) *policy {
		cfg.Node, cfg.FailureDomain, cfg.Seed = fmt.Sprint("vm-", node), "bandung", uint64(node+1)
		return &policy{Balancer: New(cfg), reported: map[string]int{}}
	}
}

func steady(rate float64) func(float64) float64 {
	return func(float64) float64 { return rate }
}

// play runs a pattern over 12 endpoints, which carry 96 requests a second.
func play(t *testing.T, name string, make func(int) *policy, nodes int, pattern func(*world), domains ...string) *world {
	if len(domains) == 0 {
		domains = []string{"bandung"}
	}
	return playOn(t, name, newWorld(nodes, make, 12/len(domains), domains...), pattern)
}

func playOn(t *testing.T, name string, w *world, pattern func(*world)) *world {
	pattern(w)
	t.Logf("%-22s p50 %-6v p95 %-7v p99 %-7v failed %d", name, w.percentile(.5).Round(time.Millisecond),
		w.percentile(.95).Round(time.Millisecond), w.percentile(.99).Round(time.Millisecond), w.failed)
	return w
}

// With nothing wrong, turns spread evenly and a balancer can only lose by
// acting on noise, most of all where many nodes have few requests each.
func TestNothingWrong(t *testing.T) {
	Convey("Given equal endpoints and nothing wrong", t, func() {
		for _, c := range []struct {
			nodes int
			rate  float64
		}{{1, 75}, {2, 75}, {8, 75}, {2, 85}, {8, 85}, {24, 75}} {
			pattern := func(w *world) { w.run(steady(c.rate), nil) }
			name := fmt.Sprintf(" %d nodes %.0f/s", c.nodes, c.rate)
			base := play(t, "round robin"+name, roundRobin, c.nodes, pattern)
			w := play(t, "balance"+name, balanced(Config{}), c.nodes, pattern)
			So(w.percentile(.95), ShouldBeLessThan, base.percentile(.95)*11/10)
		}
	})
}

// A twelfth of the callers waits tens of seconds. One endpoint turns six times
// slower at 20 s; in turn it is sent more than it can carry, so its queue grows
// for as long as it lasts.
func TestSlowEndpoint(t *testing.T) {
	pattern := func(w *world) {
		w.from = fault
		w.after(fault, func() { w.engines[3].slow = 6 })
		w.run(steady(60), nil)
	}
	Convey("Given an endpoint that turns slow", t, func() {
		base := play(t, "round robin", roundRobin, 2, pattern)
		w := play(t, "balance", balanced(Config{}), 2, pattern)
		t.Log("slow endpoint gets nothing new after", quietAfter(fault, w.engines[3]))
		So(w.percentile(.95), ShouldBeLessThan, base.percentile(.95)/10)
		So(quietAfter(fault, w.engines[3]), ShouldBeLessThan, 5*time.Second)
		So(quietAfter(fault, base.engines[3]), ShouldBeGreaterThan, 30*time.Second)
	})
}

// A third of the calls has one prompt prefix, the others one of sixty, and a
// cached one saves 540 of 600 ms. In turn each endpoint sees every prefix, more
// than its cache holds; by hash alone one endpoint gets the hot one and drowns.
func TestHotPrefix(t *testing.T) {
	prefix := func(r *rand.Rand) uint64 {
		if r.Float64() < 0.33 {
			return 1000
		}
		return 1 + r.Uint64N(60)
	}
	pattern := func(w *world) {
		w.prefill, w.cachedPrefill = 600*time.Millisecond, 60*time.Millisecond
		w.run(steady(70), prefix)
	}
	Convey("Given a hot prefix", t, func() {
		base := play(t, "round robin", roundRobin, 2, pattern)
		unbounded := play(t, "hash without bound", hashOnly, 2, pattern)
		w := play(t, "balance", balanced(Config{}), 2, pattern)
		So(w.percentile(.5), ShouldBeLessThan, base.percentile(.5)/5)
		So(w.percentile(.95), ShouldBeLessThan, base.percentile(.95)*3/4)
		So(w.percentile(.95), ShouldBeLessThan, unbounded.percentile(.95)/10)
	})
}

// Callers wait tens of seconds on endpoints that joined to help. Six join in
// the rush, nine times slower at first and warm after 20 s. In turn they get a
// whole share at once; without slow start, as much as the load shows too late.
func TestJoiningInRush(t *testing.T) {
	pattern := func(w *world) {
		w.from, w.until, w.coldness = fault, 2*fault, 8
		w.after(fault, func() {
			for i := range 6 {
				w.addEngine(fmt.Sprint("new-", i), "bandung").coldTill = w.now.Add(coldFor)
			}
			w.tellReplicas()
		})
		w.run(func(at float64) float64 { return 55 + min(30, at) }, nil)
	}
	Convey("Given cold endpoints that join in the rush", t, func() {
		base := play(t, "round robin", roundRobin, 2, pattern)
		noRamp := play(t, "no slow start", balanced(Config{SlowStart: 1}), 2, pattern)
		w := play(t, "balance", balanced(Config{}), 2, pattern)
		So(w.percentile(.95), ShouldBeLessThan, base.percentile(.95)/10)
		So(w.percentile(.99), ShouldBeLessThan, noRamp.percentile(.99)/2)
	})
}

// Callers get errors or wait for the timeout. Four of twelve endpoints are lost
// at 20 s: two refuse connections, two freeze. In turn a third of the attempts
// goes there for as long as the list lags, and a few calls meet three of them.
func TestThirdLost(t *testing.T) {
	pattern := func(w *world) {
		w.from = fault
		w.after(fault, func() {
			for i, e := range w.engines[:4] {
				w.strike(e, i%2 == 0)
			}
		})
		w.run(steady(50), nil)
	}
	Convey("Given a third of the endpoints lost", t, func() {
		base := play(t, "round robin", roundRobin, 2, pattern)
		w := play(t, "balance", balanced(Config{}), 2, pattern)
		t.Log("lost endpoints get nothing new after", quietAfter(fault, w.engines[:4]...), "and probes in all:",
			receivedBetween(fault+3*time.Second, runTime, w.engines[:4]...))
		So(w.percentile(.95), ShouldBeLessThan, base.percentile(.95)/4)
		So(w.failed, ShouldBeLessThanOrEqualTo, base.failed/20)
		So(quietAfter(fault, w.engines[:4]...), ShouldBeLessThan, 3*time.Second)
	})
}

// Callers wait for seconds though half of the endpoints are idle. Eight nodes
// learn the load two seconds late; sent to the least loaded by report, all of
// them swamp the same endpoint until the next report.
func TestStaleReports(t *testing.T) {
	pattern := func(w *world) {
		w.reportLag = 2 * time.Second
		w.run(steady(80), nil)
	}
	Convey("Given load reports that lag", t, func() {
		base := play(t, "round robin", roundRobin, 8, pattern)
		herd := play(t, "least reported", leastReported, 8, pattern)
		w := play(t, "balance", balanced(Config{}), 8, pattern)
		So(w.percentile(.95), ShouldBeLessThan, herd.percentile(.95)/10)
		So(w.percentile(.95), ShouldBeLessThan, base.percentile(.95)*11/10)
	})
}

// Callers lose an attempt on an endpoint that refuses as it shuts down, and in
// turn it is sent a twelfth of all for as long as the list lags. Its first
// refusal is word enough for the node that met it.
func TestLeavingEndpoint(t *testing.T) {
	pattern := func(w *world) {
		w.after(fault, func() { w.engines[5].leaving = true })
		w.run(steady(60), nil)
	}
	Convey("Given an endpoint that shuts down", t, func() {
		base := play(t, "round robin", roundRobin, 2, pattern)
		w := play(t, "balance", balanced(Config{}), 2, pattern)
		t.Log("leaving endpoint gets nothing new after", quietAfter(fault, w.engines[5]))
		So(receivedBetween(fault, runTime, w.engines[5]), ShouldBeLessThanOrEqualTo, 2)
		So(receivedBetween(fault, runTime, base.engines[5]), ShouldBeGreaterThan, 100)
	})
}

// Callers of one domain pay for the link of 80 ms. In turn half of the calls
// cross it though the near endpoints have room. When the rush exceeds the near
// ones, those alone drown, and only the surplus should cross.
func TestTwoDomains(t *testing.T) {
	domains := []string{"bandung", "bekasi"}
	nearOnly := baseline(func(p *policy, _ Query) Replica { return p.inTurn(6) })
	for _, c := range []struct {
		name string
		rate float64
		most float64 // share that crosses
	}{{"half the near capacity", 24, 0.01}, {"1.3 of the near capacity", 62, 0.4}} {
		pattern := func(w *world) {
			w.farLink = 80 * time.Millisecond
			w.run(steady(c.rate), nil)
		}
		Convey("Given two failure domains at "+c.name, t, func() {
			base := play(t, "round robin", roundRobin, 2, pattern, domains...)
			near := play(t, "near only", nearOnly, 2, pattern, domains...)
			w := play(t, "balance", balanced(Config{}), 2, pattern, domains...)
			crossed := float64(receivedBetween(0, runTime, w.engines[6:]...)) / float64(w.arrived)
			t.Logf("share that crosses: %.3f", crossed)
			So(crossed, ShouldBeLessThan, c.most)
			So(slices.Max(w.delays), ShouldBeLessThanOrEqualTo, max(near.percentile(.99), base.percentile(.99)))
			So(w.percentile(.5), ShouldBeLessThanOrEqualTo, 200*time.Millisecond)
		})
	}
}

// Callers get errors though another domain is whole. All near endpoints refuse
// connections from 20 s on; each must be found dead once, and then the requests
// must cross without trying the near ones first.
func TestNearDomainLost(t *testing.T) {
	pattern := func(w *world) {
		w.from, w.farLink = fault, 80*time.Millisecond
		w.after(fault, func() {
			for _, e := range w.engines[:6] {
				w.strike(e, false)
			}
		})
		w.run(steady(30), nil)
	}
	Convey("Given all endpoints of the near domain lost", t, func() {
		base := play(t, "round robin", roundRobin, 2, pattern, "bandung", "bekasi")
		w := play(t, "balance", balanced(Config{}), 2, pattern, "bandung", "bekasi")
		t.Log("lost endpoints get nothing new after", quietAfter(fault, w.engines[:6]...))
		So(w.failed, ShouldBeLessThanOrEqualTo, base.failed/10)
		So(quietAfter(fault, w.engines[:6]...), ShouldBeLessThan, 2*time.Second)
		So(receivedBetween(fault, runTime, w.engines[:6]...), ShouldBeLessThan, receivedBetween(fault, runTime, base.engines[:6]...)/8)
	})
}

// Callers wait if subsets leave some replicas with more nodes than others: 12
// nodes before 52 replicas, each node with its own 13 or so. Told of its peers
// a node loses little against one that uses all; alone it overloads some.
func TestSubsetServes(t *testing.T) {
	Convey("Given subsets of a quarter of the replicas", t, func() {
		var peers []string
		for i := range 12 {
			peers = append(peers, fmt.Sprint("vm-", i))
		}
		told := func(node int) *policy {
			p := balanced(Config{SubsetSize: 16})(node)
			p.SetPeers(epoch, peers)
			return p
		}
		p95 := func(name string, make func(int) *policy) time.Duration {
			w := newWorld(12, make, 52, "bandung")
			return playOn(t, name, w, func(w *world) { w.run(steady(312), nil) }).percentile(.95)
		}
		base, all := p95("round robin", roundRobin), p95("balance, all", balanced(Config{}))
		alone, withPeers := p95("balance, alone", balanced(Config{SubsetSize: 16})), p95("balance, with peers", told)
		So(withPeers, ShouldBeLessThan, base)
		So(withPeers, ShouldBeLessThan, all)
		So(withPeers, ShouldBeLessThan, alone*2/3)
	})
}
