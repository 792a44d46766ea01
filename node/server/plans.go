package server

import (
	"github.com/cicadatack/cicadatack/decide/entry"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/route/plans"
)

func (s *Server) buildPlans() {
	s.book = plans.NewBook(s.store, s.settings.Environment, s.log)
	s.keeper = plans.NewKeeper(plans.KeeperConfig{
		Node:        s.settings.Name,
		Environment: s.settings.Environment,
		Store:       s.store,
		Engines:     s.engines,
		Book:        s.book,
		Record:      s.decisions,
		Log:         s.log,
		Turn:        s.plansFor,
	})
}

// planWatcher passes on what streams tell of replicas.
type planWatcher struct {
	*plans.Book
	*plans.Keeper
}

// plansFor says whether it is this node's turn to keep a model's plans in a
// failure domain: the node that ranks first for it. Trial nodes keep none; the
// engines follow production.
func (s *Server) plansFor(model, domain string) bool {
	if s.settings.Slot != settings.SlotProduction || s.draining.Load() {
		return false
	}
	first := entry.Homes("plans/"+model+"/"+domain, s.entryMembers(), 1)
	return len(first) == 1 && first[0] == s.settings.Name
}
