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

// A chain fails in the middle of an answer. The runner detects it by the connection, by
// the stall timeout or by the token check, and resumes on the second chain after the
// last delivered token. A token that is delivered twice, missing or computed with the
// wrong layers would change the answer's bytes.
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
		{"done marker before the closing event", injectFaults(0, standin.Faults{EarlyDone: failAt + 2}), EndConnectionLost, Accepted},
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

// Requests are routed to an engine by an outdated load report. Reports come with some
// tokens and give their age at the time of sending, so at the end of a failed epoch the
// last one would be taken for newer than it is. An epoch must report only the load in
// its closing event.
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

// Two of three chains fail during one answer. Fault, stage and position are drawn at
// random, so that faults occur together, one after the other, before the first token
// and at the last one. The answer must be complete and unchanged.
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
	type event struct{ position, chain, stage, fault int }
	var events []event
	for chain := range 2 {
		events = append(events, event{draw.IntN(testTokens+1) - 1, chain, draw.IntN(2), draw.IntN(len(faults))})
	}
	inject := func(position int) {
		for _, e := range events {
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
		t.Errorf("%v: %v, %q, %+v", events, err, answer, summary)
	}
}

// Tokens of an old epoch are delivered in the new one. The first chain fails at token 5,
// and the second chain's engine mixes tokens of the old epoch into the stream, at the
// expected position. Only the epoch number distinguishes them.
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
		f.chains[1][0].Engine.SetFaults(standin.Faults{LateTokens: 2 * maxStrayTokens})
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

// A cancel of the old epoch ends the new one. Both chains share their first engine, and
// the second stage of the first chain fails. The cancel reaches the shared engine while
// the new epoch runs there.
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

// An answer stays slow to its end because a stage has turned slow without exceeding the
// stall timeout. The stream must change chains once, and stay if there is no other chain.
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
					// On a busy machine the baseline gap is long, and only gaps
					// above slowFactor times the baseline are slow.
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

// A request fails during a rollout because the first chains do not match the plan. An
// attempt on such a chain runs nothing, so it must not count against MaxExecutions.
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

// After a pause of the node all its timers fire late and at once, while tokens are still
// unread. Without the excuse every stream would abandon its chain.
func TestWatchdogWaitsAgainAfterNodePause(t *testing.T) {
	Convey("A late timer is excused once", t, func() {
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

// A request runs on an engine that holds other layers than the plan says, because the
// engine ignores fencing numbers and accepted an old order. Its report shows this
// before anything is sent.
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

// A stage that is frozen before the first token looks like a long prefill, so the caller
// waits for the whole first-token timeout. Probes tell the two apart.
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

// An answer of a slow accelerator is taken for stalled because its steady gap exceeds
// MinStallTimeout. The stall timeout must adapt to the measured gaps.
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

// The reported outcome must be true when all chains fail. Nothing can have run if they
// failed before the request was sent; part of it has run if they fail during the answer.
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
		// A request that is written to a closed connection before the client
		// notices the close has the outcome unknown, so the idle connections
		// are closed first.
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

// A request to a full chain must be served by another one. The full engine refuses before
// any work, so its attempt is known not to have run.
func TestRefusals(t *testing.T) {
	Convey("Full and draining chains refuse new streams and finish the running ones", t, func() {
		f := newFleet(t, 2, standin.Config{Step: time.Millisecond, Slots: 1}, Options{})
		defer f.stop()
		var wg sync.WaitGroup
		defer wg.Wait()
		underway := request("underway")
		underway.Chat.MaxTokens = 400 // more than an engine generates ahead of the caller's reads
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

// The request's deadline passes while tokens arrive. The chain must not continue.
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

// The first chain continues after its epoch was cancelled. Its connection is closed and
// its epoch is old, so its tokens must not reach the caller.
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
