package health

import "time"

// State of an endpoint.
type State uint8

const (
	// Healthy endpoints take requests.
	Healthy State = iota
	// Ejected endpoints take no requests.
	Ejected
	// Probing endpoints take one request at a time.
	Probing
)

var stateNames = [...]string{"healthy", "ejected", "probing"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Cause is the reason for the last ejection of an endpoint.
type Cause uint8

const (
	// NoCause means that the endpoint was never ejected.
	NoCause Cause = iota
	// ConsecutiveFailures means that Config.MaxConsecutive requests in a row failed.
	ConsecutiveFailures
	// ErrorShare means that the endpoint's error share exceeded Config.MaxErrorShare.
	ErrorShare
	// Slow means that the endpoint's delay was too long compared with the median delay.
	Slow
	// Silent means that the endpoint sent nothing while requests were outstanding.
	Silent
	// ProbeFailed means that a probe after an earlier ejection failed.
	ProbeFailed
)

var causeNames = [...]string{"none", "consecutive", "error share", "slow", "silent", "probe failed"}

func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "invalid"
}

// Endpoint is the state that a Detector keeps of one endpoint.
type Endpoint struct {
	group            string
	state            State
	cause            Cause
	ejectedUntil     time.Time
	ejectedAt        time.Time
	probingSince     time.Time // when the endpoint became Probing
	probeInFlight    bool
	successfulProbes int
	ejections        int // number of consecutive ejections

	delay               float64 // moving average of Outcome.Delay, seconds
	errorShare          float64 // moving average over the outcomes; a failure counts as 1, every other outcome as 0
	responseTime        float64 // moving average of the time to a first response, seconds
	slowness            float64
	samples             int
	consecutiveFailures int

	unanswered int       // number of outstanding requests without a first response
	lastHeard  time.Time // start of the present silence, see Detector.Sent and FirstResponse
}

// State returns the endpoint's state.
func (e *Endpoint) State() State { return e.state }

// Cause returns the reason for the last ejection.
func (e *Endpoint) Cause() Cause { return e.cause }

// Slowness returns the endpoint's delay divided by the median delay, limited to the range
// from 1 to 4.
func (e *Endpoint) Slowness() float64 { return e.slowness }

// NeedsProbe reports whether the next request may be sent to the endpoint as a probe.
func (e *Endpoint) NeedsProbe() bool { return e.state == Probing && !e.probeInFlight }

// Outcome is the result of one request.
type Outcome struct {
	// Delay is the delay by which endpoints are compared, such as the time to the first
	// token; zero if unknown.
	Delay time.Duration
	// TimeSinceSent is the time from the sending of the request to this outcome.
	TimeSinceSent time.Duration
	Failure       Failure
}

func (e *Endpoint) record(o Outcome) {
	if o.Failure == None {
		e.recordDelay(o.Delay)
	}
	if !o.Failure.Faulty() {
		e.consecutiveFailures = 0
		e.errorShare *= 1 - errorShareGain
		return
	}
	e.samples++
	e.consecutiveFailures++
	e.errorShare += (1 - e.errorShare) * errorShareGain
}

func (e *Endpoint) recordDelay(delay time.Duration) {
	if delay > 0 {
		e.delay = movingAverage(e.delay, delay.Seconds(), delayGain)
		e.samples++
	}
}

// movingAverage returns the average after a new value. If old is zero, there is no
// average yet and the result is the value itself.
func movingAverage(old, value, gain float64) float64 {
	if old == 0 {
		return value
	}
	return old + (value-old)*gain
}

func (e *Endpoint) typicalErrorShare() (float64, bool)   { return e.errorShare, true }
func (e *Endpoint) typicalDelay() (float64, bool)        { return e.delay, e.delay > 0 }
func (e *Endpoint) typicalResponseTime() (float64, bool) { return e.responseTime, e.responseTime > 0 }
