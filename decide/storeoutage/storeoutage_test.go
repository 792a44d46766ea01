package storeoutage

import (
	"fmt"
	"testing"
	"time"
)

const (
	maxInterval = 1500 * time.Millisecond
	returnTime  = 2200 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// entries returns the entries of owners from (inclusive) to to (exclusive), all created at
// the same revision.
func entries(from, to int, created int64) []Registration {
	var list []Registration
	for i := from; i < to; i++ {
		list = append(list, Registration{Key: fmt.Sprint("r", i), Incarnation: 7, Created: created})
	}
	return list
}

func join(lists ...[]Registration) []Registration {
	var all []Registration
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

// Guards against requests to replicas that left while one node was cut off: only entries
// that expired in an outage of the store may be retained.
func TestOutageIsToldFromIsolation(t *testing.T) {
	known := entries(0, 40, 10)
	restarted := entries(0, 40, 90)
	for i := range restarted {
		restarted[i].Incarnation++
	}
	for _, c := range []struct {
		name  string
		found []Registration
		want  bool
	}{
		{"all entries expired", nil, true},
		{"some owners have registered again", entries(0, 12, 90), true},
		{"all owners have registered again", entries(0, 40, 90), true},
		{"a tenth of the entries outlived the outage", entries(0, 4, 10), true},
		{"isolated: no change", entries(0, 40, 10), false},
		{"isolated: one replica left", entries(1, 40, 10), false},
		{"isolated: half of the replicas left", entries(20, 40, 10), false},
		{"isolated: a release replaced all replicas", entries(100, 140, 90), false},
		{"isolated: all replicas restarted under their ids", restarted, false},
		{"isolated: two replicas lost their entries for a time", join(entries(0, 2, 90), entries(2, 39, 10)), false},
		{"creation revisions are not known", entries(0, 40, 0), false},
	} {
		var d Detector
		d.Observe(start, maxInterval, returnTime, nil, known)
		at := start.Add(5 * time.Second)
		d.Observe(at, maxInterval, returnTime, known, c.found)
		if got := d.ExpiredWithin(at, returnTime); got != c.want {
			t.Errorf("%s: entries expired in an outage: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a list without replicas: the first read after an outage still shows all
// entries, and they expire before the second read.
func TestEntriesThatExpireAfterTheFirstRead(t *testing.T) {
	var d Detector
	known := entries(0, 40, 10)
	d.Observe(start, maxInterval, returnTime, nil, known)
	first := start.Add(5 * time.Second)
	d.Observe(first, maxInterval, returnTime, known, known)
	second := first.Add(800 * time.Millisecond)
	d.Observe(second, maxInterval, returnTime, known, entries(0, 15, 90))
	if !d.ExpiredWithin(second, returnTime) {
		t.Error("the second read does not show the outage")
	}
	if d.ExpiredWithin(first.Add(returnTime), returnTime) {
		t.Error("entries are retained beyond the return time")
	}
}

// Guards against entries that are retained although no read was missed.
func TestNoOutageWithoutGap(t *testing.T) {
	var d Detector
	known := entries(0, 40, 10)
	d.Observe(start, maxInterval, returnTime, nil, known)
	at := start.Add(maxInterval)
	d.Observe(at, maxInterval, returnTime, known, nil)
	if d.ExpiredWithin(at, returnTime) {
		t.Error("entries that disappear between two regular reads count as expired in an outage")
	}
}
