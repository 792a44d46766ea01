package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
)

// twoChains is a model that two replicas hold whole.
func twoChains() *targets.Model {
	m := targets.NewModel("d", 1, time.Now)
	model := &ruleset.Model{
		Layers: 8, LayerMB: 100, TokenLayerBytes: 1000, StepMillis: 1,
		Cards: map[string]ruleset.Card{"h100": {MemoryMB: 2000, Pace: 1}},
	}
	var list []*replicalist.Replica
	for _, id := range []string{"a", "b"} {
		list = append(list, &replicalist.Replica{ID: id, Address: id, Domain: "d", Kind: "h100", Holds: layers.Span{To: 8}})
	}
	m.Update(model, list, targets.Part{Share: func(string) float64 { return 1 }, Conns: 10, Near: 1})
	return m
}

// silentStream is a stream through a model that has been silent for some time.
func silentStream(t *testing.T, m *targets.Model, tries *retrybudget.Budget, silent time.Duration) (*watch, func()) {
	t.Helper()
	target, err := m.Choose(context.Background(), targets.Query{Tokens: 100})
	if err != nil {
		t.Fatal(err)
	}
	q := &request{
		Visit: &Visit{
			Route:   &ruleset.Route{Kind: ruleset.Stream, Resumable: true, MaxReplicas: 2},
			Targets: m, Budget: tries, Deadline: time.Now().Add(time.Minute),
		},
		s: &Server{Now: time.Now},
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{a: &attempt{q: q, target: target, begun: time.Now().Add(-silent)}, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
	return w, cancel
}

// The machine of a stream's first replica loses power. Nothing there goes on with the
// stream, so another replica does at once; after the time for which one that refuses
// connections is let alone, the caller has been without an event for most of a second.
// One that refuses may only be leaving, with its streams still underway.
func TestFirstReplicaWithoutPowerIsReplacedAtOnce(t *testing.T) {
	for _, silent := range []bool{true, false} {
		m := twoChains()
		w, cancel := silentStream(t, m, retrybudget.New(retry.Config{Burst: 10}, time.Now), 100*time.Millisecond)
		defer cancel()
		w.permit(w.a.q)
		m.Suspect(w.a.target.Replica, silent)
		if moved := w.replaceFirst(w.a.target.Flight, "lost"); moved != silent {
			t.Errorf("silent %t: moved %t", silent, moved)
		}
		w.stop()
	}
}

// The first replica of a stream dies, another could go on, and the budget of tries is
// spent by the time that it is asked. The stream stays where it is, and the room that was
// booked for it is given back: room that stays booked for nobody would add up until the
// node refuses everyone.
func TestRoomForAMoveThatIsNotMadeIsGivenBack(t *testing.T) {
	m := twoChains()
	spent := retrybudget.New(retry.Config{Burst: 1, Floor: 1e-9}, time.Now)
	w, cancel := silentStream(t, m, spent, time.Minute)
	defer cancel()
	q, target, now := w.a.q, w.a.target, time.Now()
	w.permit(q)
	m.Suspect(target.Replica, false)

	// Another request takes the last try between the look at the budget and the payment.
	next, ok := target.Flight.Elsewhere(w.others)
	if !ok {
		t.Fatal("nobody could go on")
	}
	m.Ended(next, targets.Result{})
	q.Deadline = now // too near for a further try: the payment fails, the look does not
	if w.replaceFirst(target.Flight, "lost") {
		t.Error("the stream was moved without a try")
	}
	if _, underway := m.Waiting(); underway != 1 {
		t.Errorf("%d requests are booked, want the one that is underway", underway)
	}
}

// A stream is led away from a part that leaves, and another part dies meanwhile. That is
// not to wait until the first is done with: the stream would pause for seconds.
func TestLossWhileLedAwayIsNotForgotten(t *testing.T) {
	w := &watch{wake: make(chan struct{}, 1)}
	if !w.take("leaves", true) {
		t.Fatal("a request that nobody leads can't be led")
	}
	if w.take("leaves too", true) || w.lostMeanwhile() != "" {
		t.Error("a second part that leaves is no loss")
	}
	if w.take("lost", false) {
		t.Error("led twice at once")
	}
	select {
	case <-w.wake:
	default:
		t.Error("the pause between two tries goes on")
	}
	if why := w.lostMeanwhile(); why != "lost" {
		t.Errorf("%q", why)
	}
	if w.lostMeanwhile() != "" {
		t.Error("told twice")
	}
}
