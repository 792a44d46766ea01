package replicalist

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func afterStart(millis int) time.Time {
	return start.Add(time.Duration(millis) * time.Millisecond)
}

func joinIDs(list []*Replica) string {
	joined := ""
	for _, r := range list {
		joined += r.ID
	}
	return joined
}

// Without retained entries, callers would get errors after an outage of the store although
// the replicas still serve. The store is empty then, because no replica could renew its
// entry. A replica that does not register again in time is removed.
func TestEntriesAreRetainedAfterOutage(t *testing.T) {
	tr := Tracker{MaxReadInterval: 1500 * time.Millisecond}
	a, b, c := &Replica{ID: "a"}, &Replica{ID: "b"}, &Replica{ID: "c", Draining: true}
	update := func(readAtMillis int, found ...*Replica) string {
		list, _ := tr.Update(afterStart(readAtMillis), found)
		return joinIDs(list)
	}
	for _, step := range []struct {
		readAtMillis int
		found        []*Replica
		want         string
	}{
		{0, []*Replica{a, b, c}, "abc"},
		{800, []*Replica{a, b, c}, "abc"},
		{6000, nil, "ab"}, // outage of 5 s; the draining replica c is removed
		{6800, []*Replica{a}, "ab"},
		{8100, []*Replica{a}, "ab"},
		{8900, []*Replica{a}, "a"},
		{9700, nil, ""}, // no outage: removed at once
	} {
		if got := update(step.readAtMillis, step.found...); got != step.want {
			t.Errorf("replicas at %d ms: %q, want %q", step.readAtMillis, got, step.want)
		}
	}
}

// Guards against requests to replicas that left while this node alone could not reach the
// store: the entries of the others stand, so the missing entry is removed at once.
func TestEntriesAreRemovedAfterIsolation(t *testing.T) {
	tr := Tracker{MaxReadInterval: 1500 * time.Millisecond}
	var before []*Replica
	for _, id := range []string{"a", "b", "c", "d"} {
		before = append(before, &Replica{ID: id, Created: 10})
	}
	tr.Update(afterStart(0), before)
	if list, _ := tr.Update(afterStart(6000), before[1:]); joinIDs(list) != "bcd" {
		t.Errorf("replicas after isolation: %q, want %q", joinIDs(list), "bcd")
	}
}

// Guards against a lost replica set: all entries expired in an outage, and at the node's
// first read some replicas have registered again. The others are retained.
func TestRegisteredAgainShowsTheOutage(t *testing.T) {
	tr := Tracker{MaxReadInterval: 1500 * time.Millisecond}
	var before, again []*Replica
	for _, id := range []string{"a", "b", "c", "d"} {
		before = append(before, &Replica{ID: id, Created: 10})
		again = append(again, &Replica{ID: id, Created: 50})
	}
	tr.Update(afterStart(0), before)
	if list, _ := tr.Update(afterStart(6000), again[:3]); joinIDs(list) != "abcd" {
		t.Errorf("replicas after the outage: %q, want %q", joinIDs(list), "abcd")
	}
}

// A replica that restarts and keeps its ID has lost its layers. The log must distinguish
// such a restart from a change of the replica's address or layers.
func TestChangeKinds(t *testing.T) {
	tr := Tracker{MaxReadInterval: 1500 * time.Millisecond}
	for _, step := range []struct {
		found *Replica
		want  string
	}{
		{&Replica{ID: "a", Incarnation: 1}, "listed"},
		{&Replica{ID: "a", Incarnation: 1}, ""},
		{&Replica{ID: "a", Incarnation: 1, Address: "x"}, "changed"},
		{&Replica{ID: "a", Incarnation: 2, Address: "x"}, "listed"},
		{&Replica{ID: "a", Incarnation: 2, Address: "x", Draining: true}, "draining"},
		{nil, "gone"},
	} {
		var found []*Replica
		if step.found != nil {
			found = []*Replica{step.found}
		}
		_, changes := tr.Update(start, found)
		got := ""
		if len(changes) > 0 {
			got = changes[0].Kind
		}
		if got != step.want {
			t.Errorf("change to %+v: kind %q, want %q", step.found, got, step.want)
		}
	}
}
