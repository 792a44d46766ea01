package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The quietest endpoint is asked for its load. One that does not answer must not
// be asked over and over, a new one is asked first, and one that has gone never.
func TestOldestEndpointIsPolledFirst(t *testing.T) {
	Convey("The endpoint heard of longest ago comes first", t, func() {
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
		s.Touch("a", seconds(1)) // an answer that was overtaken
		s.Touch("stranger", seconds(0))
		So(first(), ShouldEqual, "b")
		s.Set([]string{"a", "c"})
		So(first(), ShouldEqual, "c")
		s.Touch("c", seconds(4))
		So(first(), ShouldEqual, "a")
	})
}

// An endpoint that leaves must be noticed within as many turns as there are
// endpoints, whatever else was heard. In a quiet hour questions alone tell of it,
// one each turn; answers make some of them needless; and after a burst of answers
// from all at once, the last endpoint must not have to wait for twice the time.
func TestDue(t *testing.T) {
	const interval = time.Second
	names := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		name    string
		answers func(turn int) []string
		polls   int
	}{
		{"nothing else is heard", func(int) []string { return nil }, 40},
		{"half of what must be heard is brought by answers", func(turn int) []string { return names[turn%4 : turn%4+1-turn%2] }, 20},
		{"a burst of all, then silence", func(turn int) []string {
			if turn > 0 {
				return nil
			}
			return names
		}, 39},
		{"answers of all each turn", func(int) []string { return names }, 0},
	} {
		Convey(c.name, t, func() {
			var s PollSchedule
			s.Set(names)
			now := epoch
			So(s.Due(now, interval), ShouldBeTrue) // of those never heard of
			for _, name := range names {
				now = now.Add(interval)
				s.Touch(name, now)
			}
			polls := 0
			for turn := range 40 {
				now = now.Add(interval)
				for _, name := range c.answers(turn) {
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
