package relay

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/retrybudget"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
)

// twoReplicaModel is a model with two replicas, each of which holds all layers.
func twoReplicaModel() *targets.ModelTargets {
	m := targets.NewModelTargets("entry-1", "d", 1, time.Now)
	m.Update(testModel(), testReplicas("a", "b"), targets.NodeShare{CapacityShare: func(string) float64 { return 1 }, MaxConns: 10, DomainNodeCount: 1})
	return m
}

func testModel() *ruleset.Model {
	return &ruleset.Model{
		Layers: 8, LayerMB: 100, KVBytesPerTokenLayer: 1000, StepMillis: 1,
		CardKinds: map[string]ruleset.CardKind{"h100": {MemoryMB: 2000, StepTimeFactor: 1}},
	}
}

// testReplicas returns replicas that each hold all layers of testModel.
func testReplicas(ids ...string) []*replicalist.Replica {
	var list []*replicalist.Replica
	for _, id := range ids {
		list = append(list, &replicalist.Replica{ID: id, Address: id, Domain: "d", CardKind: "h100", Holds: layers.Span{To: 8}})
	}
	return list
}

// silentStream returns the monitor of a stream that has been silent for the given time, and a
// function that cancels its attempt.
func silentStream(t *testing.T, m *targets.ModelTargets, budget *retrybudget.Budget, silentFor time.Duration) (*pathMonitor, func()) {
	t.Helper()
	target, err := m.Choose(context.Background(), targets.Query{Tokens: 100})
	if err != nil {
		t.Fatal(err)
	}
	req := &requestState{
		Request: &Request{
			Route:   &ruleset.Route{Kind: ruleset.Stream, Resumable: true, MaxReplicas: 2},
			Targets: m, Budget: budget, Deadline: time.Now().Add(time.Minute), Method: "POST", Target: "/",
		},
		server: streamServer(), ctx: context.Background(), callerCtx: context.Background(), log: hclog.NewNullLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	monitor := &pathMonitor{attempt: &attempt{req: req, target: target, startedAt: time.Now().Add(-silentFor)}, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
	return monitor, cancel
}

// The VM of a stream's first replica loses power, so the replica can't continue the stream. If
// the stream migrated only after refusingDeadAfter, the caller would wait for most of a second
// for the next event. A replica that refuses connections may be draining and still serve its
// streams. These streams do not migrate before refusingDeadAfter.
func TestFirstReplicaWithoutPowerIsReplacedAtOnce(t *testing.T) {
	for _, hostUnreachable := range []bool{true, false} {
		m := twoReplicaModel()
		replicas := testReplicas("a", "b")
		for _, r := range replicas {
			r.Address = newStreamReplica(hedgeEvents+1).listen(t, false)
		}
		m.Update(testModel(), replicas, targets.NodeShare{CapacityShare: func(string) float64 { return 1 }, MaxConns: 10, DomainNodeCount: 1})
		monitor, cancel := silentStream(t, m, retrybudget.New(retry.Config{Burst: 10}, time.Now), 100*time.Millisecond)
		defer cancel()
		monitor.setMigrationFilter()
		m.Suspect(monitor.attempt.target.Replica, hostUnreachable)
		if migrated := monitor.replaceFirst(monitor.attempt.target.Active, "lost"); migrated != hostUnreachable {
			t.Errorf("silent %t: migrated %t", hostUnreachable, migrated)
		}
		monitor.stop()
	}
}

// The first replica of a stream dies and capacity at another first replica is reserved, but the
// charge to the retry budget fails. The stream does not migrate. If the reservation were not
// released, such reservations would add up until the node refuses every request.
func TestReservationOfACancelledMigrationIsReleased(t *testing.T) {
	m := twoReplicaModel()
	replicas := testReplicas("a", "b")
	servers := map[string]*streamReplica{}
	for _, r := range replicas {
		servers[r.ID] = newStreamReplica(hedgeEvents + 1)
		r.Address = servers[r.ID].listen(t, false)
	}
	m.Update(testModel(), replicas, targets.NodeShare{CapacityShare: func(string) float64 { return 1 }, MaxConns: 10, DomainNodeCount: 1})
	budget := retrybudget.New(retry.Config{Burst: 1, MinRetriesPerSecond: 1e-9}, time.Now)
	monitor, cancel := silentStream(t, m, budget, time.Minute)
	defer cancel()
	req, target := monitor.attempt.req, monitor.attempt.target
	monitor.setMigrationFilter()
	m.Suspect(target.Replica, false)

	// Another first replica has capacity, so only the failed charge can prevent the migration.
	next, ok := target.Active.ReserveMigration(monitor.filter)
	if !ok {
		t.Fatal("no other replica could continue the stream")
	}
	m.Finish(next, targets.Result{})
	// Too near for a retry, which begins after a delay, and not for a request that is sent now.
	req.Deadline = time.Now().Add(2 * deadlineMargin)
	if monitor.replaceFirst(target.Active, "lost") {
		t.Error("the stream migrated without a charge to the budget")
	}
	if _, active := m.RequestCounts(); active != 1 {
		t.Errorf("%d requests hold reservations, want only the active one", active)
	}
	if got := servers[next.Replica].requests(); len(got) > 0 {
		t.Errorf("the other replica got %d requests that were not charged", len(got))
	}
}

// While a stream is being rerouted because of a draining stage, another stage dies. If the loss
// were handled only after that reroute has ended, the stream would pause for seconds.
func TestLossDuringDrainRerouteIsHandledAtOnce(t *testing.T) {
	monitor := &pathMonitor{wake: make(chan struct{}, 1)}
	if !monitor.beginReroute("leaves", true) {
		t.Fatal("the first reroute could not begin")
	}
	if monitor.beginReroute("leaves too", true) || monitor.takePendingLoss() != "" {
		t.Error("a second draining stage counts as a loss")
	}
	if monitor.beginReroute("lost", false) {
		t.Error("two reroutes at the same time")
	}
	select {
	case <-monitor.wake:
	default:
		t.Error("the wait between two tries was not ended")
	}
	if reason := monitor.takePendingLoss(); reason != "lost" {
		t.Errorf("%q", reason)
	}
	if monitor.takePendingLoss() != "" {
		t.Error("the same loss was returned twice")
	}
}
