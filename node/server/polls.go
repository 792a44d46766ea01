package server

import (
	"context"
	"net/http"
	"time"

	"encoding/json"

	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/route/send"
	"github.com/cicadatack/cicadatack/route/service"
)

// pollTimeout bounds one question for load; an endpoint that takes longer says
// enough by that.
const pollTimeout = time.Second

// smallFleet is the number of nodes up to which each polls at the pace of the
// settings. In a larger fleet a node polls less, down to once a second: it uses
// a part of the replicas, whose load its streams bring, and the polls of all
// nodes together must not grow with the fleet.
const smallFleet = 9

// pollLoop asks endpoints for their load. Answers to requests carry load too;
// the polls reach endpoints that get no requests, and tell of one that is
// leaving before a request meets it.
func (s *Server) pollLoop(ctx context.Context) {
	s.paced(ctx, s.settings.Load.PollsPerSecond, s.pollQuietest)
}

// paced calls ask at the pace of the settings until ctx ends.
func (s *Server) paced(ctx context.Context, perSecond int, ask func(context.Context)) {
	timer := time.NewTimer(s.pause(perSecond))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		ask(ctx)
		timer.Reset(s.pause(perSecond))
	}
}

// pause is the time between two polls at the pace of the settings, less in a large
// fleet.
func (s *Server) pause(perSecond int) time.Duration {
	nodes := max(len(s.fleet.Members()), 1)
	polls := float64(perSecond) * min(1, smallFleet/float64(nodes))
	return time.Duration(float64(time.Second) / max(1, polls))
}

// pollQuietest asks the endpoint that was heard of longest ago.
func (s *Server) pollQuietest(ctx context.Context) {
	d := s.directory.Load()
	if d == nil {
		return
	}
	var quietest *service.Service
	var name string
	var heard time.Time
	for _, each := range s.registry.All() {
		e, at, ok := each.Quiet()
		if ok && (quietest == nil || at.Before(heard)) {
			quietest, name, heard = each, e, at
		}
	}
	if quietest == nil {
		return
	}
	quietest.Asked(name, time.Now())
	if e, known := d.Endpoint(name); known {
		go s.poll(ctx, e.Name, e.Address)
	}
}

func (s *Server) poll(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := s.askLoad(ctx, address)
	if err != nil {
		return // requests find out for themselves; silence is no proof
	}
	for _, each := range s.registry.All() {
		each.ReportLoad(name, load)
	}
}

func (s *Server) askLoad(ctx context.Context, address string) (engineapi.Load, error) {
	response, err := s.sender.Do(ctx, send.Request{Address: address, Method: http.MethodGet, Path: engineapi.PathLoad})
	if err != nil {
		return engineapi.Load{}, err
	}
	defer response.Body.Close()
	var load engineapi.Load
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxLoadBytes)).Decode(&load)
	return load, err
}

// maxLoadBytes bounds what an endpoint may say of its load.
const maxLoadBytes = 4096
