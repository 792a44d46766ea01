package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of all measured rates. It spans several
// answers of a model service, yet forgets a slow spell within half a minute.
const rateWindow = 10 * time.Second

// firstWindow is the shortest time over which a rate is taken: one request of
// a team that starts to send is not yet a flood.
const firstWindow = 2 * time.Second

// decayed is a sum whose parts fade with rateWindow.
type decayed struct {
	sum   float64
	at    time.Time // of the last change
	since time.Time // of the first, after all before has faded
}

// faded is what is left of a token after more than twenty windows.
const faded = 1e-9

func (d *decayed) add(now time.Time, x float64) {
	d.sum = d.value(now)
	if d.sum < faded {
		d.since = now
	}
	d.sum += x
	d.at = now
}

func (d *decayed) value(now time.Time) float64 {
	age := now.Sub(d.at)
	if d.sum == 0 || age <= 0 {
		return d.sum
	}
	return d.sum * fade(age)
}

// perSecond returns the sum as a rate. A sum that is younger than the window
// holds less than the window's worth; taken as it is, the first ten seconds of
// a rush would pass for a quiet time, and too many be admitted.
func (d *decayed) perSecond(now time.Time) float64 {
	age := max(now.Sub(d.since), firstWindow)
	return d.value(now) / (rateWindow.Seconds() * (1 - fade(age)))
}

// fade returns what is left of a part after the given time.
func fade(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / rateWindow.Seconds())
}

// meter measures how fast a slot works, as expected tokens per second of slot
// time: what waits is known by its expected cost only.
//
// Tokens per second of the whole service would fall whenever callers send less,
// and the queue would then refuse the first callers of a rush. A rate per slot
// is the same at every load, and times the number of slots it follows a loss of
// capacity at once.
type meter struct {
	prior float64 // tokens per second until measured

	tokens  float64 // expected for finished requests, faded
	seconds float64 // slot time of finished requests, faded
	at      time.Time

	running  int     // requests in slots
	promised float64 // their expected tokens
	startSum int64   // sum of their starts, microseconds after base
	base     time.Time
}

const (
	// stallSlack is how many times longer than foreseen the running requests
	// may have taken together before the service counts as slow. While all
	// goes well they have on average taken half as long, or as long if their
	// costs vary as much as an exponential distribution.
	stallSlack = 1.5
	// stallSpread over the square root of their number allows for chance.
	stallSpread = 4
	// stallFactor is how far beyond that the service counts as stalled.
	stallFactor = 2
)

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
func (m *meter) learn(now time.Time, cost float64, took time.Duration) {
	left := fade(max(now.Sub(m.at), 0))
	m.at = now
	m.tokens = m.tokens*left + cost
	m.seconds = m.seconds*left + took.Seconds()
}

// measured returns the rate of finished requests, or zero if there are none.
func (m *meter) measured() float64 {
	if m.seconds <= 0 {
		return 0
	}
	return m.tokens / m.seconds
}

// slotRate returns tokens per second of one slot, or zero if unknown.
//
// Finished requests say nothing about a service that has slowed down since: its
// callers would be admitted at the old rate. So the time that running requests
// have already taken bounds the rate; while they take about as long as foreseen,
// the bound changes nothing.
func (m *meter) slotRate(now time.Time) float64 {
	rate := m.measured()
	if rate == 0 {
		rate = m.prior
	}
	return rate / max(m.overrun(now, rate), 1)
}

// stalled tells whether the service has practically stopped finishing requests.
// An assumed rate is no ground for that.
func (m *meter) stalled(now time.Time) bool {
	return m.overrun(now, m.measured()) > stallFactor
}

// overrun returns the time that the running requests have taken, over the most
// that is to be expected at the rate.
func (m *meter) overrun(now time.Time, rate float64) float64 {
	if m.running == 0 || rate == 0 {
		return 0
	}
	taken := int64(m.running)*now.Sub(m.base).Microseconds() - m.startSum
	slack := stallSlack + stallSpread/math.Sqrt(float64(m.running))
	return float64(taken) / 1e6 / (slack * m.promised / rate)
}
