package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The endpoint with the oldest contact is polled for its load. One that does not
// answer must not be polled repeatedly before the others, a new one is polled
// first, and a removed one is never polled.
func TestOldestEndpointIsPolledFirst(t *testing.T) {
	Convey("The endpoint with the oldest contact comes first", t, func() {
		var s PollSchedule
		first := func() string {
			e, _, _ := s.Oldest()
			return e
		}
		So(first(), ShouldEqual, "")
		s.Set([]string{"a", "b", "a"})
		s.Touch("a", seconds(1))
		So(first(), ShouldEqual, "b")
		s.Touch("b", seconds(2))
		So(first(), ShouldEqual, "a")
		s.Touch("a", seconds(3))
		s.Touch("a", seconds(1)) // an answer that arrives out of order
		s.Touch("unknown", seconds(0))
		So(first(), ShouldEqual, "b")
		s.Set([]string{"a", "c"})
		So(first(), ShouldEqual, "c")
		s.Touch("c", seconds(4))
		So(first(), ShouldEqual, "a")
	})
}

// A leaving endpoint must be noticed within one round, which is one interval per
// endpoint, whatever other contacts there were. Without other traffic only polls
// show it, one per interval. Answers make some polls unnecessary. After a burst of
// answers from all endpoints the last one must not wait for two rounds.
func TestDue(t *testing.T) {
	const interval = time.Second
	names := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		name    string
		answers func(tick int) []string
		polls   int
	}{
		{"no answers", func(int) []string { return nil }, 40},
		{"answers provide half of the necessary contacts", func(tick int) []string { return names[tick%4 : tick%4+1-tick%2] }, 20},
		{"a burst of answers from all endpoints, then none", func(tick int) []string {
			if tick > 0 {
				return nil
			}
			return names
		}, 39},
		{"answers from all endpoints in every interval", func(int) []string { return names }, 0},
	} {
		Convey(c.name, t, func() {
			var s PollSchedule
			s.Set(names)
			now := epoch
			So(s.Due(now, interval), ShouldBeTrue) // endpoints that were never contacted
			for _, name := range names {
				now = now.Add(interval)
				s.Touch(name, now)
			}
			polls := 0
			for tick := range 40 {
				now = now.Add(interval)
				for _, name := range c.answers(tick) {
					s.Touch(name, now)
				}
				first, lastContact, _ := s.Oldest()
				So(now.Sub(lastContact), ShouldBeLessThanOrEqualTo, time.Duration(len(names))*interval)
				if !s.Due(now, interval) {
					continue
				}
				s.Touch(first, now)
				polls++
			}
			So(polls, ShouldEqual, c.polls)
		})
	}
}

func BenchmarkPollSchedule(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		endpoints := make([]string, n)
		for i := range endpoints {
			endpoints[i] = fmt.Sprint("endpoint-", i)
		}
		b.Run(fmt.Sprint("list ", n), func(b *testing.B) {
			var s PollSchedule
			s.Set(endpoints)
			now := epoch
			for b.Loop() {
				now = now.Add(time.Millisecond)
				e, _, _ := s.Oldest()
				s.Touch(e, now)
			}
		})
		b.Run(fmt.Sprint("scan ", n), func(b *testing.B) {
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
