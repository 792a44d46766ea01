package service

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// An engine that is about to be asked for its load is asked for its cache events
// as well, in one call. Only the first stage of a chain has events that count, and
// one that was asked lately must not take the turn of one that was not.
func TestEventsGoWithTheLoad(t *testing.T) {
	const pause = time.Second
	Convey("Two chains of two stages", t, func() {
		now := time.Unix(1_000, 0)
		r := NewRegistry(Config{Node: "entry-1", FailureDomain: "bandung", Now: func() time.Time { return now }})
		r.Apply(twoChains("x", "y"))
		s := r.Get("pastry-llm")

		due, ok := s.EventsWith("xa", pause)
		So(ok, ShouldBeTrue)
		So(due.Replica, ShouldEqual, "x")
		So(due.Endpoint, ShouldEqual, "xa")
		_, ok = s.EventsWith("xb", pause)
		So(ok, ShouldBeFalse)

		s.EventsAsked("x")
		_, ok = s.EventsWith("xa", pause)
		So(ok, ShouldBeFalse)
		due, must := s.EventsDue(pause)
		So(must, ShouldBeTrue)
		So(due.Replica, ShouldEqual, "y")
		s.EventsAsked("y")
		_, must = s.EventsDue(pause)
		So(must, ShouldBeFalse)

		now = now.Add(pause) // half a round of two turns
		_, ok = s.EventsWith("xa", pause)
		So(ok, ShouldBeTrue)
	})
}
