package targets

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/layers"
	"github.com/cicadatack/cicadatack/decide/peerreports"
	"github.com/cicadatack/cicadatack/decide/reroute"
	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/route/ruleset"
)

var testModel = &ruleset.Model{
	Layers: 8, LayerMB: 100, KVBytesPerTokenLayer: 1000, StepMillis: 1,
	CardKinds: map[string]ruleset.CardKind{"l4": {MemoryMB: 500, StepTimeFactor: 1}},
}

func newReplica(id string, from, to int) *replicalist.Replica {
	return &replicalist.Replica{ID: id, Address: id, Domain: "d", CardKind: "l4", Holds: layers.Span{From: from, To: to}}
}

// soleNode is the NodeShare of the only node: all capacity and maxConns connections to each
// replica are its own.
func soleNode(maxConns int) NodeShare {
	return NodeShare{CapacityShare: func(string) float64 { return 1 }, MaxConns: maxConns, DomainNodeCount: 1}
}

// twoStageModel is a model whose layers are held in two halves, each by two replicas. A replica
// has 100 MB of memory beside its four layers. At 4,000 bytes a token, this is capacity for
// 25,000 tokens.
func twoStageModel() *ModelTargets {
	m := NewModelTargets("entry-1", "d", 1, time.Now)
	m.Update(testModel, []*replicalist.Replica{newReplica("a1", 0, 4), newReplica("a2", 0, 4), newReplica("b1", 4, 8), newReplica("b2", 4, 8)},
		soleNode(10))
	return m
}

func choose(t *testing.T, m *ModelTargets, tokens float64) Target {
	t.Helper()
	target, err := m.Choose(context.Background(), Query{Tokens: tokens})
	if err != nil {
		t.Fatal(err)
	}
	return target
}

// Two streams fill the model. A request that must not wait is refused at once. Another request
// waits, and starts as soon as one of the streams ends.
func TestRequestWaitsForCapacity(t *testing.T) {
	m := twoStageModel()
	first := choose(t, m, 25000)
	choose(t, m, 25000)
	if _, err := m.Choose(context.Background(), Query{Tokens: 25000}); !errors.Is(err, ErrNoCapacity) {
		t.Fatalf("%v", err)
	}
	got := make(chan error)
	go func() {
		_, err := m.Choose(context.Background(), Query{Tokens: 25000, WaitUntil: time.Now().Add(time.Minute)})
		got <- err
	}()
	for waiting, _ := m.RequestCounts(); waiting == 0; waiting, _ = m.RequestCounts() {
		time.Sleep(time.Millisecond)
	}
	m.Finish(first, Result{Complete: true})
	if err := <-got; err != nil {
		t.Error(err)
	}
}

// A request of rank 1 waits for capacity, and a second request arrives that would fit. A second
// request of rank 1 must wait behind the first. A second request of rank 0 goes first.
func TestWaitingRequestsComeFirst(t *testing.T) {
	for _, c := range []struct {
		rank    int
		refused bool
	}{{1, true}, {0, false}} {
		m := twoStageModel()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			// 50,000 tokens exceed the capacity of every replica.
			_, _ = m.Choose(ctx, Query{Tokens: 50000, Rank: 1, WaitUntil: time.Now().Add(time.Minute)})
		}()
		for waiting, _ := m.RequestCounts(); waiting == 0; waiting, _ = m.RequestCounts() {
			time.Sleep(time.Millisecond)
		}
		_, err := m.Choose(context.Background(), Query{Tokens: 100, Rank: c.rank})
		if errors.Is(err, ErrNoCapacity) != c.refused {
			t.Errorf("rank %d: %v", c.rank, err)
		}
		cancel()
		<-done
		if waiting, _ := m.RequestCounts(); waiting != 0 || len(m.wakeChannels) != 0 {
			t.Errorf("%d requests wait, %d channels are left", waiting, len(m.wakeChannels))
		}
	}
}

// One request finds that a replica is lost. If the other requests that run through the replica
// were not notified at once, each request would have to find the loss itself. Requests on other
// replicas are not notified.
func TestLostReplicaNotifiesAllItsRequests(t *testing.T) {
	m := twoStageModel()
	notified := make(chan string, 20)
	affectedRequests := 0
	for i := range 10 {
		target := choose(t, m, 100)
		for _, p := range target.Path {
			if p.Replica == "b1" {
				affectedRequests++
			}
		}
		target.Active.SetCallbacks(func(replica string) { notified <- fmt.Sprint(i, replica) }, func(string) {})
	}
	if !m.Suspect("b1", false) || m.Suspect("b1", false) {
		t.Error("the suspicion must be new exactly once")
	}
	for range affectedRequests {
		<-notified
	}
	select {
	case extra := <-notified:
		t.Errorf("notified although not affected: %s", extra)
	default:
	}
	for range 20 {
		for _, p := range choose(t, m, 100).Path {
			if p.Replica == "b1" {
				t.Fatal("a new request goes through the lost replica")
			}
		}
	}
	if !m.MarkAlive("b1") || len(m.Suspects()) != 0 {
		t.Error("the replica does not return to service")
	}
}

// A request takes a bypass around a lost stage. The first stage stays, and the later stages are
// chosen again. The reservation moves to the new path. If it did not move, a part of the
// reservation would never be released.
func TestBypassMovesReservation(t *testing.T) {
	m := twoStageModel()
	target := choose(t, m, 100)
	lost := target.Path[1].Replica
	m.Suspect(lost, false)
	path := target.Active.BypassDraining()
	if len(path) != 2 || path[0] != target.Path[0] || path[1].Replica == lost {
		t.Fatalf("%v around %s", path, lost)
	}
	target.Active.SetPath(path)
	m.Finish(target, Result{Complete: true})
	m.mu.Lock()
	defer m.mu.Unlock()
	if reserved := m.selector.Reserved(); len(reserved) > 0 {
		t.Errorf("still reserved: %v", reserved)
	}
}

// The first replica of a request looks dead, but may yet continue the answer. If the request
// were given up while no other first replica has capacity, the answer would be lost. The
// request migrates only if another first replica has capacity now.
func TestMigrationNeedsFreeCapacity(t *testing.T) {
	m := twoStageModel()
	target := choose(t, m, 20000)
	next, ok := target.Active.ReserveMigration(MigrationFilter{})
	if !ok || next.Replica == target.Replica {
		t.Fatalf("%v, %t: the other first replica has capacity", next, ok)
	}
	if _, ok := target.Active.ReserveMigration(MigrationFilter{}); ok {
		t.Error("the capacity of the other first replica was reserved twice")
	}
	m.Finish(next, Result{Failure: health.Canceled})
	if _, ok := target.Active.ReserveMigration(MigrationFilter{Exclude: []string{next.Replica}}); ok {
		t.Error("migrated to a replica that has failed this request")
	}
	other := map[string]string{"a1": "a2", "a2": "a1"}[target.Replica]
	m.Suspect(other, false)
	if _, ok := target.Active.ReserveMigration(MigrationFilter{}); ok {
		t.Error("migrated to a suspected replica")
	}
}

// Requests that run through a draining replica are notified once, and again only after
// RetryDrainCallback.
func TestDrainingReplicaNotifiesItsRequests(t *testing.T) {
	m := twoStageModel()
	target := choose(t, m, 100)
	notified := make(chan string, 4)
	target.Active.SetCallbacks(func(string) {}, func(replica string) { notified <- replica })
	draining := target.Path[1].Replica
	list := []*replicalist.Replica{newReplica("a1", 0, 4), newReplica("a2", 0, 4), newReplica("b1", 4, 8), newReplica("b2", 4, 8)}
	for _, r := range list {
		r.Draining = r.ID == draining
	}
	update := func() { m.Update(testModel, list, soleNode(10)) }
	update()
	if got := <-notified; got != draining {
		t.Errorf("notified about %s", got)
	}
	update()
	target.Active.RetryDrainCallback()
	update()
	if got := <-notified; got != draining {
		t.Errorf("notified about %s", got)
	}
	if len(notified) != 0 {
		t.Error("notified again without RetryDrainCallback")
	}
}

// A replica leaves without announcing it: it disappears from the list and continues to serve.
// The replica counts as draining. If it counted as lost, all its streams would transfer data
// over the links at once and pause for a second.
func TestUnlistedReplicaCountsAsDraining(t *testing.T) {
	m := twoStageModel()
	target := choose(t, m, 100)
	notified := make(chan string, 4)
	target.Active.SetCallbacks(func(replica string) { t.Errorf("%s counts as lost", replica) }, func(replica string) { notified <- replica })
	unlisted := target.Path[1].Replica
	var list []*replicalist.Replica
	for _, r := range []*replicalist.Replica{newReplica("a1", 0, 4), newReplica("a2", 0, 4), newReplica("b1", 4, 8), newReplica("b2", 4, 8)} {
		if r.ID != unlisted {
			list = append(list, r)
		}
	}
	m.Update(testModel, list, soleNode(10))
	if got := <-notified; got != unlisted {
		t.Errorf("notified about %s", got)
	}
}

// Six streams run through the only replica of a failure domain that holds some layers, and the
// replica dies. A bypass through the other failure domain transfers data over the links, one
// stream after another. Two of the bypasses are on time; the other four streams migrate to the
// other domain.
func TestStreamsMigrateWhenLinksAreBusy(t *testing.T) {
	remote := func(id string, from, to int) *replicalist.Replica {
		r := newReplica(id, from, to)
		r.Domain = "far"
		return r
	}
	model := *testModel
	// One crossing of a stream with 1,000 tokens takes 50 ms.
	model.TransferBytesPerToken, model.LinkBytesPerSecond = 1000, 2e7
	m := NewModelTargets("entry-1", "d", 1, time.Now)
	list := []*replicalist.Replica{newReplica("a", 0, 4), newReplica("b", 4, 8), remote("x", 0, 4), remote("y", 4, 8)}
	m.Update(&model, list, soleNode(10))
	var streams []Target
	for range 6 {
		streams = append(streams, choose(t, m, 1000))
	}
	m.Suspect("b", false)
	var actions []reroute.Action
	for _, target := range streams {
		action, path, next := target.Active.Recover(true, 120*time.Millisecond, MigrationFilter{})
		actions = append(actions, action)
		if action == reroute.Bypass {
			if path == nil {
				t.Error("a bypass without a path")
			}
			continue
		}
		if next.Replica != "x" || next.Domain != "far" {
			t.Errorf("the stream migrates to %+v", next)
		}
	}
	want := []reroute.Action{reroute.Bypass, reroute.Bypass, reroute.Migrate, reroute.Migrate, reroute.Migrate, reroute.Migrate}
	if !slices.Equal(actions, want) {
		t.Errorf("%v, want %v", actions, want)
	}
	if action, path, _ := streams[1].Active.Recover(false, 120*time.Millisecond, MigrationFilter{}); action != reroute.Bypass || path == nil {
		t.Errorf("a stream that must not migrate: %v %v", action, path)
	}
}

// If a stage is confirmed as alive by an event of another stream, it need not be checked.
// Without this rule, a node would connect to every stage of a path whenever one of many streams
// goes silent. An event before a reroute does not confirm the stages of the new path.
func TestStagesConfirmedByOtherStreams(t *testing.T) {
	now := time.Now()
	m := NewModelTargets("entry-1", "d", 1, func() time.Time { return now })
	m.Update(testModel, []*replicalist.Replica{newReplica("a1", 0, 4), newReplica("b1", 4, 8), newReplica("b2", 4, 8)}, soleNode(10))
	silent, other := choose(t, m, 10), choose(t, m, 10)
	ids := func(window time.Duration) string {
		text := ""
		for _, p := range silent.Active.UnconfirmedStages(window) {
			text += p.Replica + " "
		}
		return text
	}
	if got := ids(time.Hour); len(got) != len("a1 b1 ") {
		t.Fatalf("before any event: %s", got)
	}
	now = now.Add(time.Second)
	silent.Active.RecordEvent()
	if got := ids(time.Hour); len(got) != len("a1 b1 ") {
		t.Errorf("the stream's own events count: %s", got)
	}
	other.Active.RecordEvent()
	now = now.Add(20 * time.Millisecond)
	got := ids(30 * time.Millisecond)
	shared := other.Path[1].Replica == silent.Path[1].Replica
	if shared && got != "" || !shared && got != silent.Path[1].Replica+" " {
		t.Errorf("the other stream runs along %v, this one along %v, unconfirmed: %s", other.Path, silent.Path, got)
	}
	if got := ids(10 * time.Millisecond); len(got) != len("a1 b1 ") {
		t.Errorf("an event before the window counts: %s", got)
	}
	other.Active.SetPath(other.Path)
	if got := ids(time.Hour); len(got) != len("a1 b1 ") {
		t.Errorf("an event along another path counts: %s", got)
	}
}

// Three nodes report a replica as lost. A fourth node accepts their reports and sends the
// replica no new requests. It must not report the replica as lost before it has tried to reach
// the replica itself. If nodes forwarded reports, the reports would never expire.
func TestPeerReportsAreNotForwarded(t *testing.T) {
	m := twoStageModel()
	reports := []peerreports.Observation{{Replica: "a1", Unreachable: true, Observers: peerreports.Quorum}, {Replica: "b1", Slowdown: 5, Observers: peerreports.Quorum}}
	domainNodes := []string{"n1", "n2", "n3", "n4", "n5"}
	decision := m.Evaluate("n4", domainNodes, reports)
	if len(decision.Accept) != 2 || len(m.Suspects()) != 1 || !m.HasRecentPeerReport("b1") || len(m.Slow()) != 1 {
		t.Fatalf("%+v", decision)
	}
	if seen := m.Observations(); len(seen) != 0 {
		t.Errorf("forwarded: %+v", seen)
	}
	if target := choose(t, m, 10); target.Replica != "a2" {
		t.Errorf("sent to %s", target.Replica)
	}
	m.RecordUnreachable("a1")
	if seen := m.Observations(); len(seen) != 1 || seen[0].Replica != "a1" || seen[0].Observers != 1 {
		t.Errorf("after a failed try: %+v", seen)
	}
	m.MarkAlive("a1")
	if seen := m.Observations(); len(seen) != 1 || !seen[0].Reached || seen[0].Unreachable || len(m.Suspects()) != 0 {
		t.Errorf("after the replica was reached: %+v", seen)
	}
	reports[0].Age = 400 * time.Millisecond
	if m.Evaluate("n4", domainNodes, reports[:1]); len(m.Suspects()) != 0 {
		t.Error("a report replaces a newer observation of this node")
	}
}

// Without a bound, a node would verify the same replica at each exchange as long as one other
// node reports it as lost.
func TestVerificationsPerReportAreBounded(t *testing.T) {
	now := time.Now()
	m := NewModelTargets("entry-1", "d", 1, func() time.Time { return now })
	m.Update(testModel, []*replicalist.Replica{newReplica("a1", 0, 4), newReplica("b1", 4, 8)}, soleNode(10))
	verifications := 0
	for range 20 {
		verifications += len(m.Evaluate("n1", []string{"n1"}, []peerreports.Observation{{Replica: "a1", Unreachable: true, Observers: 1}}).Verify)
		now = now.Add(verifyInterval / 10)
	}
	if verifications != 2 {
		t.Errorf("%d verifications in two seconds", verifications)
	}
}

// Nodes must not verify the same replicas forever because of each other's reports. A node
// therefore reports the slowdown that it learns by a verification only if the replica is or was
// slow.
func TestVerificationDoesNotTriggerAnother(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	nodes := []*ModelTargets{NewModelTargets("entry-1", "d", 1, clock), NewModelTargets("entry-2", "d", 2, clock)}
	names := []string{"n1", "n2"}
	for _, m := range nodes {
		m.Update(testModel, []*replicalist.Replica{newReplica("a1", 0, 4), newReplica("b1", 4, 8)}, soleNode(10))
	}
	nodes[0].SetSlowdown("a1", 1)
	verifications := 0
	for range 40 {
		for i, m := range nodes {
			for _, c := range m.Evaluate(names[i], names, nodes[1-i].Observations()).Verify {
				verifications++
				m.SetSlowdown(c.Replica, 1)
			}
		}
		now = now.Add(300 * time.Millisecond)
	}
	if verifications > 0 {
		t.Errorf("%d verifications of a replica that never was slow", verifications)
	}
	nodes[0].SetSlowdown("a1", 5)
	if verify := nodes[1].Evaluate("n2", names, nodes[0].Observations()).Verify; len(verify) != 1 {
		t.Errorf("a slow replica is not verified: %+v", verify)
	}
	nodes[0].SetSlowdown("a1", 1)
	if seen := nodes[0].Observations(); len(seen) != 1 || seen[0].Slowdown != 1 {
		t.Errorf("the recovery is not reported: %+v", seen)
	}
}

// A draining replica refuses connections and continues its requests. Other nodes report it as
// lost. The requests of this node that run through it are not rerouted, unless its host is
// unreachable.
func TestReportedLossKeepsActiveRequests(t *testing.T) {
	m := twoStageModel()
	target := choose(t, m, 10)
	target.Active.SetCallbacks(func(string) {}, func(string) {})
	first := target.Path[0].Replica
	if changed, callbacks := m.suspectOnReport(first, false); !changed || len(callbacks) != 0 {
		t.Errorf("new %v, %d requests are notified", changed, len(callbacks))
	}
	if next := choose(t, m, 10); next.Path[0].Replica == first {
		t.Error("a new request was sent to the suspected replica")
	}
	m.MarkAlive(first)
	if changed, callbacks := m.suspectOnReport(first, true); !changed || len(callbacks) != 1 {
		t.Errorf("host unreachable: new %v, %d requests are notified", changed, len(callbacks))
	}
}

// Three nodes report that a replica refuses requests although it has capacity. A fourth node
// accepts their reports and sends the replica no new requests. The fourth node itself reports
// only refusals of requests that it has sent.
func TestReportedRefusalsBackOff(t *testing.T) {
	m := twoStageModel()
	domainNodes := []string{"n1", "n2", "n3", "n4"}
	reports := []peerreports.Observation{{Replica: "a1", Refusing: true, Observers: peerreports.Quorum}, {Replica: "b1", Refusing: true, Observers: 1}}
	decision := m.Evaluate("n4", domainNodes, reports)
	if len(decision.Accept) != 1 || len(decision.Verify) != 0 || len(m.Suspects()) != 0 {
		t.Fatalf("%+v", decision)
	}
	target := choose(t, m, 10)
	if target.Replica != "a2" {
		t.Errorf("sent to %s", target.Replica)
	}
	if seen := m.Observations(); len(seen) != 0 {
		t.Errorf("forwarded: %+v", seen)
	}
	m.Finish(target, Result{FaultAddress: "a2", NoCapacity: true})
	if seen := m.Observations(); len(seen) != 1 || seen[0].Replica != "a2" || !seen[0].Refusing {
		t.Errorf("this node's own refusals: %+v", seen)
	}
}

// Three nodes that are cut off from a sound replica report it as lost, at each exchange. A fourth
// node reaches it. The fourth node goes on choosing it, although its own evidence is older than
// the reports.
func TestReportsOfCutOffNodesDoNotExcludeAReachedReplica(t *testing.T) {
	now := time.Now()
	m := NewModelTargets("n4", "d", 1, func() time.Time { return now })
	m.Update(testModel, []*replicalist.Replica{newReplica("a1", 0, 4), newReplica("b1", 4, 8), newReplica("a2", 0, 4), newReplica("b2", 4, 8)}, soleNode(10))
	domainNodes := []string{"n1", "n2", "n3", "n4"}
	reports := []peerreports.Observation{{Replica: "a1", Unreachable: true, Observers: peerreports.Quorum, Age: 50 * time.Millisecond}}
	exchanges, excluded := 0, 0
	for range 40 {
		for _, c := range m.Evaluate("n4", domainNodes, reports).Verify {
			m.MarkAlive(c.Replica) // the verification reaches it
		}
		for _, r := range m.Suspects() {
			now = now.Add(400 * time.Millisecond)
			m.MarkAlive(r.ID) // so does the next recheck
			excluded++
		}
		exchanges++
		now = now.Add(300 * time.Millisecond)
	}
	if excluded > 1 {
		t.Errorf("excluded %d times in %d exchanges, want once at most", excluded, exchanges)
	}
}

// A stream through a replica goes on while other nodes report the replica as lost: it is alive.
func TestReportsDoNotExcludeAReplicaWithALivingStream(t *testing.T) {
	m := twoStageModel()
	target := choose(t, m, 10)
	target.Active.RecordEvent()
	var reports []peerreports.Observation
	for _, stage := range target.Path {
		reports = append(reports, peerreports.Observation{Replica: stage.Replica, Unreachable: true, Observers: peerreports.Quorum})
	}
	if decision := m.Evaluate("n4", []string{"n1", "n2", "n3", "n4"}, reports); len(decision.Accept) > 0 || len(m.Suspects()) > 0 {
		t.Errorf("accepted: %+v", decision.Accept)
	}
}

// A node that reaches a replica says so while others report it as lost. The others verify the
// replica, and do not accept the reports.
func TestReachedReplicaIsReported(t *testing.T) {
	m := twoStageModel()
	m.Suspect("a1", false)
	m.MarkAlive("a1")
	reached := m.Observations()
	if len(reached) != 1 || !reached[0].Reached || reached[0].Unreachable {
		t.Fatalf("reported: %+v", reached)
	}
	other := twoStageModel()
	reports := append(reached, peerreports.Observation{Replica: "a1", Unreachable: true, Observers: peerreports.Quorum})
	decision := other.Evaluate("n4", []string{"n4"}, reports)
	if len(decision.Accept) > 0 || len(decision.Verify) != 1 || len(other.Suspects()) > 0 {
		t.Errorf("%+v", decision)
	}
}

// The node that orders layers loses its link to a replica. Other nodes reach the replica, so no
// other replica is ordered to take over its layers. If others report the loss too, or nobody
// contradicts for long, the layers count as lost.
func TestLayersOfAReplicaThatOthersReachAreNotLost(t *testing.T) {
	claim := peerreports.Observation{Replica: "a1", Unreachable: true, Observers: 1}
	reached := peerreports.Observation{Replica: "a1", Reached: true, Observers: 1}
	for _, c := range []struct {
		name                string
		domainNodes         []string
		reports             []peerreports.Observation
		lostSoon, lostLater bool
	}{
		{"another node reports the loss", []string{"n1", "n2"}, []peerreports.Observation{claim}, true, true},
		{"another node reaches it", []string{"n1", "n2"}, []peerreports.Observation{reached}, false, false},
		{"one reports the loss, one reaches it", []string{"n1", "n2", "n3"}, []peerreports.Observation{claim, reached}, false, false},
		{"nobody says anything", []string{"n1", "n2"}, nil, false, true},
		{"there is no other node", []string{"n1"}, nil, true, true},
	} {
		now := time.Now()
		m := NewModelTargets("n1", "d", 1, func() time.Time { return now })
		m.Update(testModel, []*replicalist.Replica{newReplica("a1", 0, 4), newReplica("b1", 4, 8)}, soleNode(10))
		m.Suspect("a1", false)
		for waited := time.Duration(0); waited <= 3*time.Second; waited += 300 * time.Millisecond {
			m.Evaluate("n1", c.domainNodes, c.reports)
			if waited < layersLostAfter && m.LayersLost("a1") {
				t.Errorf("%s: lost after %v", c.name, waited)
			}
			if waited == layersLostAfter && m.LayersLost("a1") != c.lostSoon {
				t.Errorf("%s: lost after %v: %v", c.name, waited, !c.lostSoon)
			}
			now = now.Add(300 * time.Millisecond)
		}
		if m.LayersLost("a1") != c.lostLater {
			t.Errorf("%s: lost after three seconds: %v", c.name, !c.lostLater)
		}
	}
}

// A node suspects all replicas of the first layers. Another node may reach them, so a request that
// can go to another node does not wait. Nothing is out of reach for a request whose replicas have
// failed it, or are draining.
func TestChoiceFailsAtOnceIfReplicasAreOutOfReach(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(m *ModelTargets) (exclude []string)
		want    error
	}{
		{"suspected", func(m *ModelTargets) []string {
			m.Suspect("a1", false)
			m.Suspect("a2", true)
			return nil
		}, ErrUnreachable},
		{"one suspected, one has failed the request", func(m *ModelTargets) []string {
			m.Suspect("a1", false)
			return []string{"a1", "a2"}
		}, ErrUnreachable},
		{"both have failed the request", func(*ModelTargets) []string { return []string{"a1", "a2"} }, ErrNoEndpoint},
		{"one suspected", func(m *ModelTargets) []string {
			m.Suspect("a1", false)
			return nil
		}, nil},
	} {
		m := twoStageModel()
		exclude := c.prepare(m)
		begun := time.Now()
		_, err := m.Choose(context.Background(), Query{Tokens: 10, Exclude: exclude, FailIfUnreachable: true, WaitUntil: begun.Add(100 * time.Millisecond)})
		if !errors.Is(err, c.want) || errors.Is(err, ErrUnreachable) != (c.want == ErrUnreachable) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if _, err := m.Choose(context.Background(), Query{Tokens: 10, Exclude: exclude}); errors.Is(err, ErrUnreachable) {
			t.Errorf("%s: a request that can't go elsewhere is told %v", c.name, err)
		}
	}
}
