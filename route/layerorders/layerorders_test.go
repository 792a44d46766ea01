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
)

var (
	start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)
	llm   = &ruleset.Model{
		Layers: 8, LayerMB: 100, TokenLayerBytes: 1000, LoadTime: time.Second,
		Cards: map[string]ruleset.Card{"l4": {MemoryMB: 700}},
	}
)

type engine struct {
	orders int64
	holds  layers.Span
}

// engines are replicas that take orders as real ones do.
type engines struct {
	mu    sync.Mutex
	byID  map[string]*engine
	given chan string
	fail  error
}

func newEngines() *engines {
	return &engines{byID: map[string]*engine{}, given: make(chan string, 100)}
}

func (e *engines) of(id string) *engine {
	if e.byID[id] == nil {
		e.byID[id] = &engine{}
	}
	return e.byID[id]
}

func (e *engines) Place(_ context.Context, _, id string, orders, _ int64, hold layers.Span) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() { e.given <- id }()
	if e.fail != nil {
		return e.fail
	}
	r := e.of(id)
	if r.orders != orders {
		return errors.New("409")
	}
	r.orders++
	r.holds = hold
	return nil
}

func (e *engines) Report(_ context.Context, _, id string) (replicareport.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.of(id)
	return replicareport.Report{Orders: r.orders, Holds: r.holds}, nil
}

func (e *engines) list(ids ...string) []*replicalist.Replica {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*replicalist.Replica
	for _, id := range ids {
		list = append(list, &replicalist.Replica{ID: id, Address: id, Domain: "d", Kind: "l4", Holds: e.of(id).holds})
	}
	return list
}

func none(string) bool { return false }

func wait(t *testing.T, e *engines, n int) {
	t.Helper()
	for range n {
		select {
		case <-e.given:
		case <-time.After(10 * time.Second):
			t.Fatal("an order is missing")
		}
	}
}

func keeper(e *engines) *Keeper { return New("llm", e, time.Second, hclog.NewNullLogger()) }

// Replicas appear one after the other while a fleet starts. The first plan waits until
// no more come, since loads before it are cheap and later ones are not; it is ordered
// once, however often the list is read before replicas report.
func TestFirstPlanWaitsForTheFleet(t *testing.T) {
	e := newEngines()
	k := keeper(e)
	step := func(ms int, list []*replicalist.Replica) {
		k.Step(context.Background(), start.Add(time.Duration(ms)*time.Millisecond), llm, "d", 1, list, none)
	}
	step(0, e.list("a"))
	step(800, e.list("a", "b"))
	step(1600, e.list("a", "b"))
	if len(e.given) > 0 {
		t.Fatal("ordered before the fleet was there")
	}
	stale := e.list("a", "b")
	step(2000, stale)
	wait(t, e, 2)
	step(2400, stale)
	if len(e.given) > 0 {
		t.Error("ordered again before the replicas could report")
	}
	if e.byID["a"].holds.Empty() || e.byID["b"].holds.Empty() {
		t.Errorf("%v %v", e.byID["a"], e.byID["b"])
	}
}

// Two nodes take themselves for the keeper at once. Each replica takes one of their
// orders; the other node learns what has become of it and orders nothing against it.
func TestTwoKeepersDoNoHarm(t *testing.T) {
	e := newEngines()
	first, second := keeper(e), keeper(e)
	list := e.list("a", "b")
	for _, k := range []*Keeper{first, second} {
		k.Step(context.Background(), start, llm, "d", 1, list, none)
		k.Step(context.Background(), start.Add(2*time.Second), llm, "d", 1, list, none)
	}
	wait(t, e, 4)
	if e.taken("a") != 1 || e.taken("b") != 1 {
		t.Errorf("%d and %d orders were taken", e.taken("a"), e.taken("b"))
	}
	for _, k := range []*Keeper{first, second} {
		k.Step(context.Background(), start.Add(10*time.Second), llm, "d", 1, e.list("a", "b"), none)
	}
	if len(e.given) > 0 {
		t.Error("ordered again")
	}
}

// A node that takes over has given none of the orders that a replica counts. Its first
// one is refused; it asks, and its next one is taken.
func TestSuccessorLearnsTheCount(t *testing.T) {
	e := newEngines()
	old := keeper(e)
	old.Step(context.Background(), start, llm, "d", 1, e.list("a", "b"), none)
	old.Step(context.Background(), start.Add(2*time.Second), llm, "d", 1, e.list("a", "b"), none)
	wait(t, e, 2)
	next := keeper(e)
	lost := func(id string) bool { return id == "b" }
	deadline := time.Now().Add(10 * time.Second)
	for at := start.Add(10 * time.Second); e.taken("a") < 2; at = at.Add(reportDelay) {
		if time.Now().After(deadline) {
			t.Fatalf("never repaired: %d orders taken", e.taken("a"))
		}
		next.Step(context.Background(), at, llm, "d", 1, e.list("a", "b"), lost)
		time.Sleep(time.Millisecond)
	}
}

func (e *engines) taken(id string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.of(id).orders
}

// A node takes over the orders of a failure domain and does not know how many its
// predecessor gave. Its first order is refused for that. It asks the replica and, as
// that is as the plan took it to be, orders again at once: a domain that lacks layers
// would otherwise wait for the next read of the store.
func TestSuccessorOrdersAgainAtOnce(t *testing.T) {
	e := newEngines()
	e.of("a").orders = 3
	k := keeper(e)
	list := e.list("a")
	k.Step(context.Background(), start, llm, "d", 1, list, none)
	k.Step(context.Background(), start.Add(2*time.Second), llm, "d", 1, list, none)
	wait(t, e, 2)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byID["a"].holds.Empty() || e.byID["a"].orders != 4 {
		t.Errorf("%+v", e.byID["a"])
	}
}
