package health

import "time"

// State of an endpoint.
type State uint8

const (
	// Healthy endpoints take requests.
	Healthy State = iota
	// Ejected endpoints take none.
	Ejected
	// Probing endpoints take one at a time.
	Probing
)

var stateNames = [...]string{"healthy", "ejected", "probing"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Cause says why an endpoint was ejected last.
type Cause uint8

const (
	// NoCause is that of an endpoint never ejected.
	NoCause Cause = iota
	// Consecutive failures.
	Consecutive
	// ErrorShare of the answers failed.
	ErrorShare
	// Slow against the median.
	Slow
	// Silent with work outstanding.
	Silent
	// ProbeFailed after an earlier ejection.
	ProbeFailed
)

var causeNames = [...]string{"none", "consecutive", "error share", "slow", "silent", "probe failed"}

func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "invalid"
}

// Endpoint is what a Detector knows of one endpoint.
type Endpoint struct {
	group           string
	state           State
	cause           Cause
	ejectedUntil    time.Time // end of the ejection
	ejectedAt       time.Time
	probingSince    time.Time // start of the probing
	probeInFlight   bool      // a probe is out
	probesSucceeded int
	ejections       int // ejections in a row

	delay        float64 // moving average, seconds
	failures     float64 // moving average, 0 to 1
	responseTime float64 // moving average of the time to a first sign, seconds
	slowness     float64
	samples      int
	consecutive  int

	unanswered int // requests without a first sign
	lastHeard  time.Time
}

// State returns the endpoint's state.
func (e *Endpoint) State() State { return e.state }

// Cause returns why the endpoint was ejected last.
func (e *Endpoint) Cause() Cause { return e.cause }

// Slowness returns the endpoint's delay over that of the median, 1 to 4.
func (e *Endpoint) Slowness() float64 { return e.slowness }

// NeedsProbe reports whether the next request may go to the endpoint as a probe.
func (e *Endpoint) NeedsProbe() bool { return e.state == Probing && !e.probeInFlight }

// Outcome is what became known of one request.
type Outcome struct {
	// Delay that is compared between endpoints, such as the time to the first
	// token; zero if not known.
	Delay time.Duration
	// Age is the time since the request was sent.
	Age     time.Duration
	Failure Failure
}

func (e *Endpoint) record(o Outcome) {
	if o.Failure == None {
		e.recordDelay(o.Delay)
	}
	if !o.Failure.Faulty() {
		e.consecutive = 0
		e.failures *= 1 - failureGain
		return
	}
	e.samples++
	e.consecutive++
	e.failures += (1 - e.failures) * failureGain
}

func (e *Endpoint) recordDelay(delay time.Duration) {
	if delay > 0 {
		e.delay = movingAverage(e.delay, delay.Seconds(), delayGain)
		e.samples++
	}
}

// movingAverage moves old towards v; an old value of zero stands for none.
func movingAverage(old, value, gain float64) float64 {
	if old == 0 {
		return value
	}
	return old + (value-old)*gain
}

func (e *Endpoint) failureShare() (float64, bool)        { return e.failures, true }
func (e *Endpoint) typicalDelay() (float64, bool)        { return e.delay, e.delay > 0 }
func (e *Endpoint) typicalResponseTime() (float64, bool) { return e.responseTime, e.responseTime > 0 }
