package reads

import (
	"context"
	"math"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/fleet/reads/readspb"
)

// teller answers each question with the same message.
type teller struct {
	readspb.Reads
	answer *readspb.HeldResponse
}

func (r teller) Held(context.Context, *readspb.HeldRequest) (*readspb.HeldResponse, error) {
	return r.answer, nil
}

// tell has a node ask one that answers with a message.
func tell(t *testing.T, a *Asker, answer *readspb.HeldResponse) (Answer, error) {
	t.Helper()
	server := httptest.NewServer(readspb.NewReadsServer(teller{answer: answer}))
	defer server.Close()
	return a.Ask(context.Background(), strings.TrimPrefix(server.URL, "http://"), time.Second)
}

func packed(t testing.TB, keys ...*readspb.Key) []byte {
	t.Helper()
	content := &readspb.Content{Keys: keys}
	for _, k := range keys {
		content.Changed = append(content.Changed, &readspb.Value{Key: k.Key, Revision: k.Revision, Value: []byte("v")})
	}
	data, err := pack(content)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// oddAges are in microseconds. As nanoseconds some of them wrap to a time within a second.
var oddAges = []int64{math.MinInt64, math.MinInt64 + 1, -1, 0, 1 << 40, math.MaxInt64 / 1000, math.MaxInt64/1000 + 1, 18446744073709552, 2 * 18446744073709552, math.MaxInt64}

// Guards against keys that are taken away and run on since an age that is too large for a
// duration makes a read of long ago look young.
func TestOddAgesAreNotYoung(t *testing.T) {
	now := &clock{now: time.Hour}
	for _, micros := range oddAges {
		a := newAsker(now.read, nobody)
		if got, err := tell(t, a, &readspb.HeldResponse{Revision: 12, AgeMicros: micros, Content: packed(t, &readspb.Key{Key: "a", Revision: 3})}); !Error.Has(err) {
			t.Errorf("%d: took a read that began %v before the question", micros, now.now-got.Read.Proof)
		}
	}
}

// Guards against a node that is taken for one with recent data since its age is too large for a
// duration.
func TestOddAgesOfAskersStayInRange(t *testing.T) {
	now := &clock{now: time.Hour}
	for _, micros := range oddAges {
		listener := &recorder{}
		// The copy is empty, so that only what is heard counts.
		_, _ = NewCopy(now.read, listener).Held(context.Background(), &readspb.HeldRequest{Node: "n", Callers: "10.1.0.7:80", AgeMicros: micros})
		want := time.Duration(0)
		if micros > 0 {
			want = maxAge
		}
		if got := listener.heard[0].Age; got != want {
			t.Errorf("%d: heard an age of %v, want %v", micros, got, want)
		}
	}
}

// Guards against a configuration that no longer comes into force at a node: it takes nothing older
// than what it has, and another node has told it an entry with a revision that the store never had.
func TestRevisionsFarAheadAreNotTaken(t *testing.T) {
	now := &clock{now: time.Hour}
	for _, revision := range []int64{math.MaxInt64, 12 + maxAhead + 1, -1, math.MinInt64} {
		a := newAsker(now.read, nobody)
		odd := packed(t, &readspb.Key{Key: "a", Revision: 3}, &readspb.Key{Key: "op/config", Revision: revision})
		if got, err := tell(t, a, &readspb.HeldResponse{Revision: 12, AgeMicros: 5, Content: odd}); !Error.Has(err) {
			t.Errorf("took %+v", got.Read)
		}
	}
	a := newAsker(now.read, nobody)
	later := packed(t, &readspb.Key{Key: "a", Revision: 3}, &readspb.Key{Key: "b", Revision: 14})
	if got, err := tell(t, a, &readspb.HeldResponse{Revision: 12, AgeMicros: 5, Content: later}); err != nil || len(got.Read.Entries) != 2 {
		t.Errorf("an entry was written while pages were read: %+v, %v", got, err)
	}
}

// Guards against a node that asks others in vain for as long as it runs, and so calls the store by
// itself: another node has told it a revision that the store never had.
func TestOwnReadEndsRevisionOfAnother(t *testing.T) {
	now := &clock{now: time.Hour}
	a := newAsker(now.read, nobody)
	key := &readspb.Key{Key: "a", Revision: 3}
	if _, err := tell(t, a, &readspb.HeldResponse{Revision: math.MaxInt64, AgeMicros: 5, Content: packed(t, key)}); err != nil {
		t.Fatal(err)
	}
	a.Took(Read{Entries: entries("a", 3), Revision: 12})
	if got, err := tell(t, a, &readspb.HeldResponse{Revision: 13, AgeMicros: 5, Content: packed(t, key)}); err != nil || got.Read.Revision != 13 {
		t.Errorf("%+v, %v", got, err)
	}
	if got, err := tell(t, a, &readspb.HeldResponse{Revision: 12, AgeMicros: 5, Content: packed(t, key)}); !Error.Has(err) {
		t.Errorf("took %+v, which is older", got)
	}
}

func FuzzAnswer(f *testing.F) {
	whole := packed(f, &readspb.Key{Key: "a", Revision: 3}, &readspb.Key{Key: "op/config", Revision: 12})
	ahead := packed(f, &readspb.Key{Key: "op/config", Revision: math.MaxInt64})
	for _, micros := range append([]int64{5}, oddAges...) {
		f.Add(int64(12), micros, whole)
	}
	for _, revision := range []int64{math.MinInt64, -1, 0, math.MaxInt64} {
		f.Add(revision, int64(5), whole)
		f.Add(revision, int64(5), []byte{})
	}
	f.Add(int64(12), int64(5), ahead)
	f.Add(int64(12), int64(5), whole[:len(whole)-5])
	f.Fuzz(func(t *testing.T, revision, micros int64, content []byte) {
		a := NewAsker(func() time.Duration { return time.Hour }, nobody)
		a.Took(Read{Entries: entries("a", 3), Revision: 7})
		r, err := a.judge("n", &readspb.HeldResponse{Revision: revision, AgeMicros: micros, Content: content}, time.Hour, time.Second)
		if err != nil {
			if !Error.Has(err) {
				t.Errorf("an error of another class: %v", err)
			}
			return
		}
		if age := time.Hour - r.Proof; age <= 0 || age > time.Second || r.Revision < 7 {
			t.Errorf("took revision %d of %v ago", r.Revision, age)
		}
		for _, e := range r.Entries {
			if e.Revision < 0 || e.Revision-maxAhead > r.Revision {
				t.Errorf("took revision %d of %q in a read of %d", e.Revision, e.Key, r.Revision)
			}
		}
	})
}
