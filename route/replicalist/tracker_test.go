package replicalist

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func ids(list []*Replica) string {
	text := ""
	for _, r := range list {
		text += r.ID
	}
	return text
}

// The store was away and is back with an empty list, as no replica could renew its
// entry. Callers are served as before; whoever has not come back in time is gone.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	tr := Tracker{OutageThreshold: 1500 * time.Millisecond}
	a, b, c := &Replica{ID: "a"}, &Replica{ID: "b"}, &Replica{ID: "c", Draining: true}
	list := func(ms int, found ...*Replica) string {
		got, _ := tr.Update(at(ms), found)
		return ids(got)
	}
	for _, step := range []struct {
		ms    int
		found []*Replica
		want  string
	}{
		{0, []*Replica{a, b, c}, "abc"},
		{800, []*Replica{a, b, c}, "abc"},
		{6000, nil, "ab"}, // back after five seconds; one that was leaving has left
		{6800, []*Replica{a}, "ab"},
		{8100, []*Replica{a}, "ab"},
		{8900, []*Replica{a}, "a"},
		{9700, nil, ""}, // the store was there: gone is gone
	} {
		if got := list(step.ms, step.found...); got != step.want {
			t.Errorf("at %d ms: %q, want %q", step.ms, got, step.want)
		}
	}
}

// A replica that starts again under its id holds nothing of before; the log tells it
// from one whose layers have changed.
func TestChangesAreTold(t *testing.T) {
	tr := Tracker{OutageThreshold: 1500 * time.Millisecond}
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
			t.Errorf("%+v: %q, want %q", step.found, got, step.want)
		}
	}
}
