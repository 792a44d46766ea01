package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// If an endpoint that does not answer is polled repeatedly, the other endpoints are
// not polled. A contact is a load report that an endpoint made, or a poll that is sent
// to the endpoint. The endpoint with the oldest contact must be polled first. A new
// endpoint must be polled before all others, and a removed endpoint never.
func TestOldestEndpointIsPolledFirst(t *testing.T) {
	Convey("The endpoint with the oldest contact comes first", t, func() {
		var s PollSchedule
		oldest := func() string {
			e, _, _ := s.Oldest()
			return e
		}
		So(oldest(), ShouldEqual, "")
		s.SetEndpoints([]string{"a", "b", "a"})
		s.Touch("a", epochPlus(1))
		So(oldest(), ShouldEqual, "b")
		s.Touch("b", epochPlus(2))
		So(oldest(), ShouldEqual, "a")
		s.Touch("a", epochPlus(3))
		s.Touch("a", epochPlus(1)) // an answer that arrives out of order
		s.Touch("unknown", epochPlus(0))
		So(oldest(), ShouldEqual, "b")
		s.SetEndpoints([]string{"a", "c"})
		So(oldest(), ShouldEqual, "c")
		s.Touch("c", epochPlus(4))
		So(oldest(), ShouldEqual, "a")
	})
}

// If an endpoint has no contact for more than a round, nodes send requests to that
// endpoint although it is already shutting down. Without other traffic, only polls
// show that an endpoint is leaving, and there is at most one poll per interval. A
// round is the interval times the number of endpoints. Answers to requests make
// some polls unnecessary. After a burst of answers from all endpoints, no endpoint
// may wait two rounds for its next contact.
func TestDue(t *testing.T) {
	const interval = time.Second
	endpoints := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		name          string
		answeringAt   func(tick int) []string
		expectedPolls int
	}{
		{"no answers", func(int) []string { return nil }, 40},
		{"answers provide half of the necessary contacts", func(tick int) []string { return endpoints[tick%4 : tick%4+1-tick%2] }, 20},
		{"a burst of answers from all endpoints, then none", func(tick int) []string {
			if tick > 0 {
				return nil
			}
			return endpoints
		}, 39},
		{"answers from all endpoints in every interval", func(int) []string { return endpoints }, 0},
	} {
		Convey(c.name, t, func() {
			var s PollSchedule
			s.SetEndpoints(endpoints)
			now := epoch
			So(s.Due(now, interval), ShouldBeTrue) // the endpoints were never contacted
			for _, name := range endpoints {
				now = now.Add(interval)
				s.Touch(name, now)
			}
			polls := 0
			for tick := range 40 {
				now = now.Add(interval)
				for _, name := range c.answeringAt(tick) {
					s.Touch(name, now)
				}
				oldest, lastContact, _ := s.Oldest()
				So(now.Sub(lastContact), ShouldBeLessThanOrEqualTo, time.Duration(len(endpoints))*interval)
				if !s.Due(now, interval) {
					continue
				}
				s.Touch(oldest, now)
				polls++
			}
			So(polls, ShouldEqual, c.expectedPolls)
		})
	}
}

func BenchmarkPollSchedule(b *testing.B) {
	for _, endpointCount := range []int{10, 100, 1000, 10000} {
		endpoints := make([]string, endpointCount)
		for i := range endpoints {
			endpoints[i] = fmt.Sprint("endpoint-", i)
		}
		b.Run(fmt.Sprint("list ", endpointCount), func(b *testing.B) {
			var s PollSchedule
			s.SetEndpoints(endpoints)
			now := epoch
			for b.Loop() {
				now = now.Add(time.Millisecond)
				e, _, _ := s.Oldest()
				s.Touch(e, now)
			}
		})
		b.Run(fmt.Sprint("scan ", endpointCount), func(b *testing.B) {
			lastContact := map[string]time.Time{}
			now := epoch
			for b.Loop() {
				now = now.Add(time.Millisecond)
				oldest := endpoints[0]
				for _, e := range endpoints {
					if lastContact[e].Before(lastContact[oldest]) {
						oldest = e
					}
				}
				lastContact[oldest] = now
			}
		})
	}
}
