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
	n := New()
	n.SetLive(live)
	return n
}

// Shards must be spread, and must stay where they are when others come or go:
// each move makes two nodes write one shard for a while.
func TestPick(t *testing.T) {
	Convey("Given nine nodes and 256 shards", t, func() {
		nine, eight, owned, moved := newPicker(names(9)), newPicker(names(8)), map[string]int{}, 0
		for i := range 256 {
			shard := fmt.Sprint(i)
			before := nine.Pick(start, shard)
			owned[before]++
			if now := eight.Pick(start, shard); now != before && before != "vm-8" {
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

// Orders wait for a frozen node only as often as it is tried. The owner of a
// shard stops answering; a hundred operations that waited for it fail together.
// The next node takes the shard, and one operation a pause finds out whether
// the owner is back.
func TestUnresponsiveOwner(t *testing.T) {
	Convey("Given a shard whose owner has not answered", t, func() {
		n := newPicker(names(3))
		first := n.Pick(start, "7")
		So(n.RecordFailure(start, first), ShouldEqual, MinBackoff)
		for range 100 {
			So(n.RecordFailure(start, first), ShouldEqual, 0)
		}
		second := n.Pick(start, "7")
		So(second, ShouldNotEqual, first)

		Convey("it is tried by one operation after a pause, which doubles", func() {
			at := start
			for _, pause := range []time.Duration{1, 2, 4, 8, 16, 16} {
				at = at.Add(pause * time.Second)
				So(n.Pick(at, "7"), ShouldEqual, first)
				So(n.Pick(at, "7"), ShouldEqual, second)
				So(n.RecordFailure(at, first), ShouldEqual, min(2*pause*time.Second, MaxBackoff))
			}
		})
		Convey("it is used again once it has answered", func() {
			n.RecordAnswer(first)
			So(n.Pick(start, "7"), ShouldEqual, first)
			So(n.Pick(start, "7"), ShouldEqual, first)
		})
		Convey("news of other members does not forget that it is silent", func() {
			n.SetLive(names(4))
			So(n.Pick(start, "7"), ShouldNotEqual, first)
		})
	})
}
