package ledger

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// The caller is told "not run" at once while the store is down. The first order
// finds out that it is; the next ones are refused without a call of the store,
// while probes, one at a time, ask whether it is back. The first that is
// answered lets orders through again.
func TestKnownOutageRefusesAtOnce(t *testing.T) {
	Convey("Given a store that has failed an order's read", t, func() {
		ctx, s := context.Background(), newSite(t)
		node, client := s.node()
		probing, answer := make(chan struct{}), make(chan storetest.Fault)
		client.SetFault(func(call storetest.Call) storetest.Fault {
			if call.Key != node.outage.key {
				return storetest.Fault{Unavailable: true}
			}
			probing <- struct{}{}
			return <-answer
		})
		_, err := node.Claim(ctx, butter, "20 kg")
		So(errors.Is(err, ErrNotRun), ShouldBeTrue)
		<-probing
		calls := client.Calls(storetest.OpGet)
		for range 3 {
			_, err = node.Claim(ctx, butter, "20 kg")
			So(errors.Is(err, ErrNotRun), ShouldBeTrue)
			So(errors.Is(err, ErrUnavailable), ShouldBeTrue)
		}
		So(client.Calls(storetest.OpGet), ShouldEqual, calls)
		Convey("a probe that fails is followed by another, one that is answered ends it", func() {
			answer <- storetest.Fault{Unavailable: true}
			<-probing
			So(node.outage.known(), ShouldBeTrue)
			client.SetFault(nil)
			answer <- storetest.Fault{}
			node.outage.probes.Wait()
			So(stateAt(node), ShouldEqual, Fresh)
		})
		Convey("what it knows to be placed is answered all the same, and it closes", func() {
			client.SetFault(nil)
			answer <- storetest.Fault{}
			node.outage.probes.Wait()
			claim, err := node.Claim(ctx, butter, "20 kg")
			So(err, ShouldBeNil)
			So(node.Record(ctx, butter, claim, placed), ShouldBeNil)
			node.outage.down = true
			So(stateAt(node), ShouldEqual, Done)
			replies, err := node.Serve(ctx, butter.Shard(), []Operation{{Kind: KindClaim, ID: "another", Attempt: "a"}})
			So(err, ShouldBeNil)
			So(replies[0].Untouched, ShouldBeTrue)
		})
	})
}
