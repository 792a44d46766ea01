package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/forwarding"
	"github.com/cicadatack/cicadatack/decide/loadshed"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/loadadmission"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// testCodec sends the priority to endpoints, and writes the outcome of refusals.
type testCodec struct{ headers.Codec }

func (testCodec) UpstreamHeader(_ http.Header, s headers.UpstreamFields) http.Header {
	if s.Priority == nil {
		return http.Header{}
	}
	return http.Header{"Priority": {fmt.Sprint(*s.Priority)}}
}
func (testCodec) ParseResponse(int, http.Header) headers.ResponseHead { return headers.ResponseHead{} }
func (testCodec) DownstreamHeader(h http.Header) http.Header          { return h.Clone() }
func (testCodec) PromisesNotRun(int) bool                             { return false }
func (testCodec) NumericEventFields() []string                        { return nil }
func (testCodec) WriteRefusal(w http.ResponseWriter, _ headers.CallHead, r *outcome.Refusal) {
	w.Header().Set("Refused", fmt.Sprintf("%s %s", r.Code, r.Outcome))
	w.Header().Set("Retry-After", r.RetryAfter.String())
	w.WriteHeader(r.Status)
}

// noMetrics counts only what is shed.
type noMetrics struct {
	Metrics
	shed map[int]int
}

func (noMetrics) Request(string, string, string)   {}
func (noMetrics) Refused(string, string)           {}
func (noMetrics) FirstToken(string, time.Duration) {}
func (noMetrics) Waited(string, time.Duration)     {}
func (noMetrics) Retried(string, string)           {}
func (noMetrics) Forwarded(string, string)         {}
func (noMetrics) Hedged(string, string)            {}
func (noMetrics) StrayBytes(string, string)        {}
func (noMetrics) IgnoredBytes(string, int)         {}
func (noMetrics) UnprovenRefusal(string, int)      {}
func (noMetrics) AnswerMemoryFull(string)          {}
func (m noMetrics) Shed(_ string, priority int)    { m.shed[priority]++ }

// requestInterval is the time between two requests. Rates count complete tenths of a second.
const requestInterval = 20 * time.Millisecond

// shedding is a server with one endpoint, whose service is saturated.
type shedding struct {
	*Server
	admission *loadadmission.Admission
	targets   targets.Targets
	shed      map[int]int
	// arrived are the priorities with which requests reached the endpoint.
	arrived []string
	// now is the time of the admission. It goes on by requestInterval for each request.
	now time.Time
	// plainAnswers lets the endpoint answer without a stream.
	plainAnswers bool
}

func newShedding(t *testing.T) *shedding {
	s := &shedding{shed: map[int]int{}}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived = append(s.arrived, r.Header.Get("Priority"))
		if !s.plainAnswers {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
	}))
	t.Cleanup(endpoint.Close)
	list := targets.NewPlainTargets("entry-1", "d", 1, time.Now)
	list.Update([]*replicalist.Replica{{ID: "r", Address: strings.TrimPrefix(endpoint.URL, "http://"), Domain: "d", Slots: 9}}, 9, []string{"entry-1"}, 1)
	s.now = time.Now()
	s.admission = loadadmission.New(loadshed.Config{LatencyObjective: 500 * time.Millisecond, Seed: 1}, func() time.Time { return s.now })
	for range 50 {
		s.admission.Await()
	}
	s.now = s.now.Add(time.Second)
	s.targets = list
	s.Server = &Server{
		HeaderCodec: testCodec{}, Pool: upstream.New(time.Now), PeerPool: upstream.New(time.Now), Metrics: noMetrics{shed: s.shed},
		Recorder: decisionlog.NewLog(hclog.NewNullLogger()), Log: hclog.NewNullLogger(), Now: time.Now,
	}
	return s
}

// request returns the next request, with fields changed.
func (s *shedding) request(change func(*Request)) *Request {
	r := &Request{
		Service: "llm", Team: "bogor", Priority: 2, Rank: 2, Targets: s.targets, Admission: s.admission, Method: "GET", Target: "/", Header: http.Header{},
		Route:  &ruleset.Route{Kind: ruleset.Stream, Resumable: true, MaxReplicas: 2, Timeout: 9 * time.Second, LatencyObjective: time.Second},
		Budget: retrybudget.New(retry.Config{Burst: 10}, time.Now), Arrived: time.Now(), Deadline: time.Now().Add(9 * time.Second),
	}
	change(r)
	s.now = s.now.Add(requestInterval)
	return r
}

// serve serves a request, with fields changed, for some callers in turn, and counts the refusals.
func (s *shedding) serve(t *testing.T, change func(*Request)) (refused int) {
	t.Helper()
	for range 30 {
		w := httptest.NewRecorder()
		s.Serve(context.Background(), w, s.request(change))
		if w.Code == http.StatusOK {
			continue
		}
		refused++
		after, err := time.ParseDuration(w.Header().Get("Retry-After"))
		if told := w.Header().Get("Refused"); w.Code != http.StatusServiceUnavailable || told != "shed_load not-run" || err != nil || after < 200*time.Millisecond || after > 3*time.Second {
			t.Errorf("status %d, %q, Retry-After %v", w.Code, told, after)
		}
	}
	return refused
}

// Guards against requests that are shed and run all the same, streams that are broken off for new
// ones, and forwarded requests that count as the least urgent.
func TestOnlyNewStreamsAreShed(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(*Request)
		shed     bool
		priority string
	}{
		"a new stream":          {func(*Request) {}, true, "2"},
		"forwarded":             {func(r *Request) { r.Rank, r.Forwarded = 1002, &headers.Forward{Node: "b"} }, true, "2"},
		"out of range":          {func(r *Request) { r.Priority = 70 }, true, "9"},
		"resumed by its caller": {func(r *Request) { r.Call.LastEventID = "0" }, false, "2"},
		"resumed by a node":     {func(r *Request) { r.Forwarded = &headers.Forward{Node: "b", ResumeAfter: "0"} }, false, "2"},
		"admitted by a node":    {func(r *Request) { r.Forwarded = &headers.Forward{Node: "b", Admitted: true} }, false, "2"},
		"it may have run":       {func(r *Request) { r.Forwarded = &headers.Forward{Node: "b", MayHaveRunOn: []string{"r"}} }, false, "2"},
		"no stream":             {func(r *Request) { r.Route.Kind = ruleset.Idempotent }, false, "2"},
		"no load control":       {func(r *Request) { r.Admission = nil }, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newShedding(t)
			refused := s.serve(t, c.change)
			if c.shed && refused < 20 || !c.shed && refused > 0 || len(s.arrived) != 30-refused {
				t.Errorf("%d of 30 refused, %d reached the endpoint", refused, len(s.arrived))
			}
			for _, priority := range s.arrived {
				if priority != c.priority {
					t.Errorf("priority %q at the endpoint, want %q", priority, c.priority)
				}
			}
			for priority, count := range s.shed {
				if fmt.Sprint(priority) != c.priority || count != refused {
					t.Errorf("%d counted of priority %d, want %d", count, priority, refused)
				}
			}
		})
	}
}

// Guards against a success that is no stream and reaches the caller of a stream, and against a service that
// seems to serve because its replicas answer so.
func TestAnswersThatAreNoStreamAreNotServed(t *testing.T) {
	s := newShedding(t)
	s.plainAnswers = true
	for range 3 {
		w := httptest.NewRecorder()
		s.Serve(context.Background(), w, s.request(func(r *Request) { r.Call.LastEventID = "0" }))
		if told := w.Header().Get("Refused"); w.Code != http.StatusBadGateway || told != "unknown unknown" || w.Body.Len() > 0 {
			t.Errorf("status %d, %q, %q", w.Code, told, w.Body)
		}
	}
	if own := s.admission.Own(); own.FirstEvents != 0 || own.Awaiting != 50 || len(s.arrived) == 0 {
		t.Errorf("%+v, %d reached the endpoint", own, len(s.arrived))
	}
}

// cutOff is a Forwarder of a node that reaches no replica. Every other node has one address.
type cutOff struct {
	Forwarder
	address string
	results []forwarding.Result
	// late is how often CutOff does not know it yet.
	late int
}

func (c *cutOff) Name() string            { return "entry-1" }
func (c *cutOff) CutOff(string) bool      { c.late--; return c.late < 0 }
func (c *cutOff) CutOffFromAll() bool     { return true }
func (c *cutOff) CountServing(string) int { return 0 }
func (c *cutOff) Serving(string) []string { return nil }
func (c *cutOff) Named(string, []string)  {}
func (c *cutOff) Choose(string, []string) (forwarding.Node, bool) {
	return forwarding.Node{Name: "other", Address: c.address}, true
}
func (c *cutOff) Finish(_ string, _ forwarding.Node, r forwarding.Result) {
	c.results = append(c.results, r)
}

// steadyRevision is the only version of the configuration that a node has.
type steadyRevision int64

func (r steadyRevision) Revision() int64                      { return int64(r) }
func (r steadyRevision) CatchUp(context.Context, int64) int64 { return int64(r) }

// Guards against callers of a cut-off node that are shed by two nodes, or asked for at several
// nodes until one admits them.
func TestOneNodeDecidesOnForwardedRequests(t *testing.T) {
	asked, admitted := 0, 0
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked++
		if forward, _ := headers.TakeForward(r.Header); forward.Admitted {
			admitted++
		}
		refusalResult(NotRun(http.StatusServiceUnavailable, ReasonShed, "", time.Second)).Set(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer other.Close()
	s := newShedding(t)
	forwarder := &cutOff{address: strings.TrimPrefix(other.URL, "http://")}
	s.Forwarder, s.Revisions = forwarder, steadyRevision(1)
	if refused := s.serve(t, func(*Request) {}); refused != 30 || asked != 30 || admitted > 0 || len(s.shed) > 0 || len(s.arrived) > 0 {
		t.Errorf("%d refused, %d asked of another node, %v shed here", refused, asked, s.shed)
	}
	for _, r := range forwarder.results {
		if r != forwarding.Served {
			t.Errorf("the other node counts as %v", r)
		}
	}
	s.serve(t, func(r *Request) { // the node finds out after it has admitted the request
		forwarder.late, r.Admission = 1, loadadmission.New(loadshed.Config{LatencyObjective: time.Second}, time.Now)
	})
	if asked != 60 || admitted != 30 {
		t.Errorf("%d asked of another node, %d of 30 as admitted", asked-30, admitted)
	}
}
