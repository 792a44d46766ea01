package server

import (
	"slices"

	"github.com/cicadatack/cicadatack/decide/entrypoints"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/route/layerplans"
)

func (s *Server) buildPlans() {
	s.book = layerplans.NewBook(s.store, s.settings.Environment, s.log)
	s.keeper = layerplans.NewKeeper(layerplans.KeeperConfig{
		Node:        s.settings.Name,
		Environment: s.settings.Environment,
		Store:       s.store,
		Engines:     s.engines,
		Book:        s.book,
		Record:      s.decisions,
		Log:         s.log,
		Turn:        s.plansFor,
		Members:     func() any { return s.memberStamp() },
	})
}

// planWatcher passes on what streams tell of replicas.
type planWatcher struct {
	*layerplans.Book
	*layerplans.Keeper
}

// Suspect tells both the book, which reads the plan again, and the keeper, which
// looks at the engines if it is this node's turn.
func (w planWatcher) Suspect(model, replica string) {
	w.Book.Suspect(model, replica)
	w.Keeper.Suspect(model, replica)
}

// plansFor says whether it is this node's turn to keep a model's plans in a
// failure domain: the node that ranks first for it. Trial nodes keep none; the
// engines follow production.
//
// A node of that domain comes first, as its streams run there. Moves go by the hop
// times of the keeper's own streams: one in another domain keeps a plan without
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
