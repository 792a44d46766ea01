package server

import (
	"context"
	"net/http"
	"time"

	"encoding/json"

	"github.com/cicadatack/cicadatack/platform/engineapi"
	"github.com/cicadatack/cicadatack/route/send"
)

// pollTimeout bounds one question for load; an endpoint that takes longer says
// enough by that.
const pollTimeout = time.Second

// pollLoop asks endpoints for their load in turn, at the pace of the settings.
// Answers to requests carry load too; the polls reach endpoints that get no
// requests, and tell of one that is leaving before a request meets it.
func (s *Server) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(time.Second / time.Duration(s.settings.Load.PollsPerSecond))
	defer ticker.Stop()
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d := s.directory.Load()
		if d == nil || len(d.Document.Endpoints) == 0 {
			continue
		}
		endpoint := d.Document.Endpoints[next%len(d.Document.Endpoints)]
		next++
		go s.poll(ctx, endpoint.Name, endpoint.Address)
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
