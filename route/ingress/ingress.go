// Package ingress lets callers' requests in by a ruleset: it reads the head, finds the
// route, checks the key and the bounds, reads the body, and hands what it let in to the
// data path. What it does not let in is refused at once, as not run.
package ingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
)

// Rules gives the configuration in force.
type Rules interface {
	relay.ConfigFreshness
	// Current returns the newest configuration, or nil if none is known yet.
	Current() *ruleset.Ruleset
	// First is closed once one is in force, with the endpoints of its services.
	First() <-chan struct{}
}

// Services gives what is needed to send to a service.
type Services interface {
	// Targets returns the service's endpoints, or nil if it is not known.
	Targets(service string) targets.Targets
	// Budget returns the service's budget of further tries.
	Budget(service string) *retrybudget.Budget
}

// Door serves a callers' listener. Safe for concurrent use.
type Door struct {
	Rules    Rules
	Services Services
	Path     *relay.Server
	// Leaving says how long ago the node was told to stop; zero if it was not.
	Leaving func() time.Duration
}

// ServeHTTP answers one request of a caller.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &entry{Door: d, w: w, r: r}
	e.visit = &relay.Request{Method: r.Method, Target: targetOf(r), Host: r.Host, Header: r.Header, Arrived: d.Path.Now()}
	if refusal := e.enter(); refusal != nil {
		d.Path.Refuse(w, e.visit, refusal)
		return
	}
	if refusal := e.readBody(); refusal != nil {
		d.Path.Refuse(w, e.visit, refusal)
		return
	}
	d.Path.Serve(r.Context(), w, e.visit)
}

// entry is one request on its way in.
type entry struct {
	*Door
	w     http.ResponseWriter
	r     *http.Request
	rules *ruleset.Ruleset
	visit *relay.Request
}

// Reasons of refusals, for logs and metrics.
const (
	reasonMalformed = "malformed"
	reasonNoRules   = "no_configuration"
	reasonNoRoute   = "no_route"
	reasonKey       = "unknown_key"
	reasonStale     = "stale_configuration"
	reasonTooLarge  = "body_too_large"
	reasonSlowBody  = "slow_body"
	reasonNoService = "unknown_service"
	reasonLeaving   = "leaving"
)

const (
	// retrySoon is told to callers whom another node can serve a moment later.
	retrySoon = 100 * time.Millisecond
	// retryRules is told when the configuration is not known or not proved: the time
	// of some reads of the store.
	retryRules = 500 * time.Millisecond
)

// enter checks who asks for what. It reads the head only.
func (e *entry) enter() *outcome.Refusal {
	v := e.visit
	var err error
	if v.Call, err = e.Path.HeaderCodec.Read(e.r.Header); err != nil {
		return relay.NotRun(http.StatusBadRequest, reasonMalformed, err.Error(), 0)
	}
	if e.rules = e.current(v.Call.Patience); e.rules == nil {
		return relay.NotRun(http.StatusServiceUnavailable, reasonNoRules, "no configuration is known yet", retryRules)
	}
	v.Revision = e.rules.Version
	if v.Route = e.rules.Match(hostOf(e.r.Host), e.r.URL.Path); v.Route == nil {
		return relay.NotRun(http.StatusNotFound, reasonNoRoute, "no route matches host and path", 0)
	}
	if refusal := e.authorize(); refusal != nil {
		return refusal
	}
	v.Service = v.Route.PickService(rand.Float64())
	if v.Targets = e.Services.Targets(v.Service); v.Targets == nil {
		return relay.NotRun(http.StatusServiceUnavailable, reasonNoService, "the route's service has no endpoints yet", retryRules)
	}
	v.Budget = e.Services.Budget(v.Service)
	v.Deadline = v.Arrived.Add(v.Route.Timeout)
	if v.Call.Patience > 0 && v.Call.Patience < v.Route.Timeout {
		v.Deadline = v.Arrived.Add(v.Call.Patience)
	}
	return e.leaving()
}

const (
	// firstRulesLeast and firstRulesMost bound how long a request waits for the first
	// configuration, firstRulesParts is the part of the caller's time: a node that starts
	// reads the store within some tenths of a second, and all nodes of a fleet may start
	// at once, with all callers before them. If the store is away, callers are told so.
	firstRulesLeast = 150 * time.Millisecond
	firstRulesMost  = time.Second
	firstRulesParts = 4
)

// current is the configuration in force. A request that finds none yet waits for a part
// of the time that its caller has.
func (e *entry) current(patience time.Duration) *ruleset.Ruleset {
	select {
	case <-e.Rules.First():
		return e.Rules.Current()
	default:
	}
	timer := time.NewTimer(min(max(patience/firstRulesParts, firstRulesLeast), firstRulesMost))
	defer timer.Stop()
	select {
	case <-e.Rules.First():
	case <-timer.C:
	case <-e.r.Context().Done():
	}
	return e.Rules.Current()
}

// authorize finds the caller's team. A key is judged only by a configuration that is
// proved to be young: one that was taken away must not run a request on a node that
// was cut off meanwhile.
func (e *entry) authorize() *outcome.Refusal {
	v := e.visit
	v.Rank = v.Route.Priority
	team := e.rules.Team(v.Call.Key)
	if team != nil {
		v.Team = team.Name
		if team.Priority != nil {
			v.Rank = *team.Priority // goes before the route's
		}
	}
	if v.Route.Public {
		return nil
	}
	v.Freshness = e.Rules
	if !e.Rules.Fresh() {
		return relay.NotRun(http.StatusServiceUnavailable, reasonStale, "keys can't be checked: the configuration store is out of reach", retryRules)
	}
	if team == nil {
		return relay.NotRun(http.StatusUnauthorized, reasonKey, "the key is missing or not known", 0)
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
func (e *entry) leaving() *outcome.Refusal {
	since := e.Leaving()
	if since == 0 {
		return nil
	}
	e.w.Header().Set("Connection", "close")
	bound := acceptOthers
	if e.visit.Route.Kind == ruleset.Stream {
		bound = acceptStreams
	}
	if since < bound {
		return nil
	}
	return relay.NotRun(http.StatusServiceUnavailable, reasonLeaving, "this node is about to stop", retrySoon)
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
func (e *entry) readBody() *outcome.Refusal {
	most := int64(e.rules.Limits.MaxBodyBytes)
	if e.r.ContentLength > most {
		return relay.NotRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is longer than the configuration allows", 0)
	}
	if e.r.Body == nil || e.r.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(e.w)
	if err := control.SetReadDeadline(e.visit.Deadline); err != nil {
		e.Path.Log.Debug("read deadline", "error", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, most))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return relay.NotRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is longer than the configuration allows", 0)
	case errors.Is(err, context.DeadlineExceeded) || isTimeout(err):
		return relay.NotRun(http.StatusRequestTimeout, reasonSlowBody, "the body did not arrive in time", 0)
	case err != nil:
		return relay.NotRun(http.StatusBadRequest, reasonMalformed, "the body can't be read", 0)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		e.Path.Log.Debug("read deadline", "error", err)
	}
	e.visit.Body = body
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
