package endpointrate

import (
	"fmt"
	"testing"
)

// BenchmarkSplit measures the work for one limited replica when the list of nodes changes.
func BenchmarkSplit(b *testing.B) {
	for _, count := range []int{9, 100, 2200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f := newTestFleet(fleetNodes(0, count), 4.2)
			l := f.limiters["n0"]
			for b.Loop() {
				l.split(start, replica)
			}
		})
	}
}
