package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/cacheindex"
	"github.com/cicadatack/cicadatack/decide/health"
)

// The simulation is an event loop over endpoints that have slots, a queue and a
// prefix cache. The simulation measures how well a policy serves callers: the time to
// the first token, and the number of calls that failed after all attempts.

var epoch = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

const (
	engineSlots    = 8
	cacheCapacity  = 8     // number of prefixes that an endpoint caches
	meanCost       = 100.0 // tokens per call
	timePerToken   = 8 * time.Millisecond
	warmupTime     = 20 * time.Second // time until a cold endpoint has its full speed
	attemptTimeout = 8 * time.Second
	maxAttempts    = 3
)

// policy picks endpoints for one node. If pickRule is set, the policy is a baseline
// that picks by this rule alone. Otherwise the policy is a Balancer.
type policy struct {
	*Balancer
	pickRule         func(p *policy, q Query) Replica
	replicas         []Replica
	nextReplicaIndex int
	reportedLoad     map[string]int
	cacheIndex       *cacheindex.Index // nil if prefixes are placed by hash alone
}

// newFixedRulePolicy returns a constructor of policies with the given rule.
func newFixedRulePolicy(pickRule func(p *policy, q Query) Replica) func(int) *policy {
	return func(node int) *policy {
		return &policy{Balancer: New(Config{}), pickRule: pickRule, nextReplicaIndex: node * 5, reportedLoad: map[string]int{}}
	}
}

func (p *policy) pick(now time.Time, q Query) (Choice, bool) {
	if p.pickRule == nil {
		return p.Pick(now, q)
	}
	return Choice{ReplicaID: p.pickRule(p, q).ID}, true
}

func (p *policy) nextRoundRobinOfFirst(count int) Replica {
	p.nextReplicaIndex++
	return p.replicas[p.nextReplicaIndex%count]
}

var (
	roundRobin        = newFixedRulePolicy(func(p *policy, _ Query) Replica { return p.nextRoundRobinOfFirst(len(p.replicas)) })
	hashOnly          = newFixedRulePolicy(func(p *policy, q Query) Replica { return p.replicas[q.Prefix%uint64(len(p.replicas))] })
	leastReportedLoad = newFixedRulePolicy(func(p *policy, _ Query) Replica {
		return slices.MinFunc(p.replicas, func(x, y Replica) int { return p.reportedLoad[x.ID] - p.reportedLoad[y.ID] })
	})
)

type scheduledEvent struct {
	at  time.Time
	run func()
}

// engine is an endpoint of the simulation.
type engine struct {
	Replica
	slowdownFactor             float64 // factor by which all service times are longer
	coldUntil                  time.Time
	dead, frozen, leaving      bool
	waitingCalls, runningCalls []*call
	cachedPrefixes             []uint64
	cacheEvents                cacheEvents
	receivedAt                 []time.Time
}

type call struct {
	policy           *policy
	arrivedAt        time.Time
	sentAt           time.Time     // when the current attempt was sent
	timeToFirstToken time.Duration // of the current attempt, measured from sentAt
	started          bool          // the endpoint has produced the first token of the current attempt
	answered         bool          // the caller has received its first token
	query            Query
	attempts         int
}

// simulation is the state of one run.
type simulation struct {
	now      time.Time
	rng      *rand.Rand
	events   []scheduledEvent // in order of time
	engines  []*engine
	policies []*policy

	prefillTime, cachedPrefillTime time.Duration
	reportLag, crossDomainDelay    time.Duration
	coldSlowdownIncrease           float64       // increase of the slowdown factor of a cold endpoint; decreases to zero during warmupTime
	measureFrom, measureUntil      time.Duration // a call is measured if it arrives in this interval, counted from epoch
	firstTokenDelays               []time.Duration
	measuredCalls, failedCalls     int
	cacheLookups, cacheHits        int // number of prompts with a prefix; number of these prompts whose prefix was cached
}

// newSimulation creates endpoints that serve a call of mean cost in 1 s. Each endpoint
// has 8 slots and therefore serves 8 calls per second.
func newSimulation(nodeCount int, newPolicy func(int) *policy, enginesPerDomain int, domains ...string) *simulation {
	s := &simulation{
		now: epoch, rng: rand.New(rand.NewPCG(7, 11)), measureUntil: time.Hour,
		prefillTime: 200 * time.Millisecond, cachedPrefillTime: 200 * time.Millisecond, reportLag: 200 * time.Millisecond,
	}
	for _, domain := range domains {
		for i := range enginesPerDomain {
			s.addEngine(fmt.Sprintf("%s-%d", domain, i), domain)
		}
	}
	for i := range nodeCount {
		s.policies = append(s.policies, newPolicy(i))
	}
	s.publishReplicas()
	return s
}

func (s *simulation) addEngine(id, domain string) *engine {
	e := &engine{Replica: Replica{ID: id, FailureDomain: domain, Slots: engineSlots}, slowdownFactor: 1}
	s.engines = append(s.engines, e)
	return e
}

func (s *simulation) publishReplicas() {
	var allReplicas []Replica
	for _, e := range s.engines {
		allReplicas = append(allReplicas, e.Replica)
	}
	for _, p := range s.policies {
		p.replicas = allReplicas
		p.SetReplicas(s.now, allReplicas)
	}
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	at := s.now.Add(delay)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e scheduledEvent, at time.Time) int {
		return cmp.Or(e.at.Compare(at), -1) // insert after events of the same time
	})
	s.events = slices.Insert(s.events, i, scheduledEvent{at, run})
}

// runCalls generates calls with random arrivals for a minute. The rate of the calls
// may change over time. runCalls then waits two more minutes for the answers.
func (s *simulation) runCalls(callsPerSecond func(secondsSinceEpoch float64) float64, randomPrefix func(*rand.Rand) uint64) {
	s.schedule(0, func() { s.arrive(callsPerSecond, randomPrefix) })
	s.schedule(0, s.reportLoads)
	for len(s.events) > 0 && s.now.Sub(epoch) < 3*time.Minute {
		e := s.events[0]
		s.events, s.now = s.events[1:], e.at
		e.run()
	}
	slices.Sort(s.firstTokenDelays)
}

func (s *simulation) arrive(callsPerSecond func(float64) float64, randomPrefix func(*rand.Rand) uint64) {
	q := Query{Cost: 20 + s.rng.ExpFloat64()*(meanCost-20)}
	if randomPrefix != nil {
		q.Prefix = randomPrefix(s.rng)
	}
	c := &call{policy: s.policies[s.rng.IntN(len(s.policies))], arrivedAt: s.now, query: q}
	if s.isMeasured(c) {
		s.measuredCalls++
	}
	s.attempt(c)
	interarrivalTime := time.Duration(s.rng.ExpFloat64() / callsPerSecond(s.now.Sub(epoch).Seconds()) * float64(time.Second))
	if s.now.Add(interarrivalTime).Sub(epoch) < time.Minute {
		s.schedule(interarrivalTime, func() { s.arrive(callsPerSecond, randomPrefix) })
	}
}

func (s *simulation) isMeasured(c *call) bool {
	at := c.arrivedAt.Sub(epoch)
	return at >= s.measureFrom && at < s.measureUntil
}

// reportLoads sends the load report of each endpoint to all nodes, once a second.
func (s *simulation) reportLoads() {
	for _, e := range s.engines {
		if e.dead || e.frozen {
			continue
		}
		report := LoadReport{RunningRequests: len(e.runningCalls), WaitingRequests: len(e.waitingCalls), Age: s.reportLag}
		s.schedule(s.reportLag, func() {
			for _, p := range s.policies {
				p.reportedLoad[e.ID] = report.RunningRequests + report.WaitingRequests
				p.Report(s.now, e.ID, report)
			}
		})
	}
	s.schedule(time.Second, s.reportLoads)
}

func (s *simulation) attempt(c *call) {
	c.attempts++
	if c.policy.cacheIndex != nil {
		c.query.Holders = c.policy.cacheIndex.Holders(s.now, []uint64{c.query.Prefix})
	}
	choice, ok := c.policy.pick(s.now, c.query)
	if !ok || c.attempts > maxAttempts {
		s.failedCalls++
		return
	}
	e := s.engines[slices.IndexFunc(s.engines, func(e *engine) bool { return e.ID == choice.ReplicaID })]
	c.sentAt, c.started, c.timeToFirstToken = s.now, false, 0
	c.policy.Sent(s.now, e.ID, c.query.Cost)
	e.receivedAt = append(e.receivedAt, s.now)
	switch {
	case e.dead:
		s.failAfter(time.Millisecond, c, e, health.Unreachable)
	case e.frozen:
		s.failAfter(attemptTimeout, c, e, health.Timeout)
	case e.leaving:
		s.failAfter(time.Millisecond, c, e, health.Leaving)
	case len(e.runningCalls) < e.Slots:
		s.serve(c, e)
	default:
		e.waitingCalls = append(e.waitingCalls, c)
	}
}

func (s *simulation) failAfter(delay time.Duration, c *call, e *engine, failure health.Failure) {
	s.schedule(delay, func() {
		s.recordFinished(c, e, failure)
		c.query.Exclude = append(c.query.Exclude, e.ID)
		s.attempt(c)
	})
}

func (s *simulation) recordFinished(c *call, e *engine, failure health.Failure) {
	r := Result{Cost: c.query.Cost, TotalTime: s.now.Sub(c.sentAt), Failure: failure, Started: c.started, TimeToFirstToken: c.timeToFirstToken}
	c.policy.Finished(s.now, e.ID, r)
}

// failEngine makes an endpoint fail. The running and waiting calls of the endpoint
// fail at once or, if the endpoint freezes, at the timeout of the attempt.
func (s *simulation) failEngine(e *engine, freezes bool) {
	e.dead, e.frozen = !freezes, freezes
	for _, c := range slices.Concat(e.runningCalls, e.waitingCalls) {
		if freezes {
			s.failAfter(attemptTimeout, c, e, health.Timeout)
		} else {
			s.failAfter(time.Millisecond, c, e, health.BrokenResponse)
		}
	}
	e.runningCalls, e.waitingCalls = nil, nil
}

func (s *simulation) serve(c *call, e *engine) {
	e.runningCalls = append(e.runningCalls, c)
	slowdown := e.slowdownFactor + s.coldSlowdownIncrease*max(0, float64(e.coldUntil.Sub(s.now))/float64(warmupTime))
	slowedDown := func(d time.Duration) time.Duration { return time.Duration(float64(d) * slowdown) }
	ifStillRunning := func(action func()) func() {
		return func() {
			if slices.Contains(e.runningCalls, c) {
				action()
			}
		}
	}
	timeToFirstToken := slowedDown(s.prefillTimeOf(c, e))
	if e.FailureDomain != s.engines[0].FailureDomain {
		timeToFirstToken += s.crossDomainDelay
	}
	s.schedule(timeToFirstToken, ifStillRunning(func() { s.startAnswer(c, e) }))
	s.schedule(timeToFirstToken+time.Second, ifStillRunning(func() { c.policy.Progress(s.now, e.ID, slowedDown(timePerToken)) }))
	s.schedule(timeToFirstToken+slowedDown(time.Duration(c.query.Cost*float64(timePerToken))), ifStillRunning(func() { s.finishAnswer(c, e) }))
}

func (s *simulation) startAnswer(c *call, e *engine) {
	c.started, c.timeToFirstToken = true, s.now.Sub(c.sentAt)
	c.policy.Started(s.now, e.ID, c.timeToFirstToken)
	if !c.answered && s.isMeasured(c) {
		s.firstTokenDelays = append(s.firstTokenDelays, s.now.Sub(c.arrivedAt))
	}
	c.answered = true
}

func (s *simulation) finishAnswer(c *call, e *engine) {
	i := slices.Index(e.runningCalls, c)
	e.runningCalls = slices.Delete(e.runningCalls, i, i+1)
	s.recordFinished(c, e, health.None)
	if len(e.waitingCalls) > 0 {
		nextCall := e.waitingCalls[0]
		e.waitingCalls = e.waitingCalls[1:]
		s.serve(nextCall, e)
	}
}

func (s *simulation) prefillTimeOf(c *call, e *engine) time.Duration {
	if c.query.Prefix == 0 {
		return s.prefillTime
	}
	i := slices.Index(e.cachedPrefixes, c.query.Prefix)
	if i >= 0 {
		e.cachedPrefixes = slices.Delete(e.cachedPrefixes, i, i+1)
	}
	e.cachedPrefixes = append(e.cachedPrefixes, c.query.Prefix)
	s.cacheLookups++
	if i >= 0 {
		s.cacheHits++
		return s.cachedPrefillTime
	}
	e.cacheEvents.publish(s.now, c.query.Prefix, true)
	for len(e.cachedPrefixes) > cacheCapacity {
		e.cacheEvents.publish(s.now, e.cachedPrefixes[0], false)
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return s.prefillTime
}

// delayPercentile returns the given percentile of the time to first token over all
// measured calls. The fraction is from 0 to 1. Calls without an answer count as an
// hour.
func (s *simulation) delayPercentile(fraction float64) time.Duration {
	if i := int(fraction * float64(s.measuredCalls)); i < len(s.firstTokenDelays) {
		return s.firstTokenDelays[i]
	}
	return time.Hour
}

// countReceived returns how many requests the endpoints received in the interval.
func countReceived(from, to time.Duration, engines ...*engine) int {
	count := 0
	for _, e := range engines {
		for _, receivedAt := range e.receivedAt {
			if sinceEpoch := receivedAt.Sub(epoch); sinceEpoch >= from && sinceEpoch < to {
				count++
			}
		}
	}
	return count
}

// timeToLastRequest returns the time from the fault to the last request that the
// endpoints received. Requests after the first gap of three seconds do not count.
// An ejection causes such a gap, and the requests after the gap are probes.
func timeToLastRequest(faultAt time.Duration, engines ...*engine) time.Duration {
	longestTime := time.Duration(0)
	for _, e := range engines {
		lastRequestAt := faultAt
		for _, r := range e.receivedAt {
			if sinceEpoch := r.Sub(epoch); sinceEpoch > lastRequestAt && sinceEpoch < lastRequestAt+3*time.Second {
				lastRequestAt = sinceEpoch
			}
		}
		longestTime = max(longestTime, lastRequestAt-faultAt)
	}
	return longestTime
}
