package cacheindex

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func stored(sequence, prefix uint64) Event { return Event{sequence, prefix, true} }

func page(instance string, events ...Event) Page {
	return Page{Instance: instance, Last: events[len(events)-1].Sequence, Events: events}
}

// Guards against callers that wait because a request is sent to a replica whose engine no
// longer has the prompt cached. Each case is one way in which entries of the
// index become wrong, and checks which entries are dropped.
func TestStaleEntriesAreDropped(t *testing.T) {
	prompt := []uint64{11, 12, 13}
	indexed := func(cfg Config) *Index {
		x := New(cfg)
		x.Apply(start, "a", page("one", stored(1, 11), stored(2, 12), stored(3, 13)))
		return x
	}
	blocks := func(x *Index, now time.Time) int {
		for _, h := range x.Holders(now, prompt) {
			return h.Blocks
		}
		return 0
	}
	Convey("A prompt counts as cached up to the first missing prefix", t, func() {
		x := indexed(Config{})
		So(blocks(x, start), ShouldEqual, 3)
		So(x.LastSequence("a"), ShouldEqual, 3)
		So(x.Apply(start, "a", page("one", Event{4, 12, false})), ShouldEqual, Continued)
		So(blocks(x, start), ShouldEqual, 1)
	})
	Convey("A new instance starts with an empty cache", t, func() {
		x := indexed(Config{})
		So(x.Apply(start, "a", page("two", stored(4, 99))), ShouldEqual, Restarted)
		So(blocks(x, start), ShouldEqual, 0)
	})
	Convey("After a later stage lost its cache, the entries are dropped and the events continue", t, func() {
		x := indexed(Config{})
		x.Clear("a")
		x.Clear("unknown")
		So(blocks(x, start), ShouldEqual, 0)
		So(x.Apply(start, "a", page("one", stored(4, 11))), ShouldEqual, Continued)
		So(blocks(x, start), ShouldEqual, 1)
	})
	Convey("A lower sequence number means a restart too", t, func() {
		x := indexed(Config{})
		So(x.Apply(start, "a", Page{Instance: "one", Last: 1}), ShouldEqual, Restarted)
		So(blocks(x, start), ShouldEqual, 0)
	})
	Convey("A gap drops one of the oldest entries for each lost event", t, func() {
		x := indexed(Config{})
		So(x.Apply(start, "a", page("one", stored(5, 99))), ShouldEqual, Gapped)
		So(blocks(x, start), ShouldEqual, 0) // the oldest entry, 11, may have been evicted
		So(x.Apply(start, "a", page("one", stored(6, 11))), ShouldEqual, Continued)
		So(blocks(x, start), ShouldEqual, 3)
		So(x.Apply(start, "a", page("one", stored(600, 99))), ShouldEqual, Gapped)
		So(x.states["a"].lru.Len(), ShouldEqual, 0)
	})
	Convey("Events lost at the end of a page are a gap", t, func() {
		x := indexed(Config{})
		So(x.Apply(start, "a", Page{Instance: "one", Last: 5}), ShouldEqual, Gapped)
		So(x.LastSequence("a"), ShouldEqual, 5)
	})
	Convey("Without pages entries become stale, and a page makes them usable again", t, func() {
		x := indexed(Config{})
		late := start.Add(DefaultStaleAfter + time.Second)
		So(blocks(x, late), ShouldEqual, 0)
		x.Apply(late, "a", Page{Instance: "one", Last: 3})
		So(blocks(x, late), ShouldEqual, 3)
		So(blocks(x, late.Add(2*DefaultStaleAfter)), ShouldEqual, 3) // the poll interval is now longer than DefaultStaleAfter
		So(blocks(x, late.Add(4*DefaultStaleAfter)), ShouldEqual, 0)
	})
	Convey("Requested entries stay, others are evicted", t, func() {
		x := indexed(Config{Entries: 4})
		for i := range uint64(8) {
			x.Apply(start, "a", page("one", stored(4+i, 100+i)))
			So(blocks(x, start), ShouldEqual, 3)
		}
		So(x.states["a"].lru.Len(), ShouldEqual, 4)
	})
	Convey("Replicas that are not retained are dropped", t, func() {
		x := indexed(Config{})
		x.Retain([]string{"b"})
		So(x.states, ShouldBeEmpty)
	})
}

// Guards against an index that grows without bound, whatever pages an engine sends. Also
// guards against requests for events that the index has already applied from the same
// instance.
func TestArbitraryPages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New(Config{Entries: 5})
		for range rapid.IntRange(1, 20).Draw(t, "pages") {
			p := Page{
				Instance: rapid.SampledFrom([]string{"one", "two"}).Draw(t, "instance"),
				Last:     rapid.Uint64().Draw(t, "last"),
			}
			for range rapid.IntRange(0, 9).Draw(t, "events") {
				p.Events = append(p.Events, Event{
					Sequence: rapid.Uint64().Draw(t, "sequence"),
					Prefix:   rapid.Uint64Range(0, 9).Draw(t, "prefix"),
					Stored:   rapid.Bool().Draw(t, "stored"),
				})
			}
			before := x.LastSequence("a")
			if x.Apply(start, "a", p) != Restarted && x.LastSequence("a") < before {
				t.Fatalf("requests events after %d, before that after %d", x.LastSequence("a"), before)
			}
			state := x.states["a"]
			if state.lru.Len() > 5 || state.lru.Len() != len(state.cached) {
				t.Fatalf("%d prefixes in the LRU list, %d in the map", state.lru.Len(), len(state.cached))
			}
		}
	})
}
