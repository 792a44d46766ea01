package server

import (
	"context"

	"github.com/cicadatack/cicadatack/decide/cacheindex"
	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/route/service"
)

// eventsLoop asks the engines of the replicas that this node uses for their cache
// events, in turn and at the pace of the settings, whatever their number.
func (s *Server) eventsLoop(ctx context.Context) {
	s.paced(ctx, s.settings.Load.CacheEventPollsPerSecond, s.askEvents)
}

// askEvents asks the model replica that was asked longest ago.
func (s *Server) askEvents(ctx context.Context) {
	d := s.directory.Load()
	if d == nil {
		return
	}
	var of *service.Service
	var longest service.EventsDue
	for _, each := range s.registry.All() {
		if !each.IsModel() {
			continue
		}
		due, ok := each.EventsDue()
		if ok && (of == nil || due.Asked.Before(longest.Asked)) {
			of, longest = each, due
		}
	}
	if of == nil {
		return
	}
	of.EventsAsked(longest.Replica)
	if e, known := d.Endpoint(longest.Endpoint); known {
		go s.takeEvents(ctx, of, longest, e.Address)
	}
}

func (s *Server) takeEvents(ctx context.Context, of *service.Service, due service.EventsDue, address string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	page, err := s.engines.CacheEvents(ctx, address, due.After)
	if err != nil {
		s.metrics.CacheEvents(of.Name, "failed")
		return // silence takes the trust away by itself
	}
	change := of.Prefixes.Take(due.Replica, pageOf(page))
	s.metrics.CacheEvents(of.Name, change.String())
	if change != cacheindex.Continued {
		s.log.Debug("cache events", "service", of.Name, "replica", due.Replica, "change", change.String())
	}
}

func pageOf(page engineapi.CachePage) cacheindex.Page {
	events := make([]cacheindex.Event, len(page.Events))
	for i, e := range page.Events {
		events[i] = cacheindex.Event(e)
	}
	return cacheindex.Page{Instance: page.Instance, Last: page.Last, Events: events}
}
