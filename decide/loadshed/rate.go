package loadshed

import (
	"math"
	"time"
)

const (
	// rateBuckets of rateBucket each make the longest window of a rate.
	rateBuckets = 10
	rateBucket  = 100 * time.Millisecond
	// minRateBuckets is the shortest window, used right after the start. In a shorter one a
	// single event would count as a high rate.
	minRateBuckets = 3
)

// rate counts events in a sliding window of up to a second. Times are durations since the start of
// the Controller: wall-clock time may jump. The zero value is ready to use.
type rate struct {
	counts [rateBuckets + 1]uint32 // the newest one is not complete
	bucket int64                   // index of the newest bucket; buckets before it are complete
}

func (r *rate) advance(at time.Duration) {
	bucket := int64(at / rateBucket)
	if bucket-r.bucket > rateBuckets {
		*r = rate{bucket: bucket}
		return
	}
	for ; r.bucket < bucket; r.bucket++ {
		r.counts[(r.bucket+1)%int64(len(r.counts))] = 0
	}
}

func (r *rate) add(at time.Duration) {
	r.advance(at)
	r.counts[r.bucket%int64(len(r.counts))]++
}

// perSecond returns the events per second in the last buckets that are complete. Shortly after
// the start the window is the time since then.
func (r *rate) perSecond(at time.Duration, buckets int64) float64 {
	r.advance(at)
	window := max(min(r.bucket, buckets), minRateBuckets)
	sum := r.sum(r.bucket-window, r.bucket)
	if r.bucket < minRateBuckets {
		sum += float64(r.counts[r.bucket])
	}
	return sum / (float64(window) * rateBucket.Seconds())
}

// growth returns the factor by which the events in a window exceed those in a window that ended some
// buckets earlier; at least 1. The newer count is reduced, and the older one raised, by two standard
// deviations of a Poisson count, which chance explains.
func (r *rate) growth(at time.Duration, buckets, earlier int64) float64 {
	r.advance(at)
	now, then := r.sum(r.bucket-buckets, r.bucket), r.sum(r.bucket-earlier-buckets, r.bucket-earlier)
	return max(1, (now-2*math.Sqrt(now))/(then+2*math.Sqrt(then)+1))
}

// sum returns the events of the buckets from one index to before another.
func (r *rate) sum(from, to int64) float64 {
	sum := uint32(0)
	for b := max(0, from); b < to; b++ {
		sum += r.counts[b%int64(len(r.counts))]
	}
	return float64(sum)
}
