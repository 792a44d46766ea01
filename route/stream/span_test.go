package stream

import (
	"math"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// Guards against streams that count as stalled at once, or never, and layers that are moved for a hop
// that takes less than no time, since the times in an engine's spans overflow.
func TestOddSpanTimes(t *testing.T) {
	spans := func(micros ...int64) (list []engineapi.Span) {
		for _, m := range micros {
			list = append(list, engineapi.Span{Endpoint: "e", Micros: m})
		}
		return list
	}
	for _, odd := range [][]int64{{math.MaxInt64, math.MaxInt64}, {math.MinInt64, -1}, {math.MaxInt64 / 1000, 1}, {18446744073709552, 5}} {
		if gap := gapOf(time.Millisecond, spans(odd...)); gap < time.Millisecond || gap > 2*time.Minute {
			t.Errorf("%v: a gap of %v", odd, gap)
		}
		var hops hopTimes
		for range 3 {
			hops.add(spans(odd...))
		}
		for _, hop := range hops.means() {
			if hop.MeanMicros < 0 || hop.MeanMicros > float64(maxSpanMicros) {
				t.Errorf("%v: a hop of %v us", odd, hop.MeanMicros)
			}
		}
	}
	if gap := gapOf(time.Millisecond, spans(2000, 3000)); gap != 5*time.Millisecond {
		t.Errorf("a gap of %v", gap)
	}
}
