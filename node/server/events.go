package server

import (
	"context"
	"time"

	"github.com/cicadatack/cicadatack/decide/cacheindex"
	"github.com/cicadatack/cicadatack/route/service"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// eventsLoop asks the engines of the replicas that this node uses for their cache
// events, in turn and at the pace of the settings, whatever their number. An
// engine tells its load in the same answer.
func (s *Server) eventsLoop(ctx context.Context) {
	s.paced(ctx, s.settings.Load.CacheEventPollsPerSecond, s.askEvents)
}

// askEvents asks the model replica that was asked longest ago, if one of any model
// must be asked in this turn.
func (s *Server) askEvents(ctx context.Context, pause time.Duration) {
	d := s.directory.Load()
	if d == nil {
		return
	}
	var of *service.Service
	var longest service.EventsPoll
	mustAsk := false
	for _, each := range s.registry.All() {
		if !each.IsModel() {
			continue
		}
		due, must := each.NextEventsPoll(pause)
		mustAsk = mustAsk || must
		if due.Endpoint != "" && (of == nil || due.LastPolledAt.Before(longest.LastPolledAt)) {
			of, longest = each, due
		}
	}
	if !mustAsk || of == nil {
		return
	}
	of.MarkEventsPolled(longest.Replica)
	if e, known := d.Endpoint(longest.Endpoint); known {
		go s.takeEvents(ctx, of, longest, e.Address)
	}
}

// loadWithEvents asks for load and cache events in one question, and says whether
// the load came.
func (s *Server) loadWithEvents(ctx context.Context, of *service.Service, endpoint, address string) bool {
	if !of.IsModel() {
		return false
	}
	due, ok := of.EventsPollFor(endpoint, s.pause(s.settings.Load.CacheEventPollsPerSecond))
	if !ok {
		return false
	}
	of.MarkEventsPolled(due.Replica)
	return s.takeEvents(ctx, of, due, address)
}

// takeEvents asks a replica's first stage for its cache events and says whether
// its load came along.
func (s *Server) takeEvents(ctx context.Context, of *service.Service, due service.EventsPoll, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	page, err := s.engines.CacheEvents(ctx, address, due.LastSequence)
	if err != nil {
		s.metrics.CacheEvents(of.Name, "failed")
		return false // silence takes the trust away by itself
	}
	if page.Load != nil {
		s.reportLoad(due.Endpoint, *page.Load)
	}
	change := of.PrefixIndex.Apply(due.Replica, pageOf(page))
	s.metrics.CacheEvents(of.Name, change.String())
	if change != cacheindex.Continued {
		s.log.Debug("cache events", "service", of.Name, "replica", due.Replica, "change", change.String())
	}
	return page.Load != nil
}

func pageOf(page engineapi.CachePage) cacheindex.Page {
	events := make([]cacheindex.Event, len(page.Events))
	for i, e := range page.Events {
		events[i] = cacheindex.Event(e)
	}
	return cacheindex.Page{Instance: page.Instance, Last: page.Last, Events: events}
}
