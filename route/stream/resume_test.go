package stream

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// After a failure, the next chain must import the KV cache if the failed chain can still
// export it and an import is expected to be faster. A chain with a failed stage or a lost
// cache cannot export, so the next chain must recompute. The answer must be the same in
// each case.
func TestResumeByImport(t *testing.T) {
	cases := []struct {
		name     string
		fail     func(*fleet)
		imported bool
	}{
		{"stages healthy", func(f *fleet) { f.chains[0][0].CutConnections() }, true},
		{"a stage killed", func(f *fleet) { f.chains[0][1].Kill() }, false},
		{"a stage that lost its cache", func(f *fleet) {
			f.chains[0][0].CutConnections()
			f.waitIdle()
			f.chains[0][1].Engine.DropCache()
		}, false},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			f := newFleet(t, 2, fastEngine, Options{})
			defer f.stop()
			f.runner.costs.setAll(resumeByRecompute, time.Second)
			req := request(c.name)
			answer, summary, err := f.collect(context.Background(), req, func(position int) {
				if position == failAt {
					c.fail(f)
				}
			})
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, expectedAnswer(req))
			So(summary.Recoveries[0].Imported, ShouldEqual, c.imported)
			So(f.chains[1][1].Engine.Stats().Imported == 1, ShouldEqual, c.imported)
		})
	}
}

func TestPreferImport(t *testing.T) {
	second, half := cost{meanNanos: 1e9, known: true}, cost{meanNanos: 5e8, known: true}
	cases := []struct {
		name                string
		recompute, imported map[int]cost // measured times by number of context tokens
		tokens              int
		want                bool
	}{
		{"nothing measured", nil, nil, 1000, false},
		{"import not tried", map[int]cost{1000: second}, nil, 1000, true},
		{"import not tried, recompute taken from longer", map[int]cost{1000: second}, nil, 100, true},
		{"recompute short", map[int]cost{100: {meanNanos: 1e7, known: true}}, map[int]cost{100: {meanNanos: 1, known: true}}, 100, false},
		{"import quicker", map[int]cost{1000: second}, map[int]cost{1000: half}, 1000, true},
		{"import slower", map[int]cost{1000: half}, map[int]cost{1000: second}, 1000, false},
		{"scaled from shorter", map[int]cost{1000: half}, map[int]cost{8000: second}, 8000, true},
	}
	Convey("The method is chosen by the measurements", t, func() {
		for _, c := range cases {
			var costs resumeCosts
			for tokens, measured := range c.recompute {
				costs.buckets[resumeByRecompute][bucketOf(tokens)] = measured
			}
			for tokens, measured := range c.imported {
				costs.buckets[resumeByImport][bucketOf(tokens)] = measured
			}
			preferred, timeout := costs.preferImport(c.tokens)
			So(fmt.Sprint(c.name, preferred), ShouldEqual, fmt.Sprint(c.name, c.want))
			So(timeout, ShouldBeLessThanOrEqualTo, time.Second)
		}
	})
}
