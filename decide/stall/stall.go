// Package stall decides when a silent stream indicates that a replica on its path is lost.
//
// # Load pattern
//
// Dozens of streams of a node run through the same replicas, each with an event every few
// tens of milliseconds. When one of the replicas dies without closing its connections, all
// of these streams go silent within the time of one event.
//
// # Failure without it
//
// Assume one timeout for all streams, half of the longest pause that is on time. Then half
// of that pause has passed before the path is checked, and most streams are rerouted too
// late. With a shorter timeout for all streams, paths are checked unnecessarily whenever
// replicas prefill long prompts.
//
// # Rules
//
//   - The timeout of a stream depends on its own gaps between events, their mean and their
//     variation. When replicas are busy both grow, and so does the timeout. The measure is
//     how unlikely a silence is under that distribution (an accrual failure detector): gaps
//     during a prefill are rare and long, and do not indicate a loss.
//   - A check that finds no loss raises the timeout. Otherwise all streams of a busy fleet
//     would check their paths again and again.
//   - An unusually long silence triggers a check of the path, at the latest after half of
//     the longest pause that is on time, so that the result arrives in time to reroute. A
//     stream that has paused for longer than that before is late in any case. For it only
//     its own gaps count, up to twice the longest pause that is on time.
//
// That several streams are silent at once is not considered. Of the streams through a lost
// replica, the one whose event was due first checks the path, and all are notified of the
// result.
package stall

import (
	"math"
	"time"
)

const (
	// meanWeight is the weight of a new gap in the mean, varianceWeight that of its
	// squared deviation in the variance.
	meanWeight     = 1.0 / 8
	varianceWeight = 1.0 / 4
	// timeoutDeviations is the number of standard deviations by which the timeout exceeds
	// the mean gap. Of normally distributed gaps, one in a hundred million is longer.
	timeoutDeviations = 5.6
	// minTimeout is the shortest silence after which a path is checked. minGaps is the
	// number of gaps after which the mean and deviation of a stream are used.
	minTimeout = 45 * time.Millisecond
	minGaps    = 4
	// The timeout is at most the longest pause that is on time divided by
	// maxPauseDivisor. For a stream that has exceeded that pause before, it is at most
	// slowStreamFactor times the pause.
	maxPauseDivisor  = 2
	slowStreamFactor = 2
)

// Detector estimates the distribution of a stream's gaps between events. The zero value
// is ready to use. It is not safe for concurrent use.
type Detector struct {
	gapCount     int
	mean, stdDev float64 // nanoseconds; dev is the standard deviation
	longestGap   time.Duration
}

// ObserveGap records the gap before an event.
func (d *Detector) ObserveGap(gap time.Duration) {
	d.gapCount++
	d.longestGap = max(d.longestGap, gap)
	value := float64(gap)
	if d.gapCount == 1 {
		d.mean, d.stdDev = value, value/2
		return
	}
	difference := value - d.mean
	variance := d.stdDev * d.stdDev
	d.stdDev = math.Sqrt(variance + varianceWeight*(difference*difference-variance))
	d.mean += meanWeight * difference
}

// FalseAlarm records that a path was checked after a silence and no loss was found. It
// raises the timeout until the stream's gaps are usual again.
func (d *Detector) FalseAlarm(silent time.Duration) {
	d.stdDev = max(d.stdDev, (float64(silent)*falseAlarmFactor-d.mean)/timeoutDeviations)
}

// falseAlarmFactor times the silence of a false alarm is the next timeout.
const falseAlarmFactor = 1.5

// Timeout returns the silence after which the path of the stream is checked. maxPause is
// the longest pause that is on time.
func (d *Detector) Timeout(maxPause time.Duration) time.Duration {
	maxTimeout := maxPause / maxPauseDivisor
	if d.longestGap > maxPause {
		maxTimeout = maxPause * slowStreamFactor
	}
	if d.gapCount < minGaps {
		return maxTimeout
	}
	return min(maxTimeout, max(minTimeout, time.Duration(d.mean+timeoutDeviations*d.stdDev)))
}

// RecheckAfter returns the time from a check without a finding to the next check during
// the same silence. The next check is due when the silence has doubled or exceeds
// maxPause. More checks would find little, because replicas rarely die after the silence
// has begun, and all streams of a fleet with slow replicas would make them.
func RecheckAfter(silent, maxPause time.Duration) time.Duration {
	return max(minTimeout/2, min(silent, maxPause-silent))
}
