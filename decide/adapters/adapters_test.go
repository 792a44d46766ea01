package adapters

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

var notes1, notes2, plans1 = Adapter{"notes", "1"}, Adapter{"notes", "2"}, Adapter{"plans", "1"}

func desired(a Adapter, replicaCount int) Desired { return Desired{a, 10, replicaCount} }

func servingReplica(name string, memoryBytes int64, planned ...Adapter) Replica {
	return Replica{Name: name, MemoryBytes: memoryBytes, Planned: planned, Held: planned, Serving: true}
}

func (r Replica) withUse(a Adapter, rate, utilization float64) Replica {
	r.UseRate, r.Utilization = map[Adapter]float64{a: rate}, utilization
	return r
}

// If Decide breaks one of the rules that the cases name, requests for an adapter are refused,
// wait in a queue, or wait for repeated loads of the adapter.
func TestDecide(t *testing.T) {
	loadingReplica := servingReplica("a", 100, notes1)
	loadingReplica.Held = nil
	stoppedReplica := servingReplica("a", 100)
	stoppedReplica.Serving = false
	cases := []struct {
		name     string
		wanted   []Desired
		replicas []Replica
		want     string // replica and adapters of each change
	}{
		{"the desired number of holders, idle replicas first", []Desired{desired(notes1, 2)},
			[]Replica{servingReplica("a", 100).withUse(notes1, 0, 0.5), servingReplica("b", 100), servingReplica("c", 100)}, "b[notes@1] c[notes@1]"},
		{"no load without memory", []Desired{desired(notes1, 1)}, []Replica{servingReplica("a", 9)}, ""},
		{"a replica that does not serve takes no adapter", []Desired{desired(notes1, 1)}, []Replica{stoppedReplica}, ""},
		{"one more holder while all holders are busy", []Desired{desired(notes1, 1)},
			[]Replica{servingReplica("a", 100, notes1).withUse(notes1, 3, 0.9), servingReplica("b", 100)}, "b[notes@1]"},
		{"no further holder while one holder is not busy", []Desired{desired(notes1, 2)},
			[]Replica{servingReplica("a", 100, notes1).withUse(notes1, 3, 0.9), servingReplica("b", 100, notes1), servingReplica("c", 100)}, ""},
		{"no further holder while a load is underway", []Desired{desired(notes1, 1)},
			[]Replica{servingReplica("c", 100, notes1).withUse(notes1, 3, 0.9), loadingReplica, servingReplica("b", 100)}, ""},
		{"no further holder on a busy replica", []Desired{desired(notes1, 1)},
			[]Replica{servingReplica("a", 100, notes1).withUse(notes1, 3, 0.9), servingReplica("b", 100).withUse(notes1, 0, 0.9)}, ""},
		{"an idle adapter is kept", []Desired{desired(notes1, 1)},
			[]Replica{servingReplica("a", 100, notes1), servingReplica("b", 100, notes1)}, ""},
		{"an idle adapter is dropped where another needs the memory", []Desired{desired(notes1, 1), desired(plans1, 1)},
			[]Replica{servingReplica("a", 10, notes1).withUse(notes1, 1, 0), servingReplica("b", 10, notes1)}, "a[plans@1]"},
		{"the last desired holder keeps its adapter", []Desired{desired(notes1, 1), desired(plans1, 1)},
			[]Replica{servingReplica("a", 10, notes1)}, ""},
		{"an adapter that the document no longer names is dropped", nil, []Replica{servingReplica("a", 100, notes1)}, "a[]"},
		{"a new version is loaded beside the old one", []Desired{desired(notes2, 1)},
			[]Replica{servingReplica("b", 100), servingReplica("c", 100, notes1)}, "c[notes@1 notes@2]"},
		{"the old version stays until the new one is held", []Desired{desired(notes2, 1)},
			[]Replica{{Name: "a", MemoryBytes: 100, Planned: []Adapter{notes1, notes2}, Held: []Adapter{notes1}, Serving: true}}, ""},
		{"the old version is dropped once the new one is held", []Desired{desired(notes2, 1)}, []Replica{servingReplica("a", 100, notes1, notes2)}, "a[notes@2]"},
		{"without memory for both the last holder keeps the old version", []Desired{desired(notes2, 1)},
			[]Replica{servingReplica("a", 10, notes1)}, ""},
		{"without memory for both the old version is replaced if another replica holds it", []Desired{desired(notes2, 1)},
			[]Replica{servingReplica("a", 10, notes1), servingReplica("b", 10, notes1)}, "a[notes@2]"},
	}
	for _, c := range cases {
		if got := summary(Decide(c.wanted, c.replicas)); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func summary(r Result) string {
	text := ""
	for i, c := range r.Changes {
		if i > 0 {
			text += " "
		}
		var names []string
		for _, a := range c.Adapters {
			names = append(names, a.Name+"@"+a.Version)
		}
		text += c.Replica + fmt.Sprint(names)
	}
	return text
}

// For any memory and use rates, the planned adapters of a replica fit in its memory, and no
// adapter loses its last holder. After at most 100 rounds, Decide returns no more changes.
func TestDecideConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wanted []Desired
		for i := range rapid.IntRange(0, 4).Draw(t, "adapters") {
			wanted = append(wanted, Desired{Adapter{fmt.Sprint("a", i), "2"}, rapid.Int64Range(1, 20).Draw(t, "bytes"), rapid.IntRange(1, 4).Draw(t, "holders")})
		}
		var replicas []Replica
		for i := range rapid.IntRange(1, 6).Draw(t, "replicas") {
			r := servingReplica(fmt.Sprint("r", i), rapid.Int64Range(0, 60).Draw(t, "memory"))
			r.Utilization = rapid.Float64Range(0, 1).Draw(t, "utilization")
			r.UseRate = map[Adapter]float64{}
			freeBytes := r.MemoryBytes
			for _, w := range wanted {
				a := Adapter{w.Name, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")}
				r.UseRate[a] = rapid.Float64Range(0, 5).Draw(t, "use rate")
				if rapid.Bool().Draw(t, "planned") && freeBytes >= w.Bytes {
					r.Planned = append(r.Planned, a)
					freeBytes -= w.Bytes
				}
			}
			r.Held = r.Planned
			replicas = append(replicas, r)
		}
		initiallyHeldNames := heldNames(replicas)
		for round := 0; ; round++ {
			result := Decide(wanted, replicas)
			if len(result.Changes) == 0 {
				return
			}
			if round > 100 {
				t.Fatal("changes do not end", result.Changes)
			}
			applyChanges(t, wanted, replicas, result)
			for name := range initiallyHeldNames {
				if !heldNames(replicas)[name] {
					t.Fatalf("no replica holds %q any more: %+v", name, result.Changes)
				}
			}
		}
	})
}

// heldNames returns the names of the adapters of which at least one replica holds a
// version.
func heldNames(replicas []Replica) map[string]bool {
	names := map[string]bool{}
	for _, r := range replicas {
		for _, a := range r.Held {
			names[a.Name] = true
		}
	}
	return names
}

// applyChanges carries out the changes of one round. A replica keeps the held adapters that
// stay in its plan. The replica holds the new adapters of its plan only after a round without a
// change for this replica.
func applyChanges(t *rapid.T, wanted []Desired, replicas []Replica, result Result) {
	for i := range replicas {
		r := &replicas[i]
		index := slices.IndexFunc(result.Changes, func(c Change) bool { return c.Replica == r.Name })
		if index < 0 {
			r.Held = r.Planned
			continue
		}
		heldBefore := r.Held
		r.Planned = result.Changes[index].Adapters
		r.Held = slices.DeleteFunc(slices.Clone(r.Planned), func(a Adapter) bool { return !slices.Contains(heldBefore, a) })
		plannedBytes := int64(0)
		for _, a := range r.Planned {
			for _, w := range wanted {
				if w.Name == a.Name {
					plannedBytes += w.Bytes
				}
			}
		}
		if plannedBytes > r.MemoryBytes {
			t.Fatalf("%s has memory for %d bytes and should hold %d", r.Name, r.MemoryBytes, plannedBytes)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	const adapterCount = 10
	var wanted []Desired
	for i := range adapterCount {
		wanted = append(wanted, Desired{Adapter{fmt.Sprint("adapter-", i), "2"}, 10, 4})
	}
	for _, n := range []int{10, 100, 1000, 10_000} {
		for name, planned := range map[string]bool{"settled": true, "none placed": false} {
			replicas := make([]Replica, n)
			for i := range replicas {
				replicas[i] = servingReplica(fmt.Sprint("replica-", i), 1000)
				if planned {
					replicas[i].Planned = []Adapter{wanted[i%adapterCount].Adapter}
					replicas[i].Held = replicas[i].Planned
				}
			}
			b.Run(fmt.Sprint(name, "/", n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					Decide(wanted, replicas)
				}
			})
		}
	}
}
