package server

import (
	"context"

	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/platform/document"
	"github.com/cicadatack/cicadatack/platform/promotion"
	"github.com/cicadatack/cicadatack/platform/store"
	"github.com/cicadatack/cicadatack/route/directory"
)

// storeDocuments is the slot of the store that this node serves.
type storeDocuments struct {
	store store.Store
	key   string
	slot  string
}

func (s *Server) documents() storeDocuments {
	key := promotion.ProductionKey(s.settings.Environment)
	if s.settings.Slot == settings.SlotTrial {
		key = promotion.TrialKey(s.settings.Environment)
	}
	return storeDocuments{store: s.store, key: key, slot: s.settings.Environment + "/" + s.settings.Slot}
}

// Get reads the record in force; revision zero means none.
func (d storeDocuments) Get(ctx context.Context) (fleet.Record, error) {
	record, _, err := d.read(ctx)
	return record, err
}

func (d storeDocuments) read(ctx context.Context) (fleet.Record, int64, error) {
	e, err := d.store.Get(ctx, d.key)
	if err != nil || e.Revision == 0 {
		return fleet.Record{}, e.Revision, err
	}
	record, err := d.decode(e.Value)
	return record, e.Revision, err
}

func (d storeDocuments) decode(value []byte) (fleet.Record, error) {
	r, err := document.DecodeRecord(value)
	if err != nil {
		return fleet.Record{}, err
	}
	return fleet.Record{Environment: d.slot, Revision: r.Revision, Digest: r.Digest, Body: r.Text}, nil
}

// Watch hands over the record in force and each later one.
func (d storeDocuments) Watch(ctx context.Context, handle func(fleet.Record)) error {
	record, revision, err := d.read(ctx)
	if err != nil {
		return err
	}
	if record.Revision > 0 {
		handle(record)
	}
	return d.store.Watch(ctx, d.key, revision, func(e store.Event) {
		if e.Deleted || e.Entry.Key != d.key {
			return
		}
		// A record that can't be read is left out: the one in force stays.
		if next, err := d.decode(e.Entry.Value); err == nil {
			handle(next)
		}
	})
}

// apply puts a record in force on this node. A record that does not parse is
// refused and the one in force stays: it can only come from a newer program,
// as promotion checks every text.
func (s *Server) apply(r fleet.Record) {
	doc, err := document.Parse(r.Body)
	if err != nil {
		s.log.Error("document refused, the one in force stays", "revision", r.Revision, "error", err)
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
