package ledger

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// simulatedRuns is how many interleavings each simulation tries; rapid's own
// hundred finds a missing comparison only every other time.
const simulatedRuns = "2000"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", simulatedRuns); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

var (
	butter = Key{Team: "bogor", Service: "stock-ledger", Key: "reorder-17"}
	placed = Result{Status: 201, ContentType: "application/json", Body: []byte(`{"order":17}`)}
)

// site is one store and any number of nodes before it.
type site struct {
	t      *testing.T
	memory *storetest.Memory
}

func newSite(t *testing.T) *site {
	s := &site{t, storetest.NewMemory()}
	t.Cleanup(s.memory.Close)
	return s
}

func (s *site) node() (*Ledger, *storetest.Client) {
	client := storetest.NewClient(s.memory)
	l := New(client, "dawn", Config{WritesPerSecond: 1e6, Burst: 1000})
	s.t.Cleanup(l.Close)
	return l, client
}

// onSwap makes fault hit the n-th compare-and-swap of a client.
func onSwap(client *storetest.Client, n int, fault storetest.Fault) {
	seen := 0
	client.SetFault(func(call storetest.Call) storetest.Fault {
		if call.Op != storetest.OpSwap {
			return storetest.Fault{}
		}
		seen++
		if seen == n {
			return fault
		}
		return storetest.Fault{}
	})
}

func TestClaimRecordReplay(t *testing.T) {
	Convey("Given two nodes on one store", t, func() {
		ctx := context.Background()
		s := newSite(t)
		first, _ := s.node()
		second, _ := s.node()
		claim, err := first.Claim(ctx, butter, "20 kg")
		So(err, ShouldBeNil)
		So(claim.State, ShouldEqual, Fresh)

		Convey("a repeat at either node is in doubt until the result is kept", func() {
			for _, node := range []*Ledger{first, second} {
				repeat, err := node.Claim(ctx, butter, "20 kg")
				So(err, ShouldBeNil)
				So(repeat.State, ShouldEqual, InDoubt)
			}
			So(first.Record(ctx, butter, claim, placed), ShouldBeNil)
			for _, node := range []*Ledger{first, second} {
				repeat, err := node.Claim(ctx, butter, "20 kg")
				So(err, ShouldBeNil)
				So(repeat.State, ShouldEqual, Done)
				So(*repeat.Result, ShouldResemble, placed)
			}
		})
		Convey("another body under the key is a mismatch", func() {
			other, err := second.Claim(ctx, butter, "200 kg")
			So(err, ShouldBeNil)
			So(other.State, ShouldEqual, Mismatch)
		})
		Convey("a release frees the key, and the old claim is then worth nothing", func() {
			So(first.Release(ctx, butter, claim), ShouldBeNil)
			again, err := second.Claim(ctx, butter, "20 kg")
			So(err, ShouldBeNil)
			So(again.State, ShouldEqual, Fresh)
			So(errors.Is(first.Record(ctx, butter, claim, placed), ErrNotHolder), ShouldBeTrue)
			So(first.Release(ctx, butter, claim), ShouldBeNil)
			last, err := first.Claim(ctx, butter, "20 kg")
			So(err, ShouldBeNil)
			So(last.State, ShouldEqual, InDoubt)
		})
	})
}

// The callers see at most one "fresh" for one order, whatever the nodes do.
// Many nodes read the same shard, all find the key free and all write. The
// store takes the first write and refuses the others by their revision; the
// losers read again and find the winner's claim.
func TestOneOfManyNodesGetsTheOrder(t *testing.T) {
	Convey("Given eight nodes that claim the same keys at once", t, func() {
		s := newSite(t)
		var mu sync.Mutex
		var wg sync.WaitGroup
		fresh, refused := map[string]int{}, 0
		for range 8 {
			node, _ := s.node()
			for i := range 20 {
				key := butter
				key.Key = fmt.Sprint("reorder-", i)
				wg.Go(func() {
					claim, err := node.Claim(context.Background(), key, "20 kg")
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						refused++
					}
					if claim.State == Fresh {
						fresh[key.Key]++
					}
				})
			}
		}
		wg.Wait()
		Convey("each order goes to exactly one, and the others learn of it", func() {
			So(refused, ShouldEqual, 0)
			So(len(fresh), ShouldEqual, 20)
			for _, n := range fresh {
				So(n, ShouldEqual, 1)
			}
		})
	})
}

// The caller gets its order placed once although the store's reply to the
// claim is lost. The write takes effect, the reply does not come, the node
// reads the shard back and finds its own attempt id: the order is its own to
// send, and nobody else's.
func TestLostReplyOnClaim(t *testing.T) {
	for name, fault := range map[string]storetest.Fault{
		"reply":   {LoseReply: true},
		"request": {LoseRequest: true},
	} {
		Convey("Given a store that loses the "+name+" of the first claim", t, func() {
			ctx := context.Background()
			s := newSite(t)
			node, client := s.node()
			other, _ := s.node()
			onSwap(client, 1, fault)
			claim, err := node.Claim(ctx, butter, "20 kg")
			So(err, ShouldBeNil)
			So(claim.State, ShouldEqual, Fresh)
			repeat, err := other.Claim(ctx, butter, "20 kg")
			So(err, ShouldBeNil)
			So(repeat.State, ShouldEqual, InDoubt)
			So(node.Record(ctx, butter, claim, placed), ShouldBeNil)
		})
	}
}

// The caller is told "not run" while the store is down, at whichever step that
// happens, and its retry after the outage places the order once. A claim that
// had reached the store unseen is found by its attempt id and taken over.
func TestStoreOutageAtEachStep(t *testing.T) {
	down := storetest.Fault{Unavailable: true}
	steps := map[string]func(call storetest.Call) storetest.Fault{
		"read": func(storetest.Call) storetest.Fault { return down },
		"write": func(call storetest.Call) storetest.Fault {
			if call.Op == storetest.OpSwap {
				return down
			}
			return storetest.Fault{}
		},
		"after the write took effect": func(call storetest.Call) storetest.Fault {
			if call.Number == 1 {
				return storetest.Fault{}
			}
			if call.Op == storetest.OpSwap {
				return storetest.Fault{LoseReply: true}
			}
			return down
		},
		"before the write took effect, unseen": func(call storetest.Call) storetest.Fault {
			if call.Number == 1 {
				return storetest.Fault{}
			}
			if call.Op == storetest.OpSwap {
				return storetest.Fault{LoseRequest: true}
			}
			return down
		},
	}
	for name, fault := range steps {
		Convey("Given an outage: "+name, t, func() {
			ctx := context.Background()
			s := newSite(t)
			node, client := s.node()
			other, _ := s.node()
			client.SetFault(fault)
			_, err := node.Claim(ctx, butter, "20 kg")
			So(errors.Is(err, ErrNotRun), ShouldBeTrue)
			So(errors.Is(err, ErrUnavailable), ShouldBeTrue)
			client.SetFault(nil)
			So(node.Flush(ctx), ShouldEqual, 0)
			claim, err := other.Claim(ctx, butter, "20 kg")
			So(err, ShouldBeNil)
			So(claim.State, ShouldEqual, Fresh)
		})
	}
}

// The caller who retries during the outage of a result's write is told "in
// doubt" by other nodes and gets the result from this one; nobody sends again.
func TestResultKeptOverAnOutage(t *testing.T) {
	Convey("Given a result that could not be written", t, func() {
		ctx := context.Background()
		s := newSite(t)
		node, client := s.node()
		other, _ := s.node()
		claim, err := node.Claim(ctx, butter, "20 kg")
		So(err, ShouldBeNil)
		client.SetFault(func(storetest.Call) storetest.Fault { return storetest.Fault{Unavailable: true} })
		So(errors.Is(node.Record(ctx, butter, claim, placed), ErrNotKept), ShouldBeTrue)
		doubt, err := other.Claim(ctx, butter, "20 kg")
		So(err, ShouldBeNil)
		So(doubt.State, ShouldEqual, InDoubt)
		client.SetFault(nil)
		So(node.Flush(ctx), ShouldEqual, 0)
		repeat, err := other.Claim(ctx, butter, "20 kg")
		So(err, ShouldBeNil)
		So(repeat.State, ShouldEqual, Done)
	})
}

// The caller's order is placed once although the node that first took it was
// paused. It read the shard, found the key free and stopped for longer than
// any lease; another node claimed the key meanwhile. When the first wakes, its
// write compares a revision that is gone, is refused, and it finds the other's
// claim.
func TestPausedHolderWritesLate(t *testing.T) {
	Convey("Given a node that is paused between reading and writing", t, func() {
		ctx := context.Background()
		s := newSite(t)
		paused, client := s.node()
		other, _ := s.node()
		asleep, wake := make(chan struct{}), make(chan struct{})
		onSwap(client, 1, storetest.Fault{Before: func() { close(asleep); <-wake }})
		late := make(chan Claim, 1)
		go func() {
			claim, _ := paused.Claim(ctx, butter, "20 kg")
			late <- claim
		}()
		<-asleep
		claim, err := other.Claim(ctx, butter, "20 kg")
		So(err, ShouldBeNil)
		So(claim.State, ShouldEqual, Fresh)
		close(wake)
		So((<-late).State, ShouldEqual, InDoubt)
	})
}

// The caller who hangs up while its claim is being written has sent nothing;
// its next try may place the order. The claim reaches the store after the
// caller has left, and the node gives it back.
func TestCallerLeavesDuringTheWrite(t *testing.T) {
	Convey("Given a caller that leaves while its claim is written", t, func() {
		s := newSite(t)
		node, client := s.node()
		writing, goOn := make(chan struct{}), make(chan struct{})
		onSwap(client, 1, storetest.Fault{Before: func() { close(writing); <-goOn }})
		ctx, cancel := context.WithCancel(context.Background())
		left := make(chan error, 1)
		go func() {
			_, err := node.Claim(ctx, butter, "20 kg")
			left <- err
		}()
		<-writing
		cancel()
		So(errors.Is(<-left, ErrNotRun), ShouldBeTrue)
		close(goOn)
		// The first waits for the claim's write, the second writes its release.
		node.Flush(context.Background())
		So(node.Flush(context.Background()), ShouldEqual, 0)
		claim, err := node.Claim(context.Background(), butter, "20 kg")
		So(err, ShouldBeNil)
		So(claim.State, ShouldEqual, Fresh)
	})
}

func TestBadShardIsLeftAlone(t *testing.T) {
	for name, value := range map[string]string{
		"malformed":       `{"format":1,"entries":[`,
		"unknown version": `{"format":2,"entries":[]}`,
		"not an entry":    `{"format":1,"entries":[{}]}`,
		"twice":           `{"format":1,"entries":[{"id":"a","attempt":"b"},{"id":"a","attempt":"c"}]}`,
	} {
		Convey("Given a stored shard that is "+name, t, func() {
			s := newSite(t)
			node, client := s.node()
			key := ShardKey("dawn", butter.Shard())
			revision, err := client.CompareAndSwap(context.Background(), key, 0, []byte(value))
			So(err, ShouldBeNil)
			_, err = node.Claim(context.Background(), butter, "20 kg")
			So(errors.Is(err, ErrNotRun), ShouldBeTrue)
			So(errors.Is(err, ErrBadShard), ShouldBeTrue)
			stands, err := client.Get(context.Background(), key)
			So(err, ShouldBeNil)
			So(stands.Revision, ShouldEqual, revision)
		})
	}
	Convey("An oversized shard is refused", t, func() {
		_, err := decodeShard(make([]byte, store.MaxValueBytes+1))
		So(errors.Is(err, ErrBadShard), ShouldBeTrue)
	})
}
