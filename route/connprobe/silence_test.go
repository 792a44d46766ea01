package connprobe

import (
	"context"
	"testing"
	"time"
)

// check is a check by a stream at the given time, and whether it needs a new probe.
type check struct {
	at, silentSince time.Duration
	silence         *Silence
	newProbe        bool
}

func runChecks(t *testing.T, d *fakeDialer, checks []check) {
	t.Helper()
	begin := time.Unix(1000, 0)
	now := begin
	p := New(d, func() time.Time { return now })
	for i, c := range checks {
		now = begin.Add(c.at)
		before := d.calls
		unreachable := p.FindUnreachableInSilence(context.Background(), c.silence, begin.Add(c.silentSince), []string{"a"})
		if len(unreachable) != 0 {
			t.Errorf("check %d: unreachable %v", i, unreachable)
		}
		if probed := d.calls > before; probed != c.newProbe {
			t.Errorf("check %d after %v: new probe %t", i, c.at, probed)
		}
	}
}

// Guards against a probe by each stream through a replica that has stalled.
func TestSilentStreamsShareProbes(t *testing.T) {
	const ms = time.Millisecond
	var first, second, third Silence
	runChecks(t, &fakeDialer{}, []check{
		{at: 100 * ms, silentSince: 0, silence: &first, newProbe: true},
		{at: 170 * ms, silentSince: 10 * ms, silence: &second},
		{at: 200 * ms, silentSince: 0, silence: &first, newProbe: true},
		{at: 340 * ms, silentSince: 10 * ms, silence: &second},
		{at: 380 * ms, silentSince: 20 * ms, silence: &third, newProbe: true}, // the probe is as old as the silence was
		{at: 600 * ms, silentSince: 0, silence: &first},
		{at: 740 * ms, silentSince: 20 * ms, silence: &third, newProbe: true},
	})
}

// Guards against a lost replica that streams miss because they share a probe from before its end.
func TestOldProbesAreNotShared(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		other check // of another stream than the one that probes after 5 s
	}{
		{"the stream had an event after the probe", check{at: 5100 * ms, silentSince: 5010 * ms}},
		{"the stream had an event shortly before the probe", check{at: 5070 * ms, silentSince: 4990 * ms}},
		{"the probe is older than the longest time", check{at: 5400 * ms, silentSince: 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.other.silence, c.other.newProbe = &Silence{}, true
			runChecks(t, &fakeDialer{}, []check{{at: 5000 * ms, silence: &Silence{}, newProbe: true}, c.other})
		})
	}
	t.Run("the stream has checked since", func(t *testing.T) {
		var s Silence
		runChecks(t, &fakeDialer{}, []check{
			{at: 5000 * ms, silence: &Silence{}, newProbe: true},
			{at: 5050 * ms, silence: &s},
			{at: 5110 * ms, silence: &s, newProbe: true},
		})
	})
}
