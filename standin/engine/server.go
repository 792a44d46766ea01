package engine

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// readHeaderTimeout bounds the wait for a request's headers.
const readHeaderTimeout = 10 * time.Second

// Server is an engine that listens.
type Server struct {
	Engine  *Engine
	Address string

	server *http.Server
	done   chan struct{}
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

// Start serves an engine on address; port 0 picks a free one.
func Start(address string, cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Server{
		Address: listener.Addr().String(),
		done:    make(chan struct{}),
		conns:   map[net.Conn]struct{}{},
	}
	if cfg.Name == "" {
		cfg.Name = s.Address
	}
	s.Engine = New(cfg)
	s.server = &http.Server{Handler: s.Engine, ReadHeaderTimeout: readHeaderTimeout, ConnState: s.track}
	go func() {
		defer close(s.done)
		s.server.Serve(listener)
	}()
	return s, nil
}

// Stage describes the server as a stage that runs what it holds now.
func (s *Server) Stage() engineapi.Stage {
	s.Engine.mu.Lock()
	defer s.Engine.mu.Unlock()
	h := s.Engine.holding
	return engineapi.Stage{Endpoint: s.Engine.name(), Address: s.Address, First: h.First, Last: h.Last}
}

func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// CutConnections closes every connection at once; the server goes on.
func (s *Server) CutConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// Kill ends the server as a crash does: connections break, the address then
// refuses. It returns when the engine's goroutines have ended.
func (s *Server) Kill() {
	s.server.Close()
	s.Engine.Close()
	<-s.done
}

// Close is Kill, for defer.
func (s *Server) Close() { s.Kill() }
