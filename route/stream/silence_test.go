package stream

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/cicadatack/cicadatack/standin/engine"
)

const (
	// silence is how long a chain is silent; silenceTimeout is the time without a token or
	// an engine report after which a chain counts as silent.
	silence        = 400 * time.Millisecond
	silenceTimeout = 50 * time.Millisecond
)

// limitedRetries is a chooser whose retry budget is spent unless reserve is set.
type limitedRetries struct {
	*fleet
	reserve bool
}

func (l limitedRetries) ReserveRetry() bool { return l.reserve }

// sameChain is a chooser that returns the first chain each time.
type sameChain struct{ *fleet }

func (s sameChain) Choose(context.Context, []string) (Chain, error) { return s.chain(0), nil }

// freezeFor makes the first engine of the first chain silent for a while.
func (f *fleet) freezeFor(d time.Duration) {
	f.chains[0][0].Engine.SetFaults(standin.Faults{Freeze: true})
	time.AfterFunc(d, func() { f.chains[0][0].Engine.SetFaults(standin.Faults{}) })
}

// Guards against answers that end because their chain is silent for a while and no other
// chain may take over. They must stay on the chain.
func TestAnswerStaysOnSilentChain(t *testing.T) {
	for name, c := range map[string]struct {
		options Options
		chooser func(*fleet) Chooser
		want    int
	}{
		"no execution left":                       {Options{MaxExecutions: 1}, func(f *fleet) Chooser { return f }, 1},
		"no retry left":                           {Options{}, func(f *fleet) Chooser { return limitedRetries{f, false} }, 1},
		"another chain may take over: it does so": {Options{}, func(f *fleet) Chooser { return limitedRetries{f, true} }, 2},
	} {
		for _, failAt := range []int{0, failAt} {
			Convey(name, t, func() {
				c.options.MinStallTimeout = silenceTimeout
				f := newFleet(t, 2, fastEngine, c.options)
				defer f.stop()
				_, _, err := f.collect(context.Background(), request("before"), nil)
				So(err, ShouldBeNil)
				req := request("silent")
				req.Chooser = c.chooser(f)
				if failAt == 0 {
					f.freezeFor(silence) // before the first token; the reports are cached
				}
				answer, summary, err := f.collect(context.Background(), req, func(position int) {
					if position == failAt && failAt > 0 {
						f.freezeFor(silence)
					}
				})
				So(err, ShouldBeNil)
				So(answer, ShouldEqual, expectedAnswer(req))
				So(summary.Epochs, ShouldEqual, c.want)
			})
		}
	}
}

// Guards against requests that are refused because engines do not say in time what they
// hold: such attempts must not use up MaxAttempts.
func TestSilentEngineReportsAreNoAttempts(t *testing.T) {
	Convey("The request waits until the engine answers", t, func() {
		f := newFleet(t, 1, fastEngine, Options{ReportTimeout: silenceTimeout, MaxAttempts: 2})
		defer f.stop()
		f.freezeFor(silence)
		req := request("silent")
		req.Chooser, req.Deadline = sameChain{f}, time.Now().Add(time.Minute)
		answer, summary, err := f.collect(context.Background(), req, nil)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, expectedAnswer(req))
		So(summary.Epochs, ShouldBeGreaterThan, 2)
	})
}

// Guards against requests that wait for engines beyond their deadline, and against the
// outcome "unknown" for a request that was never sent.
func TestSilentEnginesEndTheRequestAtItsDeadline(t *testing.T) {
	Convey("The request ends at its deadline, not run", t, func() {
		f := newFleet(t, 1, fastEngine, Options{ReportTimeout: silenceTimeout})
		defer f.stop()
		f.freezeFor(time.Minute)
		req := request("silent")
		req.Chooser, req.Deadline = sameChain{f}, time.Now().Add(silence)
		_, summary, err := f.collect(context.Background(), req, nil)
		So(errors.Is(err, ErrDeadline), ShouldBeTrue)
		So(summary.Outcome, ShouldEqual, OutcomeNotRun)
	})
}
