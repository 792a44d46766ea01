package stream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	standin "github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/engineapi"
	. "github.com/smartystreets/goconvey/convey"
)

var fastEngine = standin.Config{Step: time.Millisecond, Slots: 256}

// failAt is the position of the token before which a chain is made to fail.
const failAt = 5

func injectFaults(stage int, faults standin.Faults) func(*fleet) {
	return func(f *fleet) { f.chains[0][stage].Engine.SetFaults(faults) }
}

func layer(n int) *int { return &n }

// A chain fails in the middle of an answer. The runner detects the failure by the
// connection, by the stall timeout or by the token check. The runner resumes on the second chain
// after the last delivered token. A token that is delivered twice, missing or computed
// with the wrong layers would change the answer's bytes.
func TestChainFailsPartway(t *testing.T) {
	cases := []struct {
		name   string
		fail   func(*fleet)
		end    End
		reason Reason
	}{
		{"first stage killed", func(f *fleet) { f.chains[0][0].Kill() }, EndConnectionLost, Accepted},
		{"second stage killed", func(f *fleet) { f.chains[0][1].Kill() }, EndConnectionLost, Accepted},
		{"first stage frozen", injectFaults(0, standin.Faults{Freeze: true}), EndStalled, Accepted},
		{"second stage frozen", injectFaults(1, standin.Faults{Freeze: true}), EndStalled, Accepted},
		{"connections of the node closed", func(f *fleet) { f.chains[0][0].CutConnections() }, EndConnectionLost, Accepted},
		{"link between stages lost", injectFaults(0, standin.Faults{CutNext: true}), EndStalled, Accepted},
		{"second stage slow", injectFaults(1, standin.Faults{Slow: 5000}), EndStalled, Accepted},
		{"skipped layer", injectFaults(1, standin.Faults{SkipLayer: layer(6)}), EndInvalidToken, SkippedLayer},
		{"last layer skipped", injectFaults(1, standin.Faults{SkipLayer: layer(7)}), EndInvalidToken, SkippedLayer},
		{"repeated layer", injectFaults(0, standin.Faults{RepeatLayer: layer(2)}), EndInvalidToken, RepeatedLayer},
		{"wrong stream", injectFaults(0, standin.Faults{WrongStream: true}), EndInvalidToken, WrongPosition},
		{"wrong position", injectFaults(0, standin.Faults{WrongPosition: true}), EndInvalidToken, WrongPosition},
		{"[DONE] before the closing event", injectFaults(0, standin.Faults{EarlyDone: failAt + 2}), EndConnectionLost, Accepted},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			f := newFleet(t, 2, fastEngine, Options{})
			defer f.stop()
			req := request(c.name)
			answer, summary, err := f.collect(context.Background(), req, func(position int) {
				if position == failAt {
					c.fail(f)
				}
			})
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, expectedAnswer(req))
			So(summary.Outcome, ShouldEqual, OutcomeDone)
			So(summary.Epochs, ShouldEqual, 2)
			So(summary.Recoveries[0].Cause, ShouldEqual, c.end)
			So(summary.Recoveries[0].Reason, ShouldEqual, c.reason)
		})
	}
}

// An epoch must report to the Chooser only the load report in its closing event. Load
// reports also come with some tokens and give their age at the time of sending. At the end
// of a failed epoch, such a report would be taken for newer than it is, and requests would
// be routed by outdated load.
func TestFailedEpochReportsNoLoad(t *testing.T) {
	Convey("One chain is killed during the answer, the other completes it", t, func() {
		f := newFleet(t, 2, fastEngine, Options{})
		defer f.stop()
		_, _, err := f.collect(context.Background(), request("load"), func(position int) {
			if position == failAt {
				f.chains[0][0].Kill()
			}
		})
		So(err, ShouldBeNil)
		So(f.results[0].End, ShouldEqual, EndConnectionLost)
		So(f.results[0].Load, ShouldBeNil)
		So(f.results[1].Load, ShouldNotBeNil)
	})
}

// Two of three chains get a fault during one answer, and the answer must be complete and
// unchanged. Each trial draws the fault, the stage and the position at random. In some
// trials both faults occur at the same time, in others one after the other, before the
// first token or at the last token.
func TestTwoChainsFailAtRandom(t *testing.T) {
	faults := []func(*standin.Server){
		func(srv *standin.Server) { srv.Kill() },
		func(srv *standin.Server) { srv.CutConnections() },
		setFaults(standin.Faults{Freeze: true}),
		setFaults(standin.Faults{CutNext: true}),
		setFaults(standin.Faults{Slow: 5000}),
		setFaults(standin.Faults{SkipLayer: layer(1), RepeatLayer: layer(5)}),
		setFaults(standin.Faults{WrongStream: true}),
		setFaults(standin.Faults{WrongPosition: true}),
		setFaults(standin.Faults{LateTokens: 3, IgnoreCancel: true}),
		setFaults(standin.Faults{Drain: true}),
	}
	const trials, concurrency = 60, 6
	Convey("The answer is complete whatever fails", t, func() {
		var wg sync.WaitGroup
		semaphore := make(chan struct{}, concurrency)
		for trial := range trials {
			semaphore <- struct{}{}
			wg.Go(func() {
				defer func() { <-semaphore }()
				failAtRandom(t, rand.New(rand.NewPCG(uint64(trial), 0)), faults)
			})
		}
		wg.Wait()
	})
}

func setFaults(faults standin.Faults) func(*standin.Server) {
	return func(srv *standin.Server) { srv.Engine.SetFaults(faults) }
}

func failAtRandom(t *testing.T, draw *rand.Rand, faults []func(*standin.Server)) {
	f := newFleet(t, 3, fastEngine, Options{})
	defer f.stop()
	type plannedFault struct{ position, chain, stage, fault int }
	var plannedFaults []plannedFault
	for chain := range 2 {
		plannedFaults = append(plannedFaults, plannedFault{draw.IntN(testTokens+1) - 1, chain, draw.IntN(2), draw.IntN(len(faults))})
	}
	inject := func(position int) {
		for _, e := range plannedFaults {
			if e.position == position {
				faults[e.fault](f.chains[e.chain][e.stage])
			}
		}
	}
	req := request("random")
	req.FirstTokenTimeout = time.Second
	inject(-1) // before the request
	answer, summary, err := f.collect(context.Background(), req, inject)
	if err != nil || answer != expectedAnswer(req) || summary.Outcome != OutcomeDone {
		t.Errorf("%v: %v, %q, %+v", plannedFaults, err, answer, summary)
	}
}

// Tokens of an old epoch must not be delivered in a new epoch. The first chain fails at
// token 5. The second chain's engine then mixes tokens of the old epoch into the stream, at
// the expected position, so only their epoch number shows that they are old.
func TestLateTokensOfAnOldEpoch(t *testing.T) {
	Convey("Late tokens are dropped and counted", t, func() {
		f := newFleet(t, 2, fastEngine, Options{})
		defer f.stop()
		f.chains[1][0].Engine.SetFaults(standin.Faults{LateTokens: 2})
		req := request("late")
		answer, summary, err := f.collect(context.Background(), req, func(position int) {
			if position == failAt {
				f.chains[0][1].Kill()
			}
		})
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.StrayTokens, ShouldBeGreaterThanOrEqualTo, 2*(testTokens-failAt-1))
		So(f.runner.StrayTokens(), ShouldEqual, summary.StrayTokens)
	})
	Convey("A chain that sends too many late tokens is abandoned", t, func() {
		f := newFleet(t, 3, fastEngine, Options{})
		defer f.stop()
		f.chains[1][0].Engine.SetFaults(standin.Faults{LateTokens: 2 * maxStray})
		req := request("flood")
		answer, summary, err := f.collect(context.Background(), req, func(position int) {
			if position == failAt {
				f.chains[0][1].Kill()
			}
		})
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Recoveries[1].Reason, ShouldEqual, OldEpoch)
	})
}

// The cancel of an old epoch must not end the new epoch if both chains share their first
// engine. The second stage of the first chain fails, and the cancel reaches the shared
// engine while the new epoch runs there.
func TestChainsShareAStage(t *testing.T) {
	Convey("The cancel of the old epoch does not end the new one", t, func() {
		f := newFleet(t, 2, fastEngine, Options{})
		defer f.stop()
		replacedStage := f.chains[1][0]
		defer replacedStage.Close()
		f.chains[1][0] = f.chains[0][0]
		req := request("shared")
		req.Chat.MaxTokens = 100
		answer, summary, err := f.collect(context.Background(), req, func(position int) {
			if position == failAt {
				f.chains[0][1].Kill()
			}
		})
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Epochs, ShouldEqual, 2)
	})
}

// If a stage turns slow but never exceeds the stall timeout, the stream must move to
// another chain once. Without the change, the answer would stay slow to its end. If there is no
// other chain, the stream must stay.
func TestStreamLeavesSlowChain(t *testing.T) {
	for _, chains := range []int{1, 2} {
		Convey(fmt.Sprint("Number of chains: ", chains), t, func() {
			f := newFleet(t, chains, fastEngine, Options{})
			defer f.stop()
			req := request("crawl")
			req.Chat.MaxTokens = 80
			var startedAt time.Time
			slow := 60 * time.Millisecond
			answer, summary, err := f.collect(context.Background(), req, func(position int) {
				switch position {
				case 1:
					startedAt = time.Now()
				case slowWindowTokens:
					// Only gaps above slowFactor times the baseline gap count as
					// slow. On a busy machine the baseline gap is long, so the
					// injected gap grows with the mean gap measured here.
					slow = max(slow, 3*slowFactor*time.Since(startedAt)/slowWindowTokens)
				case 2 * slowWindowTokens:
					f.chains[0][1].Engine.SetFaults(standin.Faults{SlowPerToken: slow})
				}
			})
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, expectedAnswer(req))
			So(summary.Epochs, ShouldEqual, chains)
			if chains == 2 {
				So(summary.Recoveries[0].Cause, ShouldEqual, EndSlow)
			}
		})
	}
}

// During a rollout the first chains do not match the plan. An attempt on such a chain runs
// nothing and must not count against MaxExecutions. Otherwise the request would fail
// before it reaches a chain that matches.
func TestMismatchesDoNotUseUpExecutions(t *testing.T) {
	Convey("Chains that ran nothing count against MaxAttempts only", t, func() {
		f := newFleet(t, 4, fastEngine, Options{MaxExecutions: 1, MaxAttempts: 4})
		defer f.stop()
		for _, chain := range f.chains[:3] {
			So(chain[0].Engine.Order(engineapi.Order{Model: testModel, First: 0, Last: 3, PlacementVersion: 2}), ShouldBeNil)
		}
		req := request("rollout")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Epochs, ShouldEqual, 4)
	})
}

// After a pause of the node, all its timers fire late and at once, while tokens are still
// unread. If the watchdog did not wait for one more timeout, every stream would abandon
// its chain.
func TestWatchdogWaitsAgainAfterNodePause(t *testing.T) {
	Convey("A late timer extends the wait once", t, func() {
		w := newWatchdog(func(error) {})
		defer w.disarm()
		w.arm(time.Hour)
		_, timedOut := w.expired(w.expiresAt.Add(-time.Second))
		So(timedOut, ShouldBeFalse)
		_, timedOut = w.expired(w.expiresAt.Add(2 * maxTimerDelay))
		So(timedOut, ShouldBeFalse)
		_, timedOut = w.expired(w.expiresAt.Add(2 * maxTimerDelay))
		So(timedOut, ShouldBeTrue)
		w.arm(time.Hour)
		_, timedOut = w.expired(w.expiresAt.Add(maxTimerDelay / 2))
		So(timedOut, ShouldBeTrue)
	})
}

// A request must not be answered by an engine that holds other layers than the plan says.
// The engine ignores fencing numbers and has accepted an old order. Before the
// request is sent, the engine's report shows the other layers. If an earlier report is still
// cached, the spans show the other layers.
func TestEngineHoldsOtherLayers(t *testing.T) {
	old := engineapi.Order{Model: testModel, First: 0, Last: testLayers/2 - 1, PlacementVersion: 0}
	Convey("Before the first use the report does not match", t, func() {
		f := newFleet(t, 2, fastEngine, Options{})
		defer f.stop()
		So(f.chains[0][1].Engine.Order(old), ShouldBeNil)
		req := request("holding")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(f.results[0].End, ShouldEqual, EndMismatch)
		So(f.results[0].NotRun, ShouldBeTrue)
		So(f.chains[0][0].Engine.Stats().Steps, ShouldEqual, 0)
		So(summary.Epochs, ShouldEqual, 2)
	})
	Convey("While the old report is cached the spans show the wrong layers", t, func() {
		f := newFleet(t, 2, fastEngine, Options{})
		defer f.stop()
		_, _, err := f.collect(context.Background(), request("before"), nil)
		So(err, ShouldBeNil)
		So(f.chains[0][1].Engine.Order(old), ShouldBeNil)
		req := request("after")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Recoveries[0].Reason, ShouldEqual, RepeatedLayer)
	})
	Convey("A new placement version is checked at once", t, func() {
		f := newFleet(t, 1, fastEngine, Options{})
		defer f.stop()
		_, _, err := f.collect(context.Background(), request("before"), nil)
		So(err, ShouldBeNil)
		newer := f.chain(0)
		newer.PlacementVersion = 2
		err = f.runner.reports.verify(context.Background(), testModel, testLayers, newer, time.Time{})
		So(errors.Is(err, errMismatch), ShouldBeTrue)
	})
}

// Without probes, a stage that is frozen before the first token looks like a long prefill,
// and the caller waits for the whole first-token timeout. A stage in prefill answers
// probes, a frozen stage does not.
func TestFrozenBeforeFirstToken(t *testing.T) {
	Convey("A frozen stage is detected long before the first-token timeout", t, func() {
		f := newFleet(t, 2, fastEngine, Options{})
		defer f.stop()
		_, _, err := f.collect(context.Background(), request("before"), nil)
		So(err, ShouldBeNil)
		f.chains[0][1].Engine.SetFaults(standin.Faults{Freeze: true})
		req := request("frozen")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Recoveries[0].Cause, ShouldEqual, EndNoFirstToken)
		So(summary.Recoveries[0].DetectionTime, ShouldBeLessThan, DefaultFirstTokenTimeout/2)
	})
	Convey("A long prefill is waited for", t, func() {
		slow := fastEngine
		slow.PrefillToken = 400 * time.Millisecond
		f := newFleet(t, 1, slow, Options{MinStallTimeout: DefaultMinStallTimeout})
		defer f.stop()
		req := request("prefill")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.FirstToken, ShouldBeGreaterThan, 2*DefaultMinStallTimeout)
	})
}

// A slow accelerator whose steady token gap exceeds MinStallTimeout must not count as
// stalled. The stall timeout must adapt to the measured gaps.
func TestSlowAcceleratorIsNotStalled(t *testing.T) {
	Convey("A steady gap above MinStallTimeout is no stall", t, func() {
		f := newFleet(t, 1, standin.Config{Step: 30 * time.Millisecond}, Options{MinStallTimeout: 20 * time.Millisecond})
		defer f.stop()
		req := request("slow")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Epochs, ShouldEqual, 1)
	})
}

// When all chains fail, the reported outcome must be true. If the chains fail before the
// request is sent, no engine has run any part of the request. If they fail during the answer,
// the engines may have run a part of the request.
func TestAllChainsDead(t *testing.T) {
	kill := func(f *fleet) {
		for _, chain := range f.chains {
			chain[0].Kill()
			chain[1].Kill()
		}
	}
	Convey("Killed before the request is sent: not run", t, func() {
		f := newFleet(t, 2, fastEngine, Options{})
		defer f.stop()
		kill(f)
		answer, summary, err := f.collect(context.Background(), request("dead"), nil)
		So(errors.Is(err, ErrNoChain), ShouldBeTrue)
		So(summary.Outcome, ShouldEqual, OutcomeNotRun)
		So(answer, ShouldBeEmpty)
	})
	Convey("Killed while their reports are cached: refused connections prove not run", t, func() {
		f := newFleet(t, 1, fastEngine, Options{})
		defer f.stop()
		_, _, err := f.collect(context.Background(), request("before"), nil)
		So(err, ShouldBeNil)
		kill(f)
		// The client's idle connections are closed first. A request that the
		// client writes to such a connection, before it notices that the engine
		// has closed it, would have the outcome unknown.
		f.client.CloseIdle()
		_, summary, err := f.collect(context.Background(), request("dead"), nil)
		So(err, ShouldNotBeNil)
		So(summary.Outcome, ShouldEqual, OutcomeNotRun)
		So(summary.LastResult.End, ShouldEqual, EndUnreachable)
	})
	Convey("Killed during the answer: unknown, and a prefix of the answer was delivered", t, func() {
		f := newFleet(t, 2, fastEngine, Options{})
		defer f.stop()
		req := request("partway")
		answer, summary, err := f.collect(context.Background(), req, func(position int) {
			if position == failAt {
				kill(f)
			}
		})
		So(err, ShouldNotBeNil)
		So(summary.Outcome, ShouldEqual, OutcomeUnknown)
		So(expectedAnswer(req), ShouldStartWith, answer)
	})
}

// A request that a full chain refuses must be served by another chain. The full engine
// refuses before any work, so the attempt provably ran nothing.
func TestRefusals(t *testing.T) {
	Convey("Full and draining chains refuse new streams and finish the running ones", t, func() {
		f := newFleet(t, 2, standin.Config{Step: time.Millisecond, Slots: 1}, Options{})
		defer f.stop()
		var wg sync.WaitGroup
		defer wg.Wait()
		underway := request("underway")
		// An engine generates tokens ahead of the caller's reads. With 400 tokens, the
		// engine is still generating and holds its only slot when the second request arrives.
		underway.Chat.MaxTokens = 400
		var answer string
		var summary, other Summary
		var err, otherErr error
		wg.Go(func() {
			answer, summary, err = f.collect(context.Background(), underway, func(position int) {
				if position == failAt {
					_, other, otherErr = f.collect(context.Background(), request("other"), nil)
					f.chains[0][0].Engine.SetFaults(standin.Faults{Drain: true})
				}
			})
		})
		wg.Wait()
		So(otherErr, ShouldBeNil)
		So(other.Epochs, ShouldEqual, 2)
		So(f.results[0].Status, ShouldEqual, http.StatusTooManyRequests)
		So(f.results[0].NotRun, ShouldBeTrue)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(underway))
		So(summary.Epochs, ShouldEqual, 1)
		So(summary.LastResult.Load.Draining, ShouldBeTrue)
		_, late, err := f.collect(context.Background(), request("late"), nil)
		So(err, ShouldBeNil)
		So(late.Recoveries[0].Cause, ShouldEqual, EndRefused)
	})
}

// If the request's deadline passes while tokens arrive, the answer must end, and the chain
// must stop and free its slots.
func TestDeadline(t *testing.T) {
	Convey("The deadline ends the answer and frees the chain", t, func() {
		f := newFleet(t, 1, fastEngine, Options{})
		defer f.stop()
		req := request("deadline")
		req.Chat.MaxTokens = 100_000
		req.Deadline = time.Now().Add(100 * time.Millisecond)
		_, summary, err := f.collect(context.Background(), req, nil)
		So(errors.Is(err, ErrDeadline), ShouldBeTrue)
		So(summary.Outcome, ShouldEqual, OutcomeUnknown)
		f.waitIdle()
	})
}

// If the first chain ignores the cancel of its epoch and continues, its late tokens must
// not reach the caller. First, the Runner closes its connection to the chain when the epoch
// ends, and reads no more tokens from it. Second, TokenCheck drops each token whose epoch is
// older than the current epoch.
func TestEngineIgnoresCancel(t *testing.T) {
	Convey("A chain that ignores the cancel does not affect the answer", t, func() {
		f := newFleet(t, 2, fastEngine, Options{MinStallTimeout: 30 * time.Millisecond})
		defer f.stop()
		req := request("ignores")
		answer, summary, err := f.collect(context.Background(), req, func(position int) {
			if position == failAt {
				f.chains[0][0].Engine.SetFaults(standin.Faults{IgnoreCancel: true, SlowPerToken: 200 * time.Millisecond})
			}
		})
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Epochs, ShouldEqual, 2)
	})
}
