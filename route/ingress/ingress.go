// Package ingress accepts callers' requests by the rules of package ruleset, which are
// the node's configuration. It reads the headers, finds the route, checks the key and
// the limits, reads the body, and passes the request to package relay, which sends it
// to an endpoint. A request that is not accepted is refused at once, with the outcome
// "not run".
package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/decide/draining"
	"github.com/cicadatack/cicadatack/route/loadadmission"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
)

// Rules gives the current rules, which are the node's configuration.
type Rules interface {
	relay.ConfigFreshness
	relay.Revisions
	// Current returns the newest configuration, or nil if none has been loaded yet.
	Current() *ruleset.Ruleset
	// Loaded returns a channel that is closed when the first configuration is in force
	// and the endpoints of its services are known.
	Loaded() <-chan struct{}
}

// Services gives what is needed to send requests to a service.
type Services interface {
	// Targets returns the service's endpoints, or nil if the service is unknown.
	Targets(service string) targets.Targets
	// Budget returns the service's retry budget.
	Budget(service string) *retrybudget.Budget
	// Admission returns the admission of a service under load control, or nil for other
	// services.
	Admission(service string) *loadadmission.Admission
}

// Server serves a callers' listener. Safe for concurrent use.
type Server struct {
	Rules    Rules
	Services Services
	Relay    *relay.Server
	// Drain describes the node after it was told to stop.
	Drain func() draining.Drain
}

// ServeHTTP answers one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, &relay.Request{Method: r.Method, Target: requestTarget(r), Host: r.Host, Header: r.Header, Arrived: s.Relay.Now()})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, request *relay.Request) {
	in := &incomingRequest{Server: s, w: w, httpRequest: r, request: request}
	if refusal := in.checkHead(); refusal != nil {
		s.Relay.Refuse(w, in.request, refusal)
		return
	}
	if refusal := in.readBody(); refusal != nil {
		s.Relay.Refuse(w, in.request, refusal)
		return
	}
	s.Relay.Serve(r.Context(), w, in.request)
}

// incomingRequest is a request that is being checked.
type incomingRequest struct {
	*Server
	w           http.ResponseWriter
	httpRequest *http.Request
	rules       *ruleset.Ruleset
	request     *relay.Request
}

// Reasons of refusals, for logs and metrics.
const (
	reasonMalformed      = "malformed"
	reasonNoRules        = "no_configuration"
	reasonNoRoute        = "no_route"
	reasonUnknownKey     = "unknown_key"
	reasonStaleRules     = "stale_configuration"
	reasonTooLarge       = "body_too_large"
	reasonSlowBody       = "slow_body"
	reasonUnknownService = "unknown_service"
)

// rulesRetryAfter is the Retry-After while no recent configuration is known: the time of a
// few reads of the store.
const rulesRetryAfter = 500 * time.Millisecond

// checkHead reads the request's headers, finds the route and the service, and checks
// the caller's key.
func (in *incomingRequest) checkHead() *outcome.Refusal {
	request := in.request
	var err error
	if request.Call, err = in.Relay.HeaderCodec.ParseRequest(in.httpRequest.Header); err != nil {
		return relay.NotRun(http.StatusBadRequest, reasonMalformed, err.Error(), 0)
	}
	rules := in.waitForRules(request.Call.Timeout)
	if rules == nil {
		return relay.NotRun(http.StatusServiceUnavailable, reasonNoRules, "no configuration is known yet", rulesRetryAfter)
	}
	in.useRules(rules)
	if refusal := in.refuseOtherRules(); refusal != nil {
		return refusal
	}
	if request.Route = in.rules.Match(hostWithoutPort(in.httpRequest.Host), in.httpRequest.URL.Path); request.Route == nil {
		return relay.NotRun(http.StatusNotFound, reasonNoRoute, "no route matches host and path", 0)
	}
	if refusal := in.authorize(); refusal != nil {
		return refusal
	}
	request.Service = in.pickService()
	if request.Targets = in.Services.Targets(request.Service); request.Targets == nil {
		return relay.NotRun(http.StatusServiceUnavailable, reasonUnknownService, "the route's service has no endpoints yet", rulesRetryAfter)
	}
	request.Budget = in.Services.Budget(request.Service)
	request.Admission = in.Services.Admission(request.Service)
	request.Deadline = request.Arrived.Add(request.Route.Timeout)
	if request.Call.Timeout > 0 && request.Call.Timeout < request.Route.Timeout {
		request.Deadline = request.Arrived.Add(request.Call.Timeout)
	}
	return in.refuseWhileDraining()
}

// useRules sets the configuration that the request is handled by.
func (in *incomingRequest) useRules(rules *ruleset.Ruleset) {
	in.rules, in.request.Revision = rules, rules.Version
}

const (
	// A request that arrives before the first configuration is loaded waits for its
	// caller's timeout divided by rulesWaitDivisor, but at least minRulesWait and at
	// most maxRulesWait.
	//
	// A node that starts reads the store within some tenths of a second. All nodes of a
	// fleet may start at once while callers already send; refused callers would find no
	// other node. If the store can't be reached, the callers are refused after the
	// wait.
	minRulesWait     = 150 * time.Millisecond
	maxRulesWait     = time.Second
	rulesWaitDivisor = 4
)

// waitForRules returns the current configuration. If none is loaded yet, waitForRules
// waits for the first one.
func (in *incomingRequest) waitForRules(callerTimeout time.Duration) *ruleset.Ruleset {
	select {
	case <-in.Rules.Loaded():
		return in.Rules.Current()
	default:
	}
	timer := time.NewTimer(min(max(callerTimeout/rulesWaitDivisor, minRulesWait), maxRulesWait))
	defer timer.Stop()
	select {
	case <-in.Rules.Loaded():
	case <-timer.C:
	case <-in.httpRequest.Context().Done():
	}
	return in.Rules.Current()
}

// authorize finds the caller's team. Keys are checked only with a configuration that is
// confirmed to be recent. Otherwise, a node that is cut off from the store would serve
// requests with revoked keys.
func (in *incomingRequest) authorize() *outcome.Refusal {
	request := in.request
	team := in.rules.Team(request.Call.Key)
	if team != nil {
		request.Team = team.Name
	}
	request.Priority = in.rules.Rank(team, request.Route)
	request.Rank = request.Priority
	if request.Forwarded != nil {
		request.Rank += forwardedRank
	}
	if request.Route.Public {
		return nil
	}
	request.Freshness = in.Rules
	if !in.Rules.Fresh() {
		return relay.NotRun(http.StatusServiceUnavailable, reasonStaleRules, "keys can't be checked: the configuration store is out of reach", rulesRetryAfter)
	}
	if team == nil {
		return relay.NotRun(http.StatusUnauthorized, reasonUnknownKey, "the key is missing or not known", 0)
	}
	return nil
}

// refuseWhileDraining refuses requests that would outlast this node. A forwarded request is refused
// in any case, as the other node can ask a node that goes on.
func (in *incomingRequest) refuseWhileDraining() *outcome.Refusal {
	drain, request := in.Drain(), in.request
	if !drain.Active() {
		return nil
	}
	in.w.Header().Set("Connection", "close")
	if request.Forwarded == nil && drain.Accepts(request.Deadline.Sub(in.Relay.Now()), request.Route.Idempotent()) {
		return nil
	}
	return relay.NotRun(http.StatusServiceUnavailable, relay.ReasonLeaving, "this node is about to stop", relay.RetryAfterLeaving)
}

func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// requestTarget returns path and query as the caller sent them. A target in absolute
// form also has a host, which is left out.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// readBody reads the whole body before the request is sent to an endpoint. The body may
// have to be sent more than once, and the connection to an endpoint must not wait for a
// slow caller.
func (in *incomingRequest) readBody() *outcome.Refusal {
	maxBytes := int64(in.rules.Limits.MaxBodyBytes)
	if in.httpRequest.ContentLength > maxBytes {
		return relay.NotRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is longer than the configuration allows", 0)
	}
	if in.httpRequest.Body == nil || in.httpRequest.Body == http.NoBody {
		return nil
	}
	controller := http.NewResponseController(in.w)
	if err := controller.SetReadDeadline(in.request.Deadline); err != nil {
		in.Relay.Log.Debug("can't set the read deadline of the body", "error", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(in.w, in.httpRequest.Body, maxBytes))
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
		in.Relay.Log.Debug("can't set the read deadline of the body", "error", err)
	}
	in.request.Body = body
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
