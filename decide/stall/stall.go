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
	meanWeight = 1.0 / 8
	devWeight  = 1.0 / 4
	// unusualDevs is by how many standard deviations an unusual gap is over the mean: of
	// gaps that are spread normally one in a hundred million is.
	unusualDevs = 5.6
	// least is the shortest silence that is looked at, and settled the number of gaps
	// after which a stream's pace is known.
	least   = 45 * time.Millisecond
	settled = 4
	// limitParts: no silence of more than this part of the pause that is on time is
	// taken for usual; of a stream that is late no silence of more than lateTimes it.
	limitParts = 2
	lateTimes  = 2
)

// Pace is how a stream's events come. The zero value knows nothing yet. It is not safe
// for concurrent use.
type Pace struct {
	gaps      int
	mean, dev float64 // nanoseconds; dev is the standard deviation
	longest   time.Duration
}

// Heard notes the gap before an event.
func (p *Pace) Heard(gap time.Duration) {
	p.gaps++
	p.longest = max(p.longest, gap)
	g := float64(gap)
	if p.gaps == 1 {
		p.mean, p.dev = g, g/2
		return
	}
	off := g - p.mean
	variance := p.dev * p.dev
	p.dev = math.Sqrt(variance + devWeight*(off*off-variance))
	p.mean += meanWeight * off
}

// Vain notes that a path was looked at and nothing was lost: the stream is as slow as
// that now, and is looked at later until its gaps are usual again.
func (p *Pace) Vain(silent time.Duration) {
	p.dev = max(p.dev, (float64(silent)*vainFactor-p.mean)/unusualDevs)
}

// vainFactor times the silence that was looked at in vain is what is looked at next.
const vainFactor = 1.5

// Patience is the silence after which the path of a stream is looked at whose pauses are
// on time up to a limit.
func (p *Pace) Patience(limit time.Duration) time.Duration {
	most := limit / limitParts
	if p.longest > limit {
		most = limit * lateTimes
	}
	if p.gaps < settled {
		return most
	}
	return min(most, max(least, time.Duration(p.mean+unusualDevs*p.dev)))
}

// Again is how long after a look in vain the path of a stream is looked at again that has
// been silent for a while: when that has doubled, or the pause is late. What ended its
// parts after the silence began is rare, and a fleet whose replicas are slow would be
// looked at by all its streams again and again.
func Again(silent, limit time.Duration) time.Duration {
	return max(least/2, min(silent, limit-silent))
}
