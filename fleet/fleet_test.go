package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/fleet/docsync"
	"github.com/cicadatack/cicadatack/fleet/exchange"
	"github.com/cicadatack/cicadatack/fleet/membership"
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
	newcomer := startNode(t, &fakeStore{down: true, slot: testEnvironment}, listener, name(3), domain(3, 2), 50*time.Millisecond)
	// The list is out of reach too: the newcomer learns of its peers because
	// they keep trying the address that they knew.
	newcomer.awaitRevision(t, 7, 10*time.Second)
	if _, ready := alone.Latest(); ready || alone.Status().Ready {
		t.Fatal("a node with neither store nor peers is ready")
	}
}

// Both watch holders of a failure domain die. The others notice, two of them
// take the watch over, and the next change still reaches every node.
func TestWatchMovesOnWhenItsHoldersDie(t *testing.T) {
	store := newFakeStore(record(7, "first"))
	nodes := startNodes(t, store, 5, 1, 50*time.Millisecond)
	for _, n := range nodes {
		n.awaitRevision(t, 7, 5*time.Second)
	}
	await(t, "two watches", 5*time.Second, func() bool { return store.watches.Load() == 2 })
	var left []*node
	for _, n := range nodes {
		if n.Status().Watching {
			n.kill()
		} else {
			left = append(left, n)
		}
	}
	await(t, "two new watches", 10*time.Second, func() bool { return store.watches.Load() == 2 })
	store.set(record(8, "second"))
	for _, n := range left {
		n.awaitRevision(t, 8, 5*time.Second)
	}
}

// One node does not answer its peers. It may be suspected for that; the others
// must neither wait for it nor miss the change: they have it while it still holds
// their calls, sooner than one that waits would give its push up. The node gets
// the change itself once it answers again.
func TestSlowPeerHoldsNobodyUp(t *testing.T) {
	store := newFakeStore(record(7, "first"))
	nodes := startNodes(t, store, 5, 1, 50*time.Millisecond)
	for _, n := range nodes {
		n.awaitRevision(t, 7, 5*time.Second)
		await(t, "five live members", 5*time.Second, func() bool { return n.count("live") == 5 })
	}
	answers := nodes[2].hold()
	store.set(record(8, "second"))
	start := time.Now()
	for i, n := range nodes {
		if i != 2 {
			n.awaitRevision(t, 8, time.Until(start.Add(pushTimeout*3/4)))
		}
	}
	answers()
	nodes[2].awaitRevision(t, 8, 5*time.Second)
	t.Logf("all nodes after %v", time.Since(start).Round(time.Millisecond))
}

// Nodes of the trial and of production are on one list. Each slot must have
// watch holders of its own, a change must stay in its slot, and a production
// node that starts while the store is down must not wait for the trial's.
func TestSlotsShareTheFleetAndNotTheRecord(t *testing.T) {
	production, trial := newFakeStore(record(7, "first")), newFakeStore(record(3, "tried"))
	trial.slot = "stock/trial"
	trial.record.Environment = trial.slot
	var all []*node
	var vms []VM
	for i := range 7 {
		store := production
		if i >= 2 {
			store = trial
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		vms = append(vms, VM{Name: name(i), Address: l.Addr().String(), FailureDomain: "fd-00"})
		production.update(func() { production.vms = vms })
		trial.update(func() { trial.vms = vms })
		all = append(all, startNode(t, store, l, name(i), "fd-00", 50*time.Millisecond))
	}
	for i, n := range all {
		want := int64(7)
		if i >= 2 {
			want = 3
		}
		n.awaitRevision(t, want, 5*time.Second)
		await(t, "seven live members", 10*time.Second, func() bool { return n.count("live") == 7 })
	}
	await(t, "two watches in each slot", 10*time.Second, func() bool {
		return production.watches.Load() == 2 && trial.watches.Load() == 2
	})
	listener := all[1].replace(t)
	down := &fakeStore{down: true, slot: testEnvironment}
	startNode(t, down, listener, name(1), "fd-00", 50*time.Millisecond).awaitRevision(t, 7, 10*time.Second)
}

// A change is pushed and does not wait for the exchanges: of several changes
// at least one reaches all nodes in a quarter of an interval, which exchanges
// alone cannot do.
func TestChangeIsPushed(t *testing.T) {
	const slow = 400 * time.Millisecond
	store := newFakeStore(record(1, "first"))
	nodes := startNodes(t, store, 9, 1, slow)
	for _, n := range nodes {
		n.awaitRevision(t, 1, 10*time.Second)
		await(t, "nine live members", 20*time.Second, func() bool { return n.count("live") == 9 })
	}
	await(t, "two watches", 10*time.Second, func() bool { return store.watches.Load() == 2 })
	best := time.Hour
	for revision := int64(2); revision < 8; revision++ {
		start := time.Now()
		store.set(record(revision, fmt.Sprint("change ", revision)))
		for _, n := range nodes {
			n.awaitRevision(t, revision, 10*time.Second)
		}
		best = min(best, time.Since(start))
	}
	if best > slow/4 {
		t.Fatalf("the quickest change took %v", best)
	}
}

// A node drains. Its peers know within an interval or two.
func TestDrainReachesThePeers(t *testing.T) {
	store := newFakeStore(record(7, "first"))
	nodes := startNodes(t, store, 4, 2, 50*time.Millisecond)
	for _, n := range nodes {
		await(t, "four live members", 5*time.Second, func() bool { return n.count("live") == 4 })
	}
	nodes[1].Drain(t.Context())
	for _, n := range nodes {
		await(t, "one draining member", time.Second, func() bool { return n.count("draining") == 1 })
	}
}

// A stranger or a faulty node sends what no node would. It gets an error, and
// the view and the record stay as they are.
func TestBadExchangeChangesNothing(t *testing.T) {
	store := newFakeStore(record(7, "first"))
	n := startNodes(t, store, 1, 1, 50*time.Millisecond)[0]
	n.awaitRevision(t, 7, 5*time.Second)
	stranger := &exchange.Member{Name: "x", Address: "127.0.0.1:1", Incarnation: 1}
	forged := &exchange.Document{Environment: testEnvironment, Revision: 9,
		Payload: &exchange.Payload{Digest: "no such", Length: 3, Data: []byte("{}")}}
	huge := &exchange.Document{Payload: &exchange.Payload{Data: make([]byte, maxMessageBytes+1)}}
	client := exchange.NewPeerProtobufClient("http://"+n.cfg.Address, http.DefaultClient)
	for name, c := range map[string]struct {
		request *exchange.ExchangeRequest
		refused bool
	}{
		"no sender":     {&exchange.ExchangeRequest{}, true},
		"too large":     {&exchange.ExchangeRequest{Sender: stranger, Document: huge}, true},
		"forged record": {&exchange.ExchangeRequest{Sender: stranger, Document: forged}, false},
		"bad member":    {&exchange.ExchangeRequest{Sender: stranger, Updates: []*exchange.Member{{Name: "y", State: 99}}}, false},
	} {
		_, err := client.Exchange(t.Context(), c.request)
		if (err != nil) != c.refused {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if r, ready := n.Latest(); !ready || r.Revision != 7 {
		t.Errorf("revision %d, ready %v", r.Revision, ready)
	}
	if members := n.Members(); len(members) > 2 {
		t.Errorf("members %v", members)
	}
}

// A node loses store and peers. It keeps serving the record that it has, for
// as long as the settings say, and is not ready from then on; it is ready
// again once it hears anybody.
func TestCutOffNodeServesForABoundedTime(t *testing.T) {
	store := newFakeStore(record(7, "first"))
	n := startNodes(t, store, 1, 1, 50*time.Millisecond)[0]
	n.awaitRevision(t, 7, 5*time.Second)
	limit := n.cfg.MaxIsolation
	for _, c := range []struct {
		silent time.Duration
		others int
		ready  bool
	}{{0, 5, true}, {limit / 2, 5, true}, {limit + time.Second, 5, false}, {limit + time.Second, 1, true}} {
		s := Status{LastPeer: time.Now().Add(-c.silent), LastStore: time.Now().Add(-2 * limit)}
		if n.cutOff(s, c.others) == c.ready {
			t.Errorf("silent for %v of %d: ready %v, want %v", c.silent, c.others, !c.ready, c.ready)
		}
	}
}

// largePeer holds a large record and gives it only to those who ask for it.
type largePeer struct {
	exchange.Peer
	self   *exchange.Member
	record Record
	asked  atomic.Int64
}

func (p *largePeer) Exchange(_ context.Context, r *exchange.ExchangeRequest) (*exchange.ExchangeResponse, error) {
	held := p.record.Holding()
	answer := &exchange.ExchangeResponse{Sender: p.self, Document: &exchange.Document{
		Environment: testEnvironment, Revision: held.Revision, Mark: held.Mark}}
	if r.GetWantDocument() {
		p.asked.Add(1)
		answer.Document.Payload = payloadToWire(docsync.Pack(p.record, Record{}))
	}
	return answer, nil
}

// A node starts; the store holds nothing for it yet, and its only peer says
// that it holds a record too large to be sent unasked; the node asks for it, once, and serves.
func TestLargeRecordIsFetchedByNeed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	peer := &largePeer{
		self:   &exchange.Member{Name: "vm-large", Address: address, FailureDomain: "fd-00", Incarnation: 1, State: exchange.State_LIVE},
		record: record(7, documentText(50_000)),
	}
	server := &http.Server{Handler: exchange.NewPeerServer(peer)}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })

	store := newFakeStore(Record{})
	n := startNodes(t, store, 1, 1, 50*time.Millisecond)[0]
	store.update(func() { store.vms = append(store.vms, VM{Name: "vm-large", Address: address, FailureDomain: "fd-00"}) })
	n.awaitRevision(t, 7, 5*time.Second)
	for range 5 {
		n.exchangeWith(t.Context(), membership.Send{To: Member{Name: "vm-large", Address: address}})
	}
	if asked := peer.asked.Load(); asked != 1 {
		t.Errorf("the body was asked for %d times", asked)
	}
}

// Guards against a view that is told late: two changes come at once, and the news of the
// older one goes to the spreading of records after that of the newer. A node that was
// suspected for a moment would be no candidate for a watch until the next change, and one
// node more would hold a watch.
func TestLastChangeOfMembersIsTold(t *testing.T) {
	n := startNodes(t, newFakeStore(record(7, "first")), 1, 1, time.Hour)[0]
	n.awaitRevision(t, 7, 5*time.Second)
	const at, rounds = 8, 100
	for round := range rounds {
		var together sync.WaitGroup
		for i := range at {
			heard := membership.Member{
				Name: name(1 + round*at + i), Address: "127.0.0.1:1", FailureDomain: "fd-00", Incarnation: 1, Slot: slotOf(testEnvironment),
			}
			together.Go(func() { n.stepViewQuiet(membership.Received{Message: membership.Message{Sender: heard}}) })
		}
		together.Wait()
		if told, want := n.Status().Near, 1+(round+1)*at; told != want {
			t.Fatalf("round %d: %d nodes of the failure domain are told of, want %d", round, told, want)
		}
	}
}
