package service

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// If load and cache events were not polled in one call, a node would send twice as many
// polls. Only the first stage of a chain is polled for events. A replica that was polled
// recently must not be polled before a replica that was not.
func TestCacheEventsArePolledWithLoad(t *testing.T) {
	const interval = time.Second
	Convey("Two chains of two stages", t, func() {
		now := time.Unix(1_000, 0)
		r := NewRegistry(Config{Node: "entry-1", FailureDomain: "bandung", Now: func() time.Time { return now }})
		r.Apply(documentWithChains("x", "y"))
		s := r.Get("pastry-llm")

		nextPoll, ok := s.EventsPollFor("xa", interval)
		So(ok, ShouldBeTrue)
		So(nextPoll.Replica, ShouldEqual, "x")
		So(nextPoll.Endpoint, ShouldEqual, "xa")
		_, ok = s.EventsPollFor("xb", interval)
		So(ok, ShouldBeFalse)

		s.MarkEventsPolled("x")
		_, ok = s.EventsPollFor("xa", interval)
		So(ok, ShouldBeFalse)
		nextPoll, mustPoll := s.NextEventsPoll(interval)
		So(mustPoll, ShouldBeTrue)
		So(nextPoll.Replica, ShouldEqual, "y")
		s.MarkEventsPolled("y")
		_, mustPoll = s.NextEventsPoll(interval)
		So(mustPoll, ShouldBeFalse)

		now = now.Add(interval) // half a round, which has two poll opportunities
		_, ok = s.EventsPollFor("xa", interval)
		So(ok, ShouldBeTrue)
	})
}
