package server

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/node/settings"
)

const (
	// readHeaderTimeout bounds how long a caller may take over its headers, so
	// that idle connections of strangers do not pile up.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes callers' connections that carry nothing.
	idleTimeout = 2 * time.Minute
)

// listeners are the node's open addresses.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

func (s *Server) listen() error {
	for _, each := range []struct {
		address string
		into    *net.Listener
	}{
		{s.settings.Callers.Listen, &s.listeners.callers},
		{s.settings.Peers.Listen, &s.listeners.peers},
		{s.settings.Operators.Listen, &s.listeners.operators},
	} {
		l, err := net.Listen("tcp", each.address)
		if err != nil {
			s.listeners.close()
			return err
		}
		*each.into = l
	}
	return nil
}

func (l listeners) close() {
	for _, each := range []net.Listener{l.callers, l.peers, l.operators} {
		if each != nil {
			each.Close()
		}
	}
}

// advertised is the address that others are told. A port 0 in the settings is
// known only once the listener is open.
func advertised(cfg settings.Listener, l net.Listener) string {
	if cfg.Advertise != "" {
		return cfg.Advertise
	}
	return l.Addr().String()
}

// serve starts the three servers; the channel tells of the first that fails.
func (s *Server) serve() <-chan error {
	all := map[*http.Server]net.Listener{
		s.callers:   s.listeners.callers,
		s.peers:     s.listeners.peers,
		s.operators: s.listeners.operators,
	}
	failed := make(chan error, len(all))
	for h, l := range all {
		go func() {
			if err := serveOn(h, l); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return failed
}

func (s *Server) buildListeners() error {
	s.callers = s.newHTTP(s.closeWhenDraining(s.front.Handler()))
	s.peers = s.newHTTP(s.peersHandler())
	s.operators = s.newHTTP(s.operatorRoutes())
	return s.secureListeners()
}

func (s *Server) newHTTP(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          s.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
	}
}
