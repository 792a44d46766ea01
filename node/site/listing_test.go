package site

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/nodelist"
	"github.com/cicadatack/cicadatack/decide/storereaders"
	"github.com/cicadatack/cicadatack/fleet/reads"
	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// together is the pace of nodes that ask each other.
var together = Timing{
	Poll: 400 * time.Millisecond, PollSoon: 50 * time.Millisecond, Settle: 30 * time.Millisecond, EntryTTL: 200 * time.Millisecond,
}

// fleet starts nodes that can ask each other, one after the other.
func (p *platform) fleet(nodes int) []*running {
	p.t.Helper()
	var list []*running
	for i := range nodes {
		list = append(list, p.start(p.settings(fmt.Sprint("front-", i)), together, free))
	}
	return list
}

// entries are those of nodes in the store.
func (p *platform) entries() map[string]member {
	held := map[string]member{}
	list, _, _ := p.Store.Memory().Range(memberPrefix, memberPrefix+"~", 0)
	for _, kv := range list {
		var m member
		if err := json.Unmarshal(kv.Value, &m); err != nil {
			p.t.Fatal(err)
		}
		held[m.Name] = m
	}
	return held
}

// named says how many of the nodes a node names to callers.
func (r *running) named(t *testing.T, nodes []*running) int {
	answer := get(t, "http://"+r.settings.Directory.String()+"/resolve?zone=bandung").body
	count := 0
	for _, n := range nodes {
		if strings.Contains(answer, n.settings.Callers.String()) {
			count++
		}
	}
	return count
}

func allNamed(t *testing.T, by, nodes []*running) func() bool {
	return func() bool {
		return !slices.ContainsFunc(by, func(r *running) bool { return r.named(t, nodes) < len(nodes) })
	}
}

// Guards against a lease and its renewals for each node: seven nodes hold three entries,
// every node names all seven, and who is listed by another never called for it.
func TestNodesAreListedByAFew(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	nodes := p.fleet(7)
	p.until("each node names all", allNamed(t, nodes, nodes))
	p.until("three have entries", func() bool { return len(p.entries()) == storereaders.PerDomain })
	if granted := p.Store.Status().ByPath[storefake.PathLease]; granted > storereaders.PerDomain {
		t.Errorf("%d leases were granted", granted)
	}
}

// The first reader leaves. The nodes that it listed are named to callers all the while,
// it is not, and another takes its place.
func TestReaderLeaves(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	nodes := p.fleet(6)
	p.until("each node names all", allNamed(t, nodes, nodes))
	first, rest := nodes[0], nodes[1:]
	p.until("the first reader lists those without an entry", func() bool {
		return len(p.entries()[first.settings.Node].Near) == len(nodes)-storereaders.PerDomain
	})
	first.stop()
	p.until("it is named no more", func() bool {
		if named := rest[0].named(t, rest); named != len(rest) {
			t.Fatalf("%d of %d nodes are named while the first leaves", named, len(rest))
		}
		return rest[4].named(t, nodes[:1]) == 0
	})
	p.until("another lists the others", func() bool {
		held := p.entries()
		lists := 0
		for name, m := range held {
			if name != first.settings.Node {
				lists = max(lists, len(m.Near))
			}
		}
		return len(held) >= storereaders.PerDomain && lists > 0
	})
}

// A node that others list leaves: its reader takes it off at once and not when it has not
// been heard for a while.
func TestListedNodeLeaves(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	nodes := p.fleet(5)
	p.until("each node names all", allNamed(t, nodes, nodes))
	last := nodes[4]
	before := time.Now()
	last.stop()
	p.until("the entry lacks it", func() bool {
		return !slices.ContainsFunc(p.entries()["front-0"].Near, func(n nodelist.Node) bool { return n.Name == last.settings.Node })
	})
	if took := time.Since(before); took >= nodelist.TTL {
		t.Errorf("it was listed for %v", took)
	}
}

// All nodes lost power and start again while the entries of before still stand. The first
// one goes on with what it had listed, so that callers are not sent to it alone; who does
// not come back is dropped.
func TestStartGoesOnWithItsList(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	old := member{Name: "front-0", Domain: "bandung", Callers: "10.0.0.1:80", Near: []nodelist.Node{
		{Name: "front-5", CallerAddress: "10.0.0.5:80"}, {Name: "front-6", CallerAddress: "10.0.0.6:80"},
	}}
	value, err := json.Marshal(old)
	if err != nil {
		t.Fatal(err)
	}
	p.Put(memberPrefix+"front-0", value)
	node := p.start(p.settings("front-0"), together, free)
	p.until("it has entered itself", func() bool { return p.entries()["front-0"].Callers == node.settings.Callers.String() })
	if near := p.entries()["front-0"].Near; len(near) != 2 {
		t.Errorf("it lists %v", near)
	}
	p.until("those that don't come back are dropped", func() bool { return len(p.entries()["front-0"].Near) == 0 })
}

// The first reader of a domain is dead, and nobody is told so. The others ask it in vain,
// read for themselves, and go on serving.
func TestReaderIsDead(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	nodes := p.fleet(5)
	p.until("each node names all", allNamed(t, nodes, nodes))
	value, err := json.Marshal(member{Name: "a-dead", Domain: "bandung", Callers: "10.0.0.1:80", Peers: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	p.Put(memberPrefix+"a-dead", value)
	p.until("all know it", func() bool {
		return !slices.ContainsFunc(nodes, func(n *running) bool { return n.members.entry("a-dead").Name == "" })
	})
	known := nodes[0].storeCalls.all()["read_done"]
	p.until("it is read on, and all are named", func() bool {
		for _, n := range nodes {
			if !n.Fresh() {
				t.Fatalf("%s has no proof", n.settings.Node)
			}
		}
		p.Beat()
		return nodes[0].storeCalls.all()["read_done"] > known && allNamed(t, nodes, nodes)()
	})
}

// The store goes away and comes back without the entries of nodes, as their leases ran
// out. The nodes go on naming one another, few of them call the store, and the entries
// are there again.
func TestStoreComesBackWithoutEntries(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	nodes := p.fleet(7)
	p.until("each node names all", allNamed(t, nodes, nodes))
	p.Store.SetFaults(storefake.Faults{Outage: true})
	p.until("the proof of all has run out", func() bool {
		return !slices.ContainsFunc(nodes, func(n *running) bool { return n.Fresh() })
	})
	for name := range p.entries() {
		if _, _, err := p.Store.Memory().Txn(nil, []storetest.Write{{Key: memberPrefix + name, Delete: true}}); err != nil {
			t.Fatal(err)
		}
	}
	calls := p.Store.Status().ByPath[storefake.PathLease]
	p.Store.SetFaults(storefake.Faults{})
	p.until("all have proof again", func() bool {
		for _, n := range nodes {
			fresh := n.Fresh() // without a proof it does not name itself
			if named := n.named(t, nodes); fresh && named < len(nodes) {
				t.Fatalf("%s names %d of %d nodes", n.settings.Node, named, len(nodes))
			}
		}
		return !slices.ContainsFunc(nodes, func(n *running) bool { return !n.Fresh() })
	})
	p.until("the entries are back", func() bool { return len(p.entries()) >= storereaders.PerDomain })
	if more := p.Store.Status().ByPath[storefake.PathLease] - calls; more > int64(storereaders.PerDomain) {
		t.Errorf("%d leases for %d nodes", more, len(nodes))
	}
	p.until("each node names all", allNamed(t, nodes, nodes))
}

// Entries of several ages name a node twice, and one as leaving: what it says itself goes
// first, and a node that leaves is named to nobody, whoever lists it.
func TestMembersOfEntries(t *testing.T) {
	var m members
	peer := netip.MustParseAddrPort("10.0.0.9:81").String()
	m.set([]member{
		{Name: "a", Domain: "d", Callers: "a:1", Peers: peer, Near: []nodelist.Node{{Name: "b", CallerAddress: "b:old"}, {Name: "c", CallerAddress: "c:1"}, {Name: "l", CallerAddress: "l:1"}}},
		{Name: "b", Domain: "d", Callers: "b:2"},
		{Name: "l", Domain: "d", Callers: "l:1", Leaving: true, Near: []nodelist.Node{{Name: "e", CallerAddress: "e:1"}, {Name: "bad"}}},
	}, false)
	got := map[string]string{}
	for _, n := range m.get() {
		got[n.Name] = fmt.Sprint(n.Callers, " ", n.HasEntry, " ", n.Address)
	}
	want := map[string]string{"a": "a:1 true " + peer, "b": "b:2 true ", "c": "c:1 false ", "e": "e:1 false "}
	if !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	m.set([]member{{Name: "b", Domain: "d", Callers: "b:2"}}, true)
	if len(m.get()) != 4 {
		t.Errorf("%d nodes while entries hold over an absence of the store", len(m.get()))
	}
	m.set([]member{{Name: "b", Domain: "d", Callers: "b:2"}}, false)
	if len(m.get()) != 1 {
		t.Errorf("%v after it", m.get())
	}
}

// Guards against nodes that are told nothing for seconds: the store had turned some away,
// others became the domain's readers meanwhile, and the turned away still ask the former
// ones, which no longer read the store themselves. Those tell what they are told, as long
// as it is young.
func TestNodeTellsWhatItWasTold(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	nodes := p.fleet(storereaders.PerDomain + 1)
	last := nodes[len(nodes)-1]
	p.until("the last is no reader", func() bool { return len(p.entries()) == storereaders.PerDomain && !last.reads() })
	asker := reads.NewAsker(sinceBoot, func() reads.Peer { return reads.Peer{} })
	p.until("it tells", func() bool {
		answer, err := asker.Ask(t.Context(), last.peerDoor.String(), together.Poll*2)
		return err == nil && len(answer.Read.Entries) > 0
	})
}
