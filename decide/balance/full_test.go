package balance

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/cicadatack/cicadatack/decide/health"
)

// fullBalancer has four replicas of 16 slots that are full by their reports,
// each with four requests of the node's own.
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
		b.Report(seconds(1), r.ID, Load{Running: 16})
	}
	return b
}

func TestFullReplicas(t *testing.T) {
	// A caller whose request starts waits in an engine's queue, while the slot
	// that an answer of its node has just left stands idle: in turn the request
	// goes elsewhere, and reports tell of the slot only later.
	Convey("Given replicas that are all full", t, func() {
		b := fullBalancer()
		Convey("the next request takes the place of the own one that ended, whatever its failure domain", func() {
			for _, id := range []string{"replica-2", "replica-3", "replica-1"} {
				b.Finished(seconds(1.01), id, Result{Cost: 1, Started: true})
				choice, ok := b.Pick(seconds(1.01), Query{Cost: 1})
				So(ok, ShouldBeTrue)
				So(choice.Replica, ShouldEqual, id)
				b.Sent(seconds(1.01), id, 1)
			}
		})
		Convey("a cached prompt does not make the fullest the first", func() {
			choice, _ := b.Pick(seconds(1.01), Query{Prefix: 7, Cost: 1})
			home := choice.Replica
			for range 4 {
				b.Sent(seconds(1.01), home, 1)
			}
			choice, _ = b.Pick(seconds(1.01), Query{Prefix: 7, Cost: 1})
			So(choice.Replica, ShouldNotEqual, home)
		})
		Convey("the load of other nodes counts beyond noise, and a refusal for want of room at once", func() {
			b.Report(seconds(1.2), "replica-0", Load{Running: 16, Waiting: 30})
			b.Finished(seconds(1.2), "replica-0", Result{Cost: 1, Started: true})
			So(pickCounts(b, seconds(1.2), 100, Query{Cost: 1})["replica-0"], ShouldEqual, 0)
			b.Finished(seconds(1.2), "replica-1", Result{Cost: 1, Failure: health.Overloaded})
			So(pickCounts(b, seconds(1.2), 100, Query{Cost: 1})["replica-1"], ShouldEqual, 0)
			So(pickCounts(b, seconds(1.2), 1, Query{Cost: 1, Exclude: []string{"replica-0", "replica-2", "replica-3"}})["replica-1"], ShouldEqual, 1)
		})
	})
}
