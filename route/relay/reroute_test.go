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

// twoReplicaModel is a model that two replicas hold whole.
func twoReplicaModel() *targets.ModelTargets {
	m := targets.NewModelTargets("d", 1, time.Now)
	model := &ruleset.Model{
		Layers: 8, LayerMB: 100, TokenLayerBytes: 1000, StepMillis: 1,
		Cards: map[string]ruleset.Card{"h100": {MemoryMB: 2000, Pace: 1}},
	}
	var list []*replicalist.Replica
	for _, id := range []string{"a", "b"} {
		list = append(list, &replicalist.Replica{ID: id, Address: id, Domain: "d", Kind: "h100", Holds: layers.Span{To: 8}})
	}
	m.Update(model, list, targets.NodeShare{CapacityShare: func(string) float64 { return 1 }, MaxConns: 10, DomainNodes: 1})
	return m
}

// silentStream is a stream through a model that has been silent for some time.
func silentStream(t *testing.T, m *targets.ModelTargets, budget *retrybudget.Budget, silent time.Duration) (*pathMonitor, func()) {
	t.Helper()
	target, err := m.Choose(context.Background(), targets.Query{Tokens: 100})
	if err != nil {
		t.Fatal(err)
	}
	req := &requestState{
		Request: &Request{
			Route:   &ruleset.Route{Kind: ruleset.Stream, Resumable: true, MaxReplicas: 2},
			Targets: m, Budget: budget, Deadline: time.Now().Add(time.Minute),
		},
		server: &Server{Now: time.Now},
	}
	ctx, cancel := context.WithCancel(context.Background())
	monitor := &pathMonitor{attempt: &attempt{request: req, target: target, startedAt: time.Now().Add(-silent)}, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
	return monitor, cancel
}

// The machine of a stream's first replica loses power. Nothing there goes on with the
// stream, so another replica does at once; after the time for which one that refuses
// connections is let alone, the caller has been without an event for most of a second.
// One that refuses may only be leaving, with its streams still underway.
func TestFirstReplicaWithoutPowerIsReplacedAtOnce(t *testing.T) {
	for _, silent := range []bool{true, false} {
		m := twoReplicaModel()
		monitor, cancel := silentStream(t, m, retrybudget.New(retry.Config{Burst: 10}, time.Now), 100*time.Millisecond)
		defer cancel()
		monitor.setMigrationFilter(monitor.attempt.request)
		m.Suspect(monitor.attempt.target.Replica, silent)
		if moved := monitor.replaceFirst(monitor.attempt.target.Active, "lost"); moved != silent {
			t.Errorf("silent %t: moved %t", silent, moved)
		}
		monitor.stop()
	}
}

// The first replica of a stream dies, another could go on, and the budget of tries is
// spent by the time that it is asked. The stream stays where it is, and the room that was
// booked for it is given back: room that stays booked for nobody would add up until the
// node refuses everyone.
func TestReservationOfACancelledMigrationIsReleased(t *testing.T) {
	m := twoReplicaModel()
	budget := retrybudget.New(retry.Config{Burst: 1, Floor: 1e-9}, time.Now)
	monitor, cancel := silentStream(t, m, budget, time.Minute)
	defer cancel()
	req, target, now := monitor.attempt.request, monitor.attempt.target, time.Now()
	monitor.setMigrationFilter(req)
	m.Suspect(target.Replica, false)

	// Another request takes the last try between the look at the budget and the payment.
	next, ok := target.Active.ReserveMigration(monitor.filter)
	if !ok {
		t.Fatal("nobody could go on")
	}
	m.Finish(next, targets.Result{})
	req.Deadline = now // too near for a further try: the payment fails, the look does not
	if monitor.replaceFirst(target.Active, "lost") {
		t.Error("the stream was moved without a try")
	}
	if _, underway := m.RequestCounts(); underway != 1 {
		t.Errorf("%d requests are booked, want the one that is underway", underway)
	}
}

// A stream is led away from a part that leaves, and another part dies meanwhile. That is
// not to wait until the first is done with: the stream would pause for seconds.
func TestLossDuringDrainRerouteIsHandledAtOnce(t *testing.T) {
	monitor := &pathMonitor{wake: make(chan struct{}, 1)}
	if !monitor.beginReroute("leaves", true) {
		t.Fatal("a request that nobody leads can't be led")
	}
	if monitor.beginReroute("leaves too", true) || monitor.takePendingLoss() != "" {
		t.Error("a second part that leaves is no loss")
	}
	if monitor.beginReroute("lost", false) {
		t.Error("led twice at once")
	}
	select {
	case <-monitor.wake:
	default:
		t.Error("the pause between two tries goes on")
	}
	if reason := monitor.takePendingLoss(); reason != "lost" {
		t.Errorf("%q", reason)
	}
	if monitor.takePendingLoss() != "" {
		t.Error("told twice")
	}
}
