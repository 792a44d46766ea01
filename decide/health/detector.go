package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	delayGain   = 0.2 // of the moving average of delays
	failureGain = 0.1 // of the moving average of failures
	// commonFailures is the failure share of the median endpoint above which
	// failures speak against the requests, not against single endpoints.
	commonFailures = 0.25
	// minGroup is the smallest group that has a median of its own.
	minGroup    = 3
	maxSlowness = 4.0
	// jitter is the part by which the time of an ejection varies, so that nodes
	// which lost an endpoint together do not probe it together.
	jitter = 0.2
)

// Detector finds outliers in a set of endpoints.
type Detector struct {
	cfg       Config
	endpoints []*Endpoint
	out       int // ejected or probing
	version   uint64
	next      time.Time
	common    bool               // failures are common to all
	median    float64            // delay over all, seconds
	groups    map[string]float64 // median delay by group, of this judgement
	random    *rand.Rand
	scratch   []float64
}

// New returns a Detector without endpoints.
func New(cfg Config) *Detector {
	cfg = withDefaults(cfg)
	return &Detector{
		cfg:    cfg,
		groups: make(map[string]float64),
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)),
	}
}

// Track adds an endpoint. Its group holds those it is compared with, such as
// its failure domain.
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
		d.out--
	}
}

// Version changes whenever an endpoint changes its state.
func (d *Detector) Version() uint64 { return d.version }

// Out returns how many endpoints are ejected or probing.
func (d *Detector) Out() int { return d.out }

// Due reports whether Judge should be called.
func (d *Detector) Due(now time.Time) bool { return !now.Before(d.next) }

// Sent records a request to the endpoint.
func (d *Detector) Sent(now time.Time, e *Endpoint) {
	if e.waiting == 0 || e.state == Probing {
		e.heard = now
	}
	e.waiting++
	e.probed = e.state == Probing
}

// Heard records the first sign of an answer to a request, or its end if there
// was none before, after the given time.
func (d *Detector) Heard(now time.Time, e *Endpoint, after time.Duration) {
	e.waiting = max(0, e.waiting-1)
	e.heard = now
	e.sign = average(e.sign, after.Seconds(), delayGain)
}

// ObserveDelay records the delay of an answer that is still underway; its end
// is given to Observe without a delay. The start of an answer is no proof of
// health: an endpoint that breaks every stream starts them all in good time.
func (d *Detector) ObserveDelay(now time.Time, e *Endpoint, delay time.Duration) {
	e.recordDelay(delay)
	if e.state == Probing && d.slow(delay.Seconds(), d.median) {
		d.judgeProbe(now, e, Outcome{Delay: delay, Age: delay})
	}
}

// Observe records the end of a request.
func (d *Detector) Observe(now time.Time, e *Endpoint, o Outcome) {
	if o.Failure == Canceled {
		d.probeGone(now, e, o)
		return
	}
	e.record(o)
	switch e.state {
	case Healthy:
		d.judgeConsecutive(now, e)
	case Probing:
		d.judgeProbe(now, e, o)
	}
}

// probeGone lets another probe go out if the caller of the last one gave up;
// else an endpoint whose probe was cancelled would stay out for good.
func (d *Detector) probeGone(now time.Time, e *Endpoint, o Outcome) {
	if e.state == Probing && !now.Add(-o.Age).Before(e.probing) {
		e.probed = false
	}
}

func (d *Detector) judgeConsecutive(now time.Time, e *Endpoint) {
	if e.consecutive >= d.cfg.MaxConsecutive && !d.common {
		d.eject(now, e, Consecutive)
	}
}

// judgeProbe takes only requests sent since the probing began: those from
// before the ejection tell of the old fault.
func (d *Detector) judgeProbe(now time.Time, e *Endpoint, o Outcome) {
	if now.Add(-o.Age).Before(e.probing) {
		return
	}
	e.probed = false
	if o.Failure.Faulty() || d.slow(o.Delay.Seconds(), d.median) {
		d.out-- // eject counts it again
		d.eject(now, e, ProbeFailed)
		return
	}
	e.probesOK++
	if e.probesOK >= d.cfg.Probes {
		d.restore(e, o)
	}
}

func (d *Detector) restore(e *Endpoint, o Outcome) {
	e.state = Healthy
	e.delay = o.Delay.Seconds()
	e.samples, e.consecutive, e.failures, e.slowness = 0, 0, 0, 1
	d.out--
	d.version++
}

// eject leaves the endpoint out, unless too many are out already: then the
// cause is likely common, and those left would be drowned by the load of all.
func (d *Detector) eject(now time.Time, e *Endpoint, cause Cause) {
	if d.out+1 > d.most(cause) {
		d.giveUp(e)
		return
	}
	if now.Sub(e.ejected) > 2*d.cfg.MaxEjection {
		e.times = 0
	}
	e.times++
	e.state, e.cause = Ejected, cause
	e.ejected = now
	e.until = now.Add(d.ejectionTime(e.times))
	e.probesOK, e.probed = 0, false
	d.out++
	d.version++
}

// most returns how many endpoints may be out if one more goes for the cause.
// Slow and erring endpoints still do work, unanswering ones do none.
func (d *Detector) most(cause Cause) int {
	share := d.cfg.MaxLostShare
	if cause == Slow || cause == ErrorShare {
		share = d.cfg.MaxEjectedShare
	}
	return int(share * float64(len(d.endpoints)))
}

// giveUp leaves in use an endpoint that may not be ejected.
func (d *Detector) giveUp(e *Endpoint) {
	if e.state != Healthy {
		e.state = Healthy
		d.version++
	}
}

func (d *Detector) ejectionTime(times int) time.Duration {
	t := d.cfg.BaseEjection
	for i := 1; i < times && t < d.cfg.MaxEjection; i++ {
		t *= 2
	}
	t = min(t, d.cfg.MaxEjection)
	return t + time.Duration((d.random.Float64()*2-1)*jitter*float64(t))
}

// Judge compares the endpoints with each other, ejects outliers and lets those
// whose time is over be probed.
func (d *Detector) Judge(now time.Time) {
	d.next = now.Add(d.cfg.Interval)
	clear(d.groups)
	d.common = d.medianOf("", (*Endpoint).failureShare) > commonFailures
	d.median = d.medianOf("", (*Endpoint).typicalDelay)
	silence := d.medianOf("", (*Endpoint).typicalSign)
	for _, e := range d.endpoints {
		switch e.state {
		case Healthy:
			d.judgeHealthy(now, e, silence)
		case Ejected:
			d.endEjection(now, e)
		case Probing:
			if e.probed { // else what is outstanding is from before the ejection
				d.judgeSilence(now, e, silence, ProbeFailed)
			}
		}
	}
}

func (d *Detector) judgeHealthy(now time.Time, e *Endpoint, silence float64) {
	if d.judgeSilence(now, e, silence, Silent) {
		return
	}
	if e.samples < d.cfg.MinSamples {
		return
	}
	median := d.medianFor(e)
	e.slowness = slowness(e.delay, median)
	switch {
	case e.failures > d.cfg.ErrorShare && !d.common:
		d.eject(now, e, ErrorShare)
	case d.slow(e.delay, median):
		d.eject(now, e, Slow)
	}
}

func (d *Detector) judgeSilence(now time.Time, e *Endpoint, typical float64, cause Cause) bool {
	if e.waiting == 0 || typical == 0 {
		return false
	}
	limit := typical*d.cfg.SilenceFactor + d.cfg.SilenceFloor.Seconds()
	if now.Sub(e.heard).Seconds() < limit {
		return false
	}
	if e.state == Probing {
		d.out-- // eject counts it again
	}
	d.eject(now, e, cause)
	return true
}

func (d *Detector) endEjection(now time.Time, e *Endpoint) {
	if now.Before(e.until) {
		return
	}
	e.state, e.probing = Probing, now
	d.version++
}

func (d *Detector) slow(delay, median float64) bool {
	return median > 0 && delay > median*d.cfg.LatencyFactor && delay > median+d.cfg.LatencyFloor.Seconds()
}

func slowness(delay, median float64) float64 {
	if median == 0 {
		return 1
	}
	return max(1, min(maxSlowness, delay/median))
}

// medianFor is the median delay of the endpoint's group, or of all if the group
// is too small.
func (d *Detector) medianFor(e *Endpoint) float64 {
	m, known := d.groups[e.group]
	if !known {
		m = d.medianOf(e.group, (*Endpoint).typicalDelay)
		d.groups[e.group] = m
	}
	if m > 0 {
		return m
	}
	return d.median
}

// medianOf returns the lower median over the endpoints of the group that have
// enough samples, or 0 if the group is too small. An empty group stands for
// all, of which any number will do.
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
	if n == 0 || (group != "" && n < minGroup) {
		return 0
	}
	slices.Sort(d.scratch)
	return d.scratch[(n-1)/2]
}
