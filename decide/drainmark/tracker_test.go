package drainmark

import (
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// Guards against requests to a replica that has said that it is leaving, because the list of
// replicas is old or has lost it for a moment; and against a replica that is never used again
// although it has started anew.
func TestMarks(t *testing.T) {
	type list struct {
		at           time.Duration
		incarnations map[string]int64
	}
	old, restarted, none := map[string]int64{"i-1": 7}, map[string]int64{"i-1": 8}, map[string]int64{}
	for _, c := range []struct {
		name   string
		lists  []list
		marked bool
	}{
		{"no list", nil, true},
		{"still listed", []list{{time.Hour, old}}, true},
		{"absent for a moment", []list{{time.Second, none}, {2 * time.Second, old}}, true},
		{"absent after it was listed for long", []list{{time.Hour, old}, {time.Hour + absentFor - 1, none}}, true},
		{"absent for long", []list{{absentFor, none}, {absentFor, old}}, false},
		{"started anew", []list{{time.Second, restarted}}, false},
		{"started anew after an absence", []list{{time.Second, none}, {2 * time.Second, restarted}}, false},
	} {
		tracker := New()
		if !tracker.Mark(start, "i-1", 7) || tracker.Mark(start, "i-1", 7) {
			t.Errorf("%s: the first mark alone is new", c.name)
		}
		for _, l := range c.lists {
			tracker.SetListed(start.Add(l.at), l.incarnations)
		}
		if got := tracker.Marked("i-1", 7); got != c.marked {
			t.Errorf("%s: marked %v, want %v", c.name, got, c.marked)
		}
		if tracker.Marked("i-1", 8) || tracker.Marked("i-2", 7) {
			t.Errorf("%s: another incarnation or replica is marked", c.name)
		}
		if got := slices.Contains(tracker.Replicas(), "i-1"); got != c.marked {
			t.Errorf("%s: i-1 is among the marked replicas: %v, want %v", c.name, got, c.marked)
		}
	}
}

// Guards against an answer of an earlier incarnation that is taken for one of the present.
func TestMarkOfNewIncarnationReplacesEarlierMark(t *testing.T) {
	tracker := New()
	tracker.Mark(start, "i-1", 7)
	if !tracker.Mark(start, "i-1", 8) || !tracker.Marked("i-1", 8) || tracker.Marked("i-1", 7) {
		t.Error("the new incarnation alone is to be marked")
	}
}
