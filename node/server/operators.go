package server

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/go-chi/chi/v5"

	"github.com/cicadatack/cicadatack/route/decision"
)

// Status is a node's answer to GET /v1/status.
type Status struct {
	Name          string         `json:"name"`
	Environment   string         `json:"environment"`
	Slot          string         `json:"slot"`
	FailureDomain string         `json:"failure_domain"`
	Ready         bool           `json:"ready"`
	Reason        string         `json:"reason,omitempty"`
	Draining      bool           `json:"draining"`
	Revision      int64          `json:"revision"`
	Digest        string         `json:"digest"`
	Underway      int64          `json:"underway"`
	Watching      bool           `json:"watching"`
	Members       []StatusMember `json:"members"`
	Services      map[string]int `json:"usable_slots"`
}

// StatusMember is one entry VM as the node sees it.
type StatusMember struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Incarnation   int64  `json:"incarnation"`
}

func (s *Server) operatorRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", s.readyz)
	r.Handle("/metrics", s.metrics.Handler())
	r.Group(func(r chi.Router) {
		r.Use(s.operatorsOnly)
		r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.status()) })
		r.Get("/v1/explain/{request}", s.explain)
		r.HandleFunc("/debug/pprof/*", pprof.Index)
		r.HandleFunc("/debug/pprof/profile", pprof.Profile)
		r.HandleFunc("/debug/pprof/trace", pprof.Trace)
		r.Post("/v1/drain", func(w http.ResponseWriter, _ *http.Request) {
			s.Drain()
			w.WriteHeader(http.StatusAccepted)
		})
	})
	return r
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := s.ready(); !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) ready() (bool, string) {
	if s.draining.Load() {
		return false, "draining"
	}
	if s.directory.Load() == nil {
		return false, "no environment document yet"
	}
	status := s.fleet.Status()
	return status.Ready, status.Reason
}

func (s *Server) status() Status {
	ready, reason := s.ready()
	status := Status{
		Name:          s.settings.Name,
		Environment:   s.settings.Environment,
		Slot:          s.settings.Slot,
		FailureDomain: s.settings.FailureDomain,
		Ready:         ready,
		Reason:        reason,
		Draining:      s.draining.Load(),
		Revision:      s.revision(),
		Underway:      s.front.Underway(),
		Watching:      s.fleet.Status().Watching,
		Services:      map[string]int{},
	}
	if d := s.directory.Load(); d != nil {
		status.Digest = d.Digest
	}
	for _, m := range s.fleet.Members() {
		status.Members = append(status.Members, StatusMember{m.Name, m.Address, m.FailureDomain, m.State.String(), m.Incarnation})
	}
	for _, each := range s.registry.All() {
		status.Services[each.Name] = each.Picker.Slots()
	}
	return status
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	found := s.decisions.Explain(chi.URLParam(r, "request"))
	if found == nil {
		http.Error(w, "this node remembers no decision about that request", http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		Decisions []decision.Decision `json:"decisions"`
	}{found})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The operator may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
