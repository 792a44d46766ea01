// Package site is a node on the users' platform: the same program on every entry VM,
// without a disk, told by a settings file where it stands.
//
// It wires the platform's adapter to the product: the store's reads become the
// configuration, the replicas and the other nodes in force; the callers' door leads
// to the data path (route/relay).
package site

import (
	"context"
	"hash/fnv"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/decide/freshness"
	"github.com/cicadatack/cicadatack/fleet/bookings"
	"github.com/cicadatack/cicadatack/fleet/reads"
	"github.com/cicadatack/cicadatack/node/metrics"
	"github.com/cicadatack/cicadatack/platform/boot"
	"github.com/cicadatack/cicadatack/platform/callers"
	"github.com/cicadatack/cicadatack/platform/engines"
	"github.com/cicadatack/cicadatack/platform/kv"
	"github.com/cicadatack/cicadatack/route/answermemory"
	"github.com/cicadatack/cicadatack/route/catchup"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/forwarder"
	"github.com/cicadatack/cicadatack/route/ingress"
	"github.com/cicadatack/cicadatack/route/reachability"
	"github.com/cicadatack/cicadatack/route/relay"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/replicareport"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/upstream"
	"github.com/cicadatack/cicadatack/state/store"
)

// Error is the class of this layer's errors.
var Error = errs.Class("site")

// Node is one node on the platform.
type Node struct {
	// MetricsPort, if it is not 0, serves the metrics at the VM's own address. It is
	// set before Run.
	MetricsPort uint16

	settings *boot.Settings
	// read reads the settings again.
	read    func() (*boot.Settings, error)
	inForce atomic.Pointer[boot.Bounds]
	log     hclog.Logger
	metrics *metrics.Metrics
	timing  Timing
	started time.Time
	seed    uint64

	store *store.Client
	pool  *upstream.Pool
	// answers is the memory for answers that are buffered.
	answers *answermemory.Budget
	prober  *connprobe.Prober
	reports *replicareport.Cache
	engines *engines.Client
	door    *ingress.Server
	// decisions are the latest about requests, for the operators.
	decisions *decisionlog.Log

	// taking is held while what was read from the store is put in force.
	taking sync.Mutex
	rules  atomic.Pointer[ruleset.Ruleset]
	// catchUp reads the configuration for forwarded requests whose other node has a newer one.
	catchUp *catchup.Reader
	// first is closed when the first configuration is in force, with the replicas of its
	// services.
	first     chan struct{}
	tookFirst sync.Once
	lease     struct {
		sync.Mutex
		freshness.Lease
	}
	services services
	reach    *reachability.Monitor
	// forwarder chooses the nodes that serve requests for this one, and peerPool holds the
	// connections to them.
	forwarder *forwarder.Forwarder
	peerPool  *upstream.Pool
	members   members
	poll      poller
	listing   listing
	// storeCalls and connections to endpoints are counted since the start.
	storeCalls, connections counts
	// leaseID is the lease of this node's entry in the store, 0 if it has none.
	leaseID atomic.Int64
	// readBegun is when this node's last read of the store began, on the clock of the
	// proofs; 0 if there was none.
	readBegun atomic.Int64
	// copy is what this node has read, asker what it hears from others; peerDoor is
	// where they ask it.
	copy     *reads.Copy
	asker    *reads.Asker
	peerDoor netip.AddrPort
	// bookings are what the nodes of the failure domain tell each other.
	bookings *bookings.Exchange
	// guard keeps requests on which replicas crash away from them.
	guard *crashguard.Guard
	// loans are the retries that the nodes of the failure domain lend to each other.
	loans loans
	// away are the replicas that turn requests away, by service, as they were last told in
	// the log; shareBookings' own.
	away map[string][]string
	// saturated are the services that were saturated at the last exchange; shareBookings' own.
	saturated map[string]bool

	// crashes is followCrashes' own.
	crashes crashSharing

	// leaving is when SIGTERM came, in nanoseconds after the start; zero before.
	leaving atomic.Int64
	// graceAtStop is the grace period that was in force then, in nanoseconds.
	graceAtStop atomic.Int64
	underway    atomic.Int64
	// stopping is done once the requests that are still underway have to end; endRequests ends it.
	stopping    context.Context
	endRequests context.CancelFunc
}

// freshFor is the part of the time after which a key that was taken away must run
// nothing, for which a proof of the configuration is good. Beyond 0.6 a request with a
// key is not owed on a node that can't reach the store; what is left takes up the
// time between a caller's sending and this node's reading.
const freshFor = 0.8

// New wires a node. read reads its settings again when they may have changed.
func New(settings *boot.Settings, read func() (*boot.Settings, error), timing Timing, log hclog.Logger) (*Node, error) {
	// A read that fails is followed by the next one of the loop, with the newest
	// proof; repeats within it would only delay that.
	client, err := kv.Open(settings.Store.String(), store.Config{CallTimeout: storeTimeout, ReadAttempts: 1})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	name := fnv.New64a()
	// A hash takes any write.
	_, _ = name.Write([]byte(settings.Node + settings.IP.String()))
	n := &Node{
		settings: settings,
		read:     read,
		timing:   timing,
		log:      log,
		started:  time.Now(),
		seed:     name.Sum64(),
		store:    client,
		first:    make(chan struct{}),
		pool:     upstream.New(time.Now),
	}
	n.storeCalls.at, n.connections.at = n.started, n.started
	n.away, n.saturated = map[string][]string{}, map[string]bool{}
	n.listing.wake = make(chan struct{}, 1)
	n.poll.decoded, n.poll.faulty = map[string]*replicalist.Replica{}, map[string]int64{}
	n.poll.passing = map[string]passedEntry{}
	n.copy, n.asker = reads.NewCopy(sinceBoot, n), reads.NewAsker(sinceBoot, n.self)
	if settings.PeerPort != 0 {
		n.peerDoor = netip.AddrPortFrom(settings.IP, settings.PeerPort)
	}
	n.metrics = metrics.New(settings.Node, func(err error) { log.Error("metric refused", "error", err) })
	n.engines = &engines.Client{Pool: n.pool, Answered: n.engineAnswered}
	n.prober = connprobe.New(n.pool, time.Now)
	n.reach = reachability.New(n.seed, log)
	n.pool.OnDial = func(address string, connected bool) {
		n.reach.ObserveDial(address, connected)
		n.prober.ObserveDial(address, connected)
	}
	n.peerPool = upstream.New(time.Now)
	n.pool.OnFault = n.metrics.FaultObserver(log)
	n.peerPool.OnFault = n.pool.OnFault
	n.forwarder = forwarder.New(settings.Node, settings.Domain, n.seed, n.reach, time.Now)
	n.reports = replicareport.New(engineCalls{n}, time.Now)
	n.inForce.Store(&settings.Bounds)
	n.lease.MaxAge = freshLimit(settings.Bounds)
	n.services.init(n)
	n.catchUp = catchup.New(n.Revision, n.readRules, n.metrics.CatchUp)
	n.bookings = bookings.New(settings.Node, time.Now, n.services.booked, n.services.seen, sharedLimits{n})
	n.bookings.SetLoads(n.services.loads)
	n.loans.init(n)
	n.bookings.SetRetryLoans(&n.loans)
	n.guard = crashguard.New(crashguard.Config{
		Prober: n.prober, Metrics: n.metrics, Log: log, Now: time.Now, Versions: n.versions, Incarnation: n.listedIncarnation, Store: isolationStore{n}, Seed: n.seed,
	})
	n.bookings.SetCrashes(n.guard, func(err error) { log.Warn("evidence of crashes passed over", "error", err) })
	n.decisions = decisionlog.NewLog(log)
	n.answers = answermemory.New(answerMemory(settings.MemoryMB))
	n.stopping, n.endRequests = context.WithCancel(context.Background())
	n.door = &ingress.Server{
		Rules: n, Services: &n.services, Drain: n.drain,
		Relay: &relay.Server{
			HeaderCodec: callers.Dialect{}, Engines: engineCalls{n}, Pool: n.pool, Prober: n.prober, Reports: n.reports,
			Forwarder: n.forwarder, PeerPool: n.peerPool, Guard: n.guard,
			Metrics: n.metrics, Recorder: n.decisions, Log: log, Now: time.Now, SampleEvery: successSample,
			Stopping: n.stopping, Drain: n.drain, Revisions: n, Memory: n.answers,
		},
	}
	return n, nil
}

// successSample: of the requests that are answered on time at the first try one in so
// many is logged.
const successSample = 10

// memoryPart of the process's bound is where garbage collection begins to work
// against the bound rather than at its own pace.
const memoryPart = 0.7

const (
	// answerMemoryPart of the process's bound is for answers that are buffered, up to maxAnswerMemory. Most
	// of the rest is the collector's, and what requests take beside their answers.
	answerMemoryPart = 1.0 / 8
	maxAnswerMemory  = 64 << 20
)

// answerMemory returns the memory for all answers that are buffered, in bytes.
func answerMemory(processMB int) int {
	if processMB <= 0 {
		return maxAnswerMemory // the settings state no bound
	}
	return min(int(answerMemoryPart*float64(processMB)*(1<<20)), maxAnswerMemory)
}

// Run serves until the context ends, and then leaves. The settings are read again at
// each reload.
func (n *Node) Run(ctx context.Context, reload <-chan struct{}) error {
	debug.SetMemoryLimit(int64(float64(n.settings.MemoryMB) * memoryPart * (1 << 20)))
	doors, err := n.open()
	if err != nil {
		return err
	}
	n.log.Info("started", "log_format", decisionlog.LogFormat, "domain", n.settings.Domain, "callers", n.settings.Callers, "directory", n.settings.Directory,
		"ready", n.settings.Ready, "control", n.settings.Control, "store", n.settings.Store)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go n.follow(background)
	go n.keepEntry(background)
	go n.recheck(background)
	go n.reach.Run(background, n.prober)
	go n.repace(background)
	go n.shareBookings(background)
	go n.followCrashes(background)
	go n.watchSettings(background, reload)
	failed := doors.serve()
	select {
	case err := <-failed:
		return Error.Wrap(err)
	case <-ctx.Done():
	}
	n.leave(background)
	if underway := n.underway.Load(); underway > 0 {
		n.log.Warn("requests cut by the stop", "underway", underway, "leaving_ms", n.leavingFor().Milliseconds())
	}
	doors.close()
	n.bookings.Close()
	n.tellCounts(0)
	n.log.Info("stopped", "underway", n.underway.Load())
	return nil
}

// Current implements ingress.Rules.
func (n *Node) Current() *ruleset.Ruleset { return n.rules.Load() }

// Revision implements relay.Revisions.
func (n *Node) Revision() int64 {
	if rules := n.rules.Load(); rules != nil {
		return rules.Version
	}
	return 0
}

// CatchUp implements relay.Revisions.
func (n *Node) CatchUp(ctx context.Context, revision int64) int64 {
	return n.catchUp.CatchUp(ctx, revision)
}

// Loaded implements ingress.Rules.
func (n *Node) Loaded() <-chan struct{} { return n.first }

// Fresh implements relay.ConfigFreshness.
func (n *Node) Fresh() bool {
	n.lease.Lock()
	defer n.lease.Unlock()
	return n.lease.Fresh(sinceBoot())
}

// Age implements relay.ConfigFreshness.
func (n *Node) Age() time.Duration {
	n.lease.Lock()
	defer n.lease.Unlock()
	age, _ := n.lease.Age(sinceBoot())
	return age
}

func (n *Node) prove(begun time.Duration) {
	n.lease.Lock()
	defer n.lease.Unlock()
	n.lease.Renew(begun)
}
