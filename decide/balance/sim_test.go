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

// The simulator is an event loop over endpoints with slots, a queue and a cache
// of prefixes. It judges a policy by what callers receive: the delay to the
// first token, and the requests that failed after all attempts.

var epoch = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

const (
	engineSlots = 8
	cacheSize   = 8 // prefixes
	meanCost    = 100.0
	perToken    = 8 * time.Millisecond
	coldFor     = 20 * time.Second
	timeout     = 8 * time.Second
	maxAttempts = 3
)

// policy is a Balancer, or a baseline that chooses among all replicas by one
// rule, whatever becomes of them.
type policy struct {
	*Balancer
	rule     func(p *policy, q Query) Replica
	replicas []Replica
	turn     int
	reported map[string]int
	hints    *cacheindex.Index // nil: by hash alone
}

func baseline(rule func(p *policy, q Query) Replica) func(int) *policy {
	return func(node int) *policy {
		return &policy{Balancer: New(Config{}), rule: rule, turn: node * 5, reported: map[string]int{}}
	}
}

func (p *policy) pick(now time.Time, q Query) (Choice, bool) {
	if p.rule == nil {
		return p.Pick(now, q)
	}
	return Choice{Replica: p.rule(p, q).ID}, true
}

func (p *policy) inTurn(of int) Replica {
	p.turn++
	return p.replicas[p.turn%of]
}

var (
	roundRobin    = baseline(func(p *policy, _ Query) Replica { return p.inTurn(len(p.replicas)) })
	hashOnly      = baseline(func(p *policy, q Query) Replica { return p.replicas[q.Prefix%uint64(len(p.replicas))] })
	leastReported = baseline(func(p *policy, _ Query) Replica {
		return slices.MinFunc(p.replicas, func(x, y Replica) int { return p.reported[x.ID] - p.reported[y.ID] })
	})
)

type event struct {
	at time.Time
	do func()
}
type engine struct {
	Replica
	slow                  float64 // factor on all times
	coldTill              time.Time
	dead, frozen, leaving bool
	queue, serving        []*call
	cache                 []uint64
	events                cacheEvents
	received              []time.Time
}

type call struct {
	policy   *policy
	arrived  time.Time
	sent     time.Time // of the attempt underway, and its time to the first token
	first    time.Duration
	started  bool // the attempt underway has given its first token
	answered bool // the caller has its first token
	query    Query
	attempts int
}

// world is one run.
type world struct {
	now      time.Time
	random   *rand.Rand
	events   []event // by time
	engines  []*engine
	policies []*policy

	prefill, cachedPrefill time.Duration
	reportLag, farLink     time.Duration
	coldness               float64
	from, until            time.Duration // calls judged, by arrival
	delays                 []time.Duration
	arrived, failed        int
	asked, hits            int // prompts with a prefix, and those found cached
}

// newWorld has endpoints that hold a mean request for 1 s: 8 requests a second
// each.
func newWorld(nodes int, make func(int) *policy, perDomain int, domains ...string) *world {
	w := &world{
		now: epoch, random: rand.New(rand.NewPCG(7, 11)), until: time.Hour,
		prefill: 200 * time.Millisecond, cachedPrefill: 200 * time.Millisecond, reportLag: 200 * time.Millisecond,
	}
	for _, d := range domains {
		for i := range perDomain {
			w.addEngine(fmt.Sprintf("%s-%d", d, i), d)
		}
	}
	for i := range nodes {
		w.policies = append(w.policies, make(i))
	}
	w.tellReplicas()
	return w
}

func (w *world) addEngine(id, domain string) *engine {
	e := &engine{Replica: Replica{ID: id, FailureDomain: domain, Slots: engineSlots}, slow: 1}
	w.engines = append(w.engines, e)
	return e
}

func (w *world) tellReplicas() {
	var all []Replica
	for _, e := range w.engines {
		all = append(all, e.Replica)
	}
	for _, p := range w.policies {
		p.replicas = all
		p.SetReplicas(w.now, all)
	}
}

func (w *world) after(d time.Duration, do func()) {
	at := w.now.Add(d)
	i, _ := slices.BinarySearchFunc(w.events, at, func(e event, at time.Time) int {
		return cmp.Or(e.at.Compare(at), -1) // after those of the same time
	})
	w.events = slices.Insert(w.events, i, event{at, do})
}

// run lets calls arrive at random for a minute, at a rate that may change, and
// two minutes more for the answers.
func (w *world) run(rate func(seconds float64) float64, prefix func(*rand.Rand) uint64) {
	w.after(0, func() { w.arrive(rate, prefix) })
	w.after(0, w.report)
	for len(w.events) > 0 && w.now.Sub(epoch) < 3*time.Minute {
		e := w.events[0]
		w.events, w.now = w.events[1:], e.at
		e.do()
	}
	slices.Sort(w.delays)
}

func (w *world) arrive(rate func(float64) float64, prefix func(*rand.Rand) uint64) {
	q := Query{Cost: 20 + w.random.ExpFloat64()*(meanCost-20)}
	if prefix != nil {
		q.Prefix = prefix(w.random)
	}
	c := &call{policy: w.policies[w.random.IntN(len(w.policies))], arrived: w.now, query: q}
	if w.judged(c) {
		w.arrived++
	}
	w.attempt(c)
	wait := time.Duration(w.random.ExpFloat64() / rate(w.now.Sub(epoch).Seconds()) * float64(time.Second))
	if w.now.Add(wait).Sub(epoch) < time.Minute {
		w.after(wait, func() { w.arrive(rate, prefix) })
	}
}

func (w *world) judged(c *call) bool {
	at := c.arrived.Sub(epoch)
	return at >= w.from && at < w.until
}

func (w *world) report() {
	for _, e := range w.engines {
		if e.dead || e.frozen {
			continue
		}
		l := Load{Running: len(e.serving), Waiting: len(e.queue), Age: w.reportLag}
		w.after(w.reportLag, func() {
			for _, p := range w.policies {
				p.reported[e.ID] = l.Running + l.Waiting
				p.Report(w.now, e.ID, l)
			}
		})
	}
	w.after(time.Second, w.report)
}

func (w *world) attempt(c *call) {
	c.attempts++
	if c.policy.hints != nil {
		c.query.Holders = c.policy.hints.Holders(w.now, []uint64{c.query.Prefix})
	}
	choice, ok := c.policy.pick(w.now, c.query)
	if !ok || c.attempts > maxAttempts {
		w.failed++
		return
	}
	e := w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.ID == choice.Replica })]
	c.sent, c.started, c.first = w.now, false, 0
	c.policy.Sent(w.now, e.ID, c.query.Cost)
	e.received = append(e.received, w.now)
	switch {
	case e.dead:
		w.loseAfter(time.Millisecond, c, e, health.Unreachable)
	case e.frozen:
		w.loseAfter(timeout, c, e, health.Timeout)
	case e.leaving:
		w.loseAfter(time.Millisecond, c, e, health.Leaving)
	case len(e.serving) < e.Slots:
		w.serve(c, e)
	default:
		e.queue = append(e.queue, c)
	}
}

func (w *world) loseAfter(d time.Duration, c *call, e *engine, f health.Failure) {
	w.after(d, func() {
		w.finished(c, e, f)
		c.query.Exclude = append(c.query.Exclude, e.ID)
		w.attempt(c)
	})
}

func (w *world) finished(c *call, e *engine, f health.Failure) {
	r := Result{Cost: c.query.Cost, Total: w.now.Sub(c.sent), Failure: f, Started: c.started, FirstToken: c.first}
	c.policy.Finished(w.now, e.ID, r)
}

// strike ends an endpoint: its calls break at once, or, if it freezes, run into
// their timeout.
func (w *world) strike(e *engine, freeze bool) {
	e.dead, e.frozen = !freeze, freeze
	for _, c := range slices.Concat(e.serving, e.queue) {
		if freeze {
			w.loseAfter(timeout, c, e, health.Timeout)
		} else {
			w.loseAfter(time.Millisecond, c, e, health.Broken)
		}
	}
	e.serving, e.queue = nil, nil
}

func (w *world) serve(c *call, e *engine) {
	e.serving = append(e.serving, c)
	slow := e.slow + w.coldness*max(0, float64(e.coldTill.Sub(w.now))/float64(coldFor))
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * slow) }
	ifServing := func(do func()) func() {
		return func() {
			if slices.Contains(e.serving, c) {
				do()
			}
		}
	}
	first := scale(w.prefillOf(c, e))
	if e.FailureDomain != w.engines[0].FailureDomain {
		first += w.farLink
	}
	w.after(first, ifServing(func() { w.start(c, e) }))
	w.after(first+time.Second, ifServing(func() { c.policy.Progress(w.now, e.ID, scale(perToken)) }))
	w.after(first+scale(time.Duration(c.query.Cost*float64(perToken))), ifServing(func() { w.finish(c, e) }))
}

func (w *world) start(c *call, e *engine) {
	c.started, c.first = true, w.now.Sub(c.sent)
	c.policy.Started(w.now, e.ID, c.first)
	if !c.answered && w.judged(c) {
		w.delays = append(w.delays, w.now.Sub(c.arrived))
	}
	c.answered = true
}

func (w *world) finish(c *call, e *engine) {
	i := slices.Index(e.serving, c)
	e.serving = slices.Delete(e.serving, i, i+1)
	w.finished(c, e, health.None)
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		w.serve(next, e)
	}
}

func (w *world) prefillOf(c *call, e *engine) time.Duration {
	if c.query.Prefix == 0 {
		return w.prefill
	}
	i := slices.Index(e.cache, c.query.Prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, c.query.Prefix)
	w.asked++
	if i >= 0 {
		w.hits++
		return w.cachedPrefill
	}
	e.events.publish(w.now, c.query.Prefix, true)
	for len(e.cache) > cacheSize {
		e.events.publish(w.now, e.cache[0], false)
		e.cache = e.cache[1:]
	}
	return w.prefill
}

// percentile is over all calls judged; those never answered count as an hour.
func (w *world) percentile(p float64) time.Duration {
	if i := int(p * float64(w.arrived)); i < len(w.delays) {
		return w.delays[i]
	}
	return time.Hour
}

// receivedBetween counts the requests that the endpoints got.
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

// quietAfter is how long after the event the endpoints still got requests
// until the first pause that an ejection makes.
func quietAfter(event time.Duration, engines ...*engine) time.Duration {
	worst := time.Duration(0)
	for _, e := range engines {
		last := event
		for _, r := range e.received {
			if at := r.Sub(epoch); at > last && at < last+3*time.Second {
				last = at
			}
		}
		worst = max(worst, last-event)
	}
	return worst
}
