package targets

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/endpointrate"
	"github.com/cicadatack/cicadatack/route/replicalist"
)

// state records that a replica states a limit, which allows no request at once.
func state(t *testing.T, limited Targets, replica string, requestsPerSecond float64) {
	t.Helper()
	s := endpointrate.Statement{Replica: replica, Limited: true, RequestsPerSecond: requestsPerSecond}
	if !limited.Limits().Observe(s) {
		t.Fatalf("the limit of %s is not taken", replica)
	}
}

// Guards against requests above the limit of a model's replica, by all ways to begin at a first
// replica: a new request, one that returns to its former replica, and a migration.
func TestLimitedReplicaIsNotFirst(t *testing.T) {
	m := twoStageModel()
	state(t, m, "a1", 1)
	for range 5 {
		if got := choose(t, m, 10).Replica; got != "a2" {
			t.Fatalf("the path begins at %s, which takes no request now", got)
		}
	}
	if _, err := m.Choose(context.Background(), Query{Tokens: 10, AllowedFirstReplicas: []string{"a1"}}); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("a request that may only begin at a1: %v, want %v", err, ErrNoCapacity)
	}
	active := choose(t, m, 10).Active
	if target, ok := active.ReserveMigration(MigrationFilter{}); ok {
		t.Errorf("a request migrates to %s, which takes no request now", target.Replica)
	}
}

// plainReplicas returns targets of a plain service with the replicas p1 and p2.
func plainReplicas() *PlainTargets {
	p := NewPlainTargets("entry-1", "d", 1, time.Now)
	list := []*replicalist.Replica{{ID: "p1", Domain: "d", Slots: 6}, {ID: "p2", Domain: "d", Slots: 6}}
	p.Update(list, 10, []string{"entry-1"}, 1)
	return p
}

// Guards against requests above the limits of a plain service's replicas, and against requests
// that wait in vain: with one limited replica the other serves; with both, a request waits for
// its turn if that comes in time, and is refused at once if not.
func TestLimitedPlainReplicas(t *testing.T) {
	p := plainReplicas()
	state(t, p, "p1", 20)
	for range 5 {
		target, err := p.Choose(context.Background(), Query{})
		if err != nil || target.Replica != "p2" {
			t.Fatalf("%v, %v; want p2", target.Replica, err)
		}
	}
	state(t, p, "p2", 0.2)
	begun := time.Now()
	target, err := p.Choose(context.Background(), Query{WaitUntil: begun.Add(10 * time.Second)})
	if err != nil || target.Replica != "p1" {
		t.Errorf("%v, %v; want p1 after a wait", target.Replica, err)
	}
	if _, err := p.Choose(context.Background(), Query{WaitUntil: time.Now().Add(time.Millisecond)}); !errors.Is(err, ErrNoCapacity) {
		t.Errorf("%v, want %v at once", err, ErrNoCapacity)
	}
}
