package ingress

import (
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/relay"
)

// forwardedRank is added to the rank of requests that another node forwards: this node's own
// callers come first if there is not enough capacity for all.
const forwardedRank = 1000

// reasonNotForwarded is the reason of refusals of requests that don't say which node forwards them.
const reasonNotForwarded = "not_forwarded"

// ForwardedHandler serves requests that other nodes forward because they reach no endpoint that
// could serve them. The keys are checked again by this node's configuration.
func (s *Server) ForwardedHandler() http.Handler { return http.HandlerFunc(s.serveForwarded) }

func (s *Server) serveForwarded(w http.ResponseWriter, r *http.Request) {
	forward, ok := headers.TakeForward(r.Header)
	target, hasPrefix := strings.CutPrefix(requestTarget(r), relay.ForwardPath)
	request := &relay.Request{
		Method: r.Method, Target: target, Host: r.Host, Header: r.Header, Forwarded: &forward,
		Arrived: s.Relay.Now().Add(-forward.Elapsed()),
	}
	if !ok || !hasPrefix {
		s.Relay.Refuse(w, request, relay.NotRun(http.StatusBadRequest, reasonNotForwarded, "the request does not say which node forwards it", 0))
		return
	}
	r.URL.Path = strings.TrimPrefix(r.URL.Path, relay.ForwardPath)
	s.serve(w, r, request)
}

// refuseOtherRules refuses a forwarded request unless this node has the version of the configuration in
// force that the forwarding node has. With an older version this node would handle the request as only
// that one allows; with a newer version, the next node that is asked could have an older one, and the
// callers of the forwarding node would see it go back. The node that is behind catches up: this one
// before it refuses, the forwarding node before it sends the request again.
func (in *incomingRequest) refuseOtherRules() *outcome.Refusal {
	forward := in.request.Forwarded
	if forward == nil {
		return nil
	}
	if in.rules.Version < forward.Revision {
		in.Rules.CatchUp(in.httpRequest.Context(), forward.Revision)
		in.useRules(in.Rules.Current())
	}
	switch {
	case in.rules.Version < forward.Revision:
		return relay.NotRun(http.StatusServiceUnavailable, relay.ReasonOlderRules, "this node has an older configuration", rulesRetryAfter)
	case in.rules.Version > forward.Revision:
		return relay.NotRun(http.StatusServiceUnavailable, relay.ReasonNewerRules, "this node has a newer configuration", rulesRetryAfter)
	}
	return nil
}

// pickService returns the service that the request goes to. A forwarded request goes to the one
// that was picked for it, if the route still has that service.
func (in *incomingRequest) pickService() string {
	route, forward := in.request.Route, in.request.Forwarded
	if forward != nil {
		for _, each := range route.WeightedServices {
			if each.Service == forward.Service && each.Weight > 0 {
				return each.Service
			}
		}
	}
	return route.PickService(rand.Float64())
}
