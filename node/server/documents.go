package server

import (
	"runtime/debug"

	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/node/documents"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/state/promotion"
)

// largeText is the size of a text from which its garbage is collected at once.
//
// A change of a document of 10,000 replicas leaves as much garbage as the node holds,
// 24 MB, and control may take 64. Collecting at half the usual garbage instead would
// bound it too, but cost every short request twice the processor time
// (docs/CAPACITY.md).
const largeText = 512 << 10

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
	d := docindex.Build(doc, r.Revision, r.Digest)
	s.registry.Apply(d)
	s.book.Apply(d)
	s.keeper.Apply(d)
	s.reach.SetEndpoints(endpointAddresses(d))
	s.directory.Store(d)
	s.metrics.Revision(r.Revision)
	s.followMembers()
	if len(r.Body) >= largeText {
		go debug.FreeOSMemory()
	}
	s.log.Info("document in force", "revision", r.Revision, "digest", r.Digest, "services", len(doc.Services), "teams", len(doc.Teams))
}
