package stream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadatack/cicadatack/route/engineclient"
	standin "github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/engineapi"
	. "github.com/smartystreets/goconvey/convey"
)

// waitUntil returns when the condition holds. Only the timeout of go test bounds it.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// Without probes along the chain, the caller waits for the whole first-token timeout if
// the link between two stages drops all packets without a reset. Both stages still answer
// the node's direct calls. The link fails before the stream is opened, or during prefill.
func TestLinkLostBeforeFirstToken(t *testing.T) {
	linkLost := standin.Faults{CutNext: true}
	cases := map[string]func(f *fleet){
		"before the open": func(f *fleet) { f.chains[0][0].Engine.SetFaults(linkLost) },
		"during the prompt": func(f *fleet) {
			f.chains[0][0].Engine.SetFaults(standin.Faults{Busy: true})
			go func() {
				waitUntil(func() bool { return f.chains[0][1].Engine.Running() > 0 })
				f.chains[0][0].Engine.SetFaults(linkLost)
			}()
		},
	}
	for name, loseLink := range cases {
		Convey(name, t, func() {
			f := newFleet(t, 2, fastEngine, Options{})
			defer f.stop()
			_, _, err := f.collect(context.Background(), request("before"), nil)
			So(err, ShouldBeNil)
			loseLink(f)
			req := request("lost")
			answer, summary, err := f.collect(context.Background(), req, nil)
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, expectedAnswer(req))
			So(summary.Recoveries[0].Cause, ShouldEqual, EndNoFirstToken)
			So(summary.Recoveries[0].DetectionTime, ShouldBeLessThan, DefaultFirstTokenTimeout/2)
		})
	}
}

// A stream must stay on a healthy chain that is busy. In one case the first engine works
// on a long prompt, in the other the stream waits for a slot. Both engines answer probes
// for longer than the timeout, so the chain must not count as unresponsive.
func TestBusyChainIsKept(t *testing.T) {
	testBusyChainIsKept(t, 0)
}

// A stream must stay on a busy chain whose first probe replies take more than half of the timeout,
// as each stage of it waits for CPU time. Nothing is known yet of how fast the chain replies.
func TestBusyChainWithSlowProbeRepliesIsKept(t *testing.T) {
	testBusyChainIsKept(t, 300*time.Millisecond)
}

func testBusyChainIsKept(t *testing.T, probeDelay time.Duration) {
	const minTimeout, probeCount = time.Second, 6
	busy := standin.Faults{Busy: true, ProbeDelay: probeDelay}
	for name, slots := range map[string]int{"long prompt": 2, "queue": 1} {
		Convey(name, t, func() {
			cfg := standin.Config{Slots: slots, Queue: 1}
			f := newFleet(t, 2, cfg, Options{MinStallTimeout: minTimeout})
			defer f.stop()
			first := f.chains[0][0].Engine
			first.SetFaults(busy)
			f.chains[0][1].Engine.SetFaults(standin.Faults{ProbeDelay: probeDelay})
			occupantCtx, cancelOccupant := context.WithCancel(context.Background())
			defer cancelOccupant()
			go f.collect(occupantCtx, request("occupant"), nil)
			waitUntil(func() bool { return first.Running() == 1 })
			go func() {
				probesBefore := first.Stats().Ways
				waitUntil(func() bool { return first.Stats().Ways >= probesBefore+probeCount })
				cancelOccupant()
				first.SetFaults(standin.Faults{})
			}()
			req := request("patient")
			answer, summary, err := f.collect(context.Background(), req, nil)
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, expectedAnswer(req))
			So(summary.Epochs, ShouldEqual, 1)
		})
	}
}

// If engines do not support probes along the chain, the node calls each stage directly.
// These calls must still detect a frozen stage.
func TestEnginesWithoutChainProbe(t *testing.T) {
	Convey("A frozen stage is detected by a direct call", t, func() {
		cfg := fastEngine
		cfg.NoWay = true
		f := newFleet(t, 2, cfg, Options{})
		defer f.stop()
		_, _, err := f.collect(context.Background(), request("before"), nil)
		So(err, ShouldBeNil)
		f.chains[0][1].Engine.SetFaults(standin.Faults{Freeze: true})
		req := request("frozen")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Recoveries[0].DetectionTime, ShouldBeLessThan, DefaultFirstTokenTimeout/2)
	})
	Convey("A busy stage that answers direct calls is kept", t, func() {
		const minTimeout, reportCount = time.Second, 6
		f := newFleet(t, 2, standin.Config{NoWay: true}, Options{MinStallTimeout: minTimeout})
		defer f.stop()
		first := f.chains[0][0].Engine
		first.SetFaults(standin.Faults{Busy: true})
		go func() {
			waitUntil(func() bool { return first.Running() == 1 })
			reportsBefore := first.Stats().Holdings
			waitUntil(func() bool { return first.Stats().Holdings >= reportsBefore+reportCount })
			first.SetFaults(standin.Faults{})
		}()
		req := request("busy")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Epochs, ShouldEqual, 1)
	})
}

// probeTransport decides for the n-th probe, counted from one, whether it is answered
// (true) or lost.
type probeTransport func(probe int) bool

func (a probeTransport) client() *engineclient.Client {
	probes := 0
	return engineclient.New(roundTripFunc(func(r *http.Request) (*http.Response, error) {
		probes++
		if !a(probes) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		body := io.NopCloser(strings.NewReader(`{"holdings":[{"model":"toy","first":0,"last":7,"placement_version":1}]}`))
		return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
	}))
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// If one missing reply of a busy stage made its chain unresponsive, streams would leave a
// healthy chain. A chain must count as unresponsive only after a whole timeout without any
// reply, and each reply must restart the timeout.
func TestProbeTimeout(t *testing.T) {
	chain := Chain{Replica: "r", PlacementVersion: 1, Stages: []engineapi.Stage{{Endpoint: "e", Address: "e", First: 0, Last: 7}}}
	// unresponsiveAfter checks the chain at each check interval until the chain counts as
	// unresponsive, or for a minute. The result is how long the checks took.
	unresponsiveAfter := func(t *testing.T, isLost func(probe int) bool, doublings int) time.Duration {
		var elapsed time.Duration
		synctest.Test(t, func(t *testing.T) {
			client := probeTransport(func(probe int) bool { return !isLost(probe) }).client()
			c := newChainProber(client, newReportChecker(client, Options{}.withDefaults()), DefaultMinStallTimeout)
			start := time.Now()
			for !c.unresponsive(testModel, chain, start, doublings) && time.Since(start) < time.Minute {
				time.Sleep(c.checkInterval())
				synctest.Wait()
			}
			elapsed = time.Since(start)
			time.Sleep(probeTimeoutFactor * DefaultMinStallTimeout) // lets pending probes end
		})
		return elapsed
	}
	Convey("No reply at all", t, func() {
		So(unresponsiveAfter(t, func(int) bool { return true }, 0), ShouldEqual, DefaultMinStallTimeout)
	})
	Convey("Every second reply lost", t, func() {
		So(unresponsiveAfter(t, func(probe int) bool { return probe%2 == 0 }, 0), ShouldBeGreaterThanOrEqualTo, time.Minute)
	})
	Convey("No reply after the first ten", t, func() {
		So(unresponsiveAfter(t, func(probe int) bool { return probe > 10 }, 0), ShouldEqual, time.Second+DefaultMinStallTimeout)
	})
	Convey("The timeout doubles after another chain was unresponsive", t, func() {
		So(unresponsiveAfter(t, func(int) bool { return true }, 1), ShouldEqual, 2*DefaultMinStallTimeout)
	})
}

// While tokens of other streams arrive from a chain, no probes are sent. When the chain
// fails, these tokens stop too, and the failure must still be detected within the timeout:
// exactly two probes are sent without a reply before the chain counts as unresponsive.
func TestTokensCountAsProbeReplies(t *testing.T) {
	const gap, tokens = 40 * time.Millisecond, 50
	chain := Chain{Replica: "r", PlacementVersion: 1, Stages: []engineapi.Stage{{Endpoint: "e", Address: "e", First: 0, Last: 7}}}
	Convey("Tokens arrive for two seconds, then nothing", t, func() {
		var probesDuringTokens, probesAfterLoss int
		var detection time.Duration
		synctest.Test(t, func(t *testing.T) {
			probes := 0
			client := probeTransport(func(probe int) bool { probes = probe; return false }).client()
			c := newChainProber(client, newReportChecker(client, Options{}.withDefaults()), DefaultMinStallTimeout)
			start := time.Now()
			lastTokenAt := start
			for !c.unresponsive(testModel, chain, start, 0) && time.Since(start) < time.Minute {
				time.Sleep(c.checkInterval())
				synctest.Wait()
				if now := time.Now(); now.Sub(lastTokenAt) >= gap && now.Sub(start) < gap*tokens {
					c.recordActivity(chain, now)
					lastTokenAt, probesDuringTokens = now, probes
				}
			}
			detection = time.Since(lastTokenAt)
			probesAfterLoss = probes - probesDuringTokens
			time.Sleep(probeTimeoutFactor * DefaultMinStallTimeout) // lets pending probes end
		})
		So(probesDuringTokens, ShouldEqual, 0)
		So(probesAfterLoss, ShouldEqual, 2)
		So(detection, ShouldEqual, DefaultMinStallTimeout)
	})
}
