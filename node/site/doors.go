package site

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/cicadatack/cicadatack/decide/entrypoints"
	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/platform/directory"
)

// serveReady answers the platform's checks.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready says whether this node takes requests.
func (n *Node) ready() bool {
	return n.rules.Load() != nil && n.leavingFor() == 0
}

// serveDirectory tells callers which nodes to use.
func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	near := entrypoints.PreferLocal(directory.Domain(r), n.entries())
	addresses := make([]string, 0, len(near))
	for _, m := range near {
		addresses = append(addresses, m.Address)
	}
	directory.Answer(w, addresses, min(n.timing.EntryTTL, n.bounds().EntryTTL))
}

// operatorsDoor serves metrics, the node's state and its decisions.
func (n *Node) operatorsDoor() http.Handler {
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/metrics", n.metrics.Handler())
	router.Get("/state", n.serveState)
	operators.Mount(router, n.status, n.decisions)
	operators.MountIsolated(router, n.guard)
	return router
}

// status is the node's state for operators.
func (n *Node) status() operators.Status {
	s := operators.Status{
		Name: n.settings.Node, FailureDomain: n.settings.Domain, Ready: n.ready() && n.Fresh(), Draining: n.leavingFor() > 0,
		ProofMillis: n.Age().Milliseconds(), Underway: n.underway.Load(), Replicas: n.countReplicas(),
		StoreCalls: n.storeCalls.all(), RateLimits: n.rateLimits(), Pushbacks: n.pushbacks(),
		CutOff: n.reach.CutOffMillis(), LoadControl: n.loadControl(),
		IsolatedParts: operators.CountIsolated(n.guard),
	}
	rules := n.rules.Load()
	switch {
	case rules == nil:
		s.Reason = "no configuration is known yet"
	case s.Draining:
		s.Reason = "leaving"
	case !s.Ready:
		s.Reason = "the configuration is not proved: the store is out of reach"
	}
	if rules != nil {
		s.Revision = rules.Version
	}
	for _, m := range n.members.get() {
		s.Members = append(s.Members, operators.Member{Name: m.Name, Address: m.Callers, FailureDomain: m.Domain, State: stateOf(m)})
	}
	return s
}

// stateOf says how a node is known: by an entry of its own, or as one that a reader lists.
func stateOf(m node) string {
	if m.HasEntry {
		return "entered"
	}
	return "listed"
}

// serveState tells what this node believes.
func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	state := map[string]any{
		"node": n.settings.Node, "proof_age_ms": n.Age().Milliseconds(), "fresh": n.Fresh(),
		"leaving": n.leavingFor() > 0, "underway": n.underway.Load(), "nodes": n.members.get(), "replicas": n.replicas(),
	}
	if rules := n.rules.Load(); rules != nil {
		state["configuration"] = rules.Version
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		n.log.Debug("state not sent", "error", err)
	}
}
