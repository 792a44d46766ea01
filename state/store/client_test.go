package store

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeWire answers reads with what fails says, by the number of the call.
type fakeWire struct {
	Wire
	calls int
	fails func(call int) error
}

func (w *fakeWire) Get(context.Context, string) (Entry, error) {
	w.calls++
	if err := w.fails(w.calls); err != nil {
		return Entry{}, err
	}
	return Entry{Key: "k", Value: []byte("v"), Revision: 4}, nil
}

func (w *fakeWire) Apply(context.Context, Change) (int64, error) {
	w.calls++
	return 0, w.fails(w.calls)
}

func (w *fakeWire) Page(context.Context, string, string) (Page, error) {
	w.calls++
	return Page{Entries: []Entry{{Key: "/l/a", Revision: 3}}, Revision: 9}, nil
}

func (w *fakeWire) Wait(_ context.Context, _ string, after int64, _ time.Duration) ([]Event, int64, error) {
	w.calls++
	if err := w.fails(w.calls); err != nil {
		return nil, 0, err
	}
	return []Event{
		{Entry: Entry{Key: "/l/b", Revision: after + 1}},
		{Entry: Entry{Key: "/l/a", Revision: after + 2}},
		{Entry: Entry{Key: "/l/b", Revision: after + 3}, Deleted: true},
	}, after + 3, nil
}

func clientOf(fails func(call int) error) (*Client, *fakeWire) {
	wire := &fakeWire{fails: fails}
	return New(wire, Config{CallTimeout: time.Second, Backoff: time.Millisecond}), wire
}

func TestReadsAreRepeated(t *testing.T) {
	Convey("Given a store that fails twice, then answers", t, func() {
		client, wire := clientOf(func(call int) error {
			if call <= 2 {
				return ErrUnknown
			}
			return nil
		})
		entry, err := client.Get(context.Background(), "k")
		So(err, ShouldBeNil)
		So(entry, ShouldResemble, Entry{Key: "k", Value: []byte("v"), Revision: 4})
		So(wire.calls, ShouldEqual, 3)
	})
	Convey("Given a store that keeps failing, a read ends as unavailable", t, func() {
		client, _ := clientOf(func(int) error { return ErrUnknown })
		_, err := client.Get(context.Background(), "k")
		So(errors.Is(err, ErrUnavailable), ShouldBeTrue)
		So(errors.Is(err, ErrUnknown), ShouldBeFalse)
		So(client.Calls(), ShouldEqual, DefaultReadAttempts)
	})
}

// A writer whose reply was lost must read back before it acts: a second sending could
// follow a first one that took effect.
func TestWritesAreSentOnce(t *testing.T) {
	Convey("Given a store that loses the reply to a write", t, func() {
		client, wire := clientOf(func(int) error { return ErrUnknown })
		_, err := client.CompareAndSwap(context.Background(), "k", 1, []byte("v"))
		So(errors.Is(err, ErrUnknown), ShouldBeTrue)
		So(wire.calls, ShouldEqual, 1)
	})
}

// Whoever keeps a list by its changes sees the last state of each key once, and the
// whole list where the store no longer has the changes.
func TestChangesOfAList(t *testing.T) {
	Convey("Given changes, each key comes once and removed ones not at all", t, func() {
		client, _ := clientOf(func(int) error { return nil })
		entries, revision, err := client.Changed(context.Background(), "/l/", 5)
		So(err, ShouldBeNil)
		So(entries, ShouldResemble, []Entry{{Key: "/l/a", Revision: 7}})
		So(revision, ShouldEqual, 8)
	})
	Convey("Given changes that are gone, the whole list comes", t, func() {
		client, _ := clientOf(func(int) error { return &CompactedError{} })
		entries, revision, err := client.Changed(context.Background(), "/l/", 5)
		So(err, ShouldBeNil)
		So(entries, ShouldResemble, []Entry{{Key: "/l/a", Revision: 3}})
		So(revision, ShouldEqual, 9)
	})
	Convey("Given a watch from a revision that is gone, its error says where to go on", t, func() {
		client, _ := clientOf(func(int) error { return &CompactedError{} })
		err := client.Watch(context.Background(), "/l/", 5, func(Event) {})
		var compacted *CompactedError
		So(errors.As(err, &compacted), ShouldBeTrue)
		So(compacted.Revision, ShouldEqual, 9)
	})
}

// endlessWire says that more follows, without anything to go on from.
type endlessWire struct{ fakeWire }

func (w *endlessWire) Page(context.Context, string, string) (Page, error) {
	return Page{Revision: 9, More: true}, nil
}

// A list that breaks off looks to its reader like one whose other entries are gone:
// a node would drop replicas and nodes that live.
func TestListThatBreaksOffIsAnError(t *testing.T) {
	client := New(&endlessWire{}, Config{CallTimeout: time.Second, Backoff: time.Millisecond})
	if entries, err := client.List(context.Background(), "/l/"); !errors.Is(err, ErrProtocol) {
		t.Errorf("%v, %v", entries, err)
	}
}

// circlingWire gives the same page again and again, and says that more follows.
type circlingWire struct{ fakeWire }

func (w *circlingWire) Page(context.Context, string, string) (Page, error) {
	w.calls++
	return Page{Entries: []Entry{{Key: "/l/a", Revision: 3}, {Key: "/l/b", Revision: 4}}, Revision: 9, More: true}, nil
}

// Guards against a node that runs out of memory, and calls the store without end, since a list does
// not go on from one page to the next.
func TestListThatDoesNotGoOnIsAnError(t *testing.T) {
	wire := &circlingWire{}
	client := New(wire, Config{CallTimeout: time.Second, Backoff: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if entries, err := client.List(ctx, "/l/"); !errors.Is(err, ErrProtocol) || wire.calls != 2 {
		t.Errorf("%d entries in %d calls, %v", len(entries), wire.calls, err)
	}
}
