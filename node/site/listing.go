package site

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/nodelist"
	"github.com/cicadatack/cicadatack/decide/storereaders"
	"github.com/cicadatack/cicadatack/fleet/reads"
	"github.com/cicadatack/cicadatack/state/store"
)

// listEvery is how often a node with an entry looks whether that must be written again:
// nodes that start or leave one after the other share a write.
const listEvery = 300 * time.Millisecond

// listing is how this node is named to others, and which nodes it lists itself. The
// lease and the fields after it are keepEntry's own.
type listing struct {
	lease   store.LeaseID
	renewed time.Time
	// written is the entry as it was last written, and entered when the store first held
	// it, on the clock of the proofs.
	written member
	entered time.Duration

	// wake is sent to when a read has come into force.
	wake chan struct{}

	mu   sync.Mutex
	roll nodelist.List
	// reached says that the store, or a node that reads it, answered the last look; proof
	// is that of the read in force.
	reached bool
	proof   time.Duration
	// notBefore is when the store may be called about the entry again, after a call that
	// failed. A read that succeeds ends this pause, but not before hungUntil.
	notBefore, hungUntil time.Time
	// heard is when a reader last said that it lists this node.
	heard time.Time
	// lists is set while this node has an entry and reaches the store: only then may it
	// say that it lists others.
	lists bool
	// younger is a node that has read the store although this one could not, and when it
	// said so.
	younger   string
	youngerAt time.Time
	full      bool // that the list was full has been told
}

// hasEntry says whether this node has an entry of its own.
func (l *listing) hasEntry() bool { return l.lease != 0 }

// storeReached records that a read has come into force, and wakes keepEntry.
func (l *listing) storeReached(proof time.Duration) {
	l.mu.Lock()
	l.reached, l.proof = true, proof
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // keepEntry is woken already
	}
}

// storeLost records that the last look found neither the store nor a node with recent data.
func (l *listing) storeLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reached = false
}

// endPause ends the pause after a call that failed.
func (l *listing) endPause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notBefore = l.hungUntil
}

// mayCall says whether the store may be called about the entry, and the proof of the read
// in force.
func (l *listing) mayCall() (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reached && !time.Now().Before(l.notBefore), l.proof
}

// setHeard records when a reader said that it lists this node.
func (l *listing) setHeard(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = at
}

func (l *listing) lastHeard() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

func (l *listing) setLists(lists bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists = lists
}

func (l *listing) near(now time.Time) []nodelist.Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roll.Nodes(now)
}

func (l *listing) adopt(now time.Time, list []nodelist.Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll.Restore(now, list)
}

// Heard implements reads.Listener.
func (n *Node) Heard(p reads.Peer) bool {
	l := &n.listing
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	p.Callers, p.Address, p.Link = address(p.Callers), address(p.Address), knownLink(p.Link)
	if !validName(p.Name) || p.Callers == "" {
		return false // it enters itself, if it is a node
	}
	if p.Address != "" && p.Age > 0 && p.Age < n.Age() {
		l.younger, l.youngerAt = p.Address, now
	}
	listed := l.roll.Heartbeat(now, nodelist.Node{Name: p.Name, CallerAddress: p.Callers, PeerAddress: p.Address, LinkMbps: p.Link})
	if !listed && !l.full {
		l.full = true
		n.log.Warn("node not listed", "node", p.Name, "most", nodelist.MaxNodes)
	}
	return listed && l.lists && n.leavingFor() == 0
}

// Left implements reads.Listener.
func (n *Node) Left(name string) {
	n.listing.mu.Lock()
	defer n.listing.mu.Unlock()
	n.listing.roll.Remove(name)
}

// self is what this node says of itself when it asks.
func (n *Node) self() reads.Peer {
	p := reads.Peer{Name: n.settings.Node, Callers: n.settings.Callers.String(), Address: n.peersAddress(), Link: n.settings.LinkMbps}
	if n.leaseID.Load() != 0 || n.leavingFor() > 0 {
		p.Name, p.Callers = "", "" // its own entry names it, or nobody is to
	}
	if begun := time.Duration(n.readBegun.Load()); begun > 0 {
		p.Age = sinceBoot() - begun
	}
	return p
}

// youngerNode is a node that can tell what this one could not read, "" if none has said
// so of late.
func (l *listing) youngerNode(now time.Time, within time.Duration) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.youngerAt) > within {
		return ""
	}
	return l.younger
}

// keepEntry keeps this node's entry in the store until the context ends. A call may hang
// for storeTimeout, so that it runs beside the loop that reads the store.
func (n *Node) keepEntry(ctx context.Context) {
	for {
		var tick <-chan time.Time
		if n.listing.hasEntry() {
			tick = time.After(listEvery)
		}
		select {
		case <-ctx.Done():
			return
		case <-n.listing.wake:
		case <-tick:
		}
		n.keepListed(ctx)
	}
}

// keepListed keeps this node's entry in the store, where it needs one.
func (n *Node) keepListed(ctx context.Context) {
	l := &n.listing
	may, proof := l.mayCall()
	if !may {
		return
	}
	leaving := n.leavingFor() > 0
	if !l.hasEntry() {
		if !leaving && n.needsEntry() {
			n.enter(ctx)
		}
		return
	}
	// A read that began before the entry was written doesn't show what the entry must contain.
	current := leaving || proof >= l.entered
	if current && !leaving && !n.needsEntry() {
		n.setLease(0) // an entry that is not needed lapses by itself
		return
	}
	if !n.renew(ctx) || !current {
		return
	}
	if m := n.entry(); !m.same(l.written) {
		n.write(ctx, l.lease, m)
	}
}

// needsEntry says whether this node needs an entry of its own: as a reader, or as no
// reader has heard it for as long as it would have been listed.
func (n *Node) needsEntry() bool {
	if storereaders.NeedsEntry(n.settings.Node, n.settings.Domain, n.members.readers()) {
		return true
	}
	heard := n.listing.lastHeard()
	if heard.IsZero() {
		heard = n.started
	}
	return time.Since(heard) >= nodelist.TTL
}

// entry is this node's as of now. A node that is no reader can't be asked: the others
// would take it for one.
func (n *Node) entry() member {
	m := member{
		Name: n.settings.Node, Domain: n.settings.Domain, Callers: n.settings.Callers.String(),
		Link: n.settings.LinkMbps, Leaving: n.leavingFor() > 0, Near: n.listing.near(time.Now()),
	}
	if storereaders.NeedsEntry(n.settings.Node, n.settings.Domain, n.members.readers()) {
		m.Peers = n.peersAddress()
	}
	return m
}

// same says whether two entries of a node say the same.
func (m member) same(other member) bool {
	return m.Callers == other.Callers && m.Peers == other.Peers && m.Leaving == other.Leaving && slices.Equal(m.Near, other.Near)
}

// enter gives this node an entry, which goes on with what its last process had listed.
func (n *Node) enter(ctx context.Context) {
	n.listing.adopt(time.Now(), n.members.entry(n.settings.Node).Near)
	// The nodes on which the entry is based may change while the lease is granted.
	m, begun := n.entry(), time.Now()
	lease, err := n.store.Grant(ctx, max(memberLease, n.settings.LeaseMin))
	n.storeCalled("lease", err)
	if err != nil {
		n.notListed("not entered in the store", err, begun)
		return
	}
	m.Leaving = n.leavingFor() > 0
	n.write(ctx, lease, m)
}

func (n *Node) write(ctx context.Context, lease store.LeaseID, m member) {
	begun := time.Now()
	value, err := json.Marshal(m)
	if err != nil {
		n.notListed("entry not written", err, begun)
		return
	}
	err = n.store.PutLeased(ctx, memberPrefix+n.settings.Node, value, lease)
	n.storeCalled("entry", err)
	switch {
	case errors.Is(err, store.ErrLeaseGone):
		n.lapsed()
	case err != nil:
		n.notListed("entry not written", err, begun)
	default:
		if !n.listing.hasEntry() {
			n.listing.renewed, n.listing.entered = time.Now(), sinceBoot()
			n.setLease(lease)
		}
		n.listing.written = m
		n.log.Info("entry written", "reader", m.Peers != "", "leaving", m.Leaving, "lists", len(m.Near))
	}
}

// renew renews the lease if that is due. It returns false if the renewal failed.
func (n *Node) renew(ctx context.Context) bool {
	l := &n.listing
	begun := time.Now()
	if begun.Sub(l.renewed) < memberLease/renewals {
		return true
	}
	_, err := n.store.KeepAlive(ctx, l.lease)
	n.storeCalled("renewal", err)
	switch {
	case err == nil:
		l.renewed = time.Now()
	case errors.Is(err, store.ErrLeaseGone):
		n.lapsed()
	default:
		n.notListed("lease not renewed", err, begun)
	}
	return err == nil
}

// lapsed gives up an entry that the store no longer holds; the next look enters anew.
func (n *Node) lapsed() {
	n.log.Warn("lease lapsed")
	n.setLease(0)
}

// listAgain is the mean pause after a call about the entry that failed, unless the store
// is read meanwhile.
const listAgain = time.Second

// notListed records that a call which began at the given time has failed. The next call waits at
// least as long as the failed one took, also if reads succeed. A store that answers no writes is
// therefore called at most once in two timeouts.
func (n *Node) notListed(what string, err error, begun time.Time) {
	l, now := &n.listing, time.Now()
	l.mu.Lock()
	l.notBefore = now.Add(listAgain/2 + rand.N(listAgain+1))
	l.hungUntil = now.Add(now.Sub(begun))
	l.mu.Unlock()
	n.log.Warn(what, "error", err)
}

// setLease also tells the goroutine that ends the lease when the node leaves.
func (n *Node) setLease(lease store.LeaseID) {
	n.listing.lease = lease
	n.listing.setLists(lease != 0)
	n.leaseID.Store(int64(lease))
}

// unlist takes this node off the list when it leaves: at once at the readers that list
// it, or by the end of its own entry. A node that lists others keeps its entry, marked,
// until they are listed elsewhere.
func (n *Node) unlist(ctx context.Context) {
	if lease := store.LeaseID(n.leaseID.Load()); lease != 0 {
		if len(n.listing.near(time.Now())) > 0 {
			return // keepEntry writes the mark
		}
		err := n.store.Revoke(ctx, lease)
		n.storeCalled("end", err)
		if err != nil {
			n.log.Warn("entry not removed, it lapses", "error", err)
		}
		return
	}
	for _, m := range storereaders.ReadersToAsk(n.settings.Node, n.settings.Domain, n.members.readers()) {
		if err := n.asker.Leave(ctx, m.Address, n.settings.Node); err != nil {
			n.log.Debug("reader not told", "node", m.Name, "error", err)
		}
	}
}
