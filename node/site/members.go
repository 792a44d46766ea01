package site

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/entrypoints"
	"github.com/cicadatack/cicadatack/decide/forwarding"
	"github.com/cicadatack/cicadatack/decide/nodelist"
	"github.com/cicadatack/cicadatack/decide/storeoutage"
	"github.com/cicadatack/cicadatack/decide/storereaders"
)

const (
	// memberPrefix holds the entries of nodes, each under a lease of its own.
	memberPrefix = "cicadatack/node/"
	// memberLease is how long an entry holds whose node has died. Callers who meet a
	// dead node take another of the addresses.
	memberLease = 3 * time.Second
	// returnWithin is how long nodes have to enter themselves again once the store is
	// back, and to be read by all: a pause after a call that failed, and two reads.
	returnWithin = 4 * time.Second
	// renewals of a lease are made in its time: two may be lost.
	renewals = 4
)

// member is a node's own entry in the store.
type member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Callers string `json:"callers"`
	// Peers is where other nodes ask what this one has read; "" if they can't.
	Peers string `json:"peers,omitempty"`
	// Link is what its VM may send, in Mbit/s; 0 if that is not known.
	Link float64 `json:"link,omitempty"`
	// Leaving nodes are not named to callers; what they list is.
	Leaving bool `json:"leaving,omitempty"`
	// Near are the nodes of its failure domain that it lists.
	Near []nodelist.Node `json:"near,omitempty"`

	// created is the store's revision at which the entry was created.
	created int64
}

// node is a node that callers may be sent to.
type node struct {
	storereaders.Member
	// Callers is where callers reach it, Peers where other nodes do; "" if they can't.
	Callers, Peers string
}

// members are the nodes of the last read. While the store is away they stay: a node
// that has died is met by callers, who take another.
type members struct {
	// outage detects that entries of nodes expired in an outage of the store; update's own.
	outage storeoutage.Detector

	mu      sync.Mutex
	entries map[string]member
	list    []node
}

// update takes the entries of a read that began at readAt. Entries that expired in an
// outage of the store hold until their owners have had time to enter themselves again.
func (m *members) update(readAt time.Time, maxReadInterval time.Duration, found []member) {
	m.outage.Observe(readAt, maxReadInterval, returnWithin, registrations(maps.Values(m.known())), registrations(slices.Values(found)))
	m.set(found, m.outage.ExpiredWithin(readAt, returnWithin))
}

// registrations returns the entries of nodes, for the detection of an outage.
func registrations(entries iter.Seq[member]) []storeoutage.Registration {
	var list []storeoutage.Registration
	for e := range entries {
		list = append(list, storeoutage.Registration{Key: e.Name, Created: e.created})
	}
	return list
}

func (m *members) known() map[string]member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries
}

// set replaces the entries. keep says that those which are missing hold for now.
func (m *members) set(entries []member, keep bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.entries
	m.entries = make(map[string]member, len(entries))
	if keep {
		maps.Copy(m.entries, old)
	}
	for _, e := range entries {
		m.entries[e.Name] = e
	}
	m.list = flatten(m.entries)
}

// flatten lists the nodes of some entries, each once: what a node says of itself goes
// before what others list.
func flatten(entries map[string]member) []node {
	known := map[string]node{}
	for _, e := range entries {
		for _, near := range e.Near {
			if near.Valid() && !entries[near.Name].Leaving {
				known[near.Name] = node{Member: storereaders.Member{Name: near.Name, Domain: e.Domain, LinkMbps: near.LinkMbps}, Callers: near.CallerAddress, Peers: near.PeerAddress}
			}
		}
	}
	for _, e := range entries {
		if !e.Leaving {
			known[e.Name] = node{
				Member: storereaders.Member{Name: e.Name, Domain: e.Domain, Address: e.Peers, HasEntry: true, LinkMbps: e.Link}, Callers: e.Callers, Peers: e.Peers,
			}
		}
	}
	return slices.SortedFunc(maps.Values(known), func(a, b node) int { return strings.Compare(a.Name, b.Name) })
}

func (m *members) get() []node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// entry is the entry of a node; empty if it has none.
func (m *members) entry(name string) member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[name]
}

// readers are the nodes as decide/storereaders knows them.
func (m *members) readers() []storereaders.Member {
	list := m.get()
	all := make([]storereaders.Member, 0, len(list))
	for _, each := range list {
		all = append(all, each.Member)
	}
	return all
}

// peersAddress is where other nodes ask this one, "" if the settings give no port.
func (n *Node) peersAddress() string {
	if !n.peerDoor.IsValid() {
		return ""
	}
	return n.peerDoor.String()
}

// entries are the nodes that callers may be sent to, this one included if it can
// serve them. Nodes that reach no replica are left out while enough others remain.
func (n *Node) entries() []entrypoints.Member {
	var list []entrypoints.Member
	for _, m := range n.members.get() {
		if m.Name != n.settings.Node && m.Callers != "" {
			list = append(list, entrypoints.Member{ID: m.Name, Address: m.Callers, FailureDomain: m.Domain})
		}
	}
	if n.serving() {
		list = append(list, entrypoints.Member{
			ID: n.settings.Node, Address: n.settings.Callers.String(), FailureDomain: n.settings.Domain,
		})
	}
	return entrypoints.LeaveOutCutOff(list, n.forwarder.WorseThanOthers)
}

// serving says whether this node should be given callers.
func (n *Node) serving() bool {
	return n.rules.Load() != nil && n.Fresh() && n.leavingFor() == 0
}

// keeps says whether it is this node's turn to order the replicas of a model in a failure domain:
// the first of the domain's readers, or, where it has none, of all nodes with an entry. Nodes that
// forward their requests don't count, because they reach no replica.
func (n *Node) keeps(service, domain string) bool {
	list := slices.DeleteFunc(n.members.readers(), func(m storereaders.Member) bool { return !n.forwarder.Sends(service, m.Name) })
	if own := storereaders.ForDomain(domain, list); len(own) > 0 {
		return own[0].Name == n.settings.Node
	}
	entered := slices.DeleteFunc(list, func(m storereaders.Member) bool { return !m.HasEntry })
	own := slices.DeleteFunc(slices.Clone(entered), func(m storereaders.Member) bool { return m.Domain != domain })
	if len(own) == 0 {
		own = entered
	}
	return len(own) > 0 && own[0].Name == n.settings.Node
}

// forwardingNodes are the nodes that may serve requests for this one.
func (n *Node) forwardingNodes() []forwarding.Node {
	var nodes []forwarding.Node
	for _, m := range n.members.get() {
		nodes = append(nodes, forwarding.Node{Name: m.Name, Domain: m.Domain, Address: m.Peers})
	}
	return nodes
}

// sendersTo returns the names of the nodes of a domain that send requests to the replicas of a
// service, and how many nodes there are in all that do.
func (n *Node) sendersTo(service, domain string) (near []string, all int) {
	for _, m := range n.members.get() {
		if !n.forwarder.Sends(service, m.Name) {
			continue
		}
		all++
		if m.Domain == domain {
			near = append(near, m.Name)
		}
	}
	return near, max(1, all)
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
