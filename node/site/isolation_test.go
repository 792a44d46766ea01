package site

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/link"
	"github.com/cicadatack/cicadatack/standin/storefake"
)

// isolated starts a node that reaches the store by a link of its own.
func (p *platform) isolated(name string) (*running, *link.Link) {
	p.t.Helper()
	toStore, err := link.Listen(p.addr.String())
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = toStore.Close() })
	settings := p.settings(name)
	settings.Store = netip.MustParseAddrPort(toStore.Address())
	return p.node(settings), toStore
}

// awaitGap waits until a node has not read the store for longer than it may in regular
// operation.
func (p *platform) awaitGap(n *running) {
	p.t.Helper()
	p.until("the node has missed reads", func() bool { return n.Age() > 2*(n.pollEvery()+storeTimeout) })
}

// Guards against requests to a replica that has left: the node alone was cut off from the
// store when the entry was removed, and took the loss of its reads for an outage.
func TestReplicaThatLeftDuringIsolationGetsNoRequests(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node, toStore := p.isolated("front-1")
	toStore.Freeze()
	p.awaitGap(node)
	p.Unlist("i-plain-0")
	p.Unlist("i-model-0")
	toStore.Heal()
	p.until("the node has read the store", func() bool { return node.Age() < storeTimeout })
	for i := range 20 {
		if got := node.ask("GET", "/read/1", fmt.Sprint("read-", i), goodKey); got.status != http.StatusOK {
			t.Errorf("read %d: status %d", i, got.status)
		}
	}
	for _, run := range p.Fleet.Runs("") {
		if run.Replica == "i-plain-0" || run.Replica == "i-model-0" {
			t.Errorf("%s runs at %s, which has left", run.Request, run.Replica)
		}
	}
	for _, r := range node.replicas() {
		if r.ID == "i-plain-0" || r.ID == "i-model-0" {
			t.Errorf("%s is still listed", r.ID)
		}
	}
}

// Guards against a node without replicas: the store was away for all, and the entries of
// all replicas expired meanwhile. They serve on, and register again a moment later.
func TestReplicasAreRetainedAfterStoreOutage(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.node(p.settings("front-1"))
	p.Store.SetFaults(storefake.Faults{Outage: true})
	p.awaitGap(node)
	for id := range p.Replicas() {
		p.Forget(id)
	}
	p.Store.SetFaults(storefake.Faults{})
	p.until("the node has read the store", func() bool { return node.Age() < storeTimeout })
	if got := node.ask("GET", "/read/1", "read", goodKey); got.status != http.StatusOK {
		t.Errorf("status %d, want an answer by a replica whose entry expired in the outage", got.status)
	}
}

// Guards against callers who are sent to a node that has ended: this node alone was cut off
// from the store meanwhile, so the missing entry is no sign of an outage.
func TestNodesThatEndedDuringIsolationAreNotNamed(t *testing.T) {
	var m members
	begun := time.Now()
	all := []member{{Name: "a", created: 5}, {Name: "b", created: 6}, {Name: "c", created: 7}}
	m.update(begun, time.Second, all)
	m.update(begun.Add(5*time.Second), time.Second, all[1:])
	if got := len(m.get()); got != 2 {
		t.Errorf("%d nodes are named after isolation, want 2", got)
	}
	m.update(begun.Add(10*time.Second), time.Second, nil)
	if got := len(m.get()); got != 2 {
		t.Errorf("%d nodes are named after an outage of the store, want 2", got)
	}
}
