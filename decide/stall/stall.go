// Package stall decides when a stream that has gone silent is a sign that a part of
// its path is lost.
//
// # Load pattern
//
// Dozens of streams of a node run through the same replicas, each with an event every
// some ten milliseconds. One of the replicas dies without a word, and all of them go
// silent within the time of one event.
//
// # Without it
//
// With one bound for all streams, half of the pause that is on time, the pause is half
// over when the path is looked at, and the way around comes too late for most. A shorter
// bound for all has paths looked at in vain whenever replicas read long prompts.
//
// # Rules
//
//   - Each stream's own pace is the measure: its usual gap between two events and how
//     much that varies. When replicas are busy both grow, and with them the patience.
//     What counts is how unlikely a silence is under that spread (an accrual detector):
//     gaps in which a prompt is read are few and long, and no sign of a loss.
//   - A look that finds nothing teaches patience: a fleet that is busy must not be asked
//     by all its streams again and again.
//   - A silence that is unusual has the path looked at, at the latest after half of the
//     pause that is on time, so that what is found out can still help. A stream that has
//     paused for longer than that before is late whatever is done: its own pace alone
//     says what is unusual, up to twice the pause that is on time.
//
// That several streams are silent at once adds nothing: of those that run through a lost
// part the one whose event was due first asks, and all are told what it finds.
package stall

import (
	"math"
	"time"
)

const (
	// weight of a new gap in the mean, and of the square of its distance from it in the
	// variance.
	meanWeight     = 1.0 / 8
	varianceWeight = 1.0 / 4
	// timeoutDeviations is by how many standard deviations an unusual gap is over the mean: of
	// gaps that are spread normally one in a hundred million is.
	timeoutDeviations = 5.6
	// minTimeout is the shortest silence that is looked at, and settled the number of gaps
	// after which a stream's pace is known.
	minTimeout = 45 * time.Millisecond
	minGaps    = 4
	// maxPauseDivisor: no silence of more than this part of the pause that is on time is
	// taken for usual; of a stream that is late no silence of more than lateTimes it.
	maxPauseDivisor  = 2
	slowStreamFactor = 2
)

// Detector is how a stream's events come. The zero value knows nothing yet. It is not safe
// for concurrent use.
type Detector struct {
	gapCount   int
	mean, dev  float64 // nanoseconds; dev is the standard deviation
	longestGap time.Duration
}

// ObserveGap notes the gap before an event.
func (p *Detector) ObserveGap(gap time.Duration) {
	p.gapCount++
	p.longestGap = max(p.longestGap, gap)
	value := float64(gap)
	if p.gapCount == 1 {
		p.mean, p.dev = value, value/2
		return
	}
	deviation := value - p.mean
	variance := p.dev * p.dev
	p.dev = math.Sqrt(variance + varianceWeight*(deviation*deviation-variance))
	p.mean += meanWeight * deviation
}

// FalseAlarm notes that a path was looked at and nothing was lost: the stream is as slow as
// that now, and is looked at later until its gaps are usual again.
func (p *Detector) FalseAlarm(silent time.Duration) {
	p.dev = max(p.dev, (float64(silent)*falseAlarmFactor-p.mean)/timeoutDeviations)
}

// falseAlarmFactor times the silence that was looked at in vain is what is looked at next.
const falseAlarmFactor = 1.5

// Timeout is the silence after which the path of a stream is looked at whose pauses are
// on time up to a limit.
func (p *Detector) Timeout(maxPause time.Duration) time.Duration {
	maxTimeout := maxPause / maxPauseDivisor
	if p.longestGap > maxPause {
		maxTimeout = maxPause * slowStreamFactor
	}
	if p.gapCount < minGaps {
		return maxTimeout
	}
	return min(maxTimeout, max(minTimeout, time.Duration(p.mean+timeoutDeviations*p.dev)))
}

// RecheckAfter is how long after a look in vain the path of a stream is looked at again that has
// been silent for a while: when that has doubled, or the pause is late. What ended its
// parts after the silence began is rare, and a fleet whose replicas are slow would be
// looked at by all its streams again and again.
func RecheckAfter(silent, maxPause time.Duration) time.Duration {
	return max(minTimeout/2, min(silent, maxPause-silent))
}
