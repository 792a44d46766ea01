package server

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/route/service"
)

// refreshInterval is how often figures are set and usable slots looked at again;
// ejected replicas return by time alone.
const refreshInterval = time.Second

func (s *Server) refreshLoop(ctx context.Context) {
	every(ctx, refreshInterval, s.refresh)
}

// every calls do after each interval until ctx ends. While do takes longer than
// the interval, calls are left out.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

func (s *Server) refresh() {
	for _, each := range s.registry.All() {
		each.Picker.Refresh()
		s.logHealth(each)
		s.guard.Gauge(each.Name)
	}
	s.pool.Prune()
	s.followLeaving()
	s.shareStore()
	s.metrics.Underway(s.front.ActiveRequests())
	s.metrics.Revision(s.revision())
	s.followMembers()
	s.followForwarding()
}

// followLeaving tells the services which endpoints leave.
func (s *Server) followLeaving() { s.leaving.follow(s.fleet.LeavingEndpoints) }

// logHealth writes a line for each replica that was ejected or has returned.
func (s *Server) logHealth(each *service.Service) {
	for _, c := range each.Picker.Changes() {
		s.log.Info("health", "service", each.Name, "replica", c.ReplicaID,
			"from", c.From.String(), "to", c.To.String(), "cause", c.Cause.String())
		s.metrics.Health(each.Name, c.To.String())
	}
}
