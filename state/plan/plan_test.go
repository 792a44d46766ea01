package plan

import (
	"context"
	"errors"
	"math"
	"strings"
	"sync"
	"testing"

	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

var key = Key("java", "pastry-llm", "bandung")

func stages(endpoint string) []Stage { return []Stage{{Endpoint: endpoint, First: 0, Last: 7}} }

// Many nodes believe that it is their turn and plan at the same moment, each
// another replica. Every plan stands in the end, under a version of its own: a
// write that lost the compare-and-swap began again from the winner's record
// rather than replacing it.
func TestPlannersAtOnce(t *testing.T) {
	memory := storetest.NewMemory()
	defer memory.Close()
	var all sync.WaitGroup
	names := []string{"r1", "r2", "r3", "r4"}
	for _, name := range names {
		all.Go(func() {
			_, err := Agree(context.Background(), storetest.NewClient(memory), key, name, func(r *Record) bool {
				return r.Put(name, stages("engine-"+name), "")
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	record, _, err := Load(context.Background(), storetest.NewClient(memory), key)
	if err != nil {
		t.Fatal(err)
	}
	versions := map[int64]bool{}
	for _, name := range names {
		versions[record.Replicas[name].Version] = true
	}
	if len(record.Replicas) != len(names) || len(versions) != len(names) || record.Version != int64(len(names)) {
		t.Errorf("%d plans under %d versions, the record's is %d", len(record.Replicas), len(versions), record.Version)
	}
}

// The store takes a plan and loses the reply, or loses the request. The planner
// reads back and goes on; the plan stands once, not under a second version.
func TestLostRepliesAndRequests(t *testing.T) {
	for name, fault := range map[string]storetest.Fault{
		"reply":   {LoseReply: true},
		"request": {LoseRequest: true},
	} {
		memory := storetest.NewMemory()
		client := storetest.NewClient(memory)
		lost := false
		client.SetFault(func(c storetest.Call) storetest.Fault {
			if c.Op != storetest.OpSwap || lost {
				return storetest.Fault{}
			}
			lost = true
			return fault
		})
		record, err := Agree(context.Background(), client, key, "vm-1", func(r *Record) bool {
			return r.Put("r1", stages("e1"), "")
		})
		if err != nil || record.Version != 1 {
			t.Errorf("lost %s: version %d, error %v", name, record.Version, err)
		}
		memory.Close()
	}
}

// A record that a newer program wrote is refused and left as it is: a first plan
// in its place would fence with numbers that engines have already seen.
func TestUnreadableRecordStays(t *testing.T) {
	memory := storetest.NewMemory()
	defer memory.Close()
	client := storetest.NewClient(memory)
	for _, text := range []string{`{"format":2}`, `not json`} {
		entry, err := client.Get(context.Background(), key)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.CompareAndSwap(context.Background(), key, entry.Revision, []byte(text)); err != nil {
			t.Fatal(err)
		}
		_, err = Agree(context.Background(), client, key, "vm-1", func(r *Record) bool { return r.Put("r1", stages("e1"), "") })
		if !errors.Is(err, ErrBadRecord) {
			t.Errorf("%s: error %v, want %v", text, err, ErrBadRecord)
		}
	}
}

// An engine has taken a higher number from someone else and refuses this plan's.
// Raise puts the replica above it; a number that does not reach that high
// changes nothing.
func TestRaise(t *testing.T) {
	r := &Record{Replicas: map[string]Replica{}}
	r.Put("r1", stages("e1"), "")
	for _, c := range []struct{ above, want int64 }{{0, 1}, {1, 2}, {9, 10}, {4, 10}} {
		r.Raise("r1", c.above)
		if got := r.Replicas["r1"].Version; got != c.want {
			t.Errorf("raised above %d: version %d, want %d", c.above, got, c.want)
		}
	}
}

// A new cut or version does not take a replica's adapters from it, and a new adapter
// does not stop the replica: its layers keep their number.
func TestAdaptersApart(t *testing.T) {
	r := &Record{Replicas: map[string]Replica{}}
	if r.PutAdapters("r1", []Adapter{{"notes", "1"}}) {
		t.Error("adapters without a plan")
	}
	r.Put("r1", stages("e1"), "v1")
	r.PutAdapters("r1", []Adapter{{"notes", "1"}})
	if got := r.Replicas["r1"]; got.Version != 1 || got.AdapterVersion != 2 {
		t.Errorf("%+v", got)
	}
	r.Put("r1", stages("e1"), "v2")
	r.Raise("r1", 8)
	r.RaiseAdapters("r1", 20)
	if got := r.Replicas["r1"]; got.Version != 9 || got.AdapterVersion != 21 || got.Weights != "v2" || len(got.Adapters) != 1 || len(got.Stages) != 1 {
		t.Errorf("%+v", got)
	}
	if r.PutAdapters("r1", []Adapter{{"notes", "1"}}) || r.Put("r1", stages("e1"), "v2") {
		t.Error("no change, but a new version")
	}
}

var _ store.ReadSwapper = (*storetest.Client)(nil)

// Guards against engines that refuse all orders of a domain since one of them reports a number above
// which the record's version overflows.
func TestOddVersions(t *testing.T) {
	r := &Record{Replicas: map[string]Replica{}}
	r.Put("r1", stages("e1"), "")
	for _, above := range []int64{math.MaxInt64, math.MaxInt64 - 1, maxReported + 1} {
		if r.Raise("r1", above) || r.RaiseAdapters("r1", above) {
			t.Errorf("raised above %d, to %d", above, r.Version)
		}
	}
	r.Put("r2", stages("e2"), "")
	if r.Version != 2 || r.Replicas["r2"].Version != 2 {
		t.Errorf("%+v", r)
	}
	for _, text := range []string{`{"format":1,"version":9223372036854775807}`, `{"format":1,"version":-1}`, `{"format":1,"version":1e30}`, `{"format":1,"replicas":[]}`} {
		if read, err := decode([]byte(text)); !errors.Is(err, ErrBadRecord) {
			t.Errorf("%s: %+v, %v", text, read, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"format":1,"version":3,"replicas":{"r1":{"version":3,"stages":[{"endpoint":"e1","first":0,"last":7}]}}}`))
	f.Add([]byte(`{"format":1,"version":9223372036854775807,"replicas":{"r1":{"version":-1}}}`))
	f.Add([]byte(`{"format":1,"version":1e30}`))
	f.Add([]byte(strings.Repeat(`{"replicas":`, 20000)))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decode(value)
		if err != nil {
			if !errors.Is(err, ErrBadRecord) {
				t.Errorf("another error: %v", err)
			}
			return
		}
		before := r.Version
		r.Raise("r1", math.MaxInt64)
		r.Put("r1", stages("e1"), "another")
		if r.Version < before {
			t.Errorf("version %d after %d", r.Version, before)
		}
	})
}
