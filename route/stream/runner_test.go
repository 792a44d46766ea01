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

// failAt is the position before which a chain is made to fail.
const failAt = 5

func injectFaults(stage int, faults standin.Faults) func(*fleet) {
	return func(f *fleet) { f.chains[0][stage].Engine.SetFaults(faults) }
}

func layer(n int) *int { return &n }

// The caller sees one whole answer, byte for byte the undisturbed one. The
// first chain is made to fail when token 5 is delivered; the runner notices by
// the connection, by the wait for a token or by the check, and resumes on the
// second chain after the last token delivered. A token that was delivered
// twice, left out or made by the wrong layers would change the bytes.
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
		{"node cut off", func(f *fleet) { f.chains[0][0].CutConnections() }, EndConnectionLost, Accepted},
		{"link between stages lost", injectFaults(0, standin.Faults{CutNext: true}), EndStalled, Accepted},
		{"second stage slow", injectFaults(1, standin.Faults{Slow: 5000}), EndStalled, Accepted},
		{"skipped layer", injectFaults(1, standin.Faults{SkipLayer: layer(6)}), EndInvalidToken, SkippedLayer},
		{"last layer skipped", injectFaults(1, standin.Faults{SkipLayer: layer(7)}), EndInvalidToken, SkippedLayer},
		{"repeated layer", injectFaults(0, standin.Faults{RepeatLayer: layer(2)}), EndInvalidToken, RepeatedLayer},
		{"wrong stream", injectFaults(0, standin.Faults{WrongStream: true}), EndInvalidToken, WrongPosition},
		{"wrong position", injectFaults(0, standin.Faults{WrongPosition: true}), EndInvalidToken, WrongPosition},
		{"marker before the end", injectFaults(0, standin.Faults{EarlyDone: failAt + 2}), EndConnectionLost, Accepted},
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

// Callers are sent to an engine that looked idle a minute ago. Reports come with
// tokens now and then and are passed on with these; at the end of an epoch that was
// cut off the last one is old, and its age counts from when it was sent. So an epoch
// tells only of the report that closes its answer.
func TestFailedEpochReportsNoLoad(t *testing.T) {
	Convey("A chain that is killed partway and one that ends its answer", t, func() {
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

// The caller sees the undisturbed answer. Two of three chains fail, each with
// a fault, on a stage and at a position drawn at random, so that faults come
// together, one after the other, before the first token and at the last one.
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
	const trials, atOnce = 60, 6
	Convey("Whatever fails, the answer is whole", t, func() {
		var wg sync.WaitGroup
		semaphore := make(chan struct{}, atOnce)
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

// The caller sees the undisturbed answer. The first chain dies at token 5; the
// engine of the second mixes tokens of the old epoch into the new one's, at
// the position that is due. Only the epoch tells them from the true ones.
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
	Convey("A chain that brings nothing but late tokens is given up", t, func() {
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

// The caller sees the undisturbed answer. Both chains begin with the same
// engine; the second stage of the first dies. The cancel of the old epoch
// reaches the shared engine while the new epoch runs there, and must spare it.
func TestChainsShareAStage(t *testing.T) {
	Convey("A cancel of the old epoch spares the new one", t, func() {
		f := newFleet(t, 2, fastEngine, Options{})
		defer f.stop()
		own := f.chains[1][0]
		defer own.Close()
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

// The caller sees the undisturbed answer, and not at the pace of a stage that
// turned slow but never stops for long enough to count as stalled. The stream
// moves once; without another chain it stays where it is.
func TestSlowChainIsLeft(t *testing.T) {
	for _, chains := range []int{1, 2} {
		Convey(fmt.Sprint("With chains: ", chains), t, func() {
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
					// On a busy machine the usual gap is long, and only more than
					// slowFactor times it is slow.
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

// The caller sees an answer although more chains than epochs are allowed hold
// something else, as while a new plan is carried out: trying them runs nothing.
func TestMismatchesDoNotUseUpEpochs(t *testing.T) {
	Convey("Chains that did nothing count as tries only", t, func() {
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

// Callers notice nothing when their node was paused: its timers all run late
// and at once, while tokens wait unread, and none of them gives a chain up.
func TestWatchdogExcusesItsOwnPause(t *testing.T) {
	Convey("A late timer is excused once", t, func() {
		w := newWatchdog(func(error) {})
		defer w.disarm()
		w.arm(time.Hour)
		_, over := w.expired(w.expiresAt.Add(-time.Second))
		So(over, ShouldBeFalse)
		_, over = w.expired(w.expiresAt.Add(2 * maxTimerDelay))
		So(over, ShouldBeFalse)
		_, over = w.expired(w.expiresAt.Add(2 * maxTimerDelay))
		So(over, ShouldBeTrue)
		w.arm(time.Hour)
		_, over = w.expired(w.expiresAt.Add(maxTimerDelay / 2))
		So(over, ShouldBeTrue)
	})
}

// The caller sees the undisturbed answer. An engine that ignores fencing
// numbers has taken an old order and holds other layers than the plan says.
// Asked before work is sent it says so, and its chain does no step.
func TestEngineHoldsOtherLayers(t *testing.T) {
	old := engineapi.Order{Model: testModel, First: 0, Last: testLayers/2 - 1, PlacementVersion: 0}
	Convey("Before the first use the report is found not to match", t, func() {
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
	Convey("Within the time that a report is trusted the spans show it", t, func() {
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

// The caller sees an answer, late but whole: a stage that is frozen before the
// first token is not told from a long prefill by waiting, so it is asked.
func TestFrozenBeforeFirstToken(t *testing.T) {
	Convey("A frozen stage is found long before the first token's time is up", t, func() {
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

// The caller is not cut off for using a slow accelerator: its steady gap is
// longer than the floor, and the wait follows what is measured.
func TestSlowAcceleratorIsNotCut(t *testing.T) {
	Convey("A steady gap above the floor is no stall", t, func() {
		f := newFleet(t, 1, standin.Config{Step: 30 * time.Millisecond}, Options{MinStallTimeout: 20 * time.Millisecond})
		defer f.stop()
		req := request("slow")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Epochs, ShouldEqual, 1)
	})
}

// The caller is told what became of the request. All chains die: before the
// send nothing can have run, partway some of it has.
func TestAllChainsDead(t *testing.T) {
	kill := func(f *fleet) {
		for _, chain := range f.chains {
			chain[0].Kill()
			chain[1].Kill()
		}
	}
	Convey("Dead before the send: not run", t, func() {
		f := newFleet(t, 2, fastEngine, Options{})
		defer f.stop()
		kill(f)
		answer, summary, err := f.collect(context.Background(), request("dead"), nil)
		So(errors.Is(err, ErrNoChain), ShouldBeTrue)
		So(summary.Outcome, ShouldEqual, OutcomeNotRun)
		So(answer, ShouldBeEmpty)
	})
	Convey("Dead after the check at use: refused connections prove not run", t, func() {
		f := newFleet(t, 1, fastEngine, Options{})
		defer f.stop()
		_, _, err := f.collect(context.Background(), request("before"), nil)
		So(err, ShouldBeNil)
		kill(f)
		// A request written to a connection before its end is seen leaves
		// unknown, so the client must have seen the end of those it kept.
		f.client.CloseIdle()
		_, summary, err := f.collect(context.Background(), request("dead"), nil)
		So(err, ShouldNotBeNil)
		So(summary.Outcome, ShouldEqual, OutcomeNotRun)
		So(summary.LastResult.End, ShouldEqual, EndUnreachable)
	})
	Convey("Dead partway: unknown, and what came is a prefix of the answer", t, func() {
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

// The caller of a full chain is served by another one. The full engine refuses
// before any work, so its part is known not to have run.
func TestRefusals(t *testing.T) {
	Convey("Full and draining chains refuse; what is underway on them finishes", t, func() {
		f := newFleet(t, 2, standin.Config{Step: time.Millisecond, Slots: 1}, Options{})
		defer f.stop()
		var wg sync.WaitGroup
		defer wg.Wait()
		underway := request("underway")
		underway.Chat.MaxTokens = 400 // more than the engine runs ahead of the caller
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

// The caller has asked for an answer by a time; it passes while tokens come.
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

// The caller sees the undisturbed answer although the first chain works on
// after its epoch was cancelled: its connection is closed, and its epoch old.
func TestEngineIgnoresCancel(t *testing.T) {
	Convey("A chain that ignores the cancel disturbs nothing", t, func() {
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
