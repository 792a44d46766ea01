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
	// Loaded is closed once one is in force, with the endpoints of its services.
	Loaded() <-chan struct{}
}

// Services gives what is needed to send to a service.
type Services interface {
	// Targets returns the service's endpoints, or nil if it is not known.
	Targets(service string) targets.Targets
	// Budget returns the service's budget of further tries.
	Budget(service string) *retrybudget.Budget
}

// Server serves a callers' listener. Safe for concurrent use.
type Server struct {
	Rules    Rules
	Services Services
	Relay     *relay.Server
	// DrainingFor says how long ago the node was told to stop; zero if it was not.
	DrainingFor func() time.Duration
}

// ServeHTTP answers one request of a caller.
func (d *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &incomingRequest{Server: d, w: w, httpRequest: r}
	e.request = &relay.Request{Method: r.Method, Target: requestTarget(r), Host: r.Host, Header: r.Header, Arrived: d.Relay.Now()}
	if refusal := e.checkHead(); refusal != nil {
		d.Relay.Refuse(w, e.request, refusal)
		return
	}
	if refusal := e.readBody(); refusal != nil {
		d.Relay.Refuse(w, e.request, refusal)
		return
	}
	d.Relay.Serve(r.Context(), w, e.request)
}

// incomingRequest is one request on its way in.
type incomingRequest struct {
	*Server
	w     http.ResponseWriter
	httpRequest     *http.Request
	rules *ruleset.Ruleset
	request *relay.Request
}

// Reasons of refusals, for logs and metrics.
const (
	reasonMalformed = "malformed"
	reasonNoRules   = "no_configuration"
	reasonNoRoute   = "no_route"
	reasonUnknownKey       = "unknown_key"
	reasonStaleRules     = "stale_configuration"
	reasonTooLarge  = "body_too_large"
	reasonSlowBody  = "slow_body"
	reasonUnknownService = "unknown_service"
	reasonDraining   = "leaving"
)

const (
	// drainRetryAfter is told to callers whom another node can serve a moment later.
	drainRetryAfter = 100 * time.Millisecond
	// rulesRetryAfter is told when the configuration is not known or not proved: the time
	// of some reads of the store.
	rulesRetryAfter = 500 * time.Millisecond
)

// checkHead checks who asks for what. It reads the head only.
func (e *incomingRequest) checkHead() *outcome.Refusal {
	request := e.request
	var err error
	if request.Call, err = e.Relay.Headers.ParseRequest(e.httpRequest.Header); err != nil {
		return relay.NotRun(http.StatusBadRequest, reasonMalformed, err.Error(), 0)
	}
	if e.rules = e.waitForRules(request.Call.Timeout); e.rules == nil {
		return relay.NotRun(http.StatusServiceUnavailable, reasonNoRules, "no configuration is known yet", rulesRetryAfter)
	}
	request.Revision = e.rules.Version
	if request.Route = e.rules.Match(hostWithoutPort(e.httpRequest.Host), e.httpRequest.URL.Path); request.Route == nil {
		return relay.NotRun(http.StatusNotFound, reasonNoRoute, "no route matches host and path", 0)
	}
	if refusal := e.authorize(); refusal != nil {
		return refusal
	}
	request.Service = request.Route.Pick(rand.Float64())
	if request.Targets = e.Services.Targets(request.Service); request.Targets == nil {
		return relay.NotRun(http.StatusServiceUnavailable, reasonUnknownService, "the route's service has no endpoints yet", rulesRetryAfter)
	}
	request.Budget = e.Services.Budget(request.Service)
	request.Deadline = request.Arrived.Add(request.Route.Timeout)
	if request.Call.Timeout > 0 && request.Call.Timeout < request.Route.Timeout {
		request.Deadline = request.Arrived.Add(request.Call.Timeout)
	}
	return e.refuseWhileDraining()
}

const (
	// minRulesWait and firstRulesMost bound how long a request waits for the first
	// configuration, firstRulesParts is the part of the caller's time: a node that starts
	// reads the store within some tenths of a second, and all nodes of a fleet may start
	// at once, with all callers before them. If the store is away, callers are told so.
	minRulesWait = 150 * time.Millisecond
	maxRulesWait  = time.Second
	rulesWaitDivisor = 4
)

// waitForRules is the configuration in force. A request that finds none yet waits for a part
// of the time that its caller has.
func (e *incomingRequest) waitForRules(callerTimeout time.Duration) *ruleset.Ruleset {
	select {
	case <-e.Rules.Loaded():
		return e.Rules.Current()
	default:
	}
	timer := time.NewTimer(min(max(callerTimeout/rulesWaitDivisor, minRulesWait), maxRulesWait))
	defer timer.Stop()
	select {
	case <-e.Rules.Loaded():
	case <-timer.C:
	case <-e.httpRequest.Context().Done():
	}
	return e.Rules.Current()
}

// authorize finds the caller's team. A key is judged only by a configuration that is
// proved to be young: one that was taken away must not run a request on a node that
// was cut off meanwhile.
func (e *incomingRequest) authorize() *outcome.Refusal {
	request := e.request
	request.Rank = request.Route.Priority
	team := e.rules.Team(request.Call.Key)
	if team != nil {
		request.Team = team.Name
		if team.Priority != nil {
			request.Rank = *team.Priority // goes before the route's
		}
	}
	if request.Route.Public {
		return nil
	}
	request.Freshness = e.Rules
	if !e.Rules.Fresh() {
		return relay.NotRun(http.StatusServiceUnavailable, reasonStaleRules, "keys can't be checked: the configuration store is out of reach", rulesRetryAfter)
	}
	if team == nil {
		return relay.NotRun(http.StatusUnauthorized, reasonUnknownKey, "the key is missing or not known", 0)
	}
	return nil
}

const (
	// streamAcceptTime is how long after it was told to stop a node begins streams:
	// callers have been told to go elsewhere, and a stream of some seconds still
	// ends in time. One that would be cut is better begun elsewhere.
	streamAcceptTime = 2500 * time.Millisecond
	// shortRequestAcceptTime is the same for short requests.
	shortRequestAcceptTime = 5500 * time.Millisecond
)

// refuseWhileDraining sends callers elsewhere whose answer would not end before the node does.
func (e *incomingRequest) refuseWhileDraining() *outcome.Refusal {
	drainingFor := e.DrainingFor()
	if drainingFor == 0 {
		return nil
	}
	e.w.Header().Set("Connection", "close")
	acceptTime := shortRequestAcceptTime
	if e.request.Route.Kind == ruleset.Stream {
		acceptTime = streamAcceptTime
	}
	if drainingFor < acceptTime {
		return nil
	}
	return relay.NotRun(http.StatusServiceUnavailable, reasonDraining, "this node is about to stop", drainRetryAfter)
}

func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// requestTarget is the path and query as the caller sent them. A target in absolute form
// names the host as well.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readBody reads the whole body: it may have to be sent more than once, and an
// endpoint's connection must not wait for a slow caller.
func (e *incomingRequest) readBody() *outcome.Refusal {
	maxBytes := int64(e.rules.Limits.BodyBytes)
	if e.httpRequest.ContentLength > maxBytes {
		return relay.NotRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is longer than the configuration allows", 0)
	}
	if e.httpRequest.Body == nil || e.httpRequest.Body == http.NoBody {
		return nil
	}
	controller := http.NewResponseController(e.w)
	if err := controller.SetReadDeadline(e.request.Deadline); err != nil {
		e.Relay.Log.Debug("read deadline", "error", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(e.w, e.httpRequest.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return relay.NotRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is longer than the configuration allows", 0)
	case errors.Is(err, context.DeadlineExceeded) || isTimeout(err):
		return relay.NotRun(http.StatusRequestTimeout, reasonSlowBody, "the body did not arrive in time", 0)
	case err != nil:
		return relay.NotRun(http.StatusBadRequest, reasonMalformed, "the body can't be read", 0)
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		e.Relay.Log.Debug("read deadline", "error", err)
	}
	e.request.Body = body
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
