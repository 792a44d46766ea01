package server

import (
	"slices"

	"github.com/cicadatack/cicadatack/decide/entrypoints"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/route/layerplans"
)

func (s *Server) buildPlans() {
	s.book = layerplans.NewCache(s.store, s.settings.Environment, s.log)
	s.keeper = layerplans.NewController(layerplans.ControllerConfig{
		Node:              s.settings.Name,
		Environment:       s.settings.Environment,
		Store:             s.store,
		EngineClient:      s.engines,
		Cache:             s.book,
		Recorder:          s.decisions,
		Log:               s.log,
		IsOwner:           s.plansFor,
		MembershipVersion: func() any { return s.memberStamp() },
	})
}

// planWatcher passes on what streams tell of replicas.
type planWatcher struct {
	*layerplans.Cache
	*layerplans.Controller
}

// ReportPlanMismatch tells both the cache, which reads the plan again, and the
// controller, which looks at the engines if it is this node's turn.
func (w planWatcher) ReportPlanMismatch(model, replica string) {
	w.Cache.ReportPlanMismatch(model, replica)
	w.Controller.ReportPlanMismatch(model, replica)
}

// plansFor says whether it is this node's turn to keep a model's plans in a
// failure domain: the node that ranks first for it. Trial nodes keep none; the
// engines follow production.
//
// A node of that domain comes first, as its streams run there. Moves go by the hop
// times of the controller's own streams: one in another domain keeps a plan without
// ever hearing that a link has turned bad, and callers stay behind the link.
func (s *Server) plansFor(model, domain string) bool {
	if s.settings.Slot != settings.SlotProduction || s.draining.Load() {
		return false
	}
	return planKeeper(model, domain, s.entryMembers()) == s.settings.Name
}

// planKeeper is the node whose turn it is, empty if there is none.
func planKeeper(model, domain string, members []entrypoints.Member) string {
	key := "plans/" + model + "/" + domain
	near := slices.DeleteFunc(slices.Clone(members), func(m entrypoints.Member) bool { return m.FailureDomain != domain })
	for _, candidates := range [][]entrypoints.Member{near, members} {
		if first := entrypoints.Homes(key, candidates, 1); len(first) == 1 {
			return first[0]
		}
	}
	return ""
}
