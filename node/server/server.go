// Package server wires one node together: the store's client, the fleet, the
// services of the document in force and the three listeners for callers, peers
// and operators.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/limits"
	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/node/metrics"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/platform/ledger"
	"github.com/cicadatack/cicadatack/platform/store"
	"github.com/cicadatack/cicadatack/route/chains"
	"github.com/cicadatack/cicadatack/route/decision"
	"github.com/cicadatack/cicadatack/route/directory"
	"github.com/cicadatack/cicadatack/route/engine"
	"github.com/cicadatack/cicadatack/route/front"
	"github.com/cicadatack/cicadatack/route/limiter"
	"github.com/cicadatack/cicadatack/route/model"
	"github.com/cicadatack/cicadatack/route/plain"
	"github.com/cicadatack/cicadatack/route/send"
	"github.com/cicadatack/cicadatack/route/service"
	"github.com/cicadatack/cicadatack/route/stream"
)

// Error is the class of this layer's errors.
var Error = errs.Class("node")

const (
	// readHeaderTimeout bounds how long a caller may take over its headers, so
	// that idle connections of strangers do not pile up.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes callers' connections that carry nothing.
	idleTimeout = 2 * time.Minute
	// limitLease is how long a loan between two homes of a team's limit lasts.
	// They exchange every fourth second with one home each, so that three homes
	// meet twice in it; with more homes, some loans run out and the even split
	// holds there.
	limitLease = 20 * time.Second
	// refreshInterval is how often figures are set and usable slots looked at
	// again; ejected replicas return by time alone.
	refreshInterval = time.Second
)

// Server is one node. Create it with New, then call Run once.
type Server struct {
	settings  settings.Settings
	log       hclog.Logger
	store     *store.HTTP
	fleet     *fleet.Fleet
	registry  *service.Registry
	limits    *limiter.Limiter
	ledger    *ledger.Ledger
	decisions *decision.Log
	metrics   *metrics.Metrics
	front     *front.Front
	sender    *send.Sender
	engines   *engine.Client
	streams   *stream.Runner
	leaving   *leavingList

	directory atomic.Pointer[directory.Directory]
	draining  atomic.Bool
	drainOnce sync.Once
	drain     chan struct{}

	callers   *http.Server
	peers     *http.Server
	operators *http.Server
	listeners listeners
}

// listeners are the node's open addresses.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// New returns a node whose addresses are open; Run serves on them.
func New(cfg settings.Settings, log hclog.Logger) (*Server, error) {
	s := &Server{settings: cfg, log: log, drain: make(chan struct{})}
	if err := s.listen(); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := s.build(); err != nil {
		s.listeners.close()
		return nil, Error.Wrap(err)
	}
	return s, nil
}

func (s *Server) build() error {
	var err error
	s.store, err = store.New(store.Config{
		Address:        s.settings.Store.Address,
		CallTimeout:    time.Duration(s.settings.Store.TimeoutMillis) * time.Millisecond,
		CallsPerSecond: float64(s.settings.Store.CallsPerSecond),
	})
	if err != nil {
		return err
	}
	s.metrics = metrics.New(s.settings.Name)
	s.decisions = decision.NewLog(s.log)
	s.registry = service.NewRegistry(service.Config{
		Node:          s.settings.Name,
		FailureDomain: s.settings.FailureDomain,
		Now:           time.Now,
		OnSlots:       s.metrics.Slots,
	})
	s.limits = limiter.New(limits.New(limits.Config{Self: s.settings.Name, Lease: limitLease}), time.Now)
	s.ledger = ledger.New(s.store, s.settings.Environment, ledger.Config{})
	s.leaving = newLeavingList(s.registry)
	s.sender = send.New()
	s.engines = engine.New(nil)
	s.streams = stream.New(s.engines, nil, stream.Options{})
	s.fleet, err = fleet.New(s.fleetConfig(), vmList{s.store, s.leaving}, s.documents(), s.log)
	if err != nil {
		return err
	}
	s.front = s.newFront()
	s.buildListeners()
	return nil
}

func (s *Server) fleetConfig() fleet.Config {
	return fleet.Config{
		Name:          s.settings.Name,
		Address:       advertised(s.settings.Peers, s.listeners.peers),
		CallerAddress: advertised(s.settings.Callers, s.listeners.callers),
		FailureDomain: s.settings.FailureDomain,
		Environment:   s.settings.Environment + "/" + s.settings.Slot,
		Limits:        s.limits,
		Interval:      time.Duration(s.settings.Fleet.IntervalMillis) * time.Millisecond,
	}
}

func (s *Server) newFront() *front.Front {
	return &front.Front{
		Directory: s.directory.Load,
		Now:       time.Now,
		Entries:   &entries{server: s},
		Models: &model.Server{
			Services: s.registry,
			Limits:   s.limits,
			Streams:  s.streams,
			Chains:   &chains.Resolver{},
			Record:   s.decisions,
			Figures:  s.metrics,
			Now:      time.Now,
		},
		Plains: &plain.Server{
			Services: s.registry,
			Limits:   s.limits,
			Sender:   s.sender,
			Claims:   s.ledger,
			Record:   s.decisions,
			Figures:  s.metrics,
			Now:      time.Now,
		},
	}
}

func (s *Server) buildListeners() {
	s.callers = newHTTP(s.closeWhenDraining(s.front.Handler()))
	s.peers = newHTTP(s.fleet.Handler())
	s.operators = newHTTP(s.operatorRoutes())
}

func newHTTP(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// Run serves until ctx ends or an operator asks for a drain; it then leaves
// without cutting off a request, and returns nil.
func (s *Server) Run(ctx context.Context) error {
	var err error
	background, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	s.fleet.OnRecord(s.apply)
	work.Go(func() { _ = s.fleet.Run(background) }) // ends with the context's error only
	work.Go(func() { s.refreshLoop(background) })
	work.Go(func() { s.pollLoop(background) })
	work.Go(func() { s.settleLoop(background) })
	failed := s.serve()
	s.log.Info("serving",
		"callers", s.listeners.callers.Addr().String(),
		"peers", s.listeners.peers.Addr().String(),
		"operators", s.listeners.operators.Addr().String())
	select {
	case err = <-failed:
	case <-ctx.Done():
	case <-s.drain:
	}
	if err == nil {
		s.leave()
	}
	stop()
	work.Wait()
	s.close()
	return Error.Wrap(err)
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
			if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return failed
}

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

func (s *Server) refresh() {
	for _, each := range s.registry.All() {
		each.Picker.Refresh()
	}
	s.metrics.Underway(s.front.Underway())
	s.metrics.Revision(s.revision())
	s.followMembers()
}

func (s *Server) revision() int64 {
	d := s.directory.Load()
	if d == nil {
		return 0
	}
	return d.Revision
}

func (s *Server) close() {
	s.ledger.Close()
	s.peers.Close()
	s.operators.Close()
	s.sender.Close()
	s.engines.CloseIdle()
	_ = s.metrics.Close() // nothing is read any more
}
