package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Callers keep at least the stated part of a failure domain through a roll-out,
// whatever else is down. Each case names what goes wrong without its rule.
func TestNextRollout(t *testing.T) {
	whole := func(name, version string, running int) Candidate { return Candidate{name, version, Ready, running} }
	cases := []struct {
		name     string
		part     float64
		replicas []Candidate
		start    []string
	}{
		{"the one with the fewest streams begins", 0.34,
			[]Candidate{whole("a", "v1", 9), whole("b", "v1", 2), whole("c", "v1", 5)}, []string{"b"}},
		{"one that does not answer counts as out", 0.5,
			[]Candidate{whole("a", "v1", 0), {"b", "v1", Unknown, 0}}, nil},
		{"a node that has asked nobody yet starts nobody", 1,
			[]Candidate{{"a", "v1", Unknown, 0}, {"b", "v1", Unknown, 0}}, nil},
		{"a version that cannot be loaded stops at the part", 0.5,
			[]Candidate{{"a", "v2", Loading, 0}, whole("b", "v1", 0)}, nil},
		{"back to the old version, the one that is out turns at once", 0.5,
			[]Candidate{{"a", "v3", Loading, 0}, whole("b", "v2", 0)}, []string{"a"}},
		{"no more than two are on their way", 0.3, []Candidate{
			whole("a", "v2", 0), whole("b", "v2", 0), whole("c", "v2", 0), whole("d", "v2", 0), whole("e", "v2", 0),
			whole("f", "v2", 0), whole("g", "v1", 0), whole("h", "v1", 0), whole("i", "v1", 0), whole("j", "v1", 0),
		}, []string{"g", "h"}},
		{"all done", 0.5, []Candidate{whole("a", "v2", 0), whole("b", "v2", 0)}, nil},
	}
	for _, c := range cases {
		if got := NextRollout("v2", c.part, c.replicas); !slices.Equal(got.Start, c.start) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	if got := maxUnavailable(0.29, 100); got != 29 { // 28.999999999999996
		t.Errorf("29%% of 100 are %d", got)
	}
}

// Whatever the replicas' states, those that stop serving and those that do not serve
// stay within the part together, unless the part was exceeded before.
func TestRolloutKeepsToMaxUnavailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(0, 1).Draw(t, "part")
		var replicas []Candidate
		serving := 0
		for i := range rapid.IntRange(1, 30).Draw(t, "replicas") {
			c := Candidate{
				Name:    fmt.Sprint("r", i),
				Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
				State:   rapid.SampledFrom([]ReplicaState{Unknown, Loading, Ready}).Draw(t, "state"),
			}
			if c.State == Ready {
				serving++
			}
			replicas = append(replicas, c)
		}
		got := NextRollout("v2", part, replicas)
		stopped := 0
		for _, c := range replicas {
			if c.State == Ready && slices.Contains(got.Start, c.Name) {
				stopped++
			}
		}
		out := len(replicas) - serving
		if stopped > 0 && float64(out+stopped) > part*float64(len(replicas))+roundingTolerance {
			t.Fatalf("%d of %d out and %d more stopped at a part of %v", out, len(replicas), stopped, part)
		}
	})
}

func BenchmarkNextRollout(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		replicas := make([]Candidate, n)
		for i := range replicas {
			replicas[i] = Candidate{fmt.Sprint("replica-", i), "v1", Ready, i * 7 % 16}
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NextRollout("v2", 0.25, replicas)
			}
		})
	}
}
