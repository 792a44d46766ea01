package store_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/store/storetest"
)

// The writer is told what became of its write although the write was still on
// its way when it was read back. The first sending is delayed, the key reads
// as unchanged, the writer sends again; the delayed one (or another writer's)
// lands just before. The conflict that follows is settled by the id.
func TestDelayedWriteLandsBeforeTheSecond(t *testing.T) {
	cases := []struct {
		lands string
		want  error
	}{{"mine", nil}, {"other", store.ErrConflict}}
	for _, c := range cases {
		Convey("Given that before the second sending lands: "+c.lands, t, func() {
			memory := storetest.NewMemory()
			defer memory.Close()
			client := storetest.NewClient(memory)
			land := func() {
				_, _, err := memory.Txn(nil, []storetest.Write{{Key: "k", Value: []byte(c.lands)}})
				So(err, ShouldBeNil)
			}
			client.SetFault(func(call storetest.Call) storetest.Fault {
				switch {
				case call.Op != storetest.OpSwap:
					return storetest.Fault{}
				case call.Number == 1:
					return storetest.Fault{LoseRequest: true}
				}
				return storetest.Fault{Before: land}
			})
			mine := func(value []byte) bool { return string(value) == "mine" }
			_, err := store.SwapReadBack(context.Background(), client, "k", 0, []byte("mine"), mine)
			So(errors.Is(err, c.want), ShouldBeTrue)
			So(client.Calls(storetest.OpSwap), ShouldEqual, 2)
		})
	}
}
