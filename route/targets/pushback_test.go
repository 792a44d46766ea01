package targets

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/reroute"
)

// pushBack records that replicas want no requests for a time.
func pushBack(t *testing.T, of Targets, duration time.Duration, replicas ...string) {
	t.Helper()
	for _, replica := range replicas {
		if !of.Limits().ObservePushback(replica, duration) {
			t.Fatalf("the pushback of %s is not taken", replica)
		}
	}
}

// checkPushedBack fails the test unless the request fails at once and learns when a replica
// wants requests again.
func checkPushedBack(t *testing.T, of Targets, q Query, within time.Duration) {
	t.Helper()
	begun := time.Now()
	_, err := of.Choose(context.Background(), q)
	var pushback *PushbackError
	if !errors.As(err, &pushback) || !errors.Is(err, ErrNoCapacity) {
		t.Fatalf("%v, want a PushbackError", err)
	}
	if remaining := pushback.Until.Sub(begun); remaining <= 0 || remaining > within {
		t.Errorf("the replicas are said to want requests again in %v, want at most %v", remaining, within)
	}
	if !time.Now().Before(q.WaitUntil) {
		t.Error("the request has waited for nothing")
	}
}

// Guards against requests to a model's replica that wants none, by all ways to it: the first
// stage and a later stage of a new request, a request that returns to its former replica, and a
// migration.
func TestReplicaThatWantsNoRequestsIsInNoPath(t *testing.T) {
	m := twoStageModel()
	pushBack(t, m, time.Minute, "a1", "b1")
	for range 5 {
		if path := choose(t, m, 10).Path; path[0].Replica != "a2" || path[1].Replica != "b2" {
			t.Fatalf("the path is %v, want a2 and b2", path)
		}
	}
	inTime := Query{Tokens: 10, WaitUntil: time.Now().Add(10 * time.Second)}
	returning := inTime
	returning.AllowedFirstReplicas = []string{"a1"}
	checkPushedBack(t, m, returning, time.Minute)
	active := choose(t, m, 10).Active
	if target, ok := active.ReserveMigration(MigrationFilter{}); ok {
		t.Errorf("a request migrates to %s, which wants none", target.Replica)
	}
	pushBack(t, m, 30*time.Second, "b2")
	checkPushedBack(t, m, inTime, 30*time.Second)
}

// Guards against a reroute command to a first replica that wants no requests: the request
// migrates instead.
func TestFirstReplicaThatWantsNoRequestsGetsNoRerouteCommand(t *testing.T) {
	m := twoStageModel()
	active := choose(t, m, 10).Active
	first, later := active.path[0].Replica, active.path[1].Replica
	m.Suspect(later, true)
	if path := active.findBypass(time.Now()); path == nil {
		t.Fatal("there is no bypass around the lost stage")
	}
	pushBack(t, m, time.Minute, first)
	if path := active.BypassDraining(); path != nil {
		t.Errorf("%s is to be sent a reroute command, and wants none", first)
	}
	action, _, target := active.Recover(true, time.Second, MigrationFilter{})
	if action != reroute.Migrate || target.Replica == first {
		t.Errorf("action %v to %q, want a migration to the other first replica", action, target.Replica)
	}
}

// Guards against a request that is refused although a replica wants requests again in time.
func TestRequestWaitsForPushbackThatEndsInTime(t *testing.T) {
	const pushback = 200 * time.Millisecond
	for name, c := range map[string]struct {
		of       Targets
		replicas []string
	}{
		"model": {twoStageModel(), []string{"a1", "a2"}},
		"plain": {plainReplicas(), []string{"p1", "p2"}},
	} {
		pushBack(t, c.of, pushback, c.replicas...)
		begun := time.Now()
		if _, err := c.of.Choose(context.Background(), Query{Tokens: 10, WaitUntil: begun.Add(time.Minute)}); err != nil {
			t.Errorf("%s: %v, want a replica after %v", name, err, pushback)
		}
		if waited := time.Since(begun); waited < pushback-time.Millisecond {
			t.Errorf("%s: a replica is chosen after %v, and wants no requests for %v", name, waited, pushback)
		}
	}
}

// Guards against requests to a plain service's replica that wants none because all others fail:
// what a replica states goes before the guess that another one is broken.
func TestPlainReplicaThatWantsNoRequestsIsNoLastResort(t *testing.T) {
	p := plainReplicas()
	pushBack(t, p, time.Minute, "p1")
	for range 20 {
		target, err := p.Choose(context.Background(), Query{})
		if err != nil || target.Replica != "p2" {
			t.Fatalf("%v, %v; want p2, which fails", target.Replica, err)
		}
		p.Finish(target, Result{Failure: health.Internal})
	}
	inTime := Query{WaitUntil: time.Now().Add(10 * time.Second)}
	failed := inTime
	failed.Exclude = []string{"p2"}
	checkPushedBack(t, p, failed, time.Minute)
	pushBack(t, p, 30*time.Second, "p2")
	checkPushedBack(t, p, inTime, 30*time.Second)
}

// Guards against an ejection that outlasts the pushback: a refusal that states one is no failure.
func TestPushbackEjectsNoReplica(t *testing.T) {
	p := plainReplicas()
	for range 50 {
		target, err := p.Choose(context.Background(), Query{Exclude: []string{"p2"}})
		if err != nil {
			t.Fatal(err)
		}
		p.Finish(target, Result{Failure: health.PushedBack})
	}
	if changes := p.Changes(); len(changes) > 0 {
		t.Errorf("%v, want no change of a replica's state", changes)
	}
}

// Guards against a refusal while another replica serves: a replica states a pushback after a
// request has picked it, and before the request takes it.
func TestPushbackDuringChoice(t *testing.T) {
	const (
		rounds  = 300
		callers = 8
	)
	for name, c := range map[string]struct {
		newTargets func() Targets
		replica    string
	}{
		"plain": {func() Targets { return plainReplicas() }, "p1"},
		"model": {func() Targets { return twoStageModel() }, "a1"},
	} {
		for range rounds {
			of := c.newTargets()
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for range 5 {
						if _, err := of.Choose(context.Background(), Query{}); err != nil {
							t.Errorf("%s: %v, want the replica that wants requests", name, err)
						}
					}
				})
			}
			of.Limits().ObservePushback(c.replica, time.Minute)
			group.Wait()
		}
	}
}
