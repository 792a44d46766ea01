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

func BenchmarkQuiet(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		endpoints := make([]string, n)
		for i := range endpoints {
			endpoints[i] = fmt.Sprint("endpoint-", i)
		}
		b.Run(fmt.Sprint("heap ", n), func(b *testing.B) {
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
