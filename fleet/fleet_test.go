package fleet

import (
	"testing"
	"time"
)

// Three nodes start with a store that holds revision 7. Each serves it, sees
// the other two live, and serves revision 8 once the store has it.
func TestThreeNodesShareMembersAndRecord(t *testing.T) {
	store := newFakeStore(record(7, "first"))
	nodes := startNodes(t, store, 3, 3, 50*time.Millisecond)
	for _, n := range nodes {
		n.awaitRevision(t, 7, 5*time.Second)
		await(t, "three live members", 5*time.Second, func() bool { return n.count("live") == 3 })
	}
	store.set(record(8, "second"))
	for _, n := range nodes {
		n.awaitRevision(t, 8, 5*time.Second)
	}
}

// The store goes down with revision 7 in force, and a node is replaced. The
// newcomer can ask nobody but its peers; it takes the highest record among
// them and becomes ready. A node that finds neither stays not ready.
func TestPeersServeTheRecordWhileTheStoreIsDown(t *testing.T) {
	store := newFakeStore(record(7, "first"))
	nodes := startNodes(t, store, 4, 2, 50*time.Millisecond)
	for _, n := range nodes {
		n.awaitRevision(t, 7, 5*time.Second)
		await(t, "four live members", 5*time.Second, func() bool { return n.count("live") == 4 })
	}
	lonely := newFakeStore(Record{})
	lonely.setDown(true)
	alone := startNodes(t, lonely, 1, 1, 50*time.Millisecond)[0]

	store.setDown(true)
	listener := nodes[3].replace(t)
	newcomer := startNode(t, &fakeStore{down: true, vms: store.vms}, listener, name(3), domain(3, 2), 50*time.Millisecond)
	// The list is out of reach too: the newcomer learns of its peers because
	// they keep trying the address that they knew.
	newcomer.awaitRevision(t, 7, 10*time.Second)
	if _, ready := alone.Latest(); ready || alone.Status().Ready {
		t.Fatal("a node with neither store nor peers is ready")
	}
}
