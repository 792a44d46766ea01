package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/eventstream"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/upstream"
)

type discardWriter struct{ header http.Header }

func (s discardWriter) Header() http.Header              { return s.header }
func (s discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (s discardWriter) WriteHeader(int)                  {}
func (s discardWriter) Flush()                           {}
func (s discardWriter) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkPassEvent measures the node's own work for one event of a stream: it splits the
// event from the received bytes, compares its id with the last event's id and passes the event
// on.
func BenchmarkPassEvent(b *testing.B) {
	req := &requestState{
		Request: &Request{Route: &ruleset.Route{Kind: ruleset.Stream, LatencyObjective: time.Second, MaxEventGap: time.Second}},
		server:  &Server{Now: time.Now}, w: discardWriter{http.Header{}}, answerStarted: true,
	}
	a := &attempt{req: req, startedAt: time.Now()}
	monitor := &pathMonitor{attempt: a, ctx: context.Background()}
	var reader eventstream.Reader
	events := make([][]byte, 1000)
	for i := range events {
		events[i] = fmt.Appendf(nil, "id: %d\ndata: a token of some eighty bytes, the usual size of an event with all of its fields\n\n", i+1)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%len(events) == 0 {
			req.lastEvent, reader = eventstream.Position{}, eventstream.Reader{}
		}
		reader.Add(events[i%len(events)])
		if res := a.forwardEvents(&upstream.Exchange{}, &reader, monitor); res != nil {
			b.Fatal(res.detail)
		}
	}
	if req.eventCount == 0 {
		b.Fatal("no event was passed on")
	}
}
