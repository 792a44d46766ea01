package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of the measured rates. It spans several responses of a
// model service, but a slow period is forgotten within half a minute.
const rateWindow = 10 * time.Second

// minRateWindow is the shortest time over which a rate is calculated. With a shorter time,
// the first request of a team would look like a high rate.
const minRateWindow = 2 * time.Second

// decayingSum is a sum that decays exponentially with rateWindow.
type decayingSum struct {
	sum        float64
	updatedAt  time.Time // time of the last add
	firstAddAt time.Time // time of the first add since the sum was negligible
}

// negligibleSum is the value to which one token decays in slightly more than 20 windows.
const negligibleSum = 1e-9

func (d *decayingSum) add(now time.Time, x float64) {
	d.sum = d.valueAt(now)
	if d.sum < negligibleSum {
		d.firstAddAt = now
	}
	d.sum += x
	d.updatedAt = now
}

func (d *decayingSum) valueAt(now time.Time) float64 {
	age := now.Sub(d.updatedAt)
	if d.sum == 0 || age <= 0 {
		return d.sum
	}
	return d.sum * decay(age)
}

// perSecond returns the sum as a rate per second. It corrects for a sum that is younger than
// rateWindow. Without this correction the demand would look low in the first ten seconds
// of a rush, and too many requests would be admitted.
func (d *decayingSum) perSecond(now time.Time) float64 {
	age := max(now.Sub(d.firstAddAt), minRateWindow)
	return d.valueAt(now) / (rateWindow.Seconds() * (1 - decay(age)))
}

// decay returns the factor by which a sum decays in the given time.
func decay(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / rateWindow.Seconds())
}

// rateMeter measures the rate of a slot, in expected tokens per second of slot time. It uses
// expected tokens because only the expected cost of the waiting requests is known.
//
// The tokens per second of the whole service would fall whenever callers send less, and the
// queue would then refuse the first requests of a rush. The rate of a slot does not depend
// on the load. Multiplied by the number of slots, it reflects a loss of capacity at once.
type rateMeter struct {
	assumedRate float64 // used until a rate is measured

	finishedTokens      float64   // expected tokens of finished requests, decayed
	finishedSlotSeconds float64   // slot time of finished requests, decayed
	measuredAt          time.Time // when a request last finished

	runningCount         int     // number of running requests
	runningTokens        float64 // expected tokens of the running requests
	startOffsetSumMicros int64   // sum of the start times of the running requests, after startBase
	startOffsetBase      time.Time
}

const (
	// maxElapsedRatio limits the total time that the running requests have taken so far, as a
	// multiple of their total expected duration. Above the limit the service is slow. In
	// normal operation the ratio is 0.5 on average, or 1 if the costs vary like an
	// exponential distribution.
	maxElapsedRatio = 1.5
	// elapsedRatioMargin, divided by the square root of the number of running requests, is added to
	// slowFactor to allow for random variation.
	elapsedRatioMargin = 4
	// stalledElapsedOverMax is the multiple of this limit above which the service is stalled.
	stalledElapsedOverMax = 2
)

func (m *rateMeter) addRunning(now time.Time, cost float64) {
	if m.startOffsetBase.IsZero() {
		m.startOffsetBase = now
	}
	m.runningCount++
	m.runningTokens += cost
	m.startOffsetSumMicros += now.Sub(m.startOffsetBase).Microseconds()
}

// removeRunning removes a running request. It does not change the measured rate.
func (m *rateMeter) removeRunning(startedAt time.Time, cost float64) {
	m.runningCount--
	m.runningTokens -= cost
	m.startOffsetSumMicros -= startedAt.Sub(m.startOffsetBase).Microseconds()
	if m.runningCount == 0 {
		m.runningTokens = 0
	}
}

// recordFinished adds a finished request to the measured rate.
func (m *rateMeter) recordFinished(now time.Time, cost float64, duration time.Duration) {
	factor := decay(max(now.Sub(m.measuredAt), 0))
	m.measuredAt = now
	m.finishedTokens = m.finishedTokens*factor + cost
	m.finishedSlotSeconds = m.finishedSlotSeconds*factor + duration.Seconds()
}

// measuredRate returns the rate of a slot, measured from finished requests, or zero if no
// request has finished.
func (m *rateMeter) measuredRate() float64 {
	if m.finishedSlotSeconds <= 0 {
		return 0
	}
	return m.finishedTokens / m.finishedSlotSeconds
}

// slotRate returns the current tokens per second of one slot, or zero if unknown.
//
// Finished requests do not show that the service has slowed down since, and requests would
// still be admitted at the old rate. Therefore the time that the running requests have
// already taken lowers the rate. While these requests take about as long as expected, it
// has no effect.
func (m *rateMeter) slotRate(now time.Time) float64 {
	rate := m.measuredRate()
	if rate == 0 {
		rate = m.assumedRate
	}
	return rate / max(m.elapsedOverMax(now, rate), 1)
}

// stalled reports whether the service has practically stopped finishing requests. It uses
// the measured rate only, because an assumed rate may be wrong.
func (m *rateMeter) stalled(now time.Time) bool {
	return m.elapsedOverMax(now, m.measuredRate()) > stalledElapsedOverMax
}

// elapsedOverMax returns the total time that the running requests have taken so far, divided by
// the largest total time that is normal at the given rate.
func (m *rateMeter) elapsedOverMax(now time.Time, rate float64) float64 {
	if m.runningCount == 0 || rate == 0 {
		return 0
	}
	elapsedMicros := int64(m.runningCount)*now.Sub(m.startOffsetBase).Microseconds() - m.startOffsetSumMicros
	maxRatio := maxElapsedRatio + elapsedRatioMargin/math.Sqrt(float64(m.runningCount))
	return float64(elapsedMicros) / 1e6 / (maxRatio * m.runningTokens / rate)
}
