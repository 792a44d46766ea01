package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/draining"
	"github.com/cicadatack/cicadatack/decide/entrypoints"
	"github.com/cicadatack/cicadatack/fleet"
)

const (
	// spreadExchanges is how many intervals the word of a drain takes to reach
	// the fleet as a rumor, with one to spare at today's sizes.
	spreadExchanges = 3
	// servingTick is between two looks at the clock while a leaving node serves
	// on. A look that comes after standstill or more shows that the process
	// stood still; on a busy machine looks come tens of milliseconds late.
	servingTick = 100 * time.Millisecond
	standstill  = 500 * time.Millisecond
	// afterStandstill is enough to accept what waits in the listener's queue.
	afterStandstill = time.Second
	// streamsCloseTimeout bounds the wait for engines to hear of streams given
	// up; those that don't answer notice the closed connection.
	streamsCloseTimeout = 2 * time.Second
)

// Drain starts leaving; Run returns when it is done. Calling it again has no
// effect.
func (s *Server) Drain() {
	s.drainOnce.Do(func() { close(s.drain) })
}

// leave takes the node out of service. Entry answers that name it may still be
// in use, so it first tells the fleet and serves on until they have run out. A
// node that closed its listener at once would refuse callers who hold a valid
// answer. After that no new connection is taken, and what is underway finishes.
func (s *Server) leave() {
	s.drainingSince.Store(int64(time.Since(s.started)))
	s.draining.Store(true)
	s.log.Info("draining", "underway", s.front.ActiveRequests())
	ctx, cancel := s.drainContext()
	defer cancel()
	s.fleet.Drain(ctx)
	release := s.endRequestsAtLimit()
	defer release()
	s.serveOn(ctx)
	s.shutDown(ctx, s.callers)
	s.shutDown(ctx, s.peers) // it serves the calls that other nodes forward
	s.settleLast()
	streams, cancelStreams := context.WithTimeout(context.Background(), streamsCloseTimeout)
	defer cancelStreams()
	if err := s.streams.Close(streams); err != nil {
		s.log.Warn("engines not told of all streams given up", "error", err)
	}
	s.log.Info("drained")
}

// shutDown closes a listener and waits until its requests have ended.
func (s *Server) shutDown(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		s.log.Error("drain limit reached, requests cut off", "underway", s.front.ActiveRequests(), "error", err)
		server.Close()
	}
}

// endRequestsAtLimit ends the calls of plain services shortly before a limited drain ends, so that their callers
// get an answer.
func (s *Server) endRequestsAtLimit() (release func()) {
	drain := s.drainState()
	if !drain.Active() {
		return func() {}
	}
	timer := time.AfterFunc(drain.LastAnswer()-drain.Elapsed, s.endRequests)
	return func() { timer.Stop() }
}

// drainContext has no end by default: a graceful shutdown interrupts nothing.
func (s *Server) drainContext() (context.Context, context.CancelFunc) {
	limit := s.settings.Drain.LimitSeconds
	if limit == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), time.Duration(limit)*time.Second)
}

// drainState describes the drain for calls that arrive in it. Without a limit the node waits for all of
// them, so it accepts all.
func (s *Server) drainState() draining.Drain {
	limit := time.Duration(s.settings.Drain.LimitSeconds) * time.Second
	if limit == 0 || !s.draining.Load() {
		return draining.Drain{}
	}
	elapsed := time.Since(s.started) - time.Duration(s.drainingSince.Load())
	return draining.Drain{Elapsed: max(1, elapsed), AcceptFor: limit, End: limit}
}

// serveOn waits until no valid entry answer names this node any more.
func (s *Server) serveOn(ctx context.Context) {
	if s.directory.Load() == nil {
		return // without a document nobody was ever sent here
	}
	left := servingTime(s.spreadTime() + s.entryValidity())
	tick := time.NewTicker(servingTick)
	defer tick.Stop()
	for last := time.Now(); left > 0; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		left.passed(now.Sub(last))
		last = now
	}
}

// servingTime is how long a leaving node still has to serve callers.
type servingTime time.Duration

// passed takes off the time since the last look, but not time in which the
// process stood still.
//
// A node that is frozen while it serves on gets callers all the same: the
// kernel takes their connections. If the freeze counted, the node would close
// its listener as it wakes, and those callers would be reset although their
// entry answer names the node. So after a standstill it serves on long enough
// to take them.
func (t *servingTime) passed(since time.Duration) {
	if since < standstill {
		*t -= servingTime(since)
		return
	}
	*t = max(*t, servingTime(afterStandstill))
}

func (s *Server) spreadTime() time.Duration {
	interval := s.fleetConfig().Interval
	if interval == 0 {
		interval = fleet.DefaultInterval
	}
	return spreadExchanges * interval
}

func (s *Server) entryValidity() time.Duration {
	d := s.directory.Load()
	if d == nil || d.Document.Policy.EntryValidSeconds == 0 {
		return entrypoints.ValidFor
	}
	return time.Duration(d.Document.Policy.EntryValidSeconds) * time.Second
}

// closeWhenDraining asks callers to open their next connection elsewhere.
func (s *Server) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
