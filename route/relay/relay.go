package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/paths"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/dialect"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/reach"
	"github.com/cicadatack/cicadatack/route/report"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// Error is the class of this layer's errors.
var Error = errs.Class("relay")

// Rules gives the configuration in force.
type Rules interface {
	// Current returns the newest configuration, or nil if none is known yet.
	Current() *ruleset.Ruleset
	// Fresh says whether it is proved young enough to serve requests with keys.
	Fresh() bool
	// Age is the age of the proof, for the log.
	Age() time.Duration
}

// Services gives what is needed to send to a service.
type Services interface {
	// Targets returns the service's endpoints, or nil if it is not known.
	Targets(service string) targets.Targets
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
}

// Budget bounds the tries of a service beyond the first of each request.
type Budget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// NewBudget returns a full budget.
func NewBudget(cfg retry.Config) *Budget {
	return &Budget{budget: retry.New(cfg)}
}

func (b *Budget) allow(now time.Time, a retry.Attempt) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Allow(now, a)
}

// left says whether a further try would be allowed.
func (b *Budget) left(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Left(now) >= 1
}

func (b *Budget) success(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Success(now)
}

// Server answers callers. Safe for concurrent use; the fields are set before use.
type Server struct {
	Rules    Rules
	Dialect  dialect.Dialect
	Services Services
	Engines  Engines
	Pool     *upstream.Pool
	Prober   *reach.Prober
	Reports  *report.Inspector
	Figures  Figures
	Log      hclog.Logger
	Now      func() time.Time
	// NewBudget makes the budget of a service seen for the first time.
	NewBudget func(service string) *Budget
	// Leaving says how long ago the node was told to stop; zero if it was not.
	Leaving func() time.Duration

	requests atomic.Uint64

	mu      sync.Mutex
	budgets map[string]*Budget
}

func (s *Server) budget(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		if s.budgets == nil {
			s.budgets = map[string]*Budget{}
		}
		b = s.NewBudget(service)
		s.budgets[service] = b
	}
	return b
}

// request is one caller's request underway. It is used by one goroutine.
type request struct {
	s       *Server
	w       http.ResponseWriter
	in      *http.Request
	ctx     context.Context
	call    dialect.Call
	rules   *ruleset.Ruleset
	route   *ruleset.Route
	team    *ruleset.Team
	service string
	targets targets.Targets
	budget  *Budget
	body    []byte
	target  string // path and query as the caller sent them
	arrived time.Time
	// deadline is up to when an answer is of use: the caller's or the route's,
	// whichever is sooner.
	deadline time.Time
	log      hclog.Logger

	// tried are the replicas that failed this request; ran those of them that may
	// have begun it. sends counts the tries.
	tried []string
	ran   []string
	sends int
	last  verdict
	// lastTarget is where the last try went.
	lastTarget targets.Target
	// number counts the node's requests, for the sampling of log lines.
	number uint64

	// started is set once the caller has a part of the answer; events and lastID say
	// which.
	started bool
	events  int
	lastID  string
	// first is the time to the first event; longest the longest pause after it, which
	// began after pausedAt events.
	first    time.Duration
	longest  time.Duration
	pausedAt int
	heard    time.Time
}

// ServeHTTP answers one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{s: s, w: w, in: r, arrived: s.Now(), log: s.Log, number: s.requests.Add(1)}
	if refusal := q.visit(); refusal != nil {
		q.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.ctx = ctx
	if refusal := q.readBody(); refusal != nil {
		q.refuse(refusal)
		return
	}
	q.serve()
}

// Reasons of refusals, for logs and metrics.
const (
	reasonMalformed  = "malformed"
	reasonNoRules    = "no_configuration"
	reasonNoRoute    = "no_route"
	reasonKey        = "unknown_key"
	reasonStale      = "stale_configuration"
	reasonTooLarge   = "body_too_large"
	reasonSlowBody   = "slow_body"
	reasonNoService  = "unknown_service"
	reasonNoEndpoint = "no_endpoint"
	reasonNoRoom     = "no_room"
	reasonUnknown    = "unknown"
	reasonTimeout    = "timeout"
	reasonLeaving    = "leaving"
	reasonCallerGone = "caller_gone"
)

const (
	// retrySoon is told to callers whom another node, or this one a moment later,
	// can serve.
	retrySoon = 100 * time.Millisecond
	// retryRoom is told when there is no room: about the time in which a tenth of
	// the streams of some seconds end.
	retryRoom = 400 * time.Millisecond
	// retryRules is told when the configuration is not known or not proved: the time
	// of some reads of the store.
	retryRules = 500 * time.Millisecond
)

// visit checks who asks for what. It reads the head only.
func (q *request) visit() *outcome.Refusal {
	call, err := q.s.Dialect.Read(q.in.Header)
	q.call = call
	if err != nil {
		return refusal(http.StatusBadRequest, reasonMalformed, err.Error(), 0)
	}
	q.log = q.s.Log.With("request", call.ID)
	q.rules = q.s.Rules.Current()
	if q.rules == nil {
		return refusal(http.StatusServiceUnavailable, reasonNoRules, "no configuration is known yet", retryRules)
	}
	q.route = q.rules.Match(hostOf(q.in.Host), q.in.URL.Path)
	if q.route == nil {
		return refusal(http.StatusNotFound, reasonNoRoute, "no route matches host and path", 0)
	}
	if refusal := q.authorize(); refusal != nil {
		return refusal
	}
	q.service = q.route.Pick(rand.Float64())
	q.targets = q.s.Services.Targets(q.service)
	if q.targets == nil {
		return refusal(http.StatusServiceUnavailable, reasonNoService, "the route's service has no endpoints yet", retryRules)
	}
	q.budget = q.s.budget(q.service)
	q.deadline = q.arrived.Add(q.route.Timeout)
	if call.Patience > 0 && call.Patience < q.route.Timeout {
		q.deadline = q.arrived.Add(call.Patience)
	}
	return q.leaving()
}

// authorize finds the caller's team. A key is judged only by a configuration that is
// proved to be young: one that was taken away must not run a request on a node that
// was cut off meanwhile.
func (q *request) authorize() *outcome.Refusal {
	q.team = q.rules.Team(q.call.Key)
	if q.route.Public {
		return nil
	}
	if !q.s.Rules.Fresh() {
		return refusal(http.StatusServiceUnavailable, reasonStale, "keys can't be checked: the configuration store is out of reach", retryRules)
	}
	if q.team == nil {
		return refusal(http.StatusUnauthorized, reasonKey, "the key is missing or not known", 0)
	}
	return nil
}

const (
	// acceptStreams is how long after it was told to stop a node begins streams:
	// callers have been told to go elsewhere, and a stream of some seconds still
	// ends in time. One that would be cut is better begun elsewhere.
	acceptStreams = 2500 * time.Millisecond
	// acceptOthers is the same for short requests.
	acceptOthers = 5500 * time.Millisecond
)

// leaving sends callers elsewhere whose answer would not end before the node does.
func (q *request) leaving() *outcome.Refusal {
	since := q.s.Leaving()
	if since == 0 {
		return nil
	}
	q.w.Header().Set("Connection", "close")
	bound := acceptOthers
	if q.route.Kind == ruleset.Stream {
		bound = acceptStreams
	}
	if since < bound {
		return nil
	}
	return refusal(http.StatusServiceUnavailable, reasonLeaving, "this node is about to stop", retrySoon)
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// targetOf is the path and query as the caller sent them. A target in absolute form
// names the host as well.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readBody reads the whole body: it may have to be sent more than once, and an
// endpoint's connection must not wait for a slow caller.
func (q *request) readBody() *outcome.Refusal {
	q.target = targetOf(q.in)
	if q.in.ContentLength > int64(q.rules.Limits.BodyBytes) {
		return refusal(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is longer than the configuration allows", 0)
	}
	if q.in.Body == nil || q.in.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(q.deadline); err != nil {
		q.log.Debug("read deadline", "error", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.in.Body, int64(q.rules.Limits.BodyBytes)))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return refusal(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is longer than the configuration allows", 0)
	case errors.Is(err, context.DeadlineExceeded) || isTimeout(err):
		return refusal(http.StatusRequestTimeout, reasonSlowBody, "the body did not arrive in time", 0)
	case err != nil:
		return refusal(http.StatusBadRequest, reasonMalformed, "the body can't be read", 0)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		q.log.Debug("read deadline", "error", err)
	}
	q.body = body
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// refusal is an answer to a request that did not run.
func refusal(status int, code, message string, retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.NotRun, RetryAfter: retryAfter}
}

// refuse gives the final answer at once, with the reason in the log.
func (q *request) refuse(r *outcome.Refusal) {
	fields := []any{
		"status", r.Status, "reason", r.Code, "outcome", r.Outcome, "service", q.service, "team", q.teamName(),
		"waited_ms", q.s.Now().Sub(q.arrived).Milliseconds(), "sends", q.sends, "retry_after_ms", r.RetryAfter.Milliseconds(),
		"proof_age_ms", q.s.Rules.Age().Milliseconds(),
	}
	if q.rules != nil {
		fields = append(fields, "configuration", q.rules.Version)
	}
	if q.route != nil {
		fields = append(fields, "route", q.route.Name)
	}
	if q.last.detail != "" {
		fields = append(fields, "last_try", q.last.detail)
	}
	q.log.Info("refused", fields...)
	q.s.Figures.Refused(q.service, r.Code)
	q.s.Dialect.Refuse(q.w, q.call, r)
}
