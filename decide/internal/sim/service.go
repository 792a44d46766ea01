package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
)

// AdmissionPolicy decides which requests start and which are refused. The admission
// queue and FIFO implement AdmissionPolicy.
type AdmissionPolicy interface {
	Offer(now time.Time, r admission.Request) []admission.Verdict
	Finish(now time.Time, id uint64, cost float64) []admission.Verdict
	Cancel(now time.Time, id uint64) []admission.Verdict
	SetCapacity(now time.Time, slots int) []admission.Verdict
	Tick(now time.Time) ([]admission.Verdict, time.Time)
}

// Load is a stream of calls of one team. The calls arrive at random times (Poisson
// arrivals).
type Load struct {
	Team              string
	Class             admission.Class
	Rate              float64       // calls per second
	MeanCost          float64       // mean cost of a call in tokens; each call costs 0.5 to 1.5 times the mean
	ExpectedCostRatio float64       // cost expected at admission divided by the actual cost; zero means random from 0.7 to 1.3
	StartTimeout      time.Duration // time from the call to its deadline for starting
	From, To          time.Duration // interval of arrivals, measured from Start; zero To means the end of the run
	RetryOnce         bool          // a refused caller retries once, after the RetryAfter of the refusal
}

// Scenario describes a run against one service.
type Scenario struct {
	SlotRate         float64 // tokens per second per slot
	Duration         time.Duration
	Loads            []Load
	SlotsByStartTime map[time.Duration]int // key: a time, measured from Start; value: the number of slots from that time on
	StallAt          time.Duration         // no request finishes after this time, measured from Start; zero means that all requests finish
	Seed             uint64                // seed of arrivals and costs
}

// Call records what one caller saw. Times are measured from Start.
type Call struct {
	LoadIndex  int // index of the call's load in Scenario.Loads
	OfferedAt  time.Duration
	StartedAt  time.Duration // zero if the request did not start
	FinishedAt time.Duration // zero if the request did not finish
	RefusedAt  time.Duration // zero if the request was not refused
	Deadline   time.Duration
	ActualCost float64 // tokens that the answer took
	Verdict    admission.Verdict

	IsRetry bool // the call is a retry after a refusal
}

// StartedByDeadline reports whether the request started by its deadline.
func (c *Call) StartedByDeadline() bool {
	return c.Verdict.Kind == admission.Run && c.StartedAt <= c.Deadline
}

// Result holds the calls of a run.
type Result struct{ Calls []*Call }

// scenarioRun is the state of one run of a Scenario.
type scenarioRun struct {
	Scenario
	*Loop
	policy     AdmissionPolicy
	rng        *rand.Rand
	calls      []*Call
	nextTickAt time.Time
}

// Run runs the scenario with the policy and returns all calls, including retries, with
// their outcomes.
func Run(s Scenario, policy AdmissionPolicy) *Result {
	r := &scenarioRun{Scenario: s, Loop: NewLoop(), policy: policy, rng: rand.New(rand.NewPCG(s.Seed, 2))}
	for i, l := range s.Loads {
		r.scheduleArrivals(i, l)
	}
	for at, slots := range s.SlotsByStartTime {
		r.Schedule(Start.Add(at), func() { r.applyVerdicts(policy.SetCapacity(r.Now, slots)) })
	}
	r.Loop.Run(Start.Add(s.Duration))
	return &Result{Calls: r.calls}
}

func (r *scenarioRun) scheduleArrivals(loadIndex int, l Load) {
	end := l.To
	if end == 0 {
		end = r.Duration
	}
	interarrivalTime := func() time.Duration { return time.Duration(r.rng.ExpFloat64() / l.Rate * float64(time.Second)) }
	for at := l.From + interarrivalTime(); at < end; at += interarrivalTime() {
		cost := l.MeanCost * (0.5 + r.rng.Float64())
		expectedCostRatio := l.ExpectedCostRatio
		if expectedCostRatio == 0 {
			expectedCostRatio = 0.7 + 0.6*r.rng.Float64()
		}
		r.Schedule(Start.Add(at), func() { r.offer(loadIndex, l, cost, cost*expectedCostRatio, false) })
	}
}

func (r *scenarioRun) offer(loadIndex int, l Load, cost, expectedCost float64, isRetry bool) {
	id := uint64(len(r.calls))
	deadline := r.Now.Add(l.StartTimeout)
	r.calls = append(r.calls, &Call{LoadIndex: loadIndex, OfferedAt: r.Now.Sub(Start), Deadline: deadline.Sub(Start), ActualCost: cost, IsRetry: isRetry})
	r.applyVerdicts(r.policy.Offer(r.Now, admission.Request{ID: id, Team: l.Team, Class: l.Class, Cost: expectedCost, Deadline: deadline}))
	r.tick()
}

func (r *scenarioRun) applyVerdicts(verdicts []admission.Verdict) {
	for _, v := range verdicts {
		c := r.calls[v.ID]
		c.Verdict = v
		if v.Kind == admission.Refuse {
			c.RefusedAt = r.Now.Sub(Start)
			r.scheduleRetry(c)
			continue
		}
		c.StartedAt = r.Now.Sub(Start)
		end := r.Now.Add(time.Duration(c.ActualCost / r.SlotRate * float64(time.Second)))
		if r.StallAt > 0 && end.Sub(Start) > r.StallAt {
			continue
		}
		r.Schedule(end, func() {
			c.FinishedAt = r.Now.Sub(Start)
			r.applyVerdicts(r.policy.Finish(r.Now, v.ID, c.ActualCost))
		})
	}
}

func (r *scenarioRun) scheduleRetry(c *Call) {
	l := r.Loads[c.LoadIndex]
	if !l.RetryOnce || c.IsRetry || c.Verdict.RetryAfter == 0 {
		return
	}
	r.Schedule(r.Now.Add(c.Verdict.RetryAfter), func() { r.offer(c.LoadIndex, l, c.ActualCost, c.ActualCost, true) })
}

func (r *scenarioRun) tick() {
	if r.nextTickAt.After(r.Now) {
		return
	}
	verdicts, nextTickAt := r.policy.Tick(r.Now)
	r.applyVerdicts(verdicts)
	if nextTickAt.After(r.Now) {
		r.nextTickAt = nextTickAt
		r.Schedule(nextTickAt, r.tick)
	}
}

// Goodput returns how many tokens per second the slots generated in the given
// interval for calls that started by their deadline. If load indexes are given, only
// calls of these loads count.
func (r *Result) Goodput(slotRate float64, from, to time.Duration, loadIndexes ...int) float64 {
	tokens := 0.0
	for _, c := range r.Calls {
		if !c.StartedByDeadline() || (len(loadIndexes) > 0 && !slices.Contains(loadIndexes, c.LoadIndex)) {
			continue
		}
		end := c.StartedAt + time.Duration(c.ActualCost/slotRate*float64(time.Second))
		if slotTime := min(end, to) - max(c.StartedAt, from); slotTime > 0 {
			tokens += slotTime.Seconds() * slotRate
		}
	}
	return tokens / (to - from).Seconds()
}

// StartDelays returns the times from offer to start, in ascending order, for the
// calls of one load that were offered in the given interval. A call that did not start
// by its deadline counts with its whole StartTimeout.
func (r *Result) StartDelays(loadIndex int, from, to time.Duration) []time.Duration {
	var delays []time.Duration
	for _, c := range r.Calls {
		if c.LoadIndex != loadIndex || c.OfferedAt < from || c.OfferedAt >= to {
			continue
		}
		delay := c.Deadline - c.OfferedAt
		if c.StartedByDeadline() {
			delay = c.StartedAt - c.OfferedAt
		}
		delays = append(delays, delay)
	}
	slices.Sort(delays)
	return delays
}

// P95 returns the 95th percentile of the given delays, which must be sorted.
func P95(sortedDelays []time.Duration) time.Duration { return sortedDelays[len(sortedDelays)*95/100] }

// StartedShare considers the calls of one load that were offered in the given
// interval. It returns the share of these calls that started by their deadline.
func (r *Result) StartedShare(loadIndex int, from, to time.Duration) float64 {
	startedCalls, offeredCalls := 0.0, 0.0
	for _, c := range r.Calls {
		if c.LoadIndex != loadIndex || c.OfferedAt < from || c.OfferedAt >= to {
			continue
		}
		offeredCalls++
		if c.StartedByDeadline() {
			startedCalls++
		}
	}
	return startedCalls / offeredCalls
}
