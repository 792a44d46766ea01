package fleet

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/fleet/docsync"
	"github.com/cicadatack/cicadatack/fleet/drainnotice"
	"github.com/cicadatack/cicadatack/fleet/exchange"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"github.com/cicadatack/cicadatack/state/httpanswer"
	"github.com/cicadatack/cicadatack/state/wait"
	"github.com/hashicorp/go-hclog"
)

// Fleet is one node among the others. Its state is in shards, each under its
// own lock: the view of the members, the record, the notices, the subscribers.
type Fleet struct {
	cfg       Config
	vms       VMs
	documents Documents
	log       hclog.Logger
	client    *http.Client
	// orders has connections of its own: several batches of orders wait for the
	// store at a time.
	orders *http.Client

	view    viewShard
	records recordShard
	// telling is held while the view is looked at and told to the record shard.
	telling sync.Mutex
	notices noticeShard
	subs    subscribers
	// crashesTold is the state of the evidence of crashes that was last told at once.
	crashesTold atomic.Int64

	// running ends when Run returns; work started by peers' calls ends with it.
	running context.Context
	stop    context.CancelFunc
	work    workers
}

// workers counts the work that Run waits for.
type workers struct {
	sync.Mutex
	group  sync.WaitGroup
	closed bool
}

// wait lets no more work start and waits for what runs.
func (w *workers) wait() {
	w.Lock()
	w.closed = true
	w.Unlock()
	w.group.Wait()
}

// viewShard holds the members; snapshot is read without copying.
type viewShard struct {
	sync.Mutex
	machine  *membership.Machine
	snapshot []Member
	stale    bool
}

// recordShard holds the record and what the store last said.
type recordShard struct {
	sync.Mutex
	machine   *docsync.Machine
	lastStore time.Time
	packed    packedCache
	watching  bool
	// fetching is the revision that is being fetched; zero: none.
	fetching int64
}

// New returns a node that has not started; Run starts it.
func New(cfg Config, vms VMs, documents Documents, log hclog.Logger) (*Fleet, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		cfg:       cfg,
		vms:       vms,
		documents: documents,
		log:       log.Named("fleet"),
		client:    &http.Client{Transport: httpanswer.Checked(cfg.Transport, nil)},
		orders:    &http.Client{Transport: httpanswer.Checked(ordersTransport(cfg.Transport), nil)},
	}
	f.running, f.stop = context.WithCancel(context.Background())
	f.records.machine = docsync.New(docsync.Config{
		Self: cfg.Name, FailureDomain: cfg.FailureDomain, Environment: cfg.Environment,
	})
	f.notices.machine = drainnotice.New(drainnotice.Config{Interval: cfg.Interval})
	f.view.machine = membership.New(f.memberConfig(), time.Now())
	f.view.stale = true
	return f, nil
}

func (f *Fleet) memberConfig() membership.Config {
	now := time.Now()
	seed := fnv.New64a()
	seed.Write([]byte(f.cfg.Name))
	return membership.Config{
		Self: Member{
			Name:          f.cfg.Name,
			Address:       f.cfg.Address,
			CallerAddress: f.cfg.CallerAddress,
			FailureDomain: f.cfg.FailureDomain,
			Incarnation:   now.UnixMilli(),
			State:         membership.Joining,
			Slot:          slotOf(f.cfg.Environment),
		},
		Interval:  f.cfg.Interval,
		Seed:      seed.Sum64() ^ uint64(now.UnixNano()),
		Concerned: f.cfg.Limits.ExchangePeers,
	}
}

// slotOf is the hash by which members tell their environment slots apart.
func slotOf(environment string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(environment))
	return h.Sum32()
}

// SameSlot says whether a member serves the same environment slot as this
// node. Callers of production must not be sent to a node of the trial.
func (f *Fleet) SameSlot(m Member) bool { return m.Slot == slotOf(f.cfg.Environment) }

// Handler serves the peers' calls. It belongs on the peers' listener.
func (f *Fleet) Handler() http.Handler {
	server := exchange.NewPeerServer(peerServer{f})
	return withoutDate(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
		server.ServeHTTP(w, r)
	}))
}

// Run takes part in the fleet until ctx ends, and returns its error.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.work.wait()
	defer f.stop()
	stop := context.AfterFunc(ctx, f.stop)
	defer stop()
	f.start(f.listLoop)
	f.start(f.startupLoop)
	f.start(f.watchLoop)
	f.tickLoop()
	return ctx.Err()
}

// start runs work that ends with Run; after that it starts none.
func (f *Fleet) start(work func()) {
	f.work.Lock()
	defer f.work.Unlock()
	if !f.work.closed {
		f.work.group.Go(work)
	}
}

// tickLoop ticks with a jitter of a tenth, so that nodes started together do
// not exchange in step.
func (f *Fleet) tickLoop() {
	for {
		f.stepView(membership.Tick{})
		jitter := 0.9 + 0.2*rand.Float64()
		if !wait.For(f.running, time.Duration(float64(f.cfg.Interval)*jitter)) {
			return
		}
	}
}

// Members returns the view in name order, this node and members that are gone
// included. The slice must not be changed.
func (f *Fleet) Members() []Member {
	f.view.Lock()
	defer f.view.Unlock()
	if f.view.stale {
		f.view.snapshot = f.view.machine.Members()
		f.view.stale = false
	}
	return f.view.snapshot
}

// Drain tells the fleet that this node takes no new work. It returns once the
// first peers were told or ctx ended; the rest follows as a rumor.
func (f *Fleet) Drain(ctx context.Context) {
	batch := f.stepViewQuiet(membership.Drain{})
	var told sync.WaitGroup
	for _, send := range batch.Sends {
		told.Go(func() { f.exchangeWith(ctx, send) })
	}
	told.Wait()
}

// Latest returns the record in force, and false if the node is not ready.
func (f *Fleet) Latest() (Record, bool) {
	f.records.Lock()
	defer f.records.Unlock()
	return f.records.machine.Latest(), f.records.machine.Ready()
}

// Status returns the node's own state.
func (f *Fleet) Status() Status {
	f.view.Lock()
	lastPeer := f.view.machine.LastContact()
	f.view.Unlock()
	others := len(f.nodes())
	f.records.Lock()
	defer f.records.Unlock()
	s := Status{
		Ready:     f.records.machine.Ready(),
		Revision:  f.records.machine.Latest().Revision,
		Watching:  f.records.watching,
		Near:      f.records.machine.Near(),
		LastPeer:  lastPeer,
		LastStore: f.records.lastStore,
	}
	switch {
	case !s.Ready:
		s.Reason = "no record from the store or enough peers yet"
	case f.cutOff(s, others):
		s.Ready = false
		s.Reason = "cut off from store and peers for too long"
	}
	return s
}

// cutOff says that this node has heard nobody for MaxIsolation. Its record may
// then be far behind, and callers who reach it can reach the others. With few
// others it is as likely that these died while the store is down: the node
// then serves on, as it may be the only one that can.
func (f *Fleet) cutOff(s Status, others int) bool {
	if others < isolationOthers {
		return false
	}
	last := s.LastStore
	if s.LastPeer.After(last) {
		last = s.LastPeer
	}
	return time.Since(last) > f.cfg.MaxIsolation
}
