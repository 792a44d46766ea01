package isolation

import (
	"errors"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// Guards against two nodes or an operator that overwrite each other's isolations, and against entries
// that can't be read.
func TestIsolationsInTheStore(t *testing.T) {
	client := storetest.NewClient(storetest.NewMemory())
	table, other := Table{client, Prefix + "java/production/"}, Table{client, Prefix + "java/trial/"}
	i := poison.Isolation{
		Part: poison.Part{Service: "llm", ID: "bad"}, Crashes: []poison.Process{{Replica: "i-1", Incarnation: 7}, {Replica: "i-2"}},
		Versions: []string{"v1"}, Trials: 1,
	}
	revision, err := table.Put(t.Context(), i)
	if err != nil || revision == 0 {
		t.Fatal(revision, err)
	}
	if _, err := table.Put(t.Context(), i); !errors.Is(err, ErrChanged) {
		t.Errorf("stored twice: %v", err)
	}
	i.Revision = revision
	if list, faults, err := table.List(t.Context()); err != nil || faults != nil || !reflect.DeepEqual(list, []poison.Isolation{i}) {
		t.Errorf("%+v, %v, %v", list, faults, err)
	}
	if list, _, err := other.List(t.Context()); err != nil || len(list) > 0 {
		t.Errorf("another slot's: %+v, %v", list, err)
	}
	for _, text := range []string{"{", `{"service":"llm"}`, `{"service":"llm","part":"x","trials":-1}`} {
		if _, err := client.CompareAndSwap(t.Context(), table.Prefix+"x"+text, 0, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	if list, faults, err := table.List(t.Context()); err != nil || faults == nil || len(list) != 1 {
		t.Errorf("with entries that can't be read: %+v, %v, %v", list, faults, err)
	}
	if err := table.Remove(t.Context(), poison.Isolation{Part: i.Part, Revision: revision - 1}); !errors.Is(err, ErrChanged) {
		t.Errorf("removed at another revision: %v", err)
	}
	if err := table.Remove(t.Context(), i); err != nil {
		t.Error(err)
	}
	if _, known, _ := table.Decode(store.Entry{Key: "servers/i-1"}); known {
		t.Error("an entry of a replica is taken for an isolation")
	}
}

// Guards against a node that ends, and an isolation that no node can read any more, since a stored
// number of trials becomes negative when a trial is added to it.
func TestOddNumberOfTrials(t *testing.T) {
	table := Table{Prefix: Prefix}
	i, known, err := table.Decode(store.Entry{Key: Prefix + "x", Revision: 3, Value: []byte(`{"service":"llm","part":"bad","versions":["v1"],"trials":9223372036854775807}`)})
	if err != nil || !known || i.Trials != maxTrials {
		t.Fatalf("%+v, %v, %v", i, known, err)
	}
	tracker, now := poison.New(rand.NewPCG(1, 1)), time.Now()
	tracker.Update(now, i)
	next, due := tracker.TrialDue(now, i.Part, []string{"v2"}, 0)
	if !due || next.Trials != maxTrials+1 {
		t.Errorf("%+v, %v", next, due)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"service":"llm","part":"bad","crashes":[{"replica":"i-1","incarnation":7}],"versions":["v1"],"trials":1}`))
	f.Add([]byte(`{"service":"llm","part":"bad","versions":["v1"],"trials":9223372036854775807}`))
	f.Add([]byte(`{"service":"llm","part":"bad","crashes":[null,{"incarnation":-9223372036854775808}],"trials":-1}`))
	f.Add([]byte(strings.Repeat(`{"crashes":[`, 20000)))
	f.Fuzz(func(t *testing.T, value []byte) {
		i, known, err := Table{Prefix: Prefix}.Decode(store.Entry{Key: Prefix + "x", Revision: 3, Value: value})
		if err != nil {
			if !known || !Error.Has(err) {
				t.Errorf("%v, %v", known, err)
			}
			return
		}
		tracker, now := poison.New(rand.NewPCG(1, 1)), time.Now()
		for revision := range int64(4) {
			i.Revision += revision
			tracker.Update(now, i)
			now = now.Add(3 * time.Hour)
			if next, due := tracker.TrialDue(now, i.Part, []string{"a new version"}, 0); due {
				i = next
			}
			if i.Trials < 0 || i.Trials > math.MaxInt32 {
				t.Fatalf("%d trials", i.Trials)
			}
		}
	})
}
