package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The quietest endpoint is asked for its load. One that does not answer must not
// be asked over and over, a new one is asked first, and one that has gone never.
func TestQuietest(t *testing.T) {
	Convey("The endpoint heard of longest ago comes first", t, func() {
		var q Quiet
		first := func() string {
			e, _, _ := q.First()
			return e
		}
		So(first(), ShouldEqual, "")
		q.Set([]string{"a", "b", "a"})
		q.Heard("a", seconds(1))
		So(first(), ShouldEqual, "b")
		q.Heard("b", seconds(2))
		So(first(), ShouldEqual, "a")
		q.Heard("a", seconds(3))
		q.Heard("a", seconds(1)) // an answer that was overtaken
		q.Heard("stranger", seconds(0))
		So(first(), ShouldEqual, "b")
		q.Set([]string{"a", "c"})
		So(first(), ShouldEqual, "c")
		q.Heard("c", seconds(4))
		So(first(), ShouldEqual, "a")
	})
}

// An endpoint that leaves must be noticed within as many turns as there are
// endpoints, whatever else was heard. In a quiet hour questions alone tell of it,
// one each turn; answers make some of them needless; and after a burst of answers
// from all at once, the last endpoint must not have to wait for twice the time.
func TestDue(t *testing.T) {
	const pause = time.Second
	names := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		name    string
		answers func(turn int) []string
		asked   int
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
			var q Quiet
			q.Set(names)
			now := epoch
			So(q.Due(now, pause), ShouldBeTrue) // of those never heard of
			for _, name := range names {
				now = now.Add(pause)
				q.Heard(name, now)
			}
			asked := 0
			for turn := range 40 {
				now = now.Add(pause)
				for _, name := range c.answers(turn) {
					q.Heard(name, now)
				}
				first, heard, _ := q.First()
				So(now.Sub(heard), ShouldBeLessThanOrEqualTo, time.Duration(len(names))*pause)
				if !q.Due(now, pause) {
					continue
				}
				q.Heard(first, now)
				asked++
			}
			So(asked, ShouldEqual, c.asked)
		})
	}
}

func BenchmarkQuiet(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		endpoints := make([]string, n)
		for i := range endpoints {
			endpoints[i] = fmt.Sprint("endpoint-", i)
		}
		b.Run(fmt.Sprint("list ", n), func(b *testing.B) {
			var q Quiet
			q.Set(endpoints)
			now := epoch
			for b.Loop() {
				now = now.Add(time.Millisecond)
				e, _, _ := q.First()
				q.Heard(e, now)
			}
		})
		b.Run(fmt.Sprint("scan ", n), func(b *testing.B) {
			heard := map[string]time.Time{}
			now := epoch
			for b.Loop() {
				now = now.Add(time.Millisecond)
				quietest := endpoints[0]
				for _, e := range endpoints {
					if heard[e].Before(heard[quietest]) {
						quietest = e
					}
				}
				heard[quietest] = now
			}
		})
	}
}
