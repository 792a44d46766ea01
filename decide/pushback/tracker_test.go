package pushback

import (
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func afterStart(d time.Duration) time.Time { return start.Add(d) }

// Guards against requests within the time for which a replica wants none: a later, shorter
// pushback must not end an earlier one, and no time may overflow.
func TestObserve(t *testing.T) {
	type observation struct{ at, duration time.Duration }
	for _, c := range []struct {
		name     string
		observed []observation
		changed  []bool
		until    time.Duration
	}{
		{"one", []observation{{0, 3 * time.Second}}, []bool{true}, 3 * time.Second},
		{"a later end", []observation{{0, 3 * time.Second}, {time.Second, 3 * time.Second}}, []bool{true, true}, 4 * time.Second},
		{"an earlier end", []observation{{0, 3 * time.Second}, {time.Second, time.Second}}, []bool{true, false}, 3 * time.Second},
		{"again after the end", []observation{{0, time.Second}, {2 * time.Second, time.Second}}, []bool{true, true}, 3 * time.Second},
		{"no time", []observation{{0, 0}}, []bool{false}, 0},
		{"a negative time", []observation{{0, -time.Second}}, []bool{false}, 0},
		{"a time without end", []observation{{0, 1<<63 - 1}}, []bool{true}, MaxDuration},
	} {
		tracker := New()
		var changed []bool
		last := time.Duration(0)
		for _, o := range c.observed {
			changed = append(changed, tracker.Observe(afterStart(o.at), "i-1", o.duration))
			last = o.at
		}
		if !slices.Equal(changed, c.changed) {
			t.Errorf("%s: changed %v, want %v", c.name, changed, c.changed)
		}
		want := time.Time{}
		if c.until > 0 {
			want = afterStart(c.until)
		}
		if got := tracker.Until(afterStart(last), "i-1"); !got.Equal(want) {
			t.Errorf("%s: until %v, want %v", c.name, got, want)
		}
		if got := tracker.Until(afterStart(c.until), "i-1"); !got.IsZero() {
			t.Errorf("%s: until %v after the end, want none", c.name, got)
		}
	}
}

func TestActive(t *testing.T) {
	tracker := New()
	tracker.Observe(start, "i-2", 2*time.Second)
	tracker.Observe(start, "i-1", 3*time.Second)
	want := []Pushback{{"i-1", 2 * time.Second}, {"i-2", time.Second}}
	if got := tracker.Active(afterStart(time.Second)); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	want = []Pushback{{"i-1", time.Second}}
	if got := tracker.Active(afterStart(2 * time.Second)); !slices.Equal(got, want) {
		t.Errorf("%v after the end of one, want %v", got, want)
	}
	tracker.Observe(afterStart(time.Hour), "i-3", time.Second)
	if len(tracker.until) != 1 {
		t.Errorf("%d pushbacks are kept, want the last one alone", len(tracker.until))
	}
}
