// Package stall decides when the silence of a stream indicates that a replica on the
// stream's path is lost.
//
// # Load pattern
//
// Dozens of streams of a node run through the same replicas, each with an event every few
// tens of milliseconds. When one of the replicas dies without closing its connections, all
// of these streams become silent: their next events do not arrive.
//
// # Failure without this package
//
// Let maxPause be the longest pause between two events with which a stream still counts as
// on time. If the timeout of all streams is half of maxPause, half of the pause has passed
// before the path is checked, and most streams are rerouted too late. With a shorter
// timeout for all streams, paths are checked unnecessarily whenever replicas prefill long
// prompts.
//
// # Rules
//
//   - The timeout of a stream depends on the mean and the variation of the stream's own
//     gaps between events. When replicas are busy, both grow, and so does the timeout. A
//     silence exceeds the timeout if a gap of this length is very unlikely under that
//     distribution (an accrual failure detector). Gaps during a prefill are rare and long,
//     and do not indicate a loss.
//   - A check that finds no loss raises the timeout. Otherwise all streams of a busy fleet
//     would check their paths again and again.
//   - A silence that exceeds the timeout triggers a check of the path. The timeout is at
//     most half of maxPause, so that the result of the check arrives in time to reroute. A
//     stream that has already had a gap longer than maxPause is late in any case. Its
//     timeout depends on its own gaps only, up to twice maxPause.
//
// A stream without an event has no gaps. Under load its prompt waits for prefill, so it is checked
// no sooner than twice the mean time to the first event of recent streams (FirstEvents). Streams
// whose callers leave before the first event count with the time that they waited: otherwise the
// mean would hold only the fast ones.
//
// The number of streams that are silent at the same time is not considered. Of all streams
// through a lost replica, the one whose event was due first checks the path, and all of
// them are notified of the result.
package stall

import (
	"math"
	"time"
)

const (
	// meanGain is the weight of a new gap in the moving mean of the gaps. varianceGain is
	// the weight of the gap's squared deviation in the moving variance.
	meanGain     = 1.0 / 8
	varianceGain = 1.0 / 4
	// timeoutDeviations is the number of standard deviations by which the timeout exceeds
	// the mean gap. If gaps are normally distributed, one in a hundred million is longer
	// than that.
	timeoutDeviations = 5.6
	// minTimeout is the shortest silence after which a path is checked. minGaps is the
	// number of gaps after which the mean and the standard deviation of a stream are
	// used.
	minTimeout = 45 * time.Millisecond
	minGaps    = 4
	// The timeout is at most maxPause divided by maxPauseDivisor. For a stream that has
	// already paused for longer than maxPause, the timeout is at most slowStreamFactor
	// times maxPause.
	maxPauseDivisor  = 2
	slowStreamFactor = 2
)

// Detector estimates the distribution of a stream's gaps between events. The zero value
// is ready to use. It is not safe for concurrent use.
type Detector struct {
	gapCount     int
	mean, stdDev float64 // of the gaps, nanoseconds; stdDev is the standard deviation
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
	d.stdDev = math.Sqrt(variance + varianceGain*(difference*difference-variance))
	d.mean += meanGain * difference
}

// FalseAlarm records that the path was checked after a silence and no loss was found.
// FalseAlarm raises the timeout. When the stream's gaps are regular again, the timeout
// falls to its previous value.
func (d *Detector) FalseAlarm(silence time.Duration) {
	d.stdDev = max(d.stdDev, (float64(silence)*falseAlarmFactor-d.mean)/timeoutDeviations)
}

// falseAlarmFactor sets the timeout after a check that found no loss. The timeout is then
// at least falseAlarmFactor times the silence that triggered the check, but never above
// the maximum that Timeout allows.
const falseAlarmFactor = 1.5

// Timeout returns the silence after which the path of the stream is checked. maxPause is
// the longest pause between two events with which the stream is still on time.
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

// RecheckAfter returns the time from a check that found no loss to the next check during
// the same silence. The next check is due when the silence has doubled, or when it
// exceeds maxPause if that is earlier. More frequent checks would find little, because
// replicas rarely die after the silence has begun. In a fleet with slow replicas, all
// streams would make these checks.
func RecheckAfter(silence, maxPause time.Duration) time.Duration {
	return max(minTimeout/2, min(silence, maxPause-silence))
}
