package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// sink takes an answer and keeps nothing of it.
type sink struct{ header http.Header }

func (s sink) Header() http.Header              { return s.header }
func (s sink) Write(p []byte) (int, error)      { return len(p), nil }
func (s sink) WriteHeader(int)                  {}
func (s sink) Flush()                           {}
func (s sink) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkPassEvent measures what the node itself does for an event of a stream: it is cut
// from the bytes that come, checked against the one before and passed on.
func BenchmarkPassEvent(b *testing.B) {
	q := &request{
		Visit: &Visit{Route: &ruleset.Route{Kind: ruleset.Stream, Objective: time.Second, MaxPause: time.Second}},
		s:     &Server{Now: time.Now}, w: sink{http.Header{}}, started: true,
	}
	a := &attempt{q: q, begun: time.Now()}
	w := &watch{a: a, ctx: context.Background()}
	var split splitter
	events := make([][]byte, 1000)
	for i := range events {
		events[i] = fmt.Appendf(nil, "id: %d\ndata: a token of some eighty bytes, as the users' engines send it with all they say of it\n\n", i+1)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%len(events) == 0 {
			q.forgetEvents()
		}
		split.add(events[i%len(events)])
		if err := a.passEvents(&upstream.Exchange{}, &split, w); err != nil {
			b.Fatal(err)
		}
	}
	if q.events == 0 {
		b.Fatal("nothing was passed on")
	}
}

// forgetEvents lets a stream begin anew.
func (q *request) forgetEvents() { q.at = place{} }
