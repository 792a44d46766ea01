package reads

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/cicadatack/cicadatack/fleet/reads/readspb"
	"github.com/cicadatack/cicadatack/state/store"
)

// clock is a reading that a test moves by hand.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

func nobody() Peer { return Peer{} }

// newAsker returns an Asker that waits for as long as a busy machine may take to answer. What it
// takes from an answer does not depend on that.
func newAsker(clock func() time.Duration, self func() Peer) *Asker {
	a := NewAsker(clock, self)
	a.client.Timeout = time.Minute
	return a
}

func served(t interface{ Cleanup(func()) }, c *Copy) string {
	server := httptest.NewServer(c.Handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func entries(pairs ...any) []store.Entry {
	var list []store.Entry
	for i := 0; i < len(pairs); i += 2 {
		list = append(list, store.Entry{Key: pairs[i].(string), Revision: int64(pairs[i+1].(int)), Created: int64(pairs[i+1].(int)) - 1, Value: fmt.Appendf(nil, "%v@%v", pairs[i], pairs[i+1])})
	}
	return list
}

func text(list []store.Entry) string {
	var words []string
	for _, e := range list {
		words = append(words, fmt.Sprintf("%s (created at %d)", e.Value, e.Created))
	}
	return strings.Join(words, " ")
}

// A key is taken away while a node asks another for what it has read. The proof that
// it gets is never younger than that read: it counts from before the question, and the
// time that the answer was on its way, or the asker stood still, only adds to its age.
func TestProofIsNeverTooYoung(t *testing.T) {
	reader, asker := &clock{now: 100 * time.Second}, &clock{now: 500 * time.Second}
	c := NewCopy(reader.read, nil)
	c.Set(Read{Entries: entries("op", 7), Revision: 9, Proof: 97 * time.Second})
	a := newAsker(asker.read, nobody)
	got, err := a.Ask(context.Background(), served(t, c), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if age := 500*time.Second - got.Read.Proof; age < 3*time.Second || age > 3*time.Second+time.Millisecond {
		t.Errorf("the proof is %v old, want 3 s", age)
	}
}

// A node hears from one reader what another has not read yet. It does not go back.
func TestOlderReadsAreNotTaken(t *testing.T) {
	now := &clock{}
	young, old := NewCopy(now.read, nil), NewCopy(now.read, nil)
	young.Set(Read{Entries: entries("a", 5, "b", 8), Revision: 8})
	old.Set(Read{Entries: entries("a", 5), Revision: 5})
	a := newAsker(now.read, nobody)
	if _, err := a.Ask(context.Background(), served(t, young), time.Minute); err != nil {
		t.Fatal(err)
	}
	if r, err := a.Ask(context.Background(), served(t, old), time.Minute); !Error.Has(err) {
		t.Errorf("took %v", r)
	}
	if _, err := newAsker(now.read, nobody).Ask(context.Background(), served(t, NewCopy(now.read, nil)), time.Minute); !Error.Has(err) {
		t.Error("took the word of a node that has read nothing")
	}
}

// The readers of a failure domain are cut off from the store while it takes a new
// configuration. What they tell is no older than what the asker has, and would keep it
// from asking anybody else; it is refused for its age, so that the asker reads for
// itself.
func TestReadsThatAreNotYoungAreNotTaken(t *testing.T) {
	now := &clock{now: time.Minute}
	c := NewCopy(now.read, nil)
	c.Set(Read{Entries: entries("op", 7), Revision: 9, Proof: now.now})
	a, address := newAsker(now.read, nobody), served(t, c)
	if _, err := a.Ask(context.Background(), address, time.Second); err != nil {
		t.Fatal(err)
	}
	now.now += 1100 * time.Millisecond
	if r, err := a.Ask(context.Background(), address, time.Second); !Error.Has(err) {
		t.Errorf("took a read of %v ago", now.now-r.Read.Proof)
	}
}

// Whatever is written and removed, and whichever of two readers is asked when, an asker
// ends up with what that reader has read, or takes nothing.
func TestAskersHaveWhatReadersRead(t *testing.T) {
	now := &clock{}
	readers := []*Copy{NewCopy(now.read, nil), NewCopy(now.read, nil)}
	addresses := []string{served(t, readers[0]), served(t, readers[1])}
	rapid.Check(t, func(t *rapid.T) {
		held, revision := map[string]int{}, 1
		last := make([]Read, 2)
		for i := range readers {
			last[i] = Read{}
			readers[i].Set(last[i])
		}
		a := newAsker(now.read, nobody)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch reader := rapid.IntRange(0, 1).Draw(t, "reader"); rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				revision++
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				if rapid.Bool().Draw(t, "remove") {
					delete(held, key)
				} else {
					held[key] = revision
				}
			case 1:
				var pairs []any
				for _, key := range []string{"a", "b", "c", "d"} {
					if held[key] > 0 {
						pairs = append(pairs, key, held[key])
					}
				}
				last[reader] = Read{Entries: entries(pairs...), Revision: int64(revision)}
				readers[reader].Set(last[reader])
			case 2:
				got, err := a.Ask(context.Background(), addresses[reader], time.Minute)
				if err == nil && text(got.Read.Entries) != text(last[reader].Entries) {
					t.Fatalf("got %q, the reader has %q", text(got.Read.Entries), text(last[reader].Entries))
				}
				if err != nil && last[reader].Revision > 0 && last[reader].Revision >= a.floor {
					t.Fatalf("a newer read was not taken: %v", err)
				}
			}
		}
	})
}

// recorder notes what a node is told of others.
type recorder struct {
	heard []Peer
	left  []string
	lists bool
}

func (r *recorder) Heard(p Peer) bool { r.heard = append(r.heard, p); return r.lists }
func (r *recorder) Left(name string)  { r.left = append(r.left, name) }

// A node that asks is known to be there, also if it learns nothing, and is told whether it
// is listed; so it needs no call to the store for that.
func TestWhoAsksIsThere(t *testing.T) {
	now := &clock{now: time.Minute}
	listener := &recorder{}
	c := NewCopy(now.read, listener)
	address := served(t, c)
	self := Peer{Name: "n-7", Callers: "10.1.0.7:80", Address: "10.1.0.7:81", Age: 3 * time.Second}
	a := newAsker(now.read, func() Peer { return self })
	if got, err := a.Ask(context.Background(), address, time.Minute); !Error.Has(err) || !got.Reached || got.Listed {
		t.Errorf("%+v, %v", got, err)
	}
	c.Set(Read{Entries: entries("op", 7), Revision: 9})
	listener.lists = true
	if got, err := a.Ask(context.Background(), address, time.Second); !Error.Has(err) || !got.Reached || !got.Listed {
		t.Errorf("an old read: %+v, %v", got, err)
	}
	if err := a.Leave(context.Background(), address, "n-7"); err != nil {
		t.Error(err)
	}
	if len(listener.heard) != 2 || listener.heard[0] != self || len(listener.left) != 1 || listener.left[0] != "n-7" {
		t.Errorf("%+v", listener)
	}
	if got, err := a.Ask(context.Background(), "127.0.0.1:1", time.Minute); err == nil || got.Reached {
		t.Errorf("nobody there: %+v", got)
	}
}

// ahead answers with a read of the future.
type ahead struct{ readspb.Reads }

func (ahead) Held(context.Context, *readspb.HeldRequest) (*readspb.HeldResponse, error) {
	return &readspb.HeldResponse{Revision: 12, AgeMicros: -5_000_000}, nil
}

// Guards against a proof that is too young: a node whose clock is wrong dates its read
// ahead, and its askers would go on serving keys that are dead.
func TestReadsDatedAheadAreNotTaken(t *testing.T) {
	now := &clock{now: time.Minute}
	server := httptest.NewServer(readspb.NewReadsServer(ahead{}))
	defer server.Close()
	a := newAsker(now.read, nobody)
	if got, err := a.Ask(context.Background(), strings.TrimPrefix(server.URL, "http://"), time.Minute); !Error.Has(err) {
		t.Errorf("took %+v", got)
	}
}

// torn answers with content that is damaged, or of another version.
type torn struct {
	readspb.Reads
	content []byte
}

func (r torn) Held(context.Context, *readspb.HeldRequest) (*readspb.HeldResponse, error) {
	return &readspb.HeldResponse{Revision: 12, AgeMicros: 1, Content: r.content}, nil
}

// Guards against a list that is emptied by a damaged answer: a node that can't read one
// keeps what it knew.
func TestDamagedAnswersAreNotTaken(t *testing.T) {
	now := &clock{now: time.Minute}
	whole, err := pack(&readspb.Content{Keys: []*readspb.Key{{Key: "a", Revision: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	huge, err := pack(&readspb.Content{Changed: []*readspb.Value{{Key: "a", Revision: 3, Value: make([]byte, maxContentBytes)}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{
		"empty": nil, "no gzip": []byte("text"), "cut": whole[:len(whole)-5], "lacks a value": whole, "too large": huge,
	} {
		server := httptest.NewServer(readspb.NewReadsServer(torn{content: content}))
		a := newAsker(now.read, nobody)
		if got, err := a.Ask(context.Background(), strings.TrimPrefix(server.URL, "http://"), time.Minute); !Error.Has(err) {
			t.Errorf("%s: took %+v", name, got.Read)
		}
		server.Close()
	}
}

// Guards against answers that grow with the number of replicas: of 2,000 entries that are
// alike little goes over the link, and nothing if nothing was written since.
func TestAnswersAreSmall(t *testing.T) {
	now := &clock{now: time.Minute}
	var list []store.Entry
	plain := 0
	for i := range 2000 {
		e := store.Entry{Key: fmt.Sprintf("servers/i-%08x", i*7919), Revision: int64(i + 1),
			Value: fmt.Appendf(nil, `{"service":"llm","addr":"10.1.64.%d:8242","zone":"bogor","state":"ready","seq":%d}`, i, i%7)}
		list = append(list, e)
		plain += len(e.Key) + len(e.Value)
	}
	c := NewCopy(now.read, nil)
	c.Set(Read{Entries: list, Revision: 2000, Proof: now.now})
	first, err := c.Held(context.Background(), &readspb.HeldRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if size := proto.Size(first); size > plain/3 {
		t.Errorf("%d bytes for %d of entries", size, plain)
	}
	again, err := c.Held(context.Background(), &readspb.HeldRequest{Revision: 2000})
	if err != nil {
		t.Fatal(err)
	}
	if size := proto.Size(again); size > 32 {
		t.Errorf("%d bytes although nothing was written", size)
	}
	a := newAsker(now.read, nobody)
	for range 2 {
		got, err := a.Ask(context.Background(), served(t, c), time.Minute)
		if err != nil || len(got.Read.Entries) != len(list) {
			t.Errorf("%d entries, %v", len(got.Read.Entries), err)
		}
	}
}
