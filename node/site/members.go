package site

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/entry"
	"github.com/cicadatack/cicadatack/decide/readers"
	"github.com/cicadatack/cicadatack/keep/store"
)

const (
	// memberPrefix holds an entry for each node, under a lease of its own.
	memberPrefix = "cicadatack/node/"
	// memberLease is how long a node that has died is still named to callers by the
	// others; callers who meet it take another of the addresses.
	memberLease = 3 * time.Second
	// renewals of a lease are made in its time: two may be lost.
	renewals = 4
)

// member is a node as it enters itself in the store.
type member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Callers string `json:"callers"`
	// Peers is where other nodes ask what this one has read; "" if they can't.
	Peers string `json:"peers,omitempty"`
}

func decodeMember(e store.Entry) (member, bool) {
	var m member
	if !strings.HasPrefix(e.Key, memberPrefix) {
		return m, false
	}
	if err := json.Unmarshal(e.Value, &m); err != nil || m.Name == "" {
		return m, false // another version's entry: it names no node to use
	}
	return m, true
}

// membership is this node's own entry; the zero value is none.
type membership struct {
	lease   store.LeaseID
	renewed time.Time
}

// members are the nodes of the last read. While the store is away they stay: a node
// that has died is met by callers, who take another.
type members struct {
	mu   sync.Mutex
	list []member
}

func (m *members) set(list []member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = list
}

func (m *members) get() []member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// readers are the nodes as decide/readers knows them.
func (m *members) readers() []readers.Member {
	var list []readers.Member
	for _, each := range m.get() {
		list = append(list, readers.Member{Name: each.Name, Domain: each.Domain, Address: each.Peers})
	}
	return list
}

// peersAddress is where other nodes ask this one, "" if the settings give no port.
func (n *Node) peersAddress() string {
	if !n.peerDoor.IsValid() {
		return ""
	}
	return n.peerDoor.String()
}

// entries are the nodes that callers may be sent to, this one included if it can
// serve them.
func (n *Node) entries() []entry.Member {
	var list []entry.Member
	for _, m := range n.members.get() {
		if m.Name != n.settings.Node {
			list = append(list, entry.Member{ID: m.Name, Address: m.Callers, FailureDomain: m.Domain})
		}
	}
	if n.serving() {
		list = append(list, entry.Member{
			ID: n.settings.Node, Address: n.settings.Callers.String(), FailureDomain: n.settings.Domain,
		})
	}
	return list
}

// serving says whether this node should be given callers.
func (n *Node) serving() bool {
	return n.rules.Load() != nil && n.Fresh() && n.leavingFor() == 0
}

// register enters this node in the store and renews its lease.
func (n *Node) register(ctx context.Context) {
	if n.leavingFor() > 0 {
		return
	}
	m := &n.poll.member
	if m.lease != 0 {
		if time.Since(m.renewed) < memberLease/renewals {
			return
		}
		_, err := n.store.KeepAlive(ctx, m.lease)
		n.metrics.StoreCall("renewal", resultOf(err))
		if err == nil {
			m.renewed = time.Now()
			return
		}
		if !errors.Is(err, store.ErrLeaseGone) {
			n.log.Warn("lease not renewed", "error", err)
			return
		}
		n.log.Warn("lease lapsed")
		n.setMembership(membership{})
	}
	err := n.enter(ctx)
	n.metrics.StoreCall("entry", resultOf(err))
	if err != nil {
		n.log.Warn("not entered in the store", "error", err)
	}
}

func (n *Node) enter(ctx context.Context) error {
	lease, err := n.store.Grant(ctx, max(memberLease, n.settings.LeaseMin))
	if err != nil {
		return err
	}
	value, err := json.Marshal(member{
		Name: n.settings.Node, Domain: n.settings.Domain, Callers: n.settings.Callers.String(), Peers: n.peersAddress(),
	})
	if err != nil {
		return Error.Wrap(err)
	}
	if err := n.store.PutLeased(ctx, memberPrefix+n.settings.Node, value, lease); err != nil {
		return err
	}
	n.setMembership(membership{lease: lease, renewed: time.Now()})
	return nil
}

// setMembership also tells the goroutine that ends the lease when the node leaves.
func (n *Node) setMembership(m membership) {
	n.poll.member = m
	n.leaseID.Store(int64(m.lease))
}

// keeps says whether it is this node's turn to order the replicas of a failure
// domain: the first by name of the domain's own nodes, or of all where it has none.
func (n *Node) keeps(domain string) bool {
	list := n.members.get()
	own := slices.DeleteFunc(slices.Clone(list), func(m member) bool { return m.Domain != domain })
	if len(own) == 0 {
		own = list
	}
	if len(own) == 0 {
		return false
	}
	first := slices.MinFunc(own, func(a, b member) int { return strings.Compare(a.Name, b.Name) })
	return first.Name == n.settings.Node
}

// peers returns the names of the nodes of a domain, and how many nodes there are.
func (n *Node) peers(domain string) (near []string, all int) {
	list := n.members.get()
	for _, m := range list {
		if m.Domain == domain {
			near = append(near, m.Name)
		}
	}
	return near, max(1, len(list))
}
