package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// streamCodec tells replicas where to resume a stream, and reads their refusals.
type streamCodec struct{ testCodec }

func (streamCodec) UpstreamHeader(_ http.Header, s headers.UpstreamFields) http.Header {
	return http.Header{"Last-Event-Id": {s.LastEventID}}
}

func (streamCodec) ParseResponse(status int, _ http.Header) headers.ResponseHead {
	return headers.ResponseHead{NotRun: status == http.StatusServiceUnavailable}
}

type discardDecisions struct{}

func (discardDecisions) Record(decisionlog.Decision) {}

// hedgeEvents is the length of the streams of these tests.
const hedgeEvents = 6

// streamReplica serves streams and is silent between two events until it is told to go on.
type streamReplica struct {
	// silentAfter is the last event before the silence, goOn ends the silence, and breakOff ends the
	// connection.
	silentAfter    int
	goOn, breakOff chan struct{}
	refuses        bool

	mu sync.Mutex
	// resumed are the positions at which requests arrived, canceled counts those that the caller
	// has canceled.
	resumed  []string
	canceled int
}

func newStreamReplica(silentAfter int) *streamReplica {
	return &streamReplica{silentAfter: silentAfter, goOn: make(chan struct{}), breakOff: make(chan struct{})}
}

func (s *streamReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	position := r.Header.Get("Last-Event-Id")
	s.mu.Lock()
	s.resumed = append(s.resumed, position)
	s.mu.Unlock()
	if s.refuses {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(position) // "" is the beginning
	for n := first + 1; n <= hedgeEvents; n++ {
		if n == s.silentAfter+1 && !s.await(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// await waits until the replica may go on. It returns false if it must break off.
func (s *streamReplica) await(ctx context.Context) bool {
	select {
	case <-s.goOn:
		return true
	case <-s.breakOff:
		return false
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.canceled++
		return false
	}
}

func (s *streamReplica) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.resumed...)
}

func (s *streamReplica) cancellations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// listen returns the replica's address. A replica that is down accepts no connection.
func (s *streamReplica) listen(t *testing.T, down bool) string {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	if down {
		server.Close()
	}
	return strings.TrimPrefix(server.URL, "http://")
}

// streamServer returns a server for model streams.
func streamServer() *Server {
	pool := upstream.New(time.Now)
	return &Server{
		HeaderCodec: streamCodec{}, Pool: pool, Prober: connprobe.New(pool, time.Now), Metrics: noMetrics{},
		Recorder: discardDecisions{}, Log: hclog.NewNullLogger(), Now: time.Now,
	}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("it never came that %s", what)
		}
	}
}

// Guards against a stream that is cut because its sound replica was silent for a moment: the node
// ended the attempt before another replica had continued the stream, and that one was silent, full or
// out of reach as well. Each event must reach the caller once, from whichever replica has it first.
func TestStreamOutlivesASilentReplica(t *testing.T) {
	const never = hedgeEvents + 1
	for _, c := range []struct {
		name         string
		other        *streamReplica
		otherDown    bool
		notResumable bool
		end          func(first, other *streamReplica)
		wantOther    string // the positions at which the other replica was asked to resume
		canceled     bool   // the first replica's attempt is canceled
	}{
		{name: "the other replica goes on", other: newStreamReplica(never), wantOther: "[2]", canceled: true},
		{name: "the other one is silent too", other: newStreamReplica(2), wantOther: "[2]", end: func(first, _ *streamReplica) { close(first.goOn) }},
		{name: "the other one refuses", other: &streamReplica{refuses: true}, wantOther: "[2]", end: func(first, _ *streamReplica) { close(first.goOn) }},
		{name: "the other one is out of reach", other: newStreamReplica(never), otherDown: true, wantOther: "[]", end: func(first, _ *streamReplica) { close(first.goOn) }},
		{name: "the first one breaks off meanwhile", other: newStreamReplica(2), wantOther: "[2]", end: func(first, other *streamReplica) {
			close(first.breakOff)
			time.Sleep(20 * time.Millisecond)
			close(other.goOn)
		}},
		{name: "the stream can't be resumed", other: newStreamReplica(never), notResumable: true, wantOther: "[]", end: func(first, _ *streamReplica) { close(first.goOn) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := newStreamReplica(2)
			m := targets.NewModelTargets("entry-1", "d", 1, time.Now)
			share := targets.NodeShare{CapacityShare: func(string) float64 { return 1 }, MaxConns: 10, DomainNodeCount: 1}
			list := testReplicas("first")
			list[0].Address = first.listen(t, false)
			m.Update(testModel(), list, share)
			request := &Request{
				Route:   &ruleset.Route{Kind: ruleset.Stream, Resumable: !c.notResumable, MaxReplicas: 2, LatencyObjective: time.Second, MaxEventGap: time.Minute},
				Targets: m, Budget: retrybudget.New(retry.Config{Burst: 10}, time.Now),
				Method: http.MethodPost, Target: "/", Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second),
			}
			answer := httptest.NewRecorder()
			done := make(chan struct{})
			go func() {
				defer close(done)
				defer func() { _ = recover() }() // a cut answer panics, and its body is short
				streamServer().Serve(t.Context(), answer, request)
			}()
			eventually(t, "the stream runs", func() bool { return len(first.requests()) == 1 })
			both := append(list, testReplicas("other")...)
			both[1].Address = c.other.listen(t, c.otherDown)
			m.Update(testModel(), both, share)
			time.Sleep(50 * time.Millisecond) // the first events arrive
			m.Suspect("first", true)
			if c.wantOther != "[]" {
				eventually(t, "the other replica is asked", func() bool { return len(c.other.requests()) > 0 })
			} else {
				time.Sleep(100 * time.Millisecond)
			}
			if c.end != nil {
				c.end(first, c.other)
			}
			<-done
			var want strings.Builder
			for n := 1; n <= hedgeEvents; n++ {
				fmt.Fprintf(&want, "id: %d\ndata: %d\n\n", n, n)
			}
			if got := answer.Body.String(); got != want.String() {
				t.Errorf("the caller got %q", got)
			}
			if got := fmt.Sprint(c.other.requests()); got != c.wantOther {
				t.Errorf("the other replica was asked to go on after %s, want %s", got, c.wantOther)
			}
			if c.canceled {
				eventually(t, "the silent attempt is canceled", func() bool { return first.cancellations() == 1 })
			}
			eventually(t, "nothing is reserved", func() bool { _, active := m.RequestCounts(); return active == 0 })
		})
	}
}

// Guards against two replicas that work on one stream for good: the attempt that does not go on is
// canceled.
func TestHedgeIsCanceledIfTheSilentReplicaGoesOn(t *testing.T) {
	first, other := newStreamReplica(2), newStreamReplica(2)
	m := targets.NewModelTargets("entry-1", "d", 1, time.Now)
	list := testReplicas("a", "b")
	list[0].Address, list[1].Address = first.listen(t, false), other.listen(t, false)
	m.Update(testModel(), list, targets.NodeShare{CapacityShare: func(string) float64 { return 1 }, MaxConns: 10, DomainNodeCount: 1})
	request := &Request{
		Route:   &ruleset.Route{Kind: ruleset.Stream, Resumable: true, MaxReplicas: 2, LatencyObjective: time.Second, MaxEventGap: time.Minute},
		Targets: m, Budget: retrybudget.New(retry.Config{Burst: 10}, time.Now),
		Method: http.MethodPost, Target: "/", Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		streamServer().Serve(t.Context(), httptest.NewRecorder(), request)
	}()
	eventually(t, "the stream runs", func() bool { return len(first.requests())+len(other.requests()) == 1 })
	time.Sleep(50 * time.Millisecond)
	silent, id := first, "a"
	if len(other.requests()) == 1 {
		silent, other, id = other, first, "b"
	}
	m.Suspect(id, true)
	eventually(t, "the other replica is asked", func() bool { return len(other.requests()) == 1 })
	close(silent.goOn)
	<-done
	eventually(t, "the hedge is canceled", func() bool { return other.cancellations() == 1 })
}

// Guards against a prompt that crashes one replica after the other because a hedge has crashed its
// replica and the stream is then sent to a third one.
func TestHedgeThatCrashesItsReplicaHoldsTheStreamBack(t *testing.T) {
	first, other := newStreamReplica(2), newStreamReplica(2)
	var otherServer *httptest.Server
	crash := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		other.mu.Lock()
		other.resumed = append(other.resumed, r.Header.Get("Last-Event-Id"))
		other.mu.Unlock()
		time.Sleep(100 * time.Millisecond) // its process answers a probe for as long
		otherServer.Listener.Close()
		panic(http.ErrAbortHandler)
	})
	otherServer = httptest.NewServer(crash)
	t.Cleanup(otherServer.Close)
	third := newStreamReplica(hedgeEvents + 1)
	server, metrics := streamServer(), &guardMetrics{}
	server.Guard = crashguard.New(crashguard.Config{Prober: server.Prober, Metrics: metrics, Log: hclog.NewNullLogger(), Now: time.Now})
	for i := range 10 { // crashes are judged once the guard has seen answers
		sound := server.Guard.Request(fmt.Sprint("sound-", i), "", []string{"shared"})
		sound.Sent(crashguard.Replica{ID: "sound"})
		sound.Answered()
	}
	m := targets.NewModelTargets("entry-1", "d", 1, time.Now)
	share := targets.NodeShare{CapacityShare: func(string) float64 { return 1 }, MaxConns: 10, DomainNodeCount: 1}
	list := testReplicas("first", "other", "third")
	list[0].Address, list[2].Address = first.listen(t, false), third.listen(t, false)
	list[1].Address = strings.TrimPrefix(otherServer.URL, "http://")
	m.Update(testModel(), list[:1], share)
	request := &Request{
		Call:    headers.CallHead{ID: "r", PromptParts: []string{"shared", "bad"}},
		Route:   &ruleset.Route{Kind: ruleset.Stream, Resumable: true, MaxReplicas: 4, LatencyObjective: time.Second, MaxEventGap: time.Minute},
		Targets: m, Budget: retrybudget.New(retry.Config{Burst: 10}, time.Now),
		Method: http.MethodPost, Target: "/", Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = recover() }() // a cut answer panics
		server.Serve(t.Context(), httptest.NewRecorder(), request)
	}()
	eventually(t, "the stream runs", func() bool { return len(first.requests()) == 1 })
	m.Update(testModel(), list[:2], share)
	time.Sleep(50 * time.Millisecond)
	m.Suspect("first", true)
	eventually(t, "the other replica is asked", func() bool { return len(other.requests()) == 1 })
	eventually(t, "the crash is known", func() bool { return metrics.ended.Load() == 1 })
	m.Update(testModel(), list, share)
	close(first.breakOff)
	<-done
	if got := third.requests(); len(got) > 0 {
		t.Errorf("the stream was sent to a third replica after a crash, %v", got)
	}
}

type guardMetrics struct{ ended atomic.Int64 }

func (g *guardMetrics) ReplicaEnded(string)          { g.ended.Add(1) }
func (*guardMetrics) IsolatedParts(string, int, int) {}
