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

// callCounter is a transport that counts the calls for engine reports and the probes along
// a chain. callCounter calls onOpen, if set, after an engine has replied to the call that opens a
// stream.
type callCounter struct {
	next        http.RoundTripper
	reportCalls atomic.Int64
	probeCalls  atomic.Int64
	onOpen      func()
}

func (h *callCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == engineapi.PathHolding {
		h.reportCalls.Add(1)
	}
	if r.URL.Path == engineapi.PathWay {
		h.probeCalls.Add(1)
	}
	response, err := h.next.RoundTrip(r)
	if err == nil && h.onOpen != nil && r.URL.Path == engineapi.PathChat {
		h.onOpen()
	}
	return response, err
}

// newFleetWithClock returns a fleet whose report checker uses a fake clock. advance moves
// that clock forward.
func newFleetWithClock(t *testing.T, chains int) (f *fleet, calls *callCounter, advance func(time.Duration)) {
	f = newFleet(t, chains, fastEngine, Options{})
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	calls = &callCounter{next: transport}
	f.runner.reports.client = engineclient.New(calls)
	f.runner.client = f.runner.reports.client
	var elapsed atomic.Int64
	startedAt := time.Now()
	f.runner.reports.now = func() time.Time { return startedAt.Add(time.Duration(elapsed.Load())) }
	return f, calls, func(d time.Duration) { elapsed.Add(int64(d)) }
}

func (f *fleet) mustAnswer(stream string) {
	req := request(stream)
	answer, _, err := f.collect(context.Background(), req, nil)
	So(err, ShouldBeNil)
	So(answer, ShouldEqual, expectedAnswer(req))
}

// Without renewal, a node with many streams asks its engines for reports too often. The
// first token of a stream renews the cached reports of the stream's engines, so only
// engines without recent streams are asked. Renewal is bounded, because tokens do not name
// the placement version.
func TestBusyEnginesAreNotAskedForReports(t *testing.T) {
	Convey("One stream per second on one chain of two stages", t, func() {
		f, calls, advance := newFleetWithClock(t, 1)
		defer f.stop()
		for i := range 18 {
			f.mustAnswer(fmt.Sprint("busy-", i))
			advance(DefaultReportTTL / 2)
		}
		So(calls.reportCalls.Load(), ShouldEqual, 2)
		for i := range 6 {
			f.mustAnswer(fmt.Sprint("longer-", i))
			advance(DefaultReportTTL / 2)
		}
		So(calls.reportCalls.Load(), ShouldEqual, 4)
		advance(DefaultReportTTL)
		f.mustAnswer("after an idle period")
		So(calls.reportCalls.Load(), ShouldEqual, 6)
		for i := range 30 {
			advance(DefaultReportTTL / 2)
			f.runner.reports.recordReports(testModel, f.chain(0), f.runner.reports.now(), f.reports(0))
			f.mustAnswer(fmt.Sprint("told-", i))
		}
		So(calls.reportCalls.Load(), ShouldEqual, 6)
	})
}

// If the tokens of a long stream renewed an engine's report, new requests would be sent to
// an engine that no longer holds the layers of the plan. In this test, an engine that accepts
// orders from anyone is ordered to hold other layers. The engine finishes its running streams
// with the old layers.
func TestLongStreamsDoNotHideNewLayers(t *testing.T) {
	other := engineapi.Order{Model: testModel, First: 0, Last: testLayers/2 - 1, PlacementVersion: 2}
	for _, c := range []struct {
		name string
		// The engine is ordered to hold other layers just before the token with this
		// position is added to the answer. With -1, the engine is ordered as soon as it
		// has replied to the call that opens the stream, before the first token is read.
		position int
	}{{"before the first token", -1}, {"later", failAt}} {
		Convey("A stream sent before the engine changed renews no report: "+c.name, t, func() {
			f, calls, advance := newFleetWithClock(t, 2)
			defer f.stop()
			change := func() {
				So(f.chains[0][1].Engine.Order(other), ShouldBeNil)
				advance(DefaultReportTTL)
			}
			if c.position < 0 {
				calls.onOpen = sync.OnceFunc(change)
			}
			req := request("long")
			answer, _, err := f.collect(context.Background(), req, func(position int) {
				if position == c.position {
					change()
				}
			})
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, expectedAnswer(req))

			f.mustAnswer("new")
			So(f.results[1].End, ShouldEqual, EndMismatch)
			So(f.results[1].NotRun, ShouldBeTrue)
		})
	}
	Convey("A stream sent before the chain failed renews no report", t, func() {
		f, calls, advance := newFleetWithClock(t, 1)
		defer f.stop()
		f.mustAnswer("first")
		checker, chain := f.runner.reports, f.chain(0)
		sent := checker.now()
		advance(time.Millisecond)
		checker.invalidate(chain)
		checker.renew(testModel, chain, sent)
		f.mustAnswer("second")
		So(calls.reportCalls.Load(), ShouldEqual, 4)
		checker.renew(testModel, chain, sent)
		advance(DefaultReportTTL - time.Millisecond/2)
		f.mustAnswer("third")
		So(calls.reportCalls.Load(), ShouldEqual, 4)
	})
}

// reports probes a chain and returns the reports of its engines.
func (f *fleet) reports(chain int) []engineapi.Report {
	all, err := f.runner.prober.client.ProbeChain(context.Background(), f.chain(chain).Stages)
	So(err, ShouldBeNil)
	return all
}

// The first token of each stream extends the validity of the cached engine reports, so an
// engine with many streams is rarely asked for a new report. Meanwhile, probe replies contain
// new engine reports. The new reports must replace the cached reports completely. Otherwise requests
// would be routed to a chain for a prefix cache or an adapter that a later stage has lost.
func TestChainProbeUpdatesWholeReport(t *testing.T) {
	Convey("Reports of a probe along the chain", t, func() {
		f, calls, _ := newFleetWithClock(t, 1)
		defer f.stop()
		f.mustAnswer("first")
		checker, chain := f.runner.reports, f.chain(0)
		cacheLossCount := 0
		checker.onCacheLost = func(string, string) { cacheLossCount++ }
		reports := f.reports(0)
		checker.recordReports(testModel, chain, checker.now().Add(1), reports)
		reports[1].Cache = "another"
		reports[1].Adapters = []engineapi.Adapter{{Name: "notes", Version: "1"}}
		checker.recordReports(testModel, chain, checker.now().Add(2), reports)
		So(cacheLossCount, ShouldEqual, 1)
		So(checker.reports[chain.Stages[1].Address].report.Adapters, ShouldResemble, reports[1].Adapters)

		// Streams without an adapter do not show whether the adapter is loaded.
		before := checker.reports[chain.Stages[1].Address]
		checker.renew(testModel, chain, checker.now().Add(3))
		So(checker.reports[chain.Stages[1].Address], ShouldEqual, before)
		So(calls.reportCalls.Load(), ShouldEqual, 2)
	})
}

// BenchmarkReportCalls measures how many report calls and probes a node makes per second.
// The node opens 50 streams a second over 35 chains of two stages, with the default
// settings. The cases differ in the time to the first token, the gap between tokens and the
// number of tokens:
//
//	go test -run '^$' -bench ReportCalls -benchtime 1x ./route/stream
func BenchmarkReportCalls(b *testing.B) {
	const short, long = 20 * time.Millisecond, 100 * time.Millisecond
	for _, load := range []streamLoad{
		{firstTokenTime: short, tokenGap: short, tokens: 24},
		{firstTokenTime: time.Second, tokenGap: short, tokens: 24},
		{firstTokenTime: time.Second, tokenGap: long, tokens: 81},
	} {
		name := fmt.Sprintf("first token %v, then %d each %v", load.firstTokenTime, load.tokens-1, load.tokenGap)
		b.Run(name, func(b *testing.B) { countReportCalls(b, load) })
	}
}

// streamLoad holds the timing and the number of tokens of each stream in
// BenchmarkReportCalls.
type streamLoad struct {
	firstTokenTime, tokenGap time.Duration
	tokens                   int
}

func (l streamLoad) duration() time.Duration {
	return l.firstTokenTime + time.Duration(l.tokens-1)*l.tokenGap
}

func countReportCalls(b *testing.B, load streamLoad) {
	const (
		chains           = 35
		stages           = 2
		streamsPerSecond = 50
		measuredTime     = 20 * time.Second
		promptWords      = 3 // words in the prompt; each stage spends PrefillToken on each word
	)
	warmUp := load.duration() + 2*time.Second
	cfg := standin.Config{Step: load.tokenGap, Slots: 256, PrefillToken: (load.firstTokenTime - load.tokenGap) / (stages * promptWords)}
	f := newFleet(b, chains, cfg, Options{})
	defer f.stop()
	transport := &http.Transport{MaxIdleConnsPerHost: streamsPerSecond}
	defer transport.CloseIdleConnections()
	calls := &callCounter{next: transport}
	f.runner.reports.client = engineclient.New(calls)
	f.runner.prober.client = f.runner.reports.client
	var running sync.WaitGroup
	reportCallsBefore, probeCallsBefore := int64(0), int64(0)
	ticker := time.NewTicker(time.Second / streamsPerSecond)
	defer ticker.Stop()
	for i := range int((warmUp + measuredTime).Seconds() * streamsPerSecond) {
		<-ticker.C
		if i == int(warmUp.Seconds()*streamsPerSecond) {
			reportCallsBefore, probeCallsBefore = calls.reportCalls.Load(), calls.probeCalls.Load()
		}
		running.Go(func() {
			req := request(fmt.Sprint("stream-", i))
			req.Chat.MaxTokens = load.tokens
			req.Chooser = fixedChain{f, rand.IntN(chains)}
			if answer, _, err := f.collect(context.Background(), req, nil); err != nil || answer != expectedAnswer(req) {
				b.Error("answer incomplete or wrong:", err)
			}
		})
	}
	running.Wait()
	b.ReportMetric(float64(calls.reportCalls.Load()-reportCallsBefore)/measuredTime.Seconds(), "holding-calls/s")
	b.ReportMetric(float64(calls.probeCalls.Load()-probeCallsBefore)/measuredTime.Seconds(), "way-calls/s")
	b.ReportMetric(0, "ns/op")
}

// fixedChain is a chooser that always returns the chain of the fleet with chainIndex.
type fixedChain struct {
	*fleet
	chainIndex int
}

func (o fixedChain) Choose(context.Context, []string) (Chain, error) {
	return o.chain(o.chainIndex), nil
}
