package server

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/route/service"
)

const (
	// flushInterval is between two tries to write results of orders that the
	// store did not take.
	flushInterval = 2 * time.Second
	// refreshInterval is how often figures are set and usable slots looked at
	// again; ejected replicas return by time alone.
	refreshInterval = time.Second
)

func (s *Server) refreshLoop(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.refresh()
		}
	}
}

// flushLoop writes results and releases of orders that the store did not take
// the first time. Without it they would wait for the next order of their shard,
// and a caller who asks again be told that its order is in doubt.
func (s *Server) flushLoop(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.flush(ctx)
		}
	}
}

func (s *Server) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushInterval)
	defer cancel()
	if owed := s.orders.Flush(ctx); owed > 0 {
		s.log.Warn("results of orders not written yet", "owed", owed)
	}
}

func (s *Server) refresh() {
	for _, each := range s.registry.All() {
		each.Picker.Refresh()
		s.logHealth(each)
	}
	s.metrics.Underway(s.front.Underway())
	s.metrics.Revision(s.revision())
	s.followMembers()
}

// logHealth writes a line for each replica that was ejected or has returned.
func (s *Server) logHealth(each *service.Service) {
	for _, c := range each.Picker.Changes() {
		s.log.Info("health", "service", each.Name, "replica", c.Replica,
			"from", c.From.String(), "to", c.To.String(), "cause", c.Cause.String())
		s.metrics.Health(each.Name, c.To.String())
	}
}
