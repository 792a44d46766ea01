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

// The simulator is an event loop over endpoints that have slots, a queue and a
// prefix cache. It rates a policy by what callers see: the time to the first
// token, and the requests that failed after all attempts.

var epoch = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

const (
	engineSlots    = 8
	cacheSize      = 8 // prefixes
	meanCost       = 100.0
	timePerToken   = 8 * time.Millisecond
	warmupTime     = 20 * time.Second
	attemptTimeout = 8 * time.Second
	maxAttempts    = 3
)

// policy is a Balancer, or a baseline that picks among all replicas by a fixed rule
// regardless of their state.
type policy struct {
	*Balancer
	rule     func(p *policy, q Query) Replica
	replicas []Replica
	next     int
	reported map[string]int
	hints    *cacheindex.Index // nil: prefixes are placed by hash alone
}

func baseline(rule func(p *policy, q Query) Replica) func(int) *policy {
	return func(node int) *policy {
		return &policy{Balancer: New(Config{}), rule: rule, next: node * 5, reported: map[string]int{}}
	}
}

func (p *policy) pick(now time.Time, q Query) (Choice, bool) {
	if p.rule == nil {
		return p.Pick(now, q)
	}
	return Choice{Replica: p.rule(p, q).ID}, true
}

func (p *policy) nextOf(n int) Replica {
	p.next++
	return p.replicas[p.next%n]
}

var (
	roundRobin    = baseline(func(p *policy, _ Query) Replica { return p.nextOf(len(p.replicas)) })
	hashOnly      = baseline(func(p *policy, q Query) Replica { return p.replicas[q.Prefix%uint64(len(p.replicas))] })
	leastReported = baseline(func(p *policy, _ Query) Replica {
		return slices.MinFunc(p.replicas, func(x, y Replica) int { return p.reported[x.ID] - p.reported[y.ID] })
	})
)

type event struct {
	at  time.Time
	run func()
}
type engine struct {
	Replica
	slowdown              float64 // factor on all service times
	coldUntil             time.Time
	dead, frozen, leaving bool
	queue, serving        []*call
	cache                 []uint64
	events                cacheEvents
	received              []time.Time
}

type call struct {
	policy     *policy
	arrived    time.Time
	sent       time.Time     // of the current attempt
	firstToken time.Duration // time to the first token of the current attempt
	started    bool          // the current attempt has produced its first token
	answered   bool          // the caller has received its first token
	query      Query
	attempts   int
}

// simulation is the state of one run.
type simulation struct {
	now      time.Time
	rng      *rand.Rand
	events   []event // ordered by time
	engines  []*engine
	policies []*policy

	prefill, cachedPrefill      time.Duration
	reportLag, crossDomainDelay time.Duration
	coldFactor                  float64
	measureFrom, measureUntil   time.Duration // calls that arrive in this interval are measured
	delays                      []time.Duration
	arrived, failed             int
	cacheLookups, cacheHits     int // prompts with a prefix, and those whose prefix was cached
}

// newSimulation creates endpoints that serve a mean request in 1 s, so that each
// serves 8 requests per second.
func newSimulation(nodes int, newPolicy func(int) *policy, perDomain int, domains ...string) *simulation {
	s := &simulation{
		now: epoch, rng: rand.New(rand.NewPCG(7, 11)), measureUntil: time.Hour,
		prefill: 200 * time.Millisecond, cachedPrefill: 200 * time.Millisecond, reportLag: 200 * time.Millisecond,
	}
	for _, d := range domains {
		for i := range perDomain {
			s.addEngine(fmt.Sprintf("%s-%d", d, i), d)
		}
	}
	for i := range nodes {
		s.policies = append(s.policies, newPolicy(i))
	}
	s.publishReplicas()
	return s
}

func (s *simulation) addEngine(id, domain string) *engine {
	e := &engine{Replica: Replica{ID: id, FailureDomain: domain, Slots: engineSlots}, slowdown: 1}
	s.engines = append(s.engines, e)
	return e
}

func (s *simulation) publishReplicas() {
	var all []Replica
	for _, e := range s.engines {
		all = append(all, e.Replica)
	}
	for _, p := range s.policies {
		p.replicas = all
		p.SetReplicas(s.now, all)
	}
}

func (s *simulation) schedule(d time.Duration, do func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at time.Time) int {
		return cmp.Or(e.at.Compare(at), -1) // after events of the same time
	})
	s.events = slices.Insert(s.events, i, event{at, do})
}

// run generates calls with random arrivals for a minute, at a rate that may change
// over time, and leaves two more minutes for the answers.
func (s *simulation) run(rate func(seconds float64) float64, prefix func(*rand.Rand) uint64) {
	s.schedule(0, func() { s.arrive(rate, prefix) })
	s.schedule(0, s.report)
	for len(s.events) > 0 && s.now.Sub(epoch) < 3*time.Minute {
		e := s.events[0]
		s.events, s.now = s.events[1:], e.at
		e.run()
	}
	slices.Sort(s.delays)
}

func (s *simulation) arrive(rate func(float64) float64, prefix func(*rand.Rand) uint64) {
	q := Query{Cost: 20 + s.rng.ExpFloat64()*(meanCost-20)}
	if prefix != nil {
		q.Prefix = prefix(s.rng)
	}
	c := &call{policy: s.policies[s.rng.IntN(len(s.policies))], arrived: s.now, query: q}
	if s.isMeasured(c) {
		s.arrived++
	}
	s.attempt(c)
	interarrival := time.Duration(s.rng.ExpFloat64() / rate(s.now.Sub(epoch).Seconds()) * float64(time.Second))
	if s.now.Add(interarrival).Sub(epoch) < time.Minute {
		s.schedule(interarrival, func() { s.arrive(rate, prefix) })
	}
}

func (s *simulation) isMeasured(c *call) bool {
	at := c.arrived.Sub(epoch)
	return at >= s.measureFrom && at < s.measureUntil
}

func (s *simulation) report() {
	for _, e := range s.engines {
		if e.dead || e.frozen {
			continue
		}
		l := Load{Running: len(e.serving), Waiting: len(e.queue), Age: s.reportLag}
		s.schedule(s.reportLag, func() {
			for _, p := range s.policies {
				p.reported[e.ID] = l.Running + l.Waiting
				p.Report(s.now, e.ID, l)
			}
		})
	}
	s.schedule(time.Second, s.report)
}

func (s *simulation) attempt(c *call) {
	c.attempts++
	if c.policy.hints != nil {
		c.query.Holders = c.policy.hints.Holders(s.now, []uint64{c.query.Prefix})
	}
	choice, ok := c.policy.pick(s.now, c.query)
	if !ok || c.attempts > maxAttempts {
		s.failed++
		return
	}
	e := s.engines[slices.IndexFunc(s.engines, func(e *engine) bool { return e.ID == choice.Replica })]
	c.sent, c.started, c.firstToken = s.now, false, 0
	c.policy.Sent(s.now, e.ID, c.query.Cost)
	e.received = append(e.received, s.now)
	switch {
	case e.dead:
		s.failAfter(time.Millisecond, c, e, health.Unreachable)
	case e.frozen:
		s.failAfter(attemptTimeout, c, e, health.Timeout)
	case e.leaving:
		s.failAfter(time.Millisecond, c, e, health.Leaving)
	case len(e.serving) < e.Slots:
		s.serve(c, e)
	default:
		e.queue = append(e.queue, c)
	}
}

func (s *simulation) failAfter(d time.Duration, c *call, e *engine, f health.Failure) {
	s.schedule(d, func() {
		s.finished(c, e, f)
		c.query.Exclude = append(c.query.Exclude, e.ID)
		s.attempt(c)
	})
}

func (s *simulation) finished(c *call, e *engine, f health.Failure) {
	r := Result{Cost: c.query.Cost, Total: s.now.Sub(c.sent), Failure: f, Started: c.started, FirstToken: c.firstToken}
	c.policy.Finished(s.now, e.ID, r)
}

// failEngine makes an endpoint fail: its calls break at once or, if it freezes, run
// into their timeout.
func (s *simulation) failEngine(e *engine, freeze bool) {
	e.dead, e.frozen = !freeze, freeze
	for _, c := range slices.Concat(e.serving, e.queue) {
		if freeze {
			s.failAfter(attemptTimeout, c, e, health.Timeout)
		} else {
			s.failAfter(time.Millisecond, c, e, health.Broken)
		}
	}
	e.serving, e.queue = nil, nil
}

func (s *simulation) serve(c *call, e *engine) {
	e.serving = append(e.serving, c)
	slow := e.slowdown + s.coldFactor*max(0, float64(e.coldUntil.Sub(s.now))/float64(warmupTime))
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * slow) }
	ifServing := func(do func()) func() {
		return func() {
			if slices.Contains(e.serving, c) {
				do()
			}
		}
	}
	first := scale(s.prefillOf(c, e))
	if e.FailureDomain != s.engines[0].FailureDomain {
		first += s.crossDomainDelay
	}
	s.schedule(first, ifServing(func() { s.start(c, e) }))
	s.schedule(first+time.Second, ifServing(func() { c.policy.Progress(s.now, e.ID, scale(timePerToken)) }))
	s.schedule(first+scale(time.Duration(c.query.Cost*float64(timePerToken))), ifServing(func() { s.finish(c, e) }))
}

func (s *simulation) start(c *call, e *engine) {
	c.started, c.firstToken = true, s.now.Sub(c.sent)
	c.policy.Started(s.now, e.ID, c.firstToken)
	if !c.answered && s.isMeasured(c) {
		s.delays = append(s.delays, s.now.Sub(c.arrived))
	}
	c.answered = true
}

func (s *simulation) finish(c *call, e *engine) {
	i := slices.Index(e.serving, c)
	e.serving = slices.Delete(e.serving, i, i+1)
	s.finished(c, e, health.None)
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		s.serve(next, e)
	}
}

func (s *simulation) prefillOf(c *call, e *engine) time.Duration {
	if c.query.Prefix == 0 {
		return s.prefill
	}
	i := slices.Index(e.cache, c.query.Prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, c.query.Prefix)
	s.cacheLookups++
	if i >= 0 {
		s.cacheHits++
		return s.cachedPrefill
	}
	e.events.publish(s.now, c.query.Prefix, true)
	for len(e.cache) > cacheSize {
		e.events.publish(s.now, e.cache[0], false)
		e.cache = e.cache[1:]
	}
	return s.prefill
}

// percentile is taken over all measured calls; calls without an answer count as an
// hour.
func (s *simulation) percentile(p float64) time.Duration {
	if i := int(p * float64(s.arrived)); i < len(s.delays) {
		return s.delays[i]
	}
	return time.Hour
}

// receivedBetween counts the requests that the endpoints received.
func receivedBetween(from, to time.Duration, engines ...*engine) int {
	n := 0
	for _, e := range engines {
		for _, r := range e.received {
			if at := r.Sub(epoch); at >= from && at < to {
				n++
			}
		}
	}
	return n
}

// lastRequestAfter returns how long after the fault the endpoints still received
// requests. It stops at the first gap of three seconds, as caused by an ejection;
// the probes that follow do not count.
func lastRequestAfter(fault time.Duration, engines ...*engine) time.Duration {
	worst := time.Duration(0)
	for _, e := range engines {
		last := fault
		for _, r := range e.received {
			if at := r.Sub(epoch); at > last && at < last+3*time.Second {
				last = at
			}
		}
		worst = max(worst, last-fault)
	}
	return worst
}
