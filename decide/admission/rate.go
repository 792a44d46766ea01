package admission

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant with which older values decay in the measured slot
// rate and in the measured demands. It spans several responses of a model service. The
// effect of a slow period ends within half a minute.
const rateTimeConstant = 10 * time.Second

// minDemandWindow is the shortest time over which a demand is calculated. Over a shorter
// time, the first request of a team would result in a very high demand.
const minDemandWindow = 2 * time.Second

// decayingSum is a sum of added values, usually costs in tokens, that decays exponentially
// with the time constant rateTimeConstant.
type decayingSum struct {
	decayedSum float64
	updatedAt  time.Time // when a value was last added; decayedSum is the sum at this time
	firstAddAt time.Time // when the first value was added after the sum had fallen below negligibleSum
}

// negligibleSum is the sum, in tokens, below which a decayingSum restarts: the next
// added value counts as the first one, and perSecond averages over the time since that
// value. A sum of one token decays to negligibleSum in slightly more than 20 times
// rateTimeConstant.
const negligibleSum = 1e-9

func (d *decayingSum) add(now time.Time, x float64) {
	d.decayedSum = d.valueAt(now)
	if d.decayedSum < negligibleSum {
		d.firstAddAt = now
	}
	d.decayedSum += x
	d.updatedAt = now
}

func (d *decayingSum) valueAt(now time.Time) float64 {
	age := now.Sub(d.updatedAt)
	if d.decayedSum == 0 || age <= 0 {
		return d.decayedSum
	}
	return d.decayedSum * decay(age)
}

// perSecond returns the sum of the added values per second, averaged with the time constant
// rateTimeConstant. The average covers only the time since the first value was added, but
// at least minDemandWindow. If the sum were always divided by rateTimeConstant, the demand
// would look low in the first ten seconds of a rush, and too many requests would be
// admitted.
func (d *decayingSum) perSecond(now time.Time) float64 {
	age := max(now.Sub(d.firstAddAt), minDemandWindow)
	return d.valueAt(now) / (rateTimeConstant.Seconds() * (1 - decay(age)))
}

// decay returns the factor by which a sum decays in the given time.
func decay(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / rateTimeConstant.Seconds())
}

// rateMeter measures the rate of a slot, in expected tokens per second of slot time. Slot
// time is the time for which a request holds its slot, summed over requests. The meter uses
// expected costs and not actual costs, because for waiting requests only the expected cost
// is known.
//
// The tokens per second of the whole service would fall whenever callers send less, and the
// queue would then refuse the first requests of a rush. The rate of a slot does not depend
// on the load. Multiplied by the number of slots, it shows a loss of capacity at once.
type rateMeter struct {
	assumedSlotRate float64 // tokens per second; used until a slot rate is measured

	finishedTokens      float64   // expected tokens of finished requests, decayed
	finishedSlotSeconds float64   // slot time of finished requests in seconds, decayed
	lastFinishAt        time.Time // when recordFinished was last called

	runningCount         int       // number of running requests
	runningTokens        float64   // expected tokens of the running requests
	startOffsetSumMicros int64     // sum of the times from firstStartAt to the start of each running request, microseconds
	firstStartAt         time.Time // when the first request started
}

const (
	// maxElapsedRatio is the normal maximum of the elapsed ratio, before elapsedRatioMargin
	// is added. In normal operation the elapsed ratio is 0.5 on average, or 1 if the costs
	// are distributed exponentially.
	maxElapsedRatio = 1.5
	// elapsedRatioMargin, divided by the square root of the number of running requests, is
	// added to maxElapsedRatio to allow for random variation.
	elapsedRatioMargin = 4
	// stalledElapsedOverMax is the elapsed ratio above which the service is stalled, as a
	// multiple of the normal maximum of the elapsed ratio.
	stalledElapsedOverMax = 2
)

func (m *rateMeter) addRunning(now time.Time, cost float64) {
	if m.firstStartAt.IsZero() {
		m.firstStartAt = now
	}
	m.runningCount++
	m.runningTokens += cost
	m.startOffsetSumMicros += now.Sub(m.firstStartAt).Microseconds()
}

// removeRunning removes a request from the running requests. The measured slot rate does
// not change.
func (m *rateMeter) removeRunning(startedAt time.Time, cost float64) {
	m.runningCount--
	m.runningTokens -= cost
	m.startOffsetSumMicros -= startedAt.Sub(m.firstStartAt).Microseconds()
	if m.runningCount == 0 {
		m.runningTokens = 0
	}
}

// recordFinished adds a finished request to the measured slot rate.
func (m *rateMeter) recordFinished(now time.Time, cost float64, duration time.Duration) {
	factor := decay(max(now.Sub(m.lastFinishAt), 0))
	m.lastFinishAt = now
	m.finishedTokens = m.finishedTokens*factor + cost
	m.finishedSlotSeconds = m.finishedSlotSeconds*factor + duration.Seconds()
}

// measuredSlotRate returns the rate of a slot over the finished requests, in expected
// tokens per second. It returns zero if no request has finished.
func (m *rateMeter) measuredSlotRate() float64 {
	if m.finishedSlotSeconds <= 0 {
		return 0
	}
	return m.finishedTokens / m.finishedSlotSeconds
}

// slotRate returns the current rate of one slot in expected tokens per second, or zero if
// the rate is unknown.
//
// The finished requests alone do not show that the service has become slow since they
// finished. If slotRate used only these requests, the queue would go on admitting requests
// at the old slot rate. Therefore the time that the running requests have taken so
// far also counts. If the elapsed ratio exceeds its normal maximum, slotRate divides the
// measured or assumed slot rate by elapsedOverMax.
func (m *rateMeter) slotRate(now time.Time) float64 {
	rate := m.measuredSlotRate()
	if rate == 0 {
		rate = m.assumedSlotRate
	}
	return rate / max(m.elapsedOverMax(now, rate), 1)
}

// stalled reports whether the service has practically stopped finishing requests. It uses
// only the measured slot rate, because the assumed slot rate may be wrong.
func (m *rateMeter) stalled(now time.Time) bool {
	return m.elapsedOverMax(now, m.measuredSlotRate()) > stalledElapsedOverMax
}

// elapsedOverMax returns the elapsed ratio, divided by the normal maximum of this ratio. The
// expected duration of the running requests is their expected cost divided by rate, the
// tokens per second of a slot.
func (m *rateMeter) elapsedOverMax(now time.Time, rate float64) float64 {
	if m.runningCount == 0 || rate == 0 {
		return 0
	}
	elapsedMicros := int64(m.runningCount)*now.Sub(m.firstStartAt).Microseconds() - m.startOffsetSumMicros
	maxRatio := maxElapsedRatio + elapsedRatioMargin/math.Sqrt(float64(m.runningCount))
	return float64(elapsedMicros) / 1e6 / (maxRatio * m.runningTokens / rate)
}
