package shardowner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1_700_000_000, 0)

func names(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("vm-", i))
	}
	return all
}

func newPicker(live []string) *Picker {
	p := New()
	p.SetLive(live)
	return p
}

// Guards against shards that are distributed unevenly, and against shards that move when
// a node which does not own them joins or leaves. After a shard has moved, two nodes
// write it for a while.
func TestPick(t *testing.T) {
	Convey("Given nine nodes and 256 shards", t, func() {
		nine, eight, owned, moved := newPicker(names(9)), newPicker(names(8)), map[string]int{}, 0
		for i := range 256 {
			shard := fmt.Sprint(i)
			before := nine.Pick(start, shard)
			owned[before]++
			if after := eight.Pick(start, shard); after != before && before != "vm-8" {
				moved++
			}
		}
		So(len(owned), ShouldEqual, 9)
		So(moved, ShouldEqual, 0)
		for _, n := range owned {
			So(n, ShouldBeLessThan, 2*256/9)
		}
	})
	Convey("Without live nodes none is picked", t, func() {
		So(New().Pick(start, "7"), ShouldBeEmpty)
	})
}

// Guards against a frozen node that delays more than one order per backoff period. The
// owner of a shard stops answering, and a hundred operations that waited for the owner
// fail together. The next node takes the shard, and one operation per backoff period
// detects whether the owner is back.
func TestUnresponsiveOwner(t *testing.T) {
	Convey("Given a shard whose owner has not answered", t, func() {
		p := newPicker(names(3))
		first := p.Pick(start, "7")
		So(p.RecordFailure(start, first), ShouldEqual, MinBackoff)
		for range 100 {
			So(p.RecordFailure(start, first), ShouldEqual, 0)
		}
		second := p.Pick(start, "7")
		So(second, ShouldNotEqual, first)

		Convey("one operation tries the owner after each backoff, which doubles", func() {
			at := start
			for _, backoff := range []time.Duration{1, 2, 4, 8, 16, 16} {
				at = at.Add(backoff * time.Second)
				So(p.Pick(at, "7"), ShouldEqual, first)
				So(p.Pick(at, "7"), ShouldEqual, second)
				So(p.RecordFailure(at, first), ShouldEqual, min(2*backoff*time.Second, MaxBackoff))
			}
		})
		Convey("the owner is used again once it has answered", func() {
			p.RecordAnswer(first)
			So(p.Pick(start, "7"), ShouldEqual, first)
			So(p.Pick(start, "7"), ShouldEqual, first)
		})
		Convey("a new list of live nodes keeps the owner's backoff", func() {
			p.SetLive(names(4))
			So(p.Pick(start, "7"), ShouldNotEqual, first)
		})
	})
}
