package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/route/service"
	"github.com/cicadatack/cicadatack/route/upstream"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// pollTimeout bounds one question for load; an endpoint that takes longer says
// enough by that.
const pollTimeout = time.Second

// smallFleet is the number of nodes up to which each polls at the pace of the
// settings. In a larger fleet a node polls less, down to once a second: it uses
// a part of the replicas, whose load its streams bring, and the polls of all
// nodes together must not grow with the fleet.
const smallFleet = 9

// pollLoop asks endpoints for their load. Answers to requests carry load too,
// and so do cache events; the polls reach endpoints that are not heard of
// otherwise, and tell of one that is leaving before a request meets it.
func (s *Server) pollLoop(ctx context.Context) {
	s.paced(ctx, s.settings.Load.PollsPerSecond, s.pollQuietest)
}

// paced calls ask at the pace of the settings until ctx ends, with the pause
// between two calls.
func (s *Server) paced(ctx context.Context, perSecond int, ask func(context.Context, time.Duration)) {
	pause := s.pause(perSecond)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		ask(ctx, pause)
		pause = s.pause(perSecond)
		timer.Reset(pause)
	}
}

// pause is the time between two polls at the pace of the settings, less in a large
// fleet.
func (s *Server) pause(perSecond int) time.Duration {
	nodes := max(len(s.fleet.Members()), 1)
	polls := float64(perSecond) * min(1, smallFleet/float64(nodes))
	return time.Duration(float64(time.Second) / max(1, polls))
}

// pollQuietest asks the endpoint that was heard of longest ago, if one of any
// service must be asked in this turn.
func (s *Server) pollQuietest(ctx context.Context, pause time.Duration) {
	d := s.directory.Load()
	if d == nil {
		return
	}
	var quietest *service.Service
	var due service.LoadPoll
	mustAsk := false
	for _, each := range s.registry.All() {
		next, must := each.NextLoadPoll(pause)
		mustAsk = mustAsk || must
		if next.Endpoint != "" && (quietest == nil || next.LastContact.Before(due.LastContact)) {
			quietest, due = each, next
		}
	}
	if !mustAsk {
		return
	}
	quietest.MarkLoadPolled(due.Endpoint, time.Now())
	if e, known := d.Endpoint(due.Endpoint); known {
		go s.poll(ctx, quietest, e.Name, e.Address)
	}
}

// poll asks an endpoint for its load, along with its cache events if these are to
// be asked for soon.
func (s *Server) poll(ctx context.Context, of *service.Service, name, address string) {
	if s.loadWithEvents(ctx, of, name, address) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := s.askLoad(ctx, address)
	if err != nil {
		return // requests find out for themselves; silence is no proof
	}
	s.reportLoad(name, load)
}

func (s *Server) reportLoad(endpoint string, load engineapi.Load) {
	for _, each := range s.registry.All() {
		each.RecordLoad(endpoint, load)
	}
}

func (s *Server) askLoad(ctx context.Context, address string) (engineapi.Load, error) {
	var load engineapi.Load
	answer, err := s.pool.Send(ctx, upstream.Request{
		Address: address, Host: address, Method: http.MethodGet, Target: engineapi.PathLoad, HeadTimeout: pollTimeout,
	})
	if err != nil {
		return load, err
	}
	defer answer.Close()
	body, err := answer.ReadAll(maxLoadBytes, pollTimeout)
	if err != nil {
		return load, err
	}
	answer.KeepAlive(0)
	return load, json.Unmarshal(body, &load)
}

// maxLoadBytes bounds what an endpoint may say of its load.
const maxLoadBytes = 4096
