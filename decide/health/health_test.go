package health

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var epoch = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

const step = 100 * time.Millisecond

// harness simulates a number of endpoints. In each step every endpoint that takes
// requests gets one request. The outcomes map gives the outcome of this request by the
// endpoint's index; an endpoint without an entry succeeds.
type harness struct {
	*Detector
	now       time.Time
	endpoints []*Endpoint
	sent      []int
}

func newHarness(n int, cfg Config) *harness {
	r := &harness{Detector: New(cfg), now: epoch, sent: make([]int, n)}
	for range n {
		r.endpoints = append(r.endpoints, r.Track("bandung"))
	}
	return r
}

type outcomes map[int]Outcome

var goodOutcome = Outcome{Delay: step, TimeSinceSent: step}

// run simulates the time d. Endpoints whose index is in silent get requests and never
// respond.
func (r *harness) run(d time.Duration, bad outcomes, silent ...int) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(step) {
		if r.Due(r.now) {
			r.Evaluate(r.now)
		}
		for i, e := range r.endpoints {
			if e.State() == Healthy || e.NeedsProbe() {
				r.request(i, e, bad, silent)
			}
		}
	}
}

func (r *harness) request(i int, e *Endpoint, bad outcomes, silent []int) {
	r.Sent(r.now, e)
	r.sent[i]++
	for _, s := range silent {
		if s == i {
			return
		}
	}
	o, ok := bad[i]
	if !ok {
		o = goodOutcome
	}
	r.FirstResponse(r.now.Add(o.TimeSinceSent), e, o.TimeSinceSent)
	r.Observe(r.now.Add(o.TimeSinceSent), e, o)
}

// Guards against a bad endpoint that keeps getting requests, which then fail or wait
// at this endpoint. Without the Detector the endpoint would get ten requests a second. For
// each kind of fault, the endpoint may get at most maxRequests in the first 4 s of the
// fault.
func TestEjection(t *testing.T) {
	fails := func(f Failure) Outcome { return Outcome{TimeSinceSent: step, Failure: f} }
	for _, c := range []struct {
		name        string
		bad         outcomes
		silent      []int
		cause       Cause
		maxRequests int // maximum number of requests to the endpoint in the first 4 s of the fault
	}{
		{"refuses connections", outcomes{0: fails(Unreachable)}, nil, ConsecutiveFailures, 3},
		{"breaks every stream", outcomes{0: fails(BrokenResponse)}, nil, ConsecutiveFailures, 3},
		{"is ten times slower", outcomes{0: {Delay: 10 * step, TimeSinceSent: 10 * step}}, nil, Slow, 12},
		{"has frozen", nil, []int{0}, Silent, 22},
		{"is full", outcomes{0: fails(Overloaded)}, nil, NoCause, 40},
		{"is leaving", outcomes{0: fails(Leaving)}, nil, NoCause, 40},
		{"has callers that give up", outcomes{0: fails(Canceled)}, nil, NoCause, 40},
		{"is slower by less than the floor", outcomes{0: {Delay: step + 40*time.Millisecond}}, nil, NoCause, 40},
	} {
		Convey("Given an endpoint that "+c.name, t, func() {
			r := newHarness(6, Config{})
			r.run(5*time.Second, nil)
			before := r.sent[0]
			r.run(4*time.Second, c.bad, c.silent...)
			t.Log("requests that reached it:", r.sent[0]-before)
			So(r.endpoints[0].Cause(), ShouldEqual, c.cause)
			So(r.sent[0]-before, ShouldBeLessThanOrEqualTo, c.maxRequests)
			So(r.endpoints[1].State(), ShouldEqual, Healthy)
		})
	}
}

// Guards against a common fault that takes all endpoints out of rotation, or so many that
// the rest are overloaded. Once the configured share of the endpoints is out, the others
// stay in use.
func TestEjectionLimit(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints int
		bad       Outcome
		wantOut   int
	}{
		{"all refuse connections", 8, Outcome{Failure: Unreachable}, 6},
		{"both of two refuse connections", 2, Outcome{Failure: Unreachable}, 1},
		{"the only one refuses connections", 1, Outcome{Failure: Unreachable}, 0},
	} {
		Convey("Given that "+c.name, t, func() {
			r := newHarness(c.endpoints, Config{})
			bad := outcomes{}
			for i := range c.endpoints {
				bad[i] = c.bad
			}
			r.run(4*time.Second, bad)
			So(r.OutOfRotation(), ShouldEqual, c.wantOut)
		})
	}
	Convey("Given requests that fail at every endpoint, sometimes four in a row, none is ejected", t, func() {
		r := newHarness(6, Config{})
		for i := range 60 {
			bad := outcomes{}
			for e := range 6 {
				if i%2 == 0 || i > 50 && i < 54 {
					bad[e] = Outcome{Failure: Internal}
				}
			}
			r.run(step, bad)
		}
		So(r.OutOfRotation(), ShouldEqual, 0)
	})
	Convey("Given six slow endpoints of eight, they determine the median and none is ejected", t, func() {
		r := newHarness(8, Config{})
		bad := outcomes{}
		for i := range 6 {
			bad[i] = Outcome{Delay: 10 * step}
		}
		r.run(10*time.Second, bad)
		So(r.OutOfRotation(), ShouldEqual, 0)
	})
}

// Guards against frequent probes of a dead endpoint: each probe is a request of a caller,
// which fails there. A dead endpoint is probed after 5 s, then after 10 s, 20 s and so on.
// An endpoint that has recovered must still return to rotation.
func TestRecovery(t *testing.T) {
	dead := outcomes{0: {TimeSinceSent: time.Millisecond, Failure: Unreachable}}
	Convey("Given an endpoint dead for five minutes", t, func() {
		r := newHarness(4, Config{})
		r.run(5*time.Minute, dead)
		t.Log("requests in five minutes:", r.sent[0])
		So(r.sent[0], ShouldBeLessThanOrEqualTo, 3+8)
		So(r.endpoints[0].Cause(), ShouldEqual, ProbeFailed)
		r.run(75*time.Second, nil)
		So(r.endpoints[0].State(), ShouldEqual, Healthy)
	})
	Convey("Given a probe whose caller gave up, another probe is sent", t, func() {
		r := newHarness(4, Config{})
		r.run(time.Second, dead)
		r.run(10*time.Second, outcomes{0: {Failure: Canceled}})
		So(r.endpoints[0].State(), ShouldEqual, Probing)
		r.run(time.Second, nil)
		So(r.endpoints[0].State(), ShouldEqual, Healthy)
	})
	Convey("Given a probe without a response, the endpoint is ejected again", t, func() {
		r := newHarness(4, Config{})
		r.run(time.Second, dead)
		r.run(10*time.Second, nil, 0)
		So(fmt.Sprint(r.endpoints[0].State() == Ejected, r.endpoints[0].Cause()), ShouldEqual, "true probe failed")
	})
	Convey("Given an endpoint that froze, its outstanding requests do not count as a failed probe", t, func() {
		r := newHarness(4, Config{})
		r.run(5*time.Second, nil)
		r.run(3*time.Second, nil, 0)
		So(r.endpoints[0].State(), ShouldEqual, Ejected)
		for range 10 { // no requests are sent meanwhile
			r.now = r.now.Add(time.Second)
			r.Evaluate(r.now)
		}
		So(r.endpoints[0].State(), ShouldEqual, Probing)
		r.run(time.Second, nil)
		So(r.endpoints[0].State(), ShouldEqual, Healthy)
	})
	Convey("Given a request from before the ejection that fails late, it does not count as a probe", t, func() {
		r := newHarness(4, Config{})
		r.run(time.Second, dead)
		r.run(10*time.Second, outcomes{0: {Failure: Canceled}})
		r.Observe(r.now, r.endpoints[0], Outcome{TimeSinceSent: time.Hour, Failure: BrokenResponse})
		So(r.endpoints[0].State(), ShouldEqual, Probing)
	})
}
