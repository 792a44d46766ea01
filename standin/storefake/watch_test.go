package storefake

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// patience bounds a wait for an event that has to come.
const patience = 10 * time.Second

// watching is a watch underway, its events and its end.
type watching struct {
	cancel context.CancelFunc
	events chan string
	ended  chan error
}

func startWatch(client *store.Client, prefix string, revision int64) *watching {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watching{cancel, make(chan string, 1000), make(chan error, 1)}
	go func() {
		w.ended <- client.Watch(ctx, prefix, revision, func(event store.Event) {
			if event.Deleted {
				w.events <- event.Entry.Key + " gone"
				return
			}
			w.events <- event.Entry.Key + "=" + string(event.Entry.Value)
		})
	}()
	return w
}

func (w *watching) next() string {
	select {
	case event := <-w.events:
		return event
	case err := <-w.ended:
		w.ended <- err
		return fmt.Sprint("ended: ", err)
	case <-time.After(patience):
		return "nothing came"
	}
}

func (w *watching) end() error {
	select {
	case err := <-w.ended:
		w.ended <- err
		return err
	case <-time.After(patience):
		return errors.New("the watch did not end")
	}
}

func (w *watching) stop() {
	w.cancel()
	<-w.ended
}

func (s served) put(key, value string) int64 {
	_, revision, err := s.fake.Memory().Txn(nil, []storetest.Write{{Key: key, Value: []byte(value)}})
	if err != nil {
		s.t.Fatal(err)
	}
	return revision
}

// nextCall waits until the store is called again.
func (s served) nextCall() bool {
	before := s.fake.Status().Calls
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		if s.fake.Status().Calls > before {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// waitsAgain waits until a watch waits in the given call: each change ends one.
func (s served) waitsAgain(call int64) bool {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		if status := s.fake.Status(); status.Calls == call && status.Watches == 1 {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func TestWatch(t *testing.T) {
	Convey("Given a watch from a revision on", t, func() {
		s := serve(t)
		s.put("/d/a", "0")
		from := s.put("/d/a", "1")
		client := s.client(store.Config{})
		s.put("/d/a", "2")
		watch := startWatch(client, "/d/", from)
		defer watch.stop()
		So(watch.next(), ShouldEqual, "/d/a=2")
		Convey("changes come in order, those of other keys don't", func() {
			s.put("/e", "x")
			s.put("/d/b", "1")
			_, _, err := s.fake.Memory().Txn(nil, []storetest.Write{{Key: "/d/a", Delete: true}})
			So(err, ShouldBeNil)
			So(watch.next(), ShouldEqual, "/d/b=1")
			So(watch.next(), ShouldEqual, "/d/a gone")
			// Each answer is a call: one for each change, and the one that waits.
			So(s.fake.Status().Calls, ShouldBeLessThanOrEqualTo, 4)
			So(s.fake.Status().Calls, ShouldEqual, s.fake.Status().ByPath[PathWatch])
		})
		Convey("an outage ends it with an error", func() {
			s.fake.SetFaults(Faults{Outage: true})
			So(errors.Is(watch.end(), store.ErrUnavailable), ShouldBeTrue)
		})
	})
}

// A node that watches a store which froze or was cut off without a word sees
// the changes of that time once the store is back: each connection is trusted
// for a short life only, and the next one starts where it ended.
func TestWatchOutlivesItsConnection(t *testing.T) {
	Convey("Given a watch whose connections live 50 ms", t, func() {
		s := serve(t)
		client := s.client(store.Config{WatchLifetime: 50 * time.Millisecond, CallsPerSecond: 1e4, Burst: 1e4})
		watch := startWatch(client, "/d/", 0)
		defer watch.stop()
		s.put("/d/a", "0")
		So(watch.next(), ShouldEqual, "/d/a=0")
		for i := range 5 {
			So(s.nextCall(), ShouldBeTrue)
			s.put("/d/a", fmt.Sprint(i+1))
			So(watch.next(), ShouldEqual, fmt.Sprint("/d/a=", i+1))
		}
	})
}

// A node that was away for longer than the store keeps changes is told so, and
// goes on by listing the keys and watching from what the error names. Watching
// from the listed keys' own revisions would fail the same way forever.
func TestWatchOfCompactedChanges(t *testing.T) {
	Convey("Given changes that the store no longer keeps", t, func() {
		s := serve(t)
		old := s.put("/d/a", "1")
		s.put("/other", "2")
		s.fake.Memory().Compact()
		client := s.client(store.Config{})
		watch := startWatch(client, "/d/", old)
		err := watch.end()
		So(errors.Is(err, store.ErrCompacted), ShouldBeTrue)
		var compacted *store.CompactedError
		So(errors.As(err, &compacted), ShouldBeTrue)
		So(compacted.Revision, ShouldBeGreaterThan, old)
		again := startWatch(client, "/d/", compacted.Revision)
		defer again.stop()
		s.put("/d/a", "3")
		So(again.next(), ShouldEqual, "/d/a=3")
	})
}

// A holder that was paused past its lease cannot write over its successor. The
// lease lapses, its key goes, another takes the work by a write of its own;
// the first wakes without knowing and its compare-and-swap is refused. The
// lease protects nothing: the comparison does.
func TestPausedLeaseHolder(t *testing.T) {
	Convey("Given a holder whose lease lapses", t, func() {
		ctx := context.Background()
		s := serve(t)
		client := s.client(store.Config{})
		watch := startWatch(client, "/holder", 0)
		defer watch.stop()
		lease, err := client.Grant(ctx, time.Second)
		So(err, ShouldBeNil)
		So(client.PutLeased(ctx, "/holder", []byte("first"), lease), ShouldBeNil)
		So(watch.next(), ShouldEqual, "/holder=first")
		plan, err := client.CompareAndSwap(ctx, "/plan", 0, []byte("first's"))
		So(err, ShouldBeNil)
		So(watch.next(), ShouldEqual, "/holder gone")
		_, err = client.CompareAndSwap(ctx, "/plan", plan, []byte("second's"))
		So(err, ShouldBeNil)

		_, err = client.CompareAndSwap(ctx, "/plan", plan, []byte("first's, late"))
		So(errors.Is(err, store.ErrConflict), ShouldBeTrue)
		_, err = client.KeepAlive(ctx, lease)
		So(errors.Is(err, store.ErrLeaseGone), ShouldBeTrue)
		So(errors.Is(client.PutLeased(ctx, "/holder", []byte("first"), lease), store.ErrLeaseGone), ShouldBeTrue)
		So(client.Revoke(ctx, lease), ShouldBeNil)
	})
	Convey("Given a holder that renews, its key stays until it revokes", t, func() {
		ctx := context.Background()
		s := serve(t)
		client := s.client(store.Config{})
		lease, err := client.Grant(ctx, 30*time.Second)
		So(err, ShouldBeNil)
		So(client.PutLeased(ctx, "/holder", []byte("first"), lease), ShouldBeNil)
		left, err := client.KeepAlive(ctx, lease)
		So(err, ShouldBeNil)
		So(left, ShouldEqual, 30*time.Second)
		So(client.Revoke(ctx, lease), ShouldBeNil)
		gone, err := client.Get(ctx, "/holder")
		So(err, ShouldBeNil)
		So(gone.Revision, ShouldEqual, 0)
	})
}

func TestControlPath(t *testing.T) {
	Convey("Given faults set from outside", t, func() {
		s := serve(t)
		status := post(t, s.address, `{"refuse":true,"lose_replies":3}`)
		So(status, ShouldEqual, 200)
		So(s.fake.Status().Faults, ShouldResemble, Faults{Refuse: true, LoseReplies: 3})
		So(post(t, s.address, `{"refuze":true}`), ShouldEqual, 400)
	})
}

func post(t *testing.T, address, body string) int {
	response, err := http.Post("http://"+address+PathControl, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}
