package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	delayGain      = 0.2 // weight of a new delay in the moving average of delays
	errorShareGain = 0.1 // weight of a new outcome in an endpoint's error share
	// commonErrorShare is compared with the median error share of the endpoints. If the
	// median is higher, failures are attributed to the requests or to a shared
	// dependency, and no Healthy endpoint is ejected for failures.
	commonErrorShare = 0.25
	// minEndpointsForGroupMedian is the number of endpoints with enough samples that a
	// group needs for a median delay of its own. The endpoints of a smaller group are
	// compared with the median delay of all endpoints.
	minEndpointsForGroupMedian = 3
	maxSlowness                = 4.0
	// ejectionJitter is the fraction by which the duration of an ejection varies at
	// random. Without jitter, nodes that ejected an endpoint at the same time would probe
	// it at the same time.
	ejectionJitter = 0.2
)

// Detector finds outliers in a set of endpoints.
type Detector struct {
	cfg            Config
	endpoints      []*Endpoint
	outOfRotation  int // endpoints that are ejected or probing
	version        uint64
	nextEvaluation time.Time
	commonFailure  bool               // failures have a common cause, see commonFailureRate
	medianDelay    float64            // median delay of all endpoints, seconds
	groupMedians   map[string]float64 // median delay by group name, seconds; cleared by Evaluate
	random         *rand.Rand
	scratch        []float64
}

// New returns a Detector without endpoints.
func New(cfg Config) *Detector {
	cfg = withDefaults(cfg)
	return &Detector{
		cfg:          cfg,
		groupMedians: make(map[string]float64),
		random:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)),
	}
}

// Track adds an endpoint. The Detector compares it with the other endpoints of its group,
// for example a failure domain.
func (d *Detector) Track(group string) *Endpoint {
	e := &Endpoint{group: group, slowness: 1}
	d.endpoints = append(d.endpoints, e)
	return e
}

// Forget removes an endpoint.
func (d *Detector) Forget(e *Endpoint) {
	i := slices.Index(d.endpoints, e)
	if i < 0 {
		return
	}
	d.endpoints = slices.Delete(d.endpoints, i, i+1)
	if e.state != Healthy {
		d.outOfRotation--
	}
}

// Version changes whenever an endpoint changes its state.
func (d *Detector) Version() uint64 { return d.version }

// OutOfRotation returns how many endpoints are ejected or probing.
func (d *Detector) OutOfRotation() int { return d.outOfRotation }

// Due reports whether Evaluate should be called.
func (d *Detector) Due(now time.Time) bool { return !now.Before(d.nextEvaluation) }

// Sent records a request to the endpoint.
func (d *Detector) Sent(now time.Time, e *Endpoint) {
	if e.unanswered == 0 || e.state == Probing {
		e.lastHeard = now
	}
	e.unanswered++
	e.probeInFlight = e.state == Probing
}

// FirstResponse records that the first part of a response arrived, or that a request
// ended without a response. The parameter elapsed is the time since the request was sent.
func (d *Detector) FirstResponse(now time.Time, e *Endpoint, elapsed time.Duration) {
	e.unanswered = max(0, e.unanswered-1)
	e.lastHeard = now
	e.responseTime = movingAverage(e.responseTime, elapsed.Seconds(), delayGain)
}

// ObserveDelay records the delay of a response that is still in progress. When the
// response ends, the caller calls Observe with an Outcome without Delay. A response that
// has started does not prove that the endpoint is healthy: an endpoint that breaks every
// stream also starts every stream in time.
func (d *Detector) ObserveDelay(now time.Time, e *Endpoint, delay time.Duration) {
	e.recordDelay(delay)
	if e.state == Probing && d.isSlow(delay.Seconds(), d.medianDelay) {
		d.recordProbe(now, e, Outcome{Delay: delay, TimeSinceSent: delay})
	}
}

// Observe records the end of a request.
func (d *Detector) Observe(now time.Time, e *Endpoint, o Outcome) {
	if o.Failure == Canceled {
		d.probeCanceled(now, e, o)
		return
	}
	e.record(o)
	switch e.state {
	case Healthy:
		d.checkConsecutive(now, e)
	case Probing:
		d.recordProbe(now, e, o)
	}
}

// probeCanceled allows another probe if the caller of the probe in flight has canceled
// it. Otherwise the endpoint would wait for the outcome of that probe and stay out of
// rotation forever.
func (d *Detector) probeCanceled(now time.Time, e *Endpoint, o Outcome) {
	if e.state == Probing && !now.Add(-o.TimeSinceSent).Before(e.probingSince) {
		e.probeInFlight = false
	}
}

func (d *Detector) checkConsecutive(now time.Time, e *Endpoint) {
	if e.consecutiveFailures >= d.cfg.MaxConsecutive && !d.commonFailure {
		d.eject(now, e, ConsecutiveFailures)
	}
}

// recordProbe evaluates the outcome of a request that was sent after the probing began.
// recordProbe ignores requests sent earlier, because these were sent before the ejection
// and reflect the old fault.
func (d *Detector) recordProbe(now time.Time, e *Endpoint, o Outcome) {
	if now.Add(-o.TimeSinceSent).Before(e.probingSince) {
		return
	}
	e.probeInFlight = false
	if o.Failure.Faulty() || d.isSlow(o.Delay.Seconds(), d.medianDelay) {
		d.outOfRotation-- // eject counts the endpoint again
		d.eject(now, e, ProbeFailed)
		return
	}
	e.successfulProbes++
	if e.successfulProbes >= d.cfg.Probes {
		d.restore(e, o)
	}
}

func (d *Detector) restore(e *Endpoint, o Outcome) {
	e.state = Healthy
	e.delay = o.Delay.Seconds()
	e.samples, e.consecutiveFailures, e.errorShare, e.slowness = 0, 0, 0, 1
	d.outOfRotation--
	d.version++
}

// eject takes the endpoint out of rotation, unless too many endpoints are out already. In
// that case the endpoints probably have a common fault, and the remaining ones would be
// overloaded.
func (d *Detector) eject(now time.Time, e *Endpoint, cause Cause) {
	if d.outOfRotation+1 > d.maxOut(cause) {
		d.keepInRotation(e)
		return
	}
	if now.Sub(e.ejectedAt) > 2*d.cfg.MaxEjection {
		e.ejections = 0
	}
	e.ejections++
	e.state, e.cause = Ejected, cause
	e.ejectedAt = now
	e.ejectedUntil = now.Add(d.ejectionTime(e.ejections))
	e.successfulProbes, e.probeInFlight = 0, false
	d.outOfRotation++
	d.version++
}

// maxOut returns how many endpoints may be out of rotation after one more is ejected for
// the given cause. The limit is lower for slow endpoints and for endpoints whose error
// share is too large, because these still do useful work.
func (d *Detector) maxOut(cause Cause) int {
	share := d.cfg.MaxUnresponsiveShare
	if cause == Slow || cause == ErrorShare {
		share = d.cfg.MaxEjectedShare
	}
	return int(share * float64(len(d.endpoints)))
}

// keepInRotation handles an endpoint that should be ejected although too many others are
// out of rotation already: the endpoint becomes or stays Healthy.
func (d *Detector) keepInRotation(e *Endpoint) {
	if e.state != Healthy {
		e.state = Healthy
		d.version++
	}
}

func (d *Detector) ejectionTime(ejections int) time.Duration {
	t := d.cfg.BaseEjection
	for i := 1; i < ejections && t < d.cfg.MaxEjection; i++ {
		t *= 2
	}
	t = min(t, d.cfg.MaxEjection)
	return t + time.Duration((d.random.Float64()*2-1)*ejectionJitter*float64(t))
}

// Evaluate compares the endpoints with each other, ejects outliers and starts probing
// endpoints whose ejection has ended.
func (d *Detector) Evaluate(now time.Time) {
	d.nextEvaluation = now.Add(d.cfg.Interval)
	clear(d.groupMedians)
	d.commonFailure = d.medianOf("", (*Endpoint).typicalErrorShare) > commonErrorShare
	d.medianDelay = d.medianOf("", (*Endpoint).typicalDelay)
	medianResponseTime := d.medianOf("", (*Endpoint).typicalResponseTime)
	for _, e := range d.endpoints {
		switch e.state {
		case Healthy:
			d.evaluateHealthy(now, e, medianResponseTime)
		case Ejected:
			d.endEjection(now, e)
		case Probing:
			if e.probeInFlight { // without a probe in flight, all outstanding requests were sent before the ejection
				d.checkSilence(now, e, medianResponseTime, ProbeFailed)
			}
		}
	}
}

func (d *Detector) evaluateHealthy(now time.Time, e *Endpoint, medianResponseTime float64) {
	if d.checkSilence(now, e, medianResponseTime, Silent) {
		return
	}
	if e.samples < d.cfg.MinSamples {
		return
	}
	median := d.medianDelayFor(e)
	e.slowness = relativeDelay(e.delay, median)
	switch {
	case e.errorShare > d.cfg.MaxErrorShare && !d.commonFailure:
		d.eject(now, e, ErrorShare)
	case d.isSlow(e.delay, median):
		d.eject(now, e, Slow)
	}
}

func (d *Detector) checkSilence(now time.Time, e *Endpoint, medianResponseTime float64, cause Cause) bool {
	if e.unanswered == 0 || medianResponseTime == 0 {
		return false
	}
	limit := medianResponseTime*d.cfg.SilenceFactor + d.cfg.SilenceFloor.Seconds()
	if now.Sub(e.lastHeard).Seconds() < limit {
		return false
	}
	if e.state == Probing {
		d.outOfRotation-- // eject counts the endpoint again
	}
	d.eject(now, e, cause)
	return true
}

func (d *Detector) endEjection(now time.Time, e *Endpoint) {
	if now.Before(e.ejectedUntil) {
		return
	}
	e.state, e.probingSince = Probing, now
	d.version++
}

func (d *Detector) isSlow(delay, median float64) bool {
	return median > 0 && delay > median*d.cfg.LatencyFactor && delay > median+d.cfg.LatencyFloor.Seconds()
}

func relativeDelay(delay, median float64) float64 {
	if median == 0 {
		return 1
	}
	return max(1, min(maxSlowness, delay/median))
}

// medianDelayFor returns the median delay of the endpoint's group, or of all endpoints if
// the group has fewer than minEndpointsForGroupMedian endpoints with enough samples.
func (d *Detector) medianDelayFor(e *Endpoint) float64 {
	m, known := d.groupMedians[e.group]
	if !known {
		m = d.medianOf(e.group, (*Endpoint).typicalDelay)
		d.groupMedians[e.group] = m
	}
	if m > 0 {
		return m
	}
	return d.medianDelay
}

// medianOf returns the lower median of a value over the endpoints of the group that have
// enough samples. medianOf returns 0 if fewer than minEndpointsForGroupMedian endpoints
// have enough samples. An empty group name stands for all endpoints, for which there is
// no minimum number.
func (d *Detector) medianOf(group string, value func(*Endpoint) (float64, bool)) float64 {
	d.scratch = d.scratch[:0]
	for _, e := range d.endpoints {
		if e.samples < d.cfg.MinSamples || (group != "" && e.group != group) {
			continue
		}
		if v, ok := value(e); ok {
			d.scratch = append(d.scratch, v)
		}
	}
	n := len(d.scratch)
	if n == 0 || (group != "" && n < minEndpointsForGroupMedian) {
		return 0
	}
	slices.Sort(d.scratch)
	return d.scratch[(n-1)/2]
}
