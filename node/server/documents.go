package server

import (
	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/node/documents"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/platform/promotion"
	"github.com/cicadatack/cicadatack/route/directory"
)

// newDocuments returns the slot of the store that this node serves.
func (s *Server) newDocuments() *documents.Source {
	key := promotion.ProductionKey(s.settings.Environment)
	if s.settings.Slot == settings.SlotTrial {
		key = promotion.TrialKey(s.settings.Environment)
	}
	return documents.New(documents.Config{
		Store:       s.store,
		Environment: s.settings.Environment,
		Key:         key,
		Slot:        s.settings.Environment + "/" + s.settings.Slot,
		Log:         s.log,
		Refused:     s.metrics.DocumentRefused,
	})
}

// apply puts a record in force on this node. A record that does not parse is
// refused and the one in force stays: it can only come from a newer program,
// as promotion checks every text.
func (s *Server) apply(r fleet.Record) {
	doc, err := s.parser.Parse(r.Body)
	if err != nil {
		s.log.Error("document refused, the one in force stays", "revision", r.Revision, "error", err)
		s.metrics.DocumentRefused(documents.ReasonText)
		return
	}
	d := directory.Build(doc, r.Revision, r.Digest)
	s.registry.Apply(d)
	s.book.Apply(d)
	s.keeper.Apply(d)
	s.directory.Store(d)
	s.metrics.Revision(r.Revision)
	s.followMembers()
	s.log.Info("document in force", "revision", r.Revision, "digest", r.Digest, "services", len(doc.Services), "teams", len(doc.Teams))
}
