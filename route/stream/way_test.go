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

// wait returns when the condition holds; the test's own time limit ends it.
func wait(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// The caller sees the whole answer, long before a first token's time is up. The
// link between the stages loses everything without a reset, before the stream is
// opened or while the first stage works on the prompt. Both stages answer when
// the node asks them directly; only the question that goes from one to the other
// stays without an answer.
func TestLinkLostBeforeFirstToken(t *testing.T) {
	lost := standin.Faults{CutNext: true}
	cases := map[string]func(f *fleet){
		"before the open": func(f *fleet) { f.chains[0][0].Engine.SetFaults(lost) },
		"during the prompt": func(f *fleet) {
			f.chains[0][0].Engine.SetFaults(standin.Faults{Busy: true})
			go func() {
				wait(func() bool { return f.chains[0][1].Engine.Running() > 0 })
				f.chains[0][0].Engine.SetFaults(lost)
			}()
		},
	}
	for name, lose := range cases {
		Convey(name, t, func() {
			f := newFleet(t, 2, quick, Options{})
			defer f.stop()
			_, _, err := f.collect(context.Background(), request("before"), nil)
			So(err, ShouldBeNil)
			lose(f)
			req := request("lost")
			answer, summary, err := f.collect(context.Background(), req, nil)
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, undisturbed(req))
			So(summary.Recoveries[0].From, ShouldEqual, EndNoFirstToken)
			So(summary.Recoveries[0].Detection, ShouldBeLessThan, DefaultFirstTokenTimeout/2)
		})
	}
}

// Callers are not moved from an engine that is well but busy: one works on a
// long prompt, the other lets the stream queue for a slot. Both answer along the
// way many times over the wait for silence, and the stream stays.
func TestBusyChainIsKept(t *testing.T) {
	const floor, questions = time.Second, 6
	busy := standin.Faults{Busy: true}
	for name, slots := range map[string]int{"long prompt": 2, "queue": 1} {
		Convey(name, t, func() {
			cfg := standin.Config{Slots: slots, Queue: 1}
			f := newFleet(t, 2, cfg, Options{StallFloor: floor})
			defer f.stop()
			first := f.chains[0][0].Engine
			first.SetFaults(busy)
			occupied, leave := context.WithCancel(context.Background())
			defer leave()
			go f.collect(occupied, request("occupant"), nil)
			wait(func() bool { return first.Running() == 1 })
			go func() {
				asked := first.Stats().Ways
				wait(func() bool { return first.Stats().Ways >= asked+questions })
				leave()
				first.SetFaults(standin.Faults{})
			}()
			req := request("patient")
			answer, summary, err := f.collect(context.Background(), req, nil)
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, undisturbed(req))
			So(summary.Epochs, ShouldEqual, 1)
		})
	}
}

// The caller sees the whole answer also before engines that do not know the
// question along the way: each stage is asked by itself, and a frozen one found.
func TestEnginesThatAreAskedDirectly(t *testing.T) {
	Convey("A frozen stage is found by asking it", t, func() {
		cfg := quick
		cfg.NoWay = true
		f := newFleet(t, 2, cfg, Options{})
		defer f.stop()
		_, _, err := f.collect(context.Background(), request("before"), nil)
		So(err, ShouldBeNil)
		f.chains[0][1].Engine.SetFaults(standin.Faults{Freeze: true})
		req := request("frozen")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, undisturbed(req))
		So(summary.Recoveries[0].Detection, ShouldBeLessThan, DefaultFirstTokenTimeout/2)
	})
	Convey("A busy stage that answers is kept", t, func() {
		const floor, asked = time.Second, 6
		f := newFleet(t, 2, standin.Config{NoWay: true}, Options{StallFloor: floor})
		defer f.stop()
		first := f.chains[0][0].Engine
		first.SetFaults(standin.Faults{Busy: true})
		go func() {
			wait(func() bool { return first.Running() == 1 })
			since := first.Stats().Holdings
			wait(func() bool { return first.Stats().Holdings >= since+asked })
			first.SetFaults(standin.Faults{})
		}()
		req := request("busy")
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, undisturbed(req))
		So(summary.Epochs, ShouldEqual, 1)
	})
}

// answers is a transport that answers questions along the way, or loses them.
type answers func(question int) bool

func (a answers) client() *engineclient.Client {
	asked := 0
	return engineclient.New(roundTrip(func(r *http.Request) (*http.Response, error) {
		asked++
		if !a(asked) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		body := io.NopCloser(strings.NewReader(`{"holdings":[{"model":"toy","first":0,"last":7,"placement_version":1}]}`))
		return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
	}))
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Callers notice nothing when a stage is too busy to answer once: only silence
// for the whole wait ends it, and the wait starts anew with each answer.
func TestSilence(t *testing.T) {
	chain := Chain{Replica: "r", PlacementVersion: 1, Stages: []engineapi.Stage{{Endpoint: "e", Address: "e", First: 0, Last: 7}}}
	// silentAt asks each interval until the chain counts as silent.
	silentAt := func(t *testing.T, lost func(question int) bool, doublings int) time.Duration {
		var took time.Duration
		synctest.Test(t, func(t *testing.T) {
			client := answers(func(question int) bool { return !lost(question) }).client()
			c := newWayCheck(client, newHoldingCheck(client, Options{}.withDefaults()), DefaultStallFloor)
			start := time.Now()
			for !c.silent(testModel, chain, start, doublings) && time.Since(start) < time.Minute {
				time.Sleep(c.tick())
				synctest.Wait()
			}
			took = time.Since(start)
			time.Sleep(wayTimeout * DefaultStallFloor) // questions underway end
		})
		return took
	}
	Convey("No answer at all", t, func() {
		So(silentAt(t, func(int) bool { return true }, 0), ShouldEqual, DefaultStallFloor)
	})
	Convey("Every second answer lost", t, func() {
		So(silentAt(t, func(question int) bool { return question%2 == 0 }, 0), ShouldBeGreaterThanOrEqualTo, time.Minute)
	})
	Convey("Nothing after ten answers", t, func() {
		So(silentAt(t, func(question int) bool { return question > 10 }, 0), ShouldEqual, time.Second+DefaultStallFloor)
	})
	Convey("Twice as long after another chain was silent", t, func() {
		So(silentAt(t, func(int) bool { return true }, 1), ShouldEqual, 2*DefaultStallFloor)
	})
}

// Callers who wait for a first token are moved as soon as before if their chain is
// lost, though it was not asked while others' tokens came along it: these stop with
// it, and two questions stay without an answer before it is given up.
func TestTokensStandForAnswers(t *testing.T) {
	const gap, tokens = 40 * time.Millisecond, 50
	chain := Chain{Replica: "r", PlacementVersion: 1, Stages: []engineapi.Stage{{Endpoint: "e", Address: "e", First: 0, Last: 7}}}
	Convey("Tokens come for two seconds; then all is lost", t, func() {
		var early, late int
		var took time.Duration
		synctest.Test(t, func(t *testing.T) {
			asked := 0
			client := answers(func(question int) bool { asked = question; return false }).client()
			c := newWayCheck(client, newHoldingCheck(client, Options{}.withDefaults()), DefaultStallFloor)
			start := time.Now()
			last := start
			for !c.silent(testModel, chain, start, 0) && time.Since(start) < time.Minute {
				time.Sleep(c.tick())
				synctest.Wait()
				if now := time.Now(); now.Sub(last) >= gap && now.Sub(start) < gap*tokens {
					c.heard(chain, now)
					last, early = now, asked
				}
			}
			took = time.Since(last)
			late = asked - early
			time.Sleep(wayTimeout * DefaultStallFloor) // questions underway end
		})
		So(early, ShouldEqual, 0)
		So(late, ShouldEqual, 2)
		So(took, ShouldEqual, DefaultStallFloor)
	})
}
