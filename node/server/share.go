package server

import (
	"context"

	"github.com/cicadatack/cicadatack/fleet"
	"github.com/cicadatack/cicadatack/fleet/membership"
	"github.com/cicadatack/cicadatack/node/settings"
	"github.com/cicadatack/cicadatack/state/ledger"
	"github.com/cicadatack/cicadatack/state/store"
)

// sharedList is the platform's list of entry VMs; each read of it sets this node's
// share of the store's calls, so that a starting node waits for one read only.
type sharedList struct {
	vmList
	server *Server
}

// VMs implements fleet.VMs.
func (l sharedList) VMs(ctx context.Context) ([]fleet.VM, error) {
	vms, err := l.vmList.VMs(ctx)
	if err == nil {
		l.server.listed.Store(int64(max(1, l.cache.size())))
		l.server.shareStore()
	}
	return vms, err
}

// shareStore sets this node's share of the store's calls by the fleet's size. The
// list counts beside the members: nodes that are cut off from each other still call
// the same store.
//
// Without it each node may make as many calls as one of nine: 2,200 of them 132,000
// a second, and the service handles some two thousand.
func (s *Server) shareStore() {
	nodes := max(int(s.listed.Load()), s.presentMembers())
	if nodes <= 1 && s.listed.Load() == 0 {
		return // not known yet: the share of a start stays
	}
	s.store.SetShare(store.ShareOf(nodes, s.orderPeers.owned(nodes), ledger.Shards))
}

func (s *Server) presentMembers() int {
	present := 0
	for _, m := range s.fleet.Members() {
		if m.State != membership.Gone {
			present++
		}
	}
	return present
}

// owned returns how many of the ledger's shards this node writes. A node that
// sees less than half of the fleet live, as each does when it starts, would hold
// itself for the owner of nearly all and counts none. The nodes of the trial get no
// part for theirs: few orders are tried there.
func (p *orderPeers) owned(nodes int) int {
	if p.server.settings.Slot != settings.SlotProduction {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followLive()
	if 2*p.live < nodes {
		return 0
	}
	return p.shards
}

// followLive keeps the owners in step with the members; the caller holds the lock.
func (p *orderPeers) followLive() {
	stamp := p.server.memberStamp()
	if stamp == p.stamp {
		return
	}
	live := p.server.liveMembers()
	p.owners.SetLive(live)
	p.live = len(live)
	p.shards = p.owners.OwnedShards(p.server.settings.Name, ledger.Shards)
	p.stamp = stamp
}
