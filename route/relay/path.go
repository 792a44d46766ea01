package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/replicareport"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// Error is the class of this layer's errors.
var Error = errs.Class("relay")

// Proof says how young the configuration is that let a request in.
type Proof interface {
	// Fresh says whether it is proved young enough to serve requests with keys.
	Fresh() bool
	// Age is the age of the proof, for the log.
	Age() time.Duration
}

// Engines gives orders to model engines.
type Engines interface {
	// Detour makes a request that is underway at its first replica go on along
	// another path with the same first part. It fails with a *DetourRefused if the
	// engine did not take the order.
	Detour(ctx context.Context, address, request string, path paths.Path) error
}

// DetourRefused is the error of an order that an engine did not take.
type DetourRefused struct {
	// Fault is the address of the part that is not there; "" if one has no room.
	Fault string
	Cause error
}

// Error implements error.
func (d *DetourRefused) Error() string { return d.Cause.Error() }

// Unwrap returns the cause.
func (d *DetourRefused) Unwrap() error { return d.Cause }

// Figures is told what became of requests; metrics implement it.
type Figures interface {
	Request(service, team, outcome string)
	Refused(service, reason string)
	FirstToken(service string, d time.Duration)
	Waited(service string, d time.Duration)
	Resumed(service, reason string)
	Retried(service, reason string)
}

// Visit is a request that its door has let in: whose it is, where it goes and within
// which bounds. The data path reads nothing else of what the caller sent.
type Visit struct {
	Call headers.Call
	// Team is the caller's; "" if its route is open to all.
	Team    string
	Service string
	Route   *ruleset.Route
	// Rank orders those who wait for room, 0 first.
	Rank int
	// Revision is the version of the document or configuration that let it in.
	Revision int64
	// Proof is asked again before each send, as a key that was taken away meanwhile
	// must run nothing; nil where no key let the request in, or keys are not taken away
	// within a bound.
	Proof Proof

	Targets targets.Targets
	Budget  *retrybudget.Budget

	// Method, Target (path and query), Host and Header are as the endpoint is to see
	// them; Host is the endpoint's own address if it is "".
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte

	Arrived time.Time
	// Deadline is up to when an answer is of use: the caller's or the route's,
	// whichever is sooner.
	Deadline time.Time
}

// Server answers requests that a door has let in. Safe for concurrent use; the fields
// are set before use. Engines, Prober and Reports are needed for paths through layers
// only.
type Server struct {
	Dialect headers.Dialect
	Engines Engines
	Pool    *upstream.Pool
	Prober  *connprobe.Prober
	Reports *replicareport.Inspector
	Figures Figures
	Record  decisionlog.Recorder
	Log     hclog.Logger
	Now     func() time.Time
	// HoldBytes is the longest answer that is held back until it is known to be whole;
	// zero: DefaultHoldBytes.
	HoldBytes int
	// Sample: of the requests that go well one in so many is logged; the others are
	// remembered only. Zero logs all.
	Sample uint64

	requests atomic.Uint64
}

// request is one caller's request underway. It is used by one goroutine.
type request struct {
	*Visit
	s *Server
	// w takes the answer as it comes; nil where it is handed back whole.
	w http.ResponseWriter
	// caller ends when the caller leaves, ctx also at the deadline.
	caller context.Context
	ctx    context.Context
	log    hclog.Logger
	// sampled requests are logged although nothing goes wrong.
	sampled bool

	// tried are the replicas that failed this request; ran those of them that may
	// have begun it. sends counts the tries.
	tried []string
	ran   []string
	sends int
	last  verdict
	// lastTarget is where the last try went.
	lastTarget targets.Target

	// started is set once the caller has a part of the answer; events and at say
	// which.
	started bool
	events  int
	at      place
	// first is the time to the first event; longest the longest pause after it, which
	// began after pausedAt events.
	first    time.Duration
	longest  time.Duration
	pausedAt int
	heard    time.Time
	// waitedRoom is how long it waited for room, waitedBudget for the budget of tries.
	waitedRoom, waitedBudget time.Duration
}

// Serve answers one request. ctx ends when its caller leaves.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, v *Visit) {
	q, end := s.begin(ctx, w, v)
	defer end()
	answer, refusal := q.serve()
	switch {
	case refusal != nil && refusal.Status == statusCallerGone:
		s.Figures.Request(v.Service, v.Team, ReasonCallerGone)
		panic(http.ErrAbortHandler)
	case refusal != nil:
		q.refuse(refusal)
	case answer != nil:
		q.write(answer)
	}
}

// Do gets the whole answer to a request for a door that writes it itself. What failed
// for good comes as a refusal, which says what became of the request. Streams can't be
// had this way.
func (s *Server) Do(ctx context.Context, v *Visit) (*Answer, *outcome.Refusal) {
	q, end := s.begin(ctx, nil, v)
	defer end()
	return q.serve()
}

// Refuse answers a request that its door does not let in.
func (s *Server) Refuse(w http.ResponseWriter, v *Visit, r *outcome.Refusal) {
	q := &request{Visit: v, s: s, w: w}
	q.refuse(r)
}

func (s *Server) begin(caller context.Context, w http.ResponseWriter, v *Visit) (*request, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(caller, v.Deadline)
	return &request{
		Visit: v, s: s, w: w, caller: caller, ctx: ctx, log: s.Log.With("request", v.Call.ID),
		sampled: s.Sample == 0 || s.requests.Add(1)%s.Sample == 0,
	}, cancel
}

// Reasons of refusals, for logs and metrics.
const (
	ReasonNoEndpoint = "no_endpoint"
	ReasonNoRoom     = "no_room"
	ReasonOverloaded = "overloaded"
	ReasonUnknown    = "unknown"
	ReasonTimeout    = "timeout"
	ReasonCallerGone = "caller_gone"
)

const (
	// retryRoom is told when there is no room: about the time in which a tenth of
	// the streams of some seconds end.
	retryRoom = 400 * time.Millisecond
	// statusCallerGone is logged only; nobody is left to read it.
	statusCallerGone = 499
)

// NotRun is an answer to a request that did not run.
func NotRun(status int, code, message string, retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.NotRun, RetryAfter: retryAfter}
}

// unknown is an answer to a request that may have run.
func unknown(status int, code, message string) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.Unknown}
}

// refuse gives the final answer at once, with the reason in the log.
func (q *request) refuse(r *outcome.Refusal) {
	q.record(decisionlog.Decision{
		Kind: decisionlog.Refuse, Reason: r.Code,
		Notes: q.notes(decisionlog.Note{Name: "outcome", Text: string(r.Outcome)}, decisionlog.Note{Name: "last_try", Text: q.last.detail}),
		Figures: map[string]float64{
			"status": float64(r.Status), "waited_ms": millis(q.s.Now().Sub(q.Arrived)), "sends": float64(q.sends),
			"retry_after_ms": millis(r.RetryAfter),
		},
	})
	q.s.Figures.Refused(q.Service, r.Code)
	q.s.Dialect.Refuse(q.w, q.Call, r)
}

// record completes a decision about the request with what it is about.
func (q *request) record(d decisionlog.Decision) {
	d.At, d.Request, d.Team, d.Service, d.Revision = q.s.Now(), q.Call.ID, q.Team, q.Service, q.Revision
	if q.Proof != nil && d.Figures != nil {
		d.Figures["proof_age_ms"] = millis(q.Proof.Age())
	}
	q.s.Record.Record(d)
}

// notes adds the route to what else is to be said.
func (q *request) notes(list ...decisionlog.Note) []decisionlog.Note {
	if q.Route != nil {
		list = append(list, decisionlog.Note{Name: "route", Text: q.Route.Name})
	}
	return list
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
