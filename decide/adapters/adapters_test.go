package adapters

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

var notes1, notes2, plans1 = Adapter{"notes", "1"}, Adapter{"notes", "2"}, Adapter{"plans", "1"}

func desired(a Adapter, replicas int) Desired { return Desired{a, 10, replicas} }

func serving(name string, room int64, planned ...Adapter) Replica {
	return Replica{Name: name, MemoryBytes: room, Planned: planned, Held: planned, Serving: true}
}

func (r Replica) withLoad(a Adapter, rate, busy float64) Replica {
	r.UseRate, r.Utilization = map[Adapter]float64{a: rate}, busy
	return r
}

// What callers see of each rule: an adapter's calls are refused, queue, or wait for
// loads over and over without it.
func TestDecide(t *testing.T) {
	loading := serving("a", 100, notes1)
	loading.Held = nil
	stopped := serving("a", 100)
	stopped.Serving = false
	cases := []struct {
		name     string
		wanted   []Desired
		replicas []Replica
		want     string // replica and adapters of each change
	}{
		{"as many as the document asks, the idle ones first", []Desired{desired(notes1, 2)},
			[]Replica{serving("a", 100).withLoad(notes1, 0, 0.5), serving("b", 100), serving("c", 100)}, "b[notes@1] c[notes@1]"},
		{"no room, no load", []Desired{desired(notes1, 1)}, []Replica{serving("a", 9)}, ""},
		{"a replica that does not serve takes none", []Desired{desired(notes1, 1)}, []Replica{stopped}, ""},
		{"one more while all that hold it are busy", []Desired{desired(notes1, 1)},
			[]Replica{serving("a", 100, notes1).withLoad(notes1, 3, 0.9), serving("b", 100)}, "b[notes@1]"},
		{"none while one is not", []Desired{desired(notes1, 2)},
			[]Replica{serving("a", 100, notes1).withLoad(notes1, 3, 0.9), serving("b", 100, notes1), serving("c", 100)}, ""},
		{"none while a load is underway", []Desired{desired(notes1, 1)},
			[]Replica{serving("c", 100, notes1).withLoad(notes1, 3, 0.9), loading, serving("b", 100)}, ""},
		{"none where it would queue as well", []Desired{desired(notes1, 1)},
			[]Replica{serving("a", 100, notes1).withLoad(notes1, 3, 0.9), serving("b", 100).withLoad(notes1, 0, 0.9)}, ""},
		{"an idle one is kept", []Desired{desired(notes1, 1)},
			[]Replica{serving("a", 100, notes1), serving("b", 100, notes1)}, ""},
		{"and goes where another needs the room", []Desired{desired(notes1, 1), desired(plans1, 1)},
			[]Replica{serving("a", 10, notes1).withLoad(notes1, 1, 0), serving("b", 10, notes1)}, "a[plans@1]"},
		{"but not the last that the document asks for", []Desired{desired(notes1, 1), desired(plans1, 1)},
			[]Replica{serving("a", 10, notes1)}, ""},
		{"what the document no longer names goes", nil, []Replica{serving("a", 100, notes1)}, "a[]"},
		{"a new version comes beside the old one", []Desired{desired(notes2, 1)},
			[]Replica{serving("b", 100), serving("c", 100, notes1)}, "c[notes@1 notes@2]"},
		{"which stays until the new one is there", []Desired{desired(notes2, 1)},
			[]Replica{{Name: "a", MemoryBytes: 100, Planned: []Adapter{notes1, notes2}, Held: []Adapter{notes1}, Serving: true}}, ""},
		{"and goes then", []Desired{desired(notes2, 1)}, []Replica{serving("a", 100, notes1, notes2)}, "a[notes@2]"},
		{"without room for both the last of the old stays", []Desired{desired(notes2, 1)},
			[]Replica{serving("a", 10, notes1)}, ""},
		{"and is replaced if another has the old one", []Desired{desired(notes2, 1)},
			[]Replica{serving("a", 10, notes1), serving("b", 10, notes1)}, "a[notes@2]"},
	}
	for _, c := range cases {
		if got := summary(Decide(c.wanted, c.replicas)); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func summary(r Result) string {
	all := ""
	for i, c := range r.Changes {
		if i > 0 {
			all += " "
		}
		var names []string
		for _, a := range c.Adapters {
			names = append(names, a.Name+"@"+a.Version)
		}
		all += c.Replica + fmt.Sprint(names)
	}
	return all
}

// Callers always find a holder that there was before: however tight the memory and
// whatever is used, changes keep to it, take no adapter's last holder, and end.
func TestDecideConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wanted []Desired
		for i := range rapid.IntRange(0, 4).Draw(t, "adapters") {
			wanted = append(wanted, Desired{Adapter{fmt.Sprint("a", i), "2"}, rapid.Int64Range(1, 20).Draw(t, "bytes"), rapid.IntRange(1, 4).Draw(t, "holders")})
		}
		var replicas []Replica
		for i := range rapid.IntRange(1, 6).Draw(t, "replicas") {
			r := serving(fmt.Sprint("r", i), rapid.Int64Range(0, 60).Draw(t, "room"))
			r.Utilization = rapid.Float64Range(0, 1).Draw(t, "busy")
			r.UseRate = map[Adapter]float64{}
			free := r.MemoryBytes
			for _, w := range wanted {
				a := Adapter{w.Name, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")}
				r.UseRate[a] = rapid.Float64Range(0, 5).Draw(t, "uses")
				if rapid.Bool().Draw(t, "planned") && free >= w.Bytes {
					r.Planned = append(r.Planned, a)
					free -= w.Bytes
				}
			}
			r.Held = r.Planned
			replicas = append(replicas, r)
		}
		held := heldNames(replicas)
		for round := 0; ; round++ {
			result := Decide(wanted, replicas)
			if len(result.Changes) == 0 {
				return
			}
			if round > 100 {
				t.Fatal("no end", result.Changes)
			}
			applyChanges(t, wanted, replicas, result)
			for name := range held {
				if !heldNames(replicas)[name] {
					t.Fatalf("nobody holds %q any more: %+v", name, result.Changes)
				}
			}
		}
	})
}

// heldNames are the adapters of which some replica holds some version.
func heldNames(replicas []Replica) map[string]bool {
	all := map[string]bool{}
	for _, r := range replicas {
		for _, a := range r.Held {
			all[a.Name] = true
		}
	}
	return all
}

// applyChanges carries changes out: what was held and stays is held at once, the rest after
// the check.
func applyChanges(t *rapid.T, wanted []Desired, replicas []Replica, result Result) {
	for i := range replicas {
		r := &replicas[i]
		at := slices.IndexFunc(result.Changes, func(c Change) bool { return c.Replica == r.Name })
		if at < 0 {
			r.Held = r.Planned
			continue
		}
		before := r.Held
		r.Planned = result.Changes[at].Adapters
		r.Held = slices.DeleteFunc(slices.Clone(r.Planned), func(a Adapter) bool { return !slices.Contains(before, a) })
		total := int64(0)
		for _, a := range r.Planned {
			for _, w := range wanted {
				if w.Name == a.Name {
					total += w.Bytes
				}
			}
		}
		if total > r.MemoryBytes {
			t.Fatalf("%s has room for %d and is to hold %d", r.Name, r.MemoryBytes, total)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	const kinds = 10
	var wanted []Desired
	for i := range kinds {
		wanted = append(wanted, Desired{Adapter{fmt.Sprint("adapter-", i), "2"}, 10, 4})
	}
	for _, n := range []int{10, 100, 1000, 10_000} {
		for name, planned := range map[string]bool{"settled": true, "none placed": false} {
			replicas := make([]Replica, n)
			for i := range replicas {
				replicas[i] = serving(fmt.Sprint("replica-", i), 1000)
				if planned {
					replicas[i].Planned = []Adapter{wanted[i%kinds].Adapter}
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
