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

// When a caller disconnects while tokens arrive, every stage must be told and must free
// the stream's slot. 10,000 such streams must leak neither slots nor goroutines.
func TestCallersLeave(t *testing.T) {
	const streams, concurrency = 10_000, 64
	// With the usual timeouts, the only chain would sometimes count as stalled on a busy
	// machine, and the test would fail although no slot leaked. Engines with a step time of
	// zero would keep all processors busy.
	longTimeouts := Options{MinStallTimeout: time.Minute, ReportTimeout: time.Minute}
	engines := standin.Config{Step: time.Millisecond, Slots: 2 * concurrency, Queue: streams}
	Convey("10,000 cancelled streams leave nothing behind", t, func() {
		f := newFleet(t, 1, engines, longTimeouts)
		defer f.stop()
		var wg sync.WaitGroup
		semaphore := make(chan struct{}, concurrency)
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
		So(f.runner.cancels.droppedCancels, ShouldEqual, 0)
	})
}

// If the caller disconnects while the first stage is frozen, the second stage must also
// free its slot. Closing the connection informs only the first stage, and a frozen stage
// does not inform the next one. The node must cancel the stream on the second stage.
func TestCallerLeavesFrozenStage(t *testing.T) {
	Convey("The node cancels the stream on the later stage itself", t, func() {
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

var errDisconnected = errors.New("caller's connection closed")

// runAndDisconnect runs a stream whose caller disconnects when the token with position
// disconnectPosition arrives: either the context is cancelled, or writing the token fails.
func (f *fleet) runAndDisconnect(stream string, disconnectPosition int, cancelContext bool) {
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel) // at the end of the test, because Run must clean up without a cancelled context
	req := request(stream)
	req.Chat.MaxTokens = 1 << 20 // does not end before the caller disconnects
	req.FirstTokenTimeout = time.Minute
	req.MaxStallTimeout = time.Minute
	_, err := f.runner.Run(ctx, req, func(_ string, trace engineapi.TokenTrace) error {
		if trace.Position < disconnectPosition {
			return nil
		}
		if cancelContext {
			cancel()
			return nil
		}
		return errDisconnected
	})
	if !errors.Is(err, ErrCallerGone) {
		f.t.Error(stream, "did not end with ErrCallerGone:", err)
	}
}
