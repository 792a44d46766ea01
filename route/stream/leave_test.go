package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	standin "github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/engineapi"
	. "github.com/smartystreets/goconvey/convey"
)

// The caller leaves while tokens come. Every stage is told, and gives its slot
// back; nothing of 10,000 such streams is left, neither slots nor goroutines.
func TestCallersLeave(t *testing.T) {
	const streams, atOnce = 10_000, 64
	// There is one chain only: on a busy machine the usual waits would now and
	// then find it starved, which is not what this test judges. An engine
	// without a step would itself keep all processors busy.
	longTimeouts := Options{MinStallTimeout: time.Minute, ReportTimeout: time.Minute}
	engines := standin.Config{Step: time.Millisecond, Slots: 2 * atOnce, Queue: streams}
	Convey("10,000 cancelled streams leave nothing behind", t, func() {
		f := newFleet(t, 1, engines, longTimeouts)
		defer f.stop()
		var wg sync.WaitGroup
		semaphore := make(chan struct{}, atOnce)
		for i := range streams {
			semaphore <- struct{}{}
			wg.Go(func() {
				defer func() { <-semaphore }()
				f.runAndDisconnect(fmt.Sprint("leaver-", i), i%3, i%2 == 0)
			})
		}
		wg.Wait()
		f.waitIdle()
		for _, srv := range f.chains[0] {
			stats := srv.Engine.Stats()
			So(stats.Opened, ShouldEqual, stats.Ended)
		}
		So(f.runner.cancels.dropped, ShouldEqual, 0)
	})
}

// The caller leaves while the first stage is frozen. That stage tells nobody,
// and the connection that closes tells only that stage.
func TestCallerLeavesFrozenStage(t *testing.T) {
	Convey("The later stage is told by the node itself", t, func() {
		f := newFleet(t, 1, fastEngine, Options{})
		defer f.stop()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_, summary, err := f.collect(ctx, request("frozen"), func(position int) {
			if position == failAt {
				f.chains[0][0].Engine.SetFaults(standin.Faults{Freeze: true})
				cancel()
			}
		})
		So(errors.Is(err, ErrCallerGone), ShouldBeTrue)
		So(summary.Outcome, ShouldEqual, OutcomeUnknown)
		f.waitIdleStage(f.chains[0][1])
	})
}

var errDisconnected = errors.New("the caller's connection is gone")

// runAndDisconnect runs a stream whose caller leaves when it is given token at: its
// context ends, or the token cannot be written to it.
func (f *fleet) runAndDisconnect(stream string, at int, byContext bool) {
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel) // no sooner: Run has to clean up by itself
	req := request(stream)
	req.Chat.MaxTokens = 1 << 20 // it does not end by itself
	req.FirstTokenTimeout = time.Minute
	req.MaxStallTimeout = time.Minute
	_, err := f.runner.Run(ctx, req, func(_ string, trace engineapi.TokenTrace) error {
		if trace.Position < at {
			return nil
		}
		if byContext {
			cancel()
			return nil
		}
		return errDisconnected
	})
	if !errors.Is(err, ErrCallerGone) {
		f.t.Error(stream, "should have ended with its caller gone:", err)
	}
}
