package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of all measured rates. It spans several
// answers of a model service, yet forgets a slow spell within half a minute.
const rateWindow = 10 * time.Second

// decayed is a sum whose parts fade with rateWindow.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) add(now time.Time, x float64) {
	d.sum = d.value(now) + x
	d.at = now
}

func (d *decayed) value(now time.Time) float64 {
	age := now.Sub(d.at)
	if d.sum == 0 || age <= 0 {
		return d.sum
	}
	return d.sum * math.Exp(-age.Seconds()/rateWindow.Seconds())
}

// perSecond returns the sum as a rate.
func (d *decayed) perSecond(now time.Time) float64 {
	return d.value(now) / rateWindow.Seconds()
}

// meter measures how fast a slot works, as tokens per second of slot time.
//
// Tokens per second of the whole service would fall whenever callers send less,
// and the queue would then refuse the first callers of a rush. A rate per slot
// is the same at every load, and times the number of slots it follows a loss of
// capacity at once.
type meter struct {
	actual   float64 // tokens of finished requests, faded
	expected float64 // what was expected for them, faded
	seconds  float64 // slot time of finished requests, faded
	at       time.Time

	prior float64 // tokens per second until measured

	running  int     // requests in slots
	promised float64 // their expected tokens
	startSum int64   // sum of their starts, microseconds after base
	base     time.Time
}

// stallSlack is how many times longer than foreseen the running requests may
// have taken together before the service counts as stalled. Costs that vary as
// much as an exponential distribution reach 1.
const stallSlack = 3

func (m *meter) start(now time.Time, cost float64) {
	if m.base.IsZero() {
		m.base = now
	}
	m.running++
	m.promised += cost
	m.startSum += now.Sub(m.base).Microseconds()
}

// leave takes a request out of its slot without learning from it.
func (m *meter) leave(started time.Time, cost float64) {
	m.running--
	m.promised -= cost
	m.startSum -= started.Sub(m.base).Microseconds()
	if m.running == 0 {
		m.promised = 0
	}
}

// learn books a finished request.
func (m *meter) learn(now time.Time, expected, actual float64, took time.Duration) {
	fade := 1.0
	if age := now.Sub(m.at); age > 0 {
		fade = math.Exp(-age.Seconds() / rateWindow.Seconds())
	}
	m.at = now
	m.actual = m.actual*fade + actual
	m.expected = m.expected*fade + expected
	m.seconds = m.seconds*fade + took.Seconds()
}

// slotRate returns tokens per second of one slot, or zero if unknown.
//
// Finished requests say nothing about a service that has stopped finishing
// them: its callers would be admitted at the old rate and wait until their
// deadlines. So the time that running requests have already taken bounds the
// rate; while requests take about as long as foreseen, the bound changes nothing.
func (m *meter) slotRate(now time.Time) float64 {
	rate := m.prior
	if m.seconds > 0 {
		rate = m.actual / m.seconds
	}
	if m.running == 0 || rate == 0 {
		return rate
	}
	elapsed := int64(m.running)*now.Sub(m.base).Microseconds() - m.startSum
	if elapsed <= 0 {
		return rate
	}
	seconds := float64(elapsed) / 1e6
	return min(rate, stallSlack*m.promised*m.bias()/seconds)
}

// bias is what a request costs per expected token.
func (m *meter) bias() float64 {
	if m.expected <= 0 || m.actual <= 0 {
		return 1
	}
	return m.actual / m.expected
}
