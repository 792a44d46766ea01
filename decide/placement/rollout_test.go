package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Without the bound on unavailable replicas, a roll-out takes too many replicas of a failure
// domain out of service. Replicas that are down for other reasons count against the bound.
func TestNextRollout(t *testing.T) {
	ready := func(name, version string, runningStreams int) RolloutReplica {
		return RolloutReplica{name, version, Ready, runningStreams}
	}
	cases := []struct {
		name     string
		fraction float64
		replicas []RolloutReplica
		start    []string
	}{
		{"the replica with the fewest streams starts", 0.34,
			[]RolloutReplica{ready("a", "v1", 9), ready("b", "v1", 2), ready("c", "v1", 5)}, []string{"b"}},
		{"a replica that does not answer counts as unavailable", 0.5,
			[]RolloutReplica{ready("a", "v1", 0), {"b", "v1", Unknown, 0}}, nil},
		{"a node that has asked no replica yet starts none", 1,
			[]RolloutReplica{{"a", "v1", Unknown, 0}, {"b", "v1", Unknown, 0}}, nil},
		{"a version that cannot be loaded stops at the bound", 0.5,
			[]RolloutReplica{{"a", "v2", Loading, 0}, ready("b", "v1", 0)}, nil},
		{"on a rollback an unavailable replica changes at once", 0.5,
			[]RolloutReplica{{"a", "v3", Loading, 0}, ready("b", "v2", 0)}, []string{"a"}},
		{"at most two replicas change at the same time", 0.3, []RolloutReplica{
			ready("a", "v2", 0), ready("b", "v2", 0), ready("c", "v2", 0), ready("d", "v2", 0), ready("e", "v2", 0),
			ready("f", "v2", 0), ready("g", "v1", 0), ready("h", "v1", 0), ready("i", "v1", 0), ready("j", "v1", 0),
		}, []string{"g", "h"}},
		{"all replicas have the version", 0.5, []RolloutReplica{ready("a", "v2", 0), ready("b", "v2", 0)}, nil},
	}
	for _, c := range cases {
		if got := NextRollout("v2", c.fraction, c.replicas); !slices.Equal(got.Start, c.start) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	if got := maxUnavailable(0.29, 100); got != 29 { // the product of the two is 28.999999999999996
		t.Errorf("29%% of 100 is %d", got)
	}
}

// For any states of the replicas, a roll-out stops a serving replica only if the number of
// replicas out of service stays within the bound.
func TestRolloutKeepsToMaxUnavailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxFraction := rapid.Float64Range(0, 1).Draw(t, "maximum fraction")
		var replicas []RolloutReplica
		servingCount := 0
		for i := range rapid.IntRange(1, 30).Draw(t, "replicas") {
			replica := RolloutReplica{
				Name:    fmt.Sprint("r", i),
				Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
				State:   rapid.SampledFrom([]ReplicaState{Unknown, Loading, Ready}).Draw(t, "state"),
			}
			if replica.State == Ready {
				servingCount++
			}
			replicas = append(replicas, replica)
		}
		got := NextRollout("v2", maxFraction, replicas)
		stoppedCount := 0
		for _, replica := range replicas {
			if replica.State == Ready && slices.Contains(got.Start, replica.Name) {
				stoppedCount++
			}
		}
		unavailableCount := len(replicas) - servingCount
		if stoppedCount > 0 && float64(unavailableCount+stoppedCount) > maxFraction*float64(len(replicas))+roundingTolerance {
			t.Fatalf("%d of %d unavailable and %d more stopped at a bound of %v", unavailableCount, len(replicas), stoppedCount, maxFraction)
		}
	})
}

func BenchmarkNextRollout(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		replicas := make([]RolloutReplica, n)
		for i := range replicas {
			replicas[i] = RolloutReplica{fmt.Sprint("replica-", i), "v1", Ready, i * 7 % 16}
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NextRollout("v2", 0.25, replicas)
			}
		})
	}
}
