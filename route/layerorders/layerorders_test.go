package layerorders

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/replicareport"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/upstream"
)

var (
	startTime = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)
	testModel = &ruleset.Model{
		Layers: 8, LayerMB: 100, KVBytesPerTokenLayer: 1000, LoadTime: time.Second,
		CardKinds: map[string]ruleset.CardKind{"l4": {MemoryMB: 700}},
	}
)

type fakeReplica struct {
	acceptedOrders int64
	holds          layers.Span
}

// fakeReplicas accept and refuse orders as real replicas do.
type fakeReplicas struct {
	mu         sync.Mutex
	byID       map[string]*fakeReplica
	calls      chan string
	placeError error
	// unreachable replicas answer neither orders nor requests for reports.
	unreachable map[string]bool
}

func newFakeReplicas() *fakeReplicas {
	return &fakeReplicas{byID: map[string]*fakeReplica{}, calls: make(chan string, 100)}
}

func (e *fakeReplicas) replica(id string) *fakeReplica {
	if e.byID[id] == nil {
		e.byID[id] = &fakeReplica{}
	}
	return e.byID[id]
}

var errUnreachable = &upstream.Failure{NotSent: true, Unreachable: true, Cause: errors.New("connection refused")}

func (e *fakeReplicas) Place(_ context.Context, _, id string, acceptedOrders, _ int64, hold layers.Span) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() { e.calls <- id }()
	if e.unreachable[id] {
		return errUnreachable
	}
	if e.placeError != nil {
		return e.placeError
	}
	r := e.replica(id)
	if r.acceptedOrders != acceptedOrders {
		return errors.New("409")
	}
	r.acceptedOrders++
	r.holds = hold
	return nil
}

func (e *fakeReplicas) Report(_ context.Context, _, id string) (replicareport.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreachable[id] {
		e.calls <- id
		return replicareport.Report{}, errUnreachable
	}
	r := e.replica(id)
	return replicareport.Report{AcceptedLayerOrders: r.acceptedOrders, Holds: r.holds}, nil
}

func (e *fakeReplicas) list(ids ...string) []*replicalist.Replica {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*replicalist.Replica
	for _, id := range ids {
		list = append(list, &replicalist.Replica{ID: id, Address: id, Domain: "d", CardKind: "l4", Holds: e.replica(id).holds})
	}
	return list
}

func noneSuspected(string) bool { return false }

func awaitCalls(t *testing.T, e *fakeReplicas, n int) {
	t.Helper()
	for range n {
		select {
		case <-e.calls:
		case <-time.After(10 * time.Second):
			t.Fatal("not all expected orders were sent")
		}
	}
}

func newTestController(e *fakeReplicas) *Controller {
	return New("llm", e, time.Second, hclog.NewNullLogger())
}

// If the first plan did not wait, it would assign all layers to the replicas that start
// first, and the later replicas would cost expensive reloads. While a fleet starts, its
// replicas are listed one after the other. The plan's orders are sent once, even if the
// list is read again before the replicas report.
func TestFirstPlanWaitsForReplicas(t *testing.T) {
	e := newFakeReplicas()
	controller := newTestController(e)
	reconcile := func(ms int, list []*replicalist.Replica) {
		controller.Reconcile(context.Background(), startTime.Add(time.Duration(ms)*time.Millisecond), testModel, "d", 1, list, noneSuspected)
	}
	reconcile(0, e.list("a"))
	reconcile(800, e.list("a", "b"))
	reconcile(1600, e.list("a", "b"))
	if len(e.calls) > 0 {
		t.Fatal("orders were sent before all replicas were listed")
	}
	staleList := e.list("a", "b")
	reconcile(2000, staleList)
	awaitCalls(t, e, 2)
	reconcile(2400, staleList)
	if len(e.calls) > 0 {
		t.Error("orders were sent again before the replicas could report")
	}
	if e.byID["a"].holds.Empty() || e.byID["b"].holds.Empty() {
		t.Errorf("%v %v", e.byID["a"], e.byID["b"])
	}
}

// If a replica accepted orders from two nodes, the nodes would overwrite each other's
// plans. Two nodes both order the replicas of one domain. Each replica accepts one
// order, and the other node reads the replica's report and sends no further order.
func TestConcurrentControllersDoNotOverrideEachOther(t *testing.T) {
	e := newFakeReplicas()
	first, second := newTestController(e), newTestController(e)
	list := e.list("a", "b")
	for _, k := range []*Controller{first, second} {
		k.Reconcile(context.Background(), startTime, testModel, "d", 1, list, noneSuspected)
		k.Reconcile(context.Background(), startTime.Add(2*time.Second), testModel, "d", 1, list, noneSuspected)
	}
	awaitCalls(t, e, 4)
	if e.acceptedBy("a") != 1 || e.acceptedBy("b") != 1 {
		t.Errorf("the replicas accepted %d and %d orders, want 1 each", e.acceptedBy("a"), e.acceptedBy("b"))
	}
	for _, k := range []*Controller{first, second} {
		k.Reconcile(context.Background(), startTime.Add(10*time.Second), testModel, "d", 1, e.list("a", "b"), noneSuspected)
	}
	if len(e.calls) > 0 {
		t.Error("a controller sent further orders")
	}
}

// If a node that takes over did not read the replica's number of accepted orders, the
// replica would refuse all orders of the node. The node has sent none of the orders that
// the replica has accepted, so the node's first order is refused. The node reads the
// replica's report, and the replica accepts the node's next order.
func TestNextNodeLearnsAcceptedOrders(t *testing.T) {
	e := newFakeReplicas()
	previousNode := newTestController(e)
	previousNode.Reconcile(context.Background(), startTime, testModel, "d", 1, e.list("a", "b"), noneSuspected)
	previousNode.Reconcile(context.Background(), startTime.Add(2*time.Second), testModel, "d", 1, e.list("a", "b"), noneSuspected)
	awaitCalls(t, e, 2)
	nextNode := newTestController(e)
	suspected := func(id string) bool { return id == "b" }
	deadline := time.Now().Add(10 * time.Second)
	for at := startTime.Add(10 * time.Second); e.acceptedBy("a") < 2; at = at.Add(maxReportDelay) {
		if time.Now().After(deadline) {
			t.Fatalf("the lost replica's layers were not reassigned: %d orders accepted", e.acceptedBy("a"))
		}
		nextNode.Reconcile(context.Background(), at, testModel, "d", 1, e.list("a", "b"), suspected)
		time.Sleep(time.Millisecond)
	}
}

func (e *fakeReplicas) acceptedBy(id string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replica(id).acceptedOrders
}

// If a refused order were not repeated at once, a domain that lacks layers would wait for
// the next read of the store. A node takes over a failure domain. It does not know how many
// orders the previous node sent, so the node's first order is refused. The node reads the
// replica's report. The replica still holds the layers that the plan assumed, so the node
// sends the order again.
func TestNextNodeRepeatsOrderAtOnce(t *testing.T) {
	e := newFakeReplicas()
	e.replica("a").acceptedOrders = 3
	controller := newTestController(e)
	list := e.list("a")
	controller.Reconcile(context.Background(), startTime, testModel, "d", 1, list, noneSuspected)
	controller.Reconcile(context.Background(), startTime.Add(2*time.Second), testModel, "d", 1, list, noneSuspected)
	awaitCalls(t, e, 2)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byID["a"].holds.Empty() || e.byID["a"].acceptedOrders != 4 {
		t.Errorf("%+v", e.byID["a"])
	}
}

// Guards against layers that nobody holds because a replica that can't be reached counts as their holder,
// and against a replica that stays left out after it has renewed its entry.
func TestUnreachableReplicaIsNoHolder(t *testing.T) {
	e := newFakeReplicas()
	e.unreachable = map[string]bool{"a": true}
	controller := newTestController(e)
	reconcile := func(after time.Duration, list []*replicalist.Replica) {
		controller.Reconcile(context.Background(), startTime.Add(after), testModel, "d", 1, list, noneSuspected)
	}
	reconcile(0, e.list("a", "b", "c"))
	reconcile(2*time.Second, e.list("a", "b", "c"))
	awaitCalls(t, e, 4) // three orders, and a question to the replica that does not answer
	awaitUnreachable(t, controller, 1)
	for i := 1; !e.coverAll(); i++ {
		if i > 20 {
			t.Fatalf("layers without a holder: %v %v", e.byID["b"], e.byID["c"])
		}
		reconcile(time.Duration(2+3*i)*time.Second, e.list("a", "b", "c"))
		time.Sleep(10 * time.Millisecond)
	}
	e.setUnreachable(nil)
	renewed := e.list("a", "b", "c")
	renewed[0].Revision = 7
	reconcile(2*time.Minute, renewed)
	deadline := time.Now().Add(10 * time.Second)
	for e.acceptedBy("a") == 0 {
		if time.Now().After(deadline) {
			t.Fatal("a replica that has renewed its entry gets no order")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a second order to a replica that may have taken the first one: it could carry that out
// late.
func TestReplicaThatMayHaveTakenAnOrderIsNotLeftOut(t *testing.T) {
	k := newTestController(newFakeReplicas())
	r := &replicalist.Replica{ID: "a", Incarnation: 1}
	order := layers.Order{ID: "a", Hold: layers.Span{To: 4}, Reason: layers.ReasonFill}
	k.pendingOrders["a"] = pendingOrder{incarnation: 1, span: order.Hold}
	k.setUnreachable(r, order, &upstream.Failure{TimedOut: true, Cause: errors.New("no answer")})
	if len(k.unreachable) > 0 || len(k.pendingOrders) == 0 {
		t.Errorf("left out %v, pending %v", k.unreachable, k.pendingOrders)
	}
	k.setUnreachable(r, order, errUnreachable)
	if len(k.unreachable) == 0 || len(k.pendingOrders) > 0 {
		t.Errorf("left out %v, pending %v", k.unreachable, k.pendingOrders)
	}
	if k.forgetUnlisted(nil); len(k.unreachable) > 0 {
		t.Errorf("kept though it is listed no more: %v", k.unreachable)
	}
}

func awaitUnreachable(t *testing.T, k *Controller, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		k.mu.Lock()
		got := len(k.unreachable)
		k.mu.Unlock()
		if got == n {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d replicas count as unreachable, want %d", got, n)
		}
	}
}

func (e *fakeReplicas) setUnreachable(ids map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachable = ids
}

// coverAll reports whether the replicas hold all layers of the model.
func (e *fakeReplicas) coverAll() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := map[int]bool{}
	for _, r := range e.byID {
		for l := r.holds.From; l < r.holds.To; l++ {
			held[l] = true
		}
	}
	return len(held) == testModel.Layers
}
