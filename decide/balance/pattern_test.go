package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/decide/health"
)

// Each test runs the same calls through the Balancer and through a baseline and
// asserts the margin between them; the baseline must miss the bound.

type policies map[string]func(node int) policy

func balanced(cfg Config) func(int) policy {
	return func(node int) policy {
		c := cfg
		c.Node, c.Seed = fmt.Sprint("vm-", node), uint64(node+1)
		if c.FailureDomain == "" {
			c.FailureDomain = "bandung"
		}
		return New(c)
	}
}

func inTurn(node int) policy { return &roundRobin{next: node * 5} }

func byReport(int) policy { return &leastReported{load: map[string]int{}} }

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// simulate runs a pattern with one kind of policy on all nodes.
func simulate(t *testing.T, name string, make func(int) policy, nodes int, pattern func(*world)) *world {
	w := newWorld(12, "bandung")
	w.nodes = nil
	for i := range nodes {
		w.addNode(make(i))
	}
	pattern(w)
	t.Logf("%-28s p50 %6v  p95 %6v  p99 %6v  answered %d  failed %d", name,
		w.percentile(.5).Round(time.Millisecond), w.percentile(.95).Round(time.Millisecond),
		w.percentile(.99).Round(time.Millisecond), len(w.delays), w.failed)
	return w
}

func TestSteady(t *testing.T) {
	for _, nodes := range []int{1, 2, 8, 24} {
		for _, rate := range []float64{60, 75, 85} {
			simulate(t, fmt.Sprint("rr", nodes, " ", rate), inTurn, nodes, func(w *world) { w.arrivals(steady(rate), nil, time.Minute) })
			simulate(t, fmt.Sprint("bal", nodes, " ", rate), balanced(Config{}), nodes, func(w *world) { w.arrivals(steady(rate), nil, time.Minute) })
		}
	}
}

// The caller of one endpoint in twelve waits many times longer than the others.
// The endpoint turns six times slower at 20 s; in turn it is sent more than it
// can carry, so its queue grows for as long as it lasts.
func TestSlowEndpoint(t *testing.T) {
	pattern := func(w *world) {
		w.after(20*time.Second, func() { w.engines[3].slow = 6 })
		w.arrivals(steady(60), nil, time.Minute)
	}
	Convey("Given an endpoint that turns slow", t, func() {
		base := simulate(t, "round robin", inTurn, 2, pattern)
		w := simulate(t, "balance", balanced(Config{}), 2, pattern)
		So(w.percentile(.95), ShouldBeLessThan, base.percentile(.95)/4)
		So(receivedAfter(epoch.Add(25*time.Second), w.engines[3]), ShouldBeLessThan, receivedAfter(epoch.Add(25*time.Second), base.engines[3])/10)
		t.Log("slow endpoint after 25 s:", receivedAfter(epoch.Add(25*time.Second), w.engines[3]), receivedAfter(epoch.Add(25*time.Second), base.engines[3]))
	})
}

// A third of the calls has one prompt prefix, the others one of sixty. A cached
// prefix saves most of the work before the first token. In turn each endpoint
// sees every prefix and its cache holds few; by hash alone one endpoint gets
// the hot one and drowns.
func TestHotPrefix(t *testing.T) {
	prefix := func(r *rand.Rand) uint64 {
		if r.Float64() < 0.33 {
			return 1000
		}
		return 1 + r.Uint64N(60)
	}
	pattern := func(w *world) {
		w.prefill, w.cachedPrefill = 600*time.Millisecond, 60*time.Millisecond
		w.arrivals(steady(70), prefix, time.Minute)
	}
	Convey("Given a hot prefix", t, func() {
		base := simulate(t, "round robin", inTurn, 2, pattern)
		byHash := simulate(t, "hash without bound", func(int) policy { return &hashed{} }, 2, pattern)
		w := simulate(t, "balance", balanced(Config{}), 2, pattern)
		_, _, _ = base, byHash, w
	})
}

// New endpoints join in the dawn rush, cold: four times slower for their first
// 20 s. In turn they get a whole share at once, and those callers wait.
func TestJoiningInRush(t *testing.T) {
	pattern := func(w *world) {
		w.after(20*time.Second, func() {
			for i := range 6 {
				w.addEngine(fmt.Sprint("new-", i), "bandung").coldTill = w.now.Add(20 * time.Second)
			}
			for _, n := range w.nodes {
				n.SetReplicas(w.now, w.replicas())
			}
		})
		w.arrivals(func(at time.Duration) float64 { return 70 + min(30, at.Seconds()) }, nil, time.Minute)
	}
	Convey("Given endpoints that join in the rush", t, func() {
		base := simulate(t, "round robin", inTurn, 2, pattern)
		fast := simulate(t, "no slow start", balanced(Config{SlowStart: 1}), 2, pattern)
		w := simulate(t, "balance", balanced(Config{}), 2, pattern)
		_, _, _ = base, fast, w
	})
}

// Four of twelve endpoints are lost at 20 s: two refuse connections, two freeze
// and answer nothing. In turn a third of the attempts go there for as long as
// the list lags, and every frozen one costs its caller the timeout.
func TestThirdLost(t *testing.T) {
	pattern := func(w *world) {
		w.after(20*time.Second, func() {
			for i, e := range w.engines[:4] {
				w.strike(e, i%2 == 0)
			}
		})
		w.arrivals(steady(50), nil, time.Minute)
	}
	Convey("Given a third of the endpoints lost", t, func() {
		base := simulate(t, "round robin", inTurn, 2, pattern)
		w := simulate(t, "balance", balanced(Config{}), 2, pattern)
		_, _ = base, w
		for s := 20; s < 40; s += 2 {
			at := epoch.Add(time.Duration(s) * time.Second)
			t.Log(s, receivedAfter(at, w.engines[:4]...)-receivedAfter(at.Add(2*time.Second), w.engines[:4]...), receivedAfter(at, base.engines[:4]...)-receivedAfter(at.Add(2*time.Second), base.engines[:4]...))
		}
	})
}

// Eight nodes learn each endpoint's load two seconds late. Sent to the least
// loaded by report, all of them swamp the same endpoint until the next report.
func TestStaleReports(t *testing.T) {
	pattern := func(w *world) {
		w.reportLag = 2 * time.Second
		w.arrivals(steady(80), nil, time.Minute)
	}
	Convey("Given load reports that lag", t, func() {
		base := simulate(t, "round robin", inTurn, 8, pattern)
		herd := simulate(t, "least reported", byReport, 8, pattern)
		w := simulate(t, "balance", balanced(Config{}), 8, pattern)
		_, _, _ = base, herd, w
	})
}

// An endpoint shuts down at 20 s; the platform's list says so 10 s later.
func TestLeaving(t *testing.T) {
	pattern := func(w *world) {
		w.after(20*time.Second, func() { w.engines[5].leaving = true })
		w.arrivals(steady(60), nil, time.Minute)
	}
	Convey("Given a leaving endpoint", t, func() {
		base := simulate(t, "round robin", inTurn, 2, pattern)
		w := simulate(t, "balance", balanced(Config{}), 2, pattern)
		_, _ = base, w
		t.Log(receivedAfter(epoch.Add(20*time.Second), w.engines[5]), receivedAfter(epoch.Add(20*time.Second), base.engines[5]))
	})
}

var _ = health.None
