package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against replicas whose slots make all sums of slots negative, so that nothing is sent any more.
func TestOddSlotsAndWeights(t *testing.T) {
	for _, odd := range []Replica{
		{Slots: math.MaxInt}, {Slots: math.MinInt}, {Slots: -1}, {Slots: math.MaxInt, Weight: math.MaxFloat64},
		{Weight: math.NaN()}, {Weight: math.Inf(1)}, {Weight: -1}, {Weight: math.Inf(-1)},
	} {
		replicas := makeReplicas(3, 1)
		for i := range 3 {
			odd.ID, odd.FailureDomain = fmt.Sprint("odd-", i), "fd-0"
			replicas = append(replicas, odd)
		}
		b := New(Config{Node: "vm-1", FailureDomain: "fd-0", Seed: 1})
		b.SetReplicas(epoch, replicas)
		now := epochPlus(100)
		if slots := b.Capacity(now); slots < 3*64 {
			t.Errorf("%+v: %d slots", odd, slots)
		}
		if room := b.Headroom(now); room < 3*64 {
			t.Errorf("%+v: room for %d requests", odd, room)
		}
		if counts := pickCounts(b, now, 200, Query{Exclude: []string{"odd-0", "odd-1", "odd-2"}}); len(counts) != 3 {
			t.Errorf("%+v: the sound replicas get %v", odd, counts)
		}
	}
}

// Guards against a load that is taken for none, or that stays after a later report.
func TestOddLoads(t *testing.T) {
	for _, odd := range []LoadReport{
		{RunningRequests: math.MaxInt, WaitingRequests: math.MaxInt}, {RunningRequests: math.MaxInt, WaitingRequests: 1},
		{RunningRequests: 1, Age: -time.Hour}, {RunningRequests: math.MinInt, WaitingRequests: math.MinInt},
	} {
		b := newBalancer(2, 1)
		now := epochPlus(100)
		b.Report(now, "replica-0", odd)
		if got := b.members["replica-0"].reportedOtherNodeRequests; got < 0 || got < 1 && odd.RunningRequests > 0 {
			t.Errorf("%+v counts as %g requests", odd, got)
		}
		b.Report(now.Add(time.Second), "replica-0", LoadReport{RunningRequests: 3})
		if got := b.nearTier.reportedOtherNodeRequests; got != 3 {
			t.Errorf("%+v: after a report of 3 requests %g are counted", odd, got)
		}
	}
}
