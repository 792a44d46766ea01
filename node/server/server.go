// Package server wires one node together: the store's client, the fleet, the
// services of the document in force and the three listeners for callers, peers
// and operators.
package server

import (
	"context"
	"math/rand/v2"
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
	"github.com/cicadatack/cicadatack/node/tlsfiles"
	"github.com/cicadatack/cicadatack/platform/kv"
	"github.com/cicadatack/cicadatack/route/answermemory"
	"github.com/cicadatack/cicadatack/route/chains"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/docindex"
	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/route/forwarder"
	"github.com/cicadatack/cicadatack/route/httpapi"
	"github.com/cicadatack/cicadatack/route/layerplans"
	"github.com/cicadatack/cicadatack/route/lifecycle"
	"github.com/cicadatack/cicadatack/route/modelservice"
	"github.com/cicadatack/cicadatack/route/plainservice"
	"github.com/cicadatack/cicadatack/route/reachability"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/route/service"
	"github.com/cicadatack/cicadatack/route/stream"
	"github.com/cicadatack/cicadatack/route/teamlimiter"
	"github.com/cicadatack/cicadatack/route/upstream"
	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/isolation"
	"github.com/cicadatack/cicadatack/state/ledger"
	"github.com/cicadatack/cicadatack/state/store"
)

// Error is the class of this layer's errors.
var Error = errs.Class("node")

// streamEpochs bounds the chains that one answer is given to. The chooser bounds
// tries without a token by itself; this keeps an answer that fails over with
// each token from going round for ever.
const streamEpochs = 16

const (
	// limitLease is how long a loan between two homes of a team's limit lasts. A
	// node that needs loans exchanges every fourth second with one home, so that
	// three homes meet twice in it.
	limitLease = 20 * time.Second
	// limitLeasePerHome is added for each home beyond four. A node with many to ask
	// asks in up to three of four seconds; with 37 homes a loan lasts 61 s, and going round
	// them takes 48 s.
	limitLeasePerHome = 1250 * time.Millisecond
)

// Server is one node. Create it with New, then call Run once.
type Server struct {
	settings  settings.Settings
	log       hclog.Logger
	store     *store.Client
	fleet     *fleet.Fleet
	registry  *service.Registry
	limits    *teamlimiter.Limiter
	decisions *decisionlog.Log
	metrics   *metrics.Metrics
	front     *httpapi.Server
	// guard keeps calls on which replicas crash away from them.
	guard      *crashguard.Guard
	isolations isolation.Table
	pool       *upstream.Pool
	// answers is the memory for answers that are buffered.
	answers    *answermemory.Budget
	prober     *connprobe.Prober
	reach      *reachability.Monitor
	forwarder  *forwarder.Forwarder
	engines    *engineclient.Client
	streams    *stream.Runner
	leaving    *leavingList
	peerFiles  *tlsfiles.Files
	orders     *ledger.Ledger
	orderPeers *orderPeers
	book       *layerplans.Cache
	keeper     *layerplans.Controller

	// parser is used by apply only, which the fleet calls one at a time.
	parser    document.Parser
	directory atomic.Pointer[docindex.Index]
	started   time.Time
	draining  atomic.Bool
	// drainingSince is when the drain began, in nanoseconds after started.
	drainingSince atomic.Int64
	// listed is how many entry VMs the platform's list last had; zero: not read.
	listed    atomic.Int64
	followMu  sync.Mutex
	followed  followed
	drainOnce sync.Once
	drain     chan struct{}
	// stopping is done once the calls of plain services have to end; endRequests ends it.
	stopping    context.Context
	endRequests context.CancelFunc

	callers   *http.Server
	peers     *http.Server
	operators *http.Server
	listeners listeners
}

// New returns a node whose addresses are open; Run serves on them.
func New(cfg settings.Settings, log hclog.Logger) (*Server, error) {
	s := &Server{settings: cfg, log: log, started: time.Now(), drain: make(chan struct{})}
	s.stopping, s.endRequests = context.WithCancel(context.Background())
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
	s.store, err = kv.Open(s.settings.Store.Address, store.Config{
		CallTimeout:    time.Duration(s.settings.Store.TimeoutMillis) * time.Millisecond,
		CallsPerSecond: float64(s.settings.Store.CallsPerSecond),
	})
	if err != nil {
		return err
	}
	s.store.Start()
	s.metrics = metrics.New(s.settings.Name, func(err error) { s.log.Error("metric not registered", "error", err) })
	s.decisions = decisionlog.NewLog(s.log)
	s.registry = service.NewRegistry(service.Config{
		Node:           s.settings.Name,
		FailureDomain:  s.settings.FailureDomain,
		Now:            time.Now,
		OnSlotsChanged: s.metrics.Slots,
	})
	s.limits = teamlimiter.New(limits.New(limits.Config{
		Self:         s.settings.Name,
		Lease:        limitLease,
		LeasePerHome: limitLeasePerHome,
	}), time.Now)
	s.leaving = newLeavingList(s.registry, s.log)
	s.pool = upstream.New(time.Now)
	s.pool.OnFault = s.metrics.FaultObserver(s.log)
	s.answers = answermemory.New(answerMemory)
	s.buildForwarding()
	s.isolations = isolation.Table{Store: s.store, Prefix: isolation.Prefix + s.settings.Environment + "/" + s.settings.Slot + "/"}
	s.guard = crashguard.New(crashguard.Config{
		Prober: s.prober, Metrics: s.metrics, Log: s.log, Now: time.Now, Versions: s.weights, Store: isolationStore{s.isolations}, Seed: rand.Uint64(),
	})
	s.engines = engineclient.NewObserved(s.reach.ObserveDial, s.pool.OnFault)
	s.streams = stream.New(s.engines, nil, stream.Options{MaxExecutions: streamEpochs, MaxAttempts: 2 * streamEpochs, OnCacheLost: s.cacheLost})
	s.orderPeers = newOrderPeers(s)
	s.orders = ledger.New(s.store, s.settings.Environment, ledger.Config{Peers: s.orderPeers})
	s.buildPlans()
	peers, err := s.peerConfig()
	if err != nil {
		return err
	}
	source := s.newDocuments()
	list := vmList{&vmCache{store: s.store, prefix: entryVMs}, s.settings.Slot}
	s.fleet, err = fleet.New(peers, sharedList{list, s}, source, s.log)
	if err != nil {
		return err
	}
	source.Follow(s.fleet.Latest)
	s.front = s.newFront()
	s.front.CallForwarder = s.newCallForwarder(peers)
	return s.buildListeners()
}

// cacheLost passes on that a stage of a model's replica has lost its cache.
func (s *Server) cacheLost(model, replica string) {
	if service := s.registry.Get(model); service != nil {
		service.PrefixIndex.Clear(replica)
		s.log.Info("cache lost by a stage", "service", model, "replica", replica)
	}
}

func (s *Server) fleetConfig() fleet.Config {
	return fleet.Config{
		Name:          s.settings.Name,
		Address:       advertised(s.settings.Peers, s.listeners.peers),
		CallerAddress: advertised(s.settings.Callers, s.listeners.callers),
		FailureDomain: s.settings.FailureDomain,
		Environment:   s.settings.Environment + "/" + s.settings.Slot,
		Limits:        s.limits,
		Orders:        s.orderPeers,
		Crashes:       s.guard,
		OnLeaving:     s.followLeaving,
		Interval:      time.Duration(s.settings.Fleet.IntervalMillis) * time.Millisecond,
	}
}

func (s *Server) newFront() *httpapi.Server {
	desk := &lifecycle.Manager{
		Services:    s.registry,
		TeamLimiter: s.limits,
		Recorder:    s.decisions,
		Metrics:     s.metrics,
		Now:         time.Now,
	}
	return &httpapi.Server{
		DocumentIndex: s.directory.Load,
		Drain:         s.drainState,
		Now:           time.Now,
		EntryProvider: &entries{server: s},
		ModelServer: &modelservice.Server{
			Lifecycle:    desk,
			Streams:      s.streams,
			Chains:       &chains.Resolver{Plans: s.book},
			PlanObserver: planWatcher{s.book, s.keeper},
			Metrics:      s.metrics,
			Guard:        s.guard,
		},
		PlainServer: &plainservice.Server{
			Lifecycle: desk,
			Relay: &relay.Server{
				HeaderCodec: plainservice.HeaderCodec{}, Pool: s.pool, Prober: s.prober, Metrics: s.metrics, Recorder: s.decisions, Log: s.log, Now: time.Now,
				MaxBufferedBytes: plainservice.MaxAnswerBytes, Drain: s.drainState, Memory: s.answers, Stopping: s.stopping,
			},
			Claims:  s.orders,
			Metrics: s.metrics,
		},
	}
}

// answerMemory bounds the memory of all answers of plain services that are buffered: eight of the longest.
const answerMemory = 8 * plainservice.MaxAnswerBytes

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
	work.Go(func() { s.eventsLoop(background) })
	work.Go(func() { s.leavingLoop(background) })
	work.Go(func() { s.followCrashes(background) })
	work.Go(func() { s.settleLoop(background) })
	work.Go(func() { s.reach.Run(background, s.prober) })
	work.Go(func() { s.book.Run(background) })
	work.Go(func() { s.keeper.Run(background) })
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

func (s *Server) revision() int64 {
	d := s.directory.Load()
	if d == nil {
		return 0
	}
	return d.Revision
}

func (s *Server) close() {
	s.orders.Close()
	s.peers.Close()
	s.operators.Close()
	s.pool.Close()
	s.engines.CloseIdle()
	_ = s.metrics.Close() // nothing is read any more
}
