package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cicadatack/cicadatack/decide/balance/rendezvous"
	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/state/isolation"
	"github.com/cicadatack/cicadatack/state/wait"
)

const (
	// crashInterval is how often new evidence of crashes is told to a peer at once, and new
	// isolations are stored.
	crashInterval = 200 * time.Millisecond
	// isolationsInterval is the mean time between two reads of the isolations in the store. All
	// nodes make them, so the fleet makes two a second for each hundred nodes.
	isolationsInterval = 45 * time.Second
	// isolationWriters nodes store an isolation at once; the others do if it is missing after
	// isolationsInterval.
	isolationWriters = 3
)

// followCrashes tells peers of crashes, stores new isolations and reads those of other nodes until
// ctx ends.
func (s *Server) followCrashes(ctx context.Context) {
	s.readIsolations(ctx)
	next := time.Now().Add(isolationsPause())
	for wait.For(ctx, crashInterval) {
		s.fleet.TellCrashes()
		due := !time.Now().Before(next)
		if due {
			s.readIsolations(ctx)
			next = time.Now().Add(isolationsPause())
		}
		if s.guard.Unstored() && (due || s.storesIsolations()) {
			s.guard.StoreNew(ctx)
			s.readIsolations(ctx)
		}
	}
}

// isolationsPause spreads the reads of nodes that start together.
func isolationsPause() time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(isolationsInterval))
}

func (s *Server) readIsolations(ctx context.Context) {
	list, faults, err := s.isolations.List(ctx)
	if err != nil {
		s.log.Debug("isolations not read", "error", err)
		return
	}
	if faults != nil {
		s.log.Warn("isolations can't be read", "error", faults)
	}
	s.guard.SetStored(list)
}

// storesIsolations reports whether this node is one of those that store new isolations: all nodes
// agree on which ones, as far as they know the same members.
func (s *Server) storesIsolations() bool {
	key := rendezvous.Hash("isolations")
	own := rendezvous.Score(key, rendezvous.Hash(s.settings.Name))
	higher := 0
	for _, m := range s.fleet.Members() {
		if m.State == membership.Live && rendezvous.Score(key, rendezvous.Hash(m.Name)) > own {
			higher++
		}
	}
	return higher < isolationWriters
}

// isolationStore implements crashguard.Store.
type isolationStore struct{ table isolation.Table }

var _ crashguard.Store = isolationStore{}

// Put implements crashguard.Store.
func (i isolationStore) Put(ctx context.Context, each poison.Isolation) (int64, error) {
	revision, err := i.table.Put(ctx, each)
	return revision, storeError(err)
}

// Remove implements crashguard.Store.
func (i isolationStore) Remove(ctx context.Context, each poison.Isolation) error {
	return storeError(i.table.Remove(ctx, each))
}

func storeError(err error) error {
	if errors.Is(err, isolation.ErrChanged) {
		return crashguard.ErrChanged
	}
	return err
}

// weights are the versions of the weights that the replicas of a model are to run.
func (s *Server) weights(service string) []string {
	d := s.directory.Load()
	if d == nil {
		return nil
	}
	each, ok := d.Service(service)
	if !ok || each.Model == nil || each.Model.Version == "" {
		return nil
	}
	return []string{each.Model.Version}
}
