package site

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/storereaders"
	"github.com/cicadatack/cicadatack/fleet/reads"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/state/wait"
)

// Timing sets the pace of a node's own loops.
type Timing struct {
	// Poll is between two reads of the store; 0 takes pollPart of the tightest bound.
	// PollSoon is the same until the configuration is known, and after a read that
	// failed.
	Poll, PollSoon time.Duration
	// Spread is the time over which the nodes of a fleet that starts for the first time
	// make their first read: those that come later find readers to ask.
	Spread time.Duration
	// PlanAfter is how long a node that starts leaves the planning of layers to
	// others, and Settle how long the first plan of a domain waits for replicas after
	// the last one was listed.
	PlanAfter, Settle time.Duration
	// EntryTTL is how long callers keep an answer to where to connect. Some keep it
	// three times as long; a leaving node serves on for that.
	EntryTTL time.Duration
}

// DefaultTiming keeps the platform's bounds at the least number of calls.
//
//   - Poll 0.4 of the time in which a configuration must be in force, and a leaving
//     replica be let alone (0.8 of 2 s): one read may be lost.
//   - PlanAfter 1.5 s: by then the nodes that started together have entered
//     themselves. Settle 1.2 s: fleets start within a few seconds, and the first plan
//     is the only one that costs no load under traffic.
//   - EntryTTL 2 s: three times that are over before a leaving node is killed (8 s).
var DefaultTiming = Timing{
	PollSoon:  300 * time.Millisecond,
	Spread:    time.Second,
	PlanAfter: 1500 * time.Millisecond, Settle: 1200 * time.Millisecond,
	EntryTTL: 2 * time.Second,
}

const (
	// storeTimeout bounds one call: several times what a slow store takes, and short
	// enough that a connection which has gone silent costs one read.
	storeTimeout = 700 * time.Millisecond
	// pollPart of the tightest of the bounds on configurations and leaving replicas is
	// between two reads.
	pollPart = 0.4
	// askPart of that is between two questions to other nodes, which cost the store
	// nothing: what is heard is as old as their read and this pause together.
	askPart = 0.5
	// latePart of that is the age beyond which a node that others read for tries itself:
	// the greatest that it has while all is well.
	latePart = youngPart + askPart
	// youngPart of that is the greatest age of what another node is believed: its own
	// pause, with some for the read itself. Beyond it that node has lost the store.
	youngPart = 1.25
	// pollJitter is the part by which the pause varies, so that nodes which started
	// together do not call together.
	pollJitter = 0.1
)

// poller is what is remembered from one read of the store to the next.
type poller struct {
	tracker replicalist.Tracker
	decoded map[string]*replicalist.Replica // by id, with the revision that was decoded
	faulty  map[string]int64                // entries of other kinds that can't be read, by revision
	// passedOver are the entries of the last read that name no replica to use, by id; passing
	// are those of the read that is being taken.
	passedOver, passing map[string]passedEntry
	ruleRev             int64
	lost                bool // the last read failed
	asked               bool // what is known was heard from another node
	// retry says when this node may try the store again after reads that failed.
	retry storereaders.RetryTimer

	mu   sync.Mutex
	list []*replicalist.Replica
}

// passedEntry is a replica's entry that names no replica to use.
type passedEntry struct {
	revision int64
	reason   string
}

// follow reads the store until the context ends.
func (n *Node) follow(ctx context.Context) {
	if n.settings.FirstStart && !wait.For(ctx, rand.N(n.timing.Spread+1)) {
		return
	}
	n.meet(ctx)
	for ctx.Err() == nil {
		pause := n.look(ctx)
		jittered := time.Duration(float64(pause) * (1 + pollJitter*(rand.Float64()-0.5)))
		if !wait.For(ctx, jittered) {
			return
		}
	}
}

const (
	// meetFor is how long a node that starts waits for the readers of its domain, which may
	// start together with it, before it reads the store itself; meetEvery is between two
	// questions to them.
	meetFor   = 500 * time.Millisecond
	meetEvery = 50 * time.Millisecond
)

// meet learns of the readers of the failure domain from the entries of nodes alone, and
// takes what one of them has read. Were all nodes of a fleet that starts to read all that
// the store holds, they would wait for its link.
func (n *Node) meet(ctx context.Context) {
	entries, err := n.store.List(ctx, memberPrefix)
	n.storeCalled("nodes", err)
	if err != nil {
		return // the first look tries again, and tells
	}
	var found []member
	for _, e := range entries {
		if m, known, err := decodeMember(e); known && err == nil {
			found = append(found, m)
		}
	}
	n.members.set(found, false)
	for begun := time.Now(); !n.reads() && time.Since(begun) < meetFor; {
		if told, _ := n.ask(ctx); told && n.rules.Load() != nil {
			n.poll.asked = true
			return
		}
		if !wait.For(ctx, meetEvery) {
			return
		}
	}
}

// pollEvery is between two reads of the store.
func (n *Node) pollEvery() time.Duration {
	if n.timing.Poll > 0 {
		return n.timing.Poll
	}
	b := n.bounds()
	return time.Duration(float64(min(b.Apply, b.Drain)) * pollPart)
}

// maxReadInterval is the longest time between two reads in regular operation: one read may
// fail.
func (n *Node) maxReadInterval() time.Duration { return n.pollEvery() + storeTimeout }

// look learns what the store holds, and returns after how long to look again. One node
// of each failure domain reads it and the others ask.
func (n *Node) look(ctx context.Context) time.Duration {
	defer n.gauge()
	told, reached := n.ask(ctx)
	n.poll.asked = told
	read := !told && n.mayRead(reached) && n.tryStore(ctx, reached)
	if n.poll.lost && !told {
		n.listing.storeLost()
	}
	switch known := n.rules.Load() != nil; {
	case read && known && n.reads():
		return n.pollEvery()
	case told && known, read && !known:
		return time.Duration(float64(n.pollEvery()) * askPart)
	}
	return n.timing.PollSoon
}

// mayRead says whether this node reads the store now, as nobody tells it anything young.
// One that others read for does so once its own proof is older than it ever is while all
// is well: it may reach the store although they don't.
func (n *Node) mayRead(reached bool) bool {
	if !n.poll.retry.Due(time.Now(), n.reads()) {
		return false
	}
	late := time.Duration(float64(n.pollEvery()) * latePart)
	return n.rules.Load() == nil || n.reads() || n.Age() >= late
}

// tryStore reads the store and, if that fails, says when to try again.
func (n *Node) tryStore(ctx context.Context, reached bool) bool {
	if n.readStore(ctx) {
		n.poll.retry.Reset()
		return true
	}
	near, _ := n.peers(n.settings.Domain)
	n.poll.retry.Failed(time.Now(), storereaders.RetryState{
		BaseInterval: n.timing.PollSoon, DomainSize: len(near), IsReader: n.reads(), ReaderReached: reached,
		Starting: n.rules.Load() == nil,
	}, rand.Float64())
	return false
}

// readStore reads all that the store holds: configuration, replicas and nodes come with
// one call, so that one call proves all three.
func (n *Node) readStore(ctx context.Context) bool {
	proof, begun := sinceBoot(), time.Now()
	entries, revision, err := n.store.Changed(ctx, "", 0)
	n.storeCalled("read", err)
	if err != nil {
		if !n.poll.lost && ctx.Err() == nil {
			n.log.Warn("store lost", "error", err, "proof_age_ms", n.Age().Milliseconds())
		}
		n.poll.lost = true
		return false
	}
	if n.poll.lost {
		n.log.Info("store regained", "revision", revision, "proof_age_ms", n.Age().Milliseconds())
	}
	n.poll.lost = false
	n.listing.endPause()
	r := reads.Read{Entries: entries, Revision: revision, Proof: proof}
	n.readBegun.Store(int64(proof))
	n.copy.Set(r)
	n.asker.Took(r)
	n.use(ctx, begun, r)
	n.listing.storeReached(r.Proof)
	return true
}

// ask takes what another node of the failure domain has read: of the readers that come
// before this one, or, where this one has lost the store, of a node that reaches it. It
// says whether one had anything young enough, and whether any was reached.
func (n *Node) ask(ctx context.Context) (told, reached bool) {
	young := time.Duration(float64(n.pollEvery()) * youngPart)
	for _, m := range storereaders.ReadersToAsk(n.settings.Node, n.settings.Domain, n.members.readers()) {
		answer, ok := n.askOne(ctx, m.Address, young)
		reached = reached || answer.Reached
		if ok {
			return true, true
		}
	}
	if address := n.listing.youngerNode(time.Now(), young); address != "" && n.poll.lost && n.reads() {
		_, ok := n.askOne(ctx, address, young)
		return ok, reached
	}
	return false, reached
}

// askOne asks one node, and takes what it tells if that is young enough.
func (n *Node) askOne(ctx context.Context, address string, young time.Duration) (reads.Answer, bool) {
	begun := time.Now()
	answer, err := n.asker.Ask(ctx, address, young)
	if answer.Listed {
		n.listing.setHeard(begun)
	}
	if err != nil {
		n.log.Debug("not told", "address", address, "error", err)
		return answer, false
	}
	if !n.poll.asked {
		n.listing.endPause()
		n.log.Info("store read by another node", "address", address, "revision", answer.Read.Revision,
			"age_ms", (sinceBoot() - answer.Read.Proof).Milliseconds())
	}
	n.poll.asked = true
	n.poll.retry.Reset()
	// Those who ask this node may know of no other that has anything young.
	n.copy.Set(answer.Read)
	n.use(ctx, begun, answer.Read)
	n.listing.storeReached(answer.Read.Proof)
	return answer, true
}

// reads says whether this node reads the store itself.
func (n *Node) reads() bool {
	return storereaders.IsReader(n.settings.Node, n.settings.Domain, n.members.readers())
}
