package balance

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/decide/health"
)

// fullBalancer returns a balancer with four replicas of 16 slots. All 16 slots of
// each replica are taken, 4 of them by requests of this node.
func fullBalancer() *Balancer {
	b := New(Config{Node: "vm-1", FailureDomain: "fd-0", Seed: 1})
	replicas := makeReplicas(4, 2)
	for i := range replicas {
		replicas[i].Slots = 16
	}
	b.SetReplicas(epoch, replicas)
	for _, r := range replicas {
		for range 4 {
			b.Sent(epoch, r.ID, 1)
		}
		b.Report(epochPlus(1), r.ID, LoadReport{RunningRequests: 16})
	}
	return b
}

func TestFullReplicas(t *testing.T) {
	// Without pickWhenAllFull, a request waits in the queue of one engine while a
	// slot of another engine is idle. The idle slot was freed when another request
	// of this node ended. Round robin does not prefer that engine, and load
	// reports show the free slot only later.
	Convey("Given replicas that are all full", t, func() {
		b := fullBalancer()
		Convey("the next request goes where one of this node's requests ended, in any failure domain", func() {
			for _, id := range []string{"replica-2", "replica-3", "replica-1"} {
				b.Finished(epochPlus(1.01), id, Result{Cost: 1, Started: true})
				choice, ok := b.Pick(epochPlus(1.01), Query{Cost: 1})
				So(ok, ShouldBeTrue)
				So(choice.ReplicaID, ShouldEqual, id)
				b.Sent(epochPlus(1.01), id, 1)
			}
		})
		Convey("a cached prompt is not a reason to pick the most loaded replica", func() {
			choice, _ := b.Pick(epochPlus(1.01), Query{Prefix: 7, Cost: 1})
			owner := choice.ReplicaID
			for range 4 {
				b.Sent(epochPlus(1.01), owner, 1)
			}
			choice, _ = b.Pick(epochPlus(1.01), Query{Prefix: 7, Cost: 1})
			So(choice.ReplicaID, ShouldNotEqual, owner)
		})
		Convey("load of other nodes counts if it exceeds noise, and a refusal by a full replica counts at once", func() {
			b.Report(epochPlus(1.2), "replica-0", LoadReport{RunningRequests: 16, WaitingRequests: 30})
			b.Finished(epochPlus(1.2), "replica-0", Result{Cost: 1, Started: true})
			So(pickCounts(b, epochPlus(1.2), 100, Query{Cost: 1})["replica-0"], ShouldEqual, 0)
			b.Finished(epochPlus(1.2), "replica-1", Result{Cost: 1, Failure: health.Overloaded})
			So(pickCounts(b, epochPlus(1.2), 100, Query{Cost: 1})["replica-1"], ShouldEqual, 0)
			So(pickCounts(b, epochPlus(1.2), 1, Query{Cost: 1, Exclude: []string{"replica-0", "replica-2", "replica-3"}})["replica-1"], ShouldEqual, 1)
		})
	})
}
