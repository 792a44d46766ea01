package stream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/route/engineclient"
	standin "github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// holdingCalls counts the questions for what engines hold and for the way along a
// chain, and calls opened, if set, once an engine has accepted a stream.
type holdingCalls struct {
	next   http.RoundTripper
	count  atomic.Int64
	ways   atomic.Int64
	opened func()
}

func (h *holdingCalls) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == engineapi.PathHolding {
		h.count.Add(1)
	}
	if r.URL.Path == engineapi.PathWay {
		h.ways.Add(1)
	}
	response, err := h.next.RoundTrip(r)
	if err == nil && h.opened != nil && r.URL.Path == engineapi.PathChat {
		h.opened()
	}
	return response, err
}

// timedFleet has a clock of its own for the holding check.
func timedFleet(t *testing.T, chains int) (f *fleet, calls *holdingCalls, pass func(time.Duration)) {
	f = newFleet(t, chains, quick, Options{})
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	calls = &holdingCalls{next: transport}
	f.runner.holdings.client = engineclient.New(calls)
	f.runner.client = f.runner.holdings.client
	var passed atomic.Int64
	began := time.Now()
	f.runner.holdings.now = func() time.Time { return began.Add(time.Duration(passed.Load())) }
	return f, calls, func(d time.Duration) { passed.Add(int64(d)) }
}

func (f *fleet) mustAnswer(stream string) {
	req := request(stream)
	answer, _, err := f.collect(context.Background(), req, nil)
	So(err, ShouldBeNil)
	So(answer, ShouldEqual, undisturbed(req))
}

// A busy node's streams show what its engines hold, so these are not asked as
// well; one that was quiet is. Answers alone are not gone by for ever: they do not
// name the placement version.
func TestBusyEnginesAreNotAsked(t *testing.T) {
	Convey("Streams on one chain of two stages, each second", t, func() {
		f, calls, pass := timedFleet(t, 1)
		defer f.stop()
		for i := range 18 {
			f.mustAnswer(fmt.Sprint("busy-", i))
			pass(DefaultHoldingTTL / 2)
		}
		So(calls.count.Load(), ShouldEqual, 2)
		for i := range 6 {
			f.mustAnswer(fmt.Sprint("longer-", i))
			pass(DefaultHoldingTTL / 2)
		}
		So(calls.count.Load(), ShouldEqual, 4)
		pass(DefaultHoldingTTL)
		f.mustAnswer("after a pause")
		So(calls.count.Load(), ShouldEqual, 6)
		for i := range 30 {
			pass(DefaultHoldingTTL / 2)
			f.runner.holdings.told(testModel, f.chain(0), f.runner.holdings.now(), f.reports(0))
			f.mustAnswer(fmt.Sprint("told-", i))
		}
		So(calls.count.Load(), ShouldEqual, 6)
	})
}

// The caller sees the undisturbed answer. A long stream runs along a chain; one of
// its engines, which takes orders from anyone, is ordered to hold other layers and
// runs the streams that it has to their end by the old ones. Their tokens must not
// make the node believe that it still holds these, or new work would be sent to it.
func TestLongStreamsDoNotHideNewLayers(t *testing.T) {
	other := engineapi.Order{Model: testModel, First: 0, Last: testLayers/2 - 1, PlacementVersion: 2}
	for _, c := range []struct {
		name     string
		position int // of the token before which the engine changes
	}{{"before the first token", -1}, {"later", failAt}} {
		Convey("A stream sent before the engine changed renews nothing: "+c.name, t, func() {
			f, calls, pass := timedFleet(t, 2)
			defer f.stop()
			change := func() {
				So(f.chains[0][1].Engine.Order(other), ShouldBeNil)
				pass(DefaultHoldingTTL)
			}
			if c.position < 0 {
				calls.opened = sync.OnceFunc(change)
			}
			req := request("long")
			answer, _, err := f.collect(context.Background(), req, func(position int) {
				if position == c.position {
					change()
				}
			})
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, undisturbed(req))

			f.mustAnswer("new")
			So(f.ended[1].End, ShouldEqual, EndMismatch)
			So(f.ended[1].NotRun, ShouldBeTrue)
		})
	}
	Convey("What was sent before the chain failed renews nothing", t, func() {
		f, calls, pass := timedFleet(t, 1)
		defer f.stop()
		f.mustAnswer("first")
		holdings, chain := f.runner.holdings, f.chain(0)
		sent := holdings.now()
		pass(time.Millisecond)
		holdings.forget(chain)
		holdings.renew(testModel, chain, sent)
		f.mustAnswer("second")
		So(calls.count.Load(), ShouldEqual, 4)
		holdings.renew(testModel, chain, sent)
		pass(DefaultHoldingTTL - time.Millisecond/2)
		f.mustAnswer("third")
		So(calls.count.Load(), ShouldEqual, 4)
	})
}

// reports are what the engines of a chain say of themselves.
func (f *fleet) reports(chain int) []engineapi.Report {
	all, err := f.runner.ways.client.Way(context.Background(), f.chain(chain).Stages)
	So(err, ShouldBeNil)
	return all
}

// The caller of a prompt that a replica had cached is sent after a cache that a
// later stage has lost, or to a replica that lost an adapter. What engines say along
// their chain is taken whole, so that a chain whose streams keep it from being asked
// in any other way shows both.
func TestWordAlongTheChainIsTakenWhole(t *testing.T) {
	Convey("Engines that were asked along their chain", t, func() {
		f, calls, _ := timedFleet(t, 1)
		defer f.stop()
		f.mustAnswer("first")
		holdings, chain := f.runner.holdings, f.chain(0)
		lost := 0
		holdings.lost = func(string, string) { lost++ }
		reports := f.reports(0)
		holdings.told(testModel, chain, holdings.now().Add(1), reports)
		reports[1].Cache = "another"
		reports[1].Adapters = []engineapi.Adapter{{Name: "notes", Version: "1"}}
		holdings.told(testModel, chain, holdings.now().Add(2), reports)
		So(lost, ShouldEqual, 1)
		So(holdings.reports[chain.Stages[1].Address].report.Adapters, ShouldResemble, reports[1].Adapters)

		// Streams of the bare model show nothing of the adapter.
		before := holdings.reports[chain.Stages[1].Address]
		holdings.renew(testModel, chain, holdings.now().Add(3))
		So(holdings.reports[chain.Stages[1].Address], ShouldEqual, before)
		So(calls.count.Load(), ShouldEqual, 2)
	})
}

// BenchmarkHoldingCalls is a node with 50 streams a second over 35 chains of two
// stages at the default settings, by the time of a first token and of the others:
//
//	go test -run '^$' -bench HoldingCalls -benchtime 1x ./route/stream
func BenchmarkHoldingCalls(b *testing.B) {
	const short, long = 20 * time.Millisecond, 100 * time.Millisecond
	for _, load := range []streamLoad{
		{first: short, step: short, tokens: 24},
		{first: time.Second, step: short, tokens: 24},
		{first: time.Second, step: long, tokens: 81},
	} {
		name := fmt.Sprintf("first token %v, then %d each %v", load.first, load.tokens-1, load.step)
		b.Run(name, func(b *testing.B) { countHoldingCalls(b, load) })
	}
}

// streamLoad is the times of a benchmark's streams.
type streamLoad struct {
	first, step time.Duration
	tokens      int
}

func (l streamLoad) lasts() time.Duration { return l.first + time.Duration(l.tokens-1)*l.step }

func countHoldingCalls(b *testing.B, load streamLoad) {
	const (
		chains = 35
		stages = 2
		rate   = 50 // a second
		length = 20 * time.Second
		words  = 3 // of a prompt, which each stage works on
	)
	warmUp := load.lasts() + 2*time.Second
	cfg := standin.Config{Step: load.step, Slots: 256, PrefillToken: (load.first - load.step) / (stages * words)}
	f := newFleet(b, chains, cfg, Options{})
	defer f.stop()
	transport := &http.Transport{MaxIdleConnsPerHost: rate}
	defer transport.CloseIdleConnections()
	calls := &holdingCalls{next: transport}
	f.runner.holdings.client = engineclient.New(calls)
	f.runner.ways.client = f.runner.holdings.client
	var running sync.WaitGroup
	asked, ways := int64(0), int64(0)
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	for i := range int((warmUp + length).Seconds() * rate) {
		<-ticker.C
		if i == int(warmUp.Seconds()*rate) {
			asked, ways = calls.count.Load(), calls.ways.Load()
		}
		running.Go(func() {
			req := request(fmt.Sprint("stream-", i))
			req.Chat.MaxTokens = load.tokens
			req.Chooser = oneOf{f, rand.IntN(chains)}
			if answer, _, err := f.collect(context.Background(), req, nil); err != nil || answer != undisturbed(req) {
				b.Error("not whole: ", err)
			}
		})
	}
	running.Wait()
	b.ReportMetric(float64(calls.count.Load()-asked)/length.Seconds(), "holding-calls/s")
	b.ReportMetric(float64(calls.ways.Load()-ways)/length.Seconds(), "way-calls/s")
	b.ReportMetric(0, "ns/op")
}

// oneOf chooses one chain.
type oneOf struct {
	*fleet
	i int
}

func (o oneOf) Choose(context.Context, []string) (Chain, error) { return o.chain(o.i), nil }
