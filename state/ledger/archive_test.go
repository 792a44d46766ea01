package ledger

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// archiving is a node that archives an order as soon as it is done.
func (s *site) archiving() *Ledger {
	node, _ := s.node()
	for _, lane := range node.lanes {
		lane.machine.limits = archiveLimits{shardBytes: 1, archiveBytes: 4096, archives: 4}
	}
	return node
}

// keys are so many orders of one shard.
func keys(n int) []Key {
	var all []Key
	for i := 0; len(all) < n; i++ {
		key := butter
		key.Key = fmt.Sprint("reorder-", i)
		if key.Shard() == butter.Shard() {
			all = append(all, key)
		}
	}
	return all
}

// place claims and records an order. The next order's write archives it.
func place(node *Ledger, key Key) {
	claim, err := node.Claim(context.Background(), key, "20 kg")
	So(err, ShouldBeNil)
	So(claim.State, ShouldEqual, Fresh)
	So(node.Record(context.Background(), key, claim, placed), ShouldBeNil)
}

// archiveKeys are the archives in the store.
func (s *site) archiveKeys() []string {
	prefix := ShardKey("dawn", butter.Shard()) + "/"
	kvs, _, _ := s.memory.Range(prefix, store.PrefixEnd(prefix), 0)
	var all []string
	for _, kv := range kvs {
		all = append(all, kv.Key)
	}
	return all
}

// A caller who asks again is answered with the result, also by a node that last
// saw the shard before the order was moved: another node has moved it, taken its
// archive up into a newer one and removed the first. The old view finds that
// archive gone, reads the shard again and finds the order.
func TestOldViewFindsMovedOrders(t *testing.T) {
	Convey("Given a node that saw a shard with one archive, and others since", t, func() {
		s := newSite(t)
		first, second := s.archiving(), s.archiving()
		all := keys(8)
		place(first, all[0])
		place(first, all[1])
		old, _ := s.node()
		_, err := old.Claim(context.Background(), all[2], "20 kg")
		So(err, ShouldBeNil)
		lane := old.lanes[butter.Shard()]
		lane.mu.Lock()
		clear(lane.machine.archives)
		lane.mu.Unlock()
		for _, key := range all[3:] {
			place(second, key)
		}
		Convey("it finds each order", func() {
			for i, key := range all {
				claim, err := old.Claim(context.Background(), key, "20 kg")
				So(err, ShouldBeNil)
				if i == 2 {
					So(claim.State, ShouldEqual, InDoubt)
					continue
				}
				So(claim.State, ShouldEqual, Done)
				So(*claim.Result, ShouldResemble, placed)
			}
		})
		Convey("one archive is left in the store", func() {
			second.Close()
			So(len(s.archiveKeys()), ShouldEqual, 1)
		})
	})
}

// The caller is refused as "not run" if the shard names an archive that the
// store has lost or damaged: the order may be in it, and placing it could be the
// second time.
func TestLostArchive(t *testing.T) {
	Convey("Given a shard with an archive", t, func() {
		s := newSite(t)
		node := s.archiving()
		all := keys(3)
		place(node, all[0])
		place(node, all[1])
		So(len(s.archiveKeys()), ShouldEqual, 1)
		for name, write := range map[string]storetest.Write{
			"lost":      {Delete: true},
			"damaged":   {Value: []byte("x")},
			"truncated": {Value: []byte{8, shardFormat, 18, 9}},
		} {
			Convey("that is "+name, func() {
				write.Key = s.archiveKeys()[0]
				_, _, err := s.memory.Txn(nil, []storetest.Write{write})
				So(err, ShouldBeNil)
				fresh, _ := s.node()
				for _, key := range []Key{all[0], all[2]} {
					_, err := fresh.Claim(context.Background(), key, "20 kg")
					So(errors.Is(err, ErrNotRun), ShouldBeTrue)
					So(errors.Is(err, ErrBadShard), ShouldBeTrue)
				}
			})
		}
	})
}

// A repeat is answered although its node has dropped the shard's archives, as
// nothing was ordered for long: it reads them again.
func TestIdleLaneForgetsArchives(t *testing.T) {
	Convey("Given a node with an archive", t, func() {
		s := newSite(t)
		node := s.archiving()
		all := keys(3)
		place(node, all[0])
		place(node, all[1])
		lane := node.lanes[butter.Shard()]
		archives := func() int {
			lane.mu.Lock()
			defer lane.mu.Unlock()
			return len(lane.machine.archives)
		}
		So(archives(), ShouldEqual, 1)
		Convey("a flush right after the last order keeps it", func() {
			So(node.Flush(context.Background()), ShouldEqual, 0)
			So(archives(), ShouldEqual, 1)
		})
		Convey("one long after drops it, and each order is found all the same", func() {
			lane.mu.Lock()
			lane.settledAt = lane.settledAt.Add(-2 * archivesKept)
			lane.mu.Unlock()
			So(node.Flush(context.Background()), ShouldEqual, 0)
			So(archives(), ShouldEqual, 0)
			claim, err := node.Claim(context.Background(), all[0], "20 kg")
			So(err, ShouldBeNil)
			So(claim.State, ShouldEqual, Done)
			place(node, all[2])
		})
	})
}

// A read that is answered by a store that lags shows a shard without its newest
// archive. The archive is not taken for garbage: the next write would find its
// orders lost.
func TestOldReadRemovesNothing(t *testing.T) {
	Convey("Given a machine that knows an archive", t, func() {
		m := newMachine(DefaultRetention)
		m.state.archives = []archiveRef{{name: 4, newestMs: 1}}
		m.revision = 5
		Convey("an older state of the shard names none", func() {
			So(m.onRead(store.Entry{Revision: 3, Value: newShard().encode()}, nil), ShouldBeEmpty)
			So(m.takeGarbage(), ShouldBeEmpty)
		})
		Convey("a newer one that does not name it makes it garbage", func() {
			So(m.onRead(store.Entry{Revision: 7, Value: newShard().encode()}, nil), ShouldBeEmpty)
			So(m.takeGarbage(), ShouldResemble, []int64{4})
		})
	})
}

// A shard as former programs wrote it is refused: what it holds cannot be
// looked up by this program's ids, and its orders would be placed again.
func TestFormerShardIsRefused(t *testing.T) {
	Convey("A JSON shard is refused, with the way out", t, func() {
		_, err := decodeShard([]byte(`{"format":1,"entries":[]}`))
		So(errors.Is(err, ErrBadShard), ShouldBeTrue)
		So(strings.Contains(err.Error(), "format 1"), ShouldBeTrue)
	})
}

// FuzzDecodeShard: no stored bytes make a node fail, and what is read is written
// back with the same orders.
func FuzzDecodeShard(f *testing.F) {
	s := newShard()
	s.archives = []archiveRef{{name: 7, newestMs: 1}}
	for i := range 3 {
		s.add((&entry{ID: strconv.Itoa(i), Attempt: "x", Result: &Result{Status: 200 + i, ContentType: jsonType}}).encoded())
	}
	f.Add(s.encode())
	f.Fuzz(func(t *testing.T, value []byte) {
		read, err := decodeShard(value)
		if err != nil {
			return
		}
		again, err := decodeShard(read.encode())
		if err != nil || len(again.entries) != len(read.entries) || len(again.archives) != len(read.archives) {
			t.Fatalf("%d entries, %d archives read again as %v, %v", len(read.entries), len(read.archives), again, err)
		}
		_, _ = decodeArchive(value)
	})
}
