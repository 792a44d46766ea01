package site

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/decide/storereaders"
	"github.com/cicadatack/cicadatack/fleet/bookings"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/state/isolation"
	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/wait"
)

const (
	// followCrashesEvery is how often a node looks whether something about crashes is new. A request
	// whose replica has crashed waits until other nodes clear its parts.
	followCrashesEvery = 100 * time.Millisecond
	// domainsPerShare bounds the failure domains that are told of crashes at a time. Those that
	// are told pass it on.
	domainsPerShare = 4
	// storeByOthersAfter is how long a node that does not read the store leaves it to the readers
	// to store an isolation.
	storeByOthersAfter = 3 * time.Second
)

// crashSharing is the state of followCrashes, which alone uses it.
type crashSharing struct {
	// told is the state of the evidence that was last told.
	told int64
	// unstoredSince is when this node first knew an isolation that the store does not hold; zero if
	// there is none.
	unstoredSince time.Time
}

// followCrashes tells other nodes what is new about crashes, and stores new isolations, until the
// context ends. What is not new travels in the exchange of bookings, for nodes that were not told.
func (n *Node) followCrashes(ctx context.Context) {
	for wait.For(ctx, followCrashesEvery) {
		n.shareCrashes(ctx)
		n.storeIsolations(ctx)
	}
}

// shareCrashes tells the readers of this node's failure domain what is new. The readers also tell
// those of other domains.
func (n *Node) shareCrashes(ctx context.Context) {
	changes := n.guard.Changes()
	if changes == n.crashes.told || !n.peerDoor.IsValid() {
		return
	}
	n.crashes.told = changes
	peers := n.readersHere()
	if n.reads() {
		peers = append(peers, n.readersElsewhere()...)
	}
	if err := n.bookings.ShareCrashes(ctx, peers); err != nil && ctx.Err() == nil {
		n.log.Debug("evidence of crashes not exchanged", "error", err)
	}
}

// readersHere returns the other readers of this node's failure domain.
func (n *Node) readersHere() []bookings.Peer {
	var peers []bookings.Peer
	for _, m := range storereaders.ForDomain(n.settings.Domain, n.members.readers()) {
		if m.Name != n.settings.Node {
			peers = append(peers, bookings.Peer{Name: m.Name, Address: m.Address})
		}
	}
	return peers
}

// storeIsolations stores isolations. The readers do so at once, other nodes if the readers don't.
func (n *Node) storeIsolations(ctx context.Context) {
	if !n.guard.Unstored() {
		n.crashes.unstoredSince = time.Time{}
		return
	}
	if n.crashes.unstoredSince.IsZero() {
		n.crashes.unstoredSince = time.Now()
	}
	if n.reads() || time.Since(n.crashes.unstoredSince) >= storeByOthersAfter {
		go n.guard.StoreNew(ctx)
	}
}

// readersElsewhere returns a reader of each of some other failure domains, drawn at random.
func (n *Node) readersElsewhere() []bookings.Peer {
	members := n.members.readers()
	domains := map[string]bool{}
	for _, m := range members {
		domains[m.Domain] = m.Domain != n.settings.Domain
	}
	var peers []bookings.Peer
	for domain, elsewhere := range domains { // in random order
		readers := storereaders.ForDomain(domain, members)
		if !elsewhere || len(readers) == 0 {
			continue
		}
		reader := readers[rand.N(len(readers))]
		peers = append(peers, bookings.Peer{Name: reader.Name, Address: reader.Address})
		if len(peers) == domainsPerShare {
			break
		}
	}
	return peers
}

// decodeIsolation reads the entry of an isolated part.
func (n *Node) decodeIsolation(e store.Entry) (poison.Isolation, bool) {
	i, known, err := n.isolations().Decode(e)
	if err != nil {
		n.tellFaulty("isolation can't be read", e, err)
	}
	return i, known && err == nil
}

// versions are the versions of the software of all replicas of a service.
func (n *Node) versions(service string) []string {
	var list []string
	for _, r := range n.replicas() {
		if r.Service == service {
			list = append(list, r.Version)
		}
	}
	return list
}

// listedIncarnation is the incarnation under which a replica is listed.
func (n *Node) listedIncarnation(replica string) (incarnation int64, listed bool) {
	for _, r := range n.replicas() {
		if r.ID == replica {
			return r.Incarnation, true
		}
	}
	return 0, false
}

// isolations are those that the store holds.
func (n *Node) isolations() isolation.Table {
	return isolation.Table{Store: n.store, Prefix: isolation.Prefix}
}

// isolationStore implements crashguard.Store.
type isolationStore struct{ node *Node }

var _ crashguard.Store = isolationStore{}

// Put implements crashguard.Store.
func (s isolationStore) Put(ctx context.Context, i poison.Isolation) (int64, error) {
	revision, err := s.node.isolations().Put(ctx, i)
	return revision, s.called(err)
}

// Remove implements crashguard.Store.
func (s isolationStore) Remove(ctx context.Context, i poison.Isolation) error {
	return s.called(s.node.isolations().Remove(ctx, i))
}

// called counts a call to the store and translates its error.
func (s isolationStore) called(err error) error {
	if errors.Is(err, isolation.ErrChanged) {
		s.node.storeCalled("isolation", nil)
		return crashguard.ErrChanged
	}
	s.node.storeCalled("isolation", err)
	return err
}
