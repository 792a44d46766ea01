package server

import (
	"net/http"
	"net/http/pprof"

	"github.com/go-chi/chi/v5"

	"github.com/cicadatack/cicadatack/node/operators"
)

func (s *Server) operatorRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", s.readyz)
	r.Handle("/metrics", s.metrics.Handler())
	r.Group(func(r chi.Router) {
		r.Use(s.operatorsOnly)
		operators.Mount(r, s.status, s.decisions)
		operators.MountIsolated(r, s.guard)
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

func (s *Server) status() operators.Status {
	ready, reason := s.ready()
	spread := s.fleet.Status()
	status := operators.Status{
		Name:          s.settings.Name,
		Environment:   s.settings.Environment,
		Slot:          s.settings.Slot,
		FailureDomain: s.settings.FailureDomain,
		Ready:         ready,
		Reason:        reason,
		Draining:      s.draining.Load(),
		Revision:      s.revision(),
		Underway:      s.front.ActiveRequests(),
		Watching:      spread.Watching,
		Near:          spread.Near,
		Slots:         map[string]int{},
		Pushbacks:     map[string]map[string]int64{},
		CutOff:        s.reach.CutOffMillis(),
		IsolatedParts: operators.CountIsolated(s.guard),
	}
	if d := s.directory.Load(); d != nil {
		status.Digest = d.Digest
	}
	for _, m := range s.fleet.Members() {
		status.Members = append(status.Members, operators.Member{
			Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain, State: m.State.String(), Incarnation: m.Incarnation,
		})
	}
	for _, each := range s.registry.All() {
		status.Slots[each.Name] = each.Picker.Slots()
		if millis := each.Limits.PushbackMillis(); len(millis) > 0 {
			status.Pushbacks[each.Name] = millis
		}
	}
	return status
}
