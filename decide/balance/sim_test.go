package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
)

// The simulator below is an event loop over endpoints with slots, a queue and a
// cache of prefixes. It judges a policy by what callers receive: the delay to
// the first token, and the requests that failed after all attempts.

var epoch = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

type policy interface {
	Pick(now time.Time, q Query) (Choice, bool)
	Sent(now time.Time, id string, cost float64)
	Started(now time.Time, id string, firstToken time.Duration)
	Progress(now time.Time, id string, perToken time.Duration)
	Finished(now time.Time, id string, r Result)
	Report(now time.Time, id string, l Load)
	SetReplicas(now time.Time, replicas []Replica)
}

// roundRobin is the baseline: all replicas in turn, whatever becomes of them.
type roundRobin struct {
	replicas []Replica
	next     int
}

func (r *roundRobin) Pick(_ time.Time, q Query) (Choice, bool) {
	r.next++
	return Choice{Replica: r.replicas[r.next%len(r.replicas)].ID}, true
}
func (r *roundRobin) Sent(time.Time, string, float64)             {}
func (r *roundRobin) Started(time.Time, string, time.Duration)    {}
func (r *roundRobin) Progress(time.Time, string, time.Duration)   {}
func (r *roundRobin) Finished(time.Time, string, Result)          {}
func (r *roundRobin) Report(time.Time, string, Load)              {}
func (r *roundRobin) SetReplicas(_ time.Time, replicas []Replica) { r.replicas = replicas }

// leastReported is the baseline that herds: the least loaded by report.
type leastReported struct {
	roundRobin
	load map[string]int
}

func (l *leastReported) Report(_ time.Time, id string, r Load) { l.load[id] = r.Running + r.Waiting }
func (l *leastReported) Pick(now time.Time, q Query) (Choice, bool) {
	best := slices.MinFunc(l.replicas, func(a, b Replica) int { return l.load[a.ID] - l.load[b.ID] })
	return Choice{Replica: best.ID}, true
}

// hashed is the baseline of affinity without a bound.
type hashed struct{ roundRobin }

func (h *hashed) Pick(now time.Time, q Query) (Choice, bool) {
	return Choice{Replica: h.replicas[q.Prefix%uint64(len(h.replicas))].ID}, true
}

type event struct {
	at  time.Time
	seq int
	do  func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type engine struct {
	Replica
	slow     float64 // factor on all times
	coldTill time.Time
	dead     bool // refuses connections
	frozen   bool // takes requests and answers nothing
	leaving  bool
	queue    []*call
	serving  []*call
	cache    []uint64
	received []time.Time
	hits     int
}

type call struct {
	node     int
	arrived  time.Time
	sent     time.Time // of the attempt underway
	started  bool      // the attempt underway has given its first token
	first    time.Duration
	answered bool // the caller has its first token
	query    Query
	attempts int
}

// world is one run.
type world struct {
	now     time.Time
	random  *rand.Rand
	events  events
	seq     int
	engines []*engine
	nodes   []policy

	prefill, cachedPrefill, perToken, link time.Duration
	cacheSize                              int
	reportLag                              time.Duration
	delays                                 []time.Duration
	arrived, failed                        int
}

const (
	engineSlots = 8
	meanCost    = 100.0
	timeout     = 8 * time.Second
	attempts    = 3
)

// newWorld has endpoints of 8 slots, at 1 s of a slot for a mean request: 8
// requests a second each.
func newWorld(perDomain int, domains ...string) *world {
	w := &world{
		now: epoch, random: rand.New(rand.NewPCG(7, 11)), cacheSize: 8,
		prefill: 200 * time.Millisecond, cachedPrefill: 200 * time.Millisecond,
		perToken: 8 * time.Millisecond, reportLag: 200 * time.Millisecond,
	}
	for _, d := range domains {
		for i := range perDomain {
			w.addEngine(fmt.Sprintf("%s-%d", d, i), d)
		}
	}
	return w
}

func (w *world) addEngine(id, domain string) *engine {
	e := &engine{Replica: Replica{ID: id, FailureDomain: domain, Slots: engineSlots}, slow: 1}
	w.engines = append(w.engines, e)
	return e
}

func (w *world) replicas() []Replica {
	var all []Replica
	for _, e := range w.engines {
		all = append(all, e.Replica)
	}
	return all
}

func (w *world) addNode(p policy) {
	p.SetReplicas(w.now, w.replicas())
	w.nodes = append(w.nodes, p)
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

// arrivals lets calls arrive at random, at the rate that load gives.
func (w *world) arrivals(load func(time.Duration) float64, prefix func(*rand.Rand) uint64, length time.Duration) {
	var next func()
	next = func() {
		q := Query{Cost: 20 + w.random.ExpFloat64()*(meanCost-20)}
		if prefix != nil {
			q.Prefix = prefix(w.random)
		}
		w.arrived++
		w.attempt(&call{node: w.random.IntN(len(w.nodes)), arrived: w.now, query: q})
		wait := time.Duration(w.random.ExpFloat64() / load(w.now.Sub(epoch)) * float64(time.Second))
		if w.now.Add(wait).Sub(epoch) < length {
			w.after(wait, next)
		}
	}
	w.after(0, next)
	w.after(0, w.reports)
	for len(w.events) > 0 && w.now.Sub(epoch) < length+time.Minute {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) reports() {
	for _, e := range w.engines {
		if e.dead || e.frozen {
			continue
		}
		l := Load{Running: len(e.serving), Waiting: len(e.queue), Age: w.reportLag, Leaving: e.leaving}
		w.after(w.reportLag, func() {
			for _, n := range w.nodes {
				n.Report(w.now, e.ID, l)
			}
		})
	}
	w.after(time.Second, w.reports)
}

func (w *world) attempt(c *call) {
	c.attempts++
	choice, ok := w.nodes[c.node].Pick(w.now, c.query)
	if !ok {
		w.failed++
		return
	}
	e := w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.ID == choice.Replica })]
	c.sent, c.started = w.now, false
	w.nodes[c.node].Sent(w.now, e.ID, c.query.Cost)
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
	w.after(d, func() { w.lose(c, e, f) })
}

func (w *world) lose(c *call, e *engine, f health.Failure) {
	w.nodes[c.node].Finished(w.now, e.ID, Result{
		Cost: c.query.Cost, Total: w.now.Sub(c.sent), Failure: f, Started: c.started,
	})
	c.query.Exclude = append(c.query.Exclude, e.ID)
	if c.attempts == attempts {
		w.failed++
		return
	}
	w.attempt(c)
}

// strike ends an endpoint: its calls break at once, or, if it freezes, run into
// their timeout.
func (w *world) strike(e *engine, freeze bool) {
	e.dead, e.frozen = !freeze, freeze
	d, f := time.Millisecond, health.Broken
	if freeze {
		d, f = timeout, health.Timeout
	}
	for _, c := range slices.Concat(e.serving, e.queue) {
		w.loseAfter(d, c, e, f)
	}
	e.serving, e.queue = nil, nil
}

func (w *world) serve(c *call, e *engine) {
	e.serving = append(e.serving, c)
	slow := e.slow
	if w.now.Before(e.coldTill) {
		slow *= 4
	}
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * slow) }
	first := w.link + scale(w.prefillOf(c, e))
	w.after(first, func() {
		if !slices.Contains(e.serving, c) || c.started {
			return
		}
		c.started = true
		c.first = w.now.Sub(c.sent)
		w.nodes[c.node].Started(w.now, e.ID, w.now.Sub(c.sent))
		if !c.answered {
			c.answered = true
			w.delays = append(w.delays, w.now.Sub(c.arrived))
		}
	})
	w.after(first+time.Second, func() {
		if slices.Contains(e.serving, c) {
			w.nodes[c.node].Progress(w.now, e.ID, scale(w.perToken))
		}
	})
	w.after(first+scale(time.Duration(c.query.Cost*float64(w.perToken))), func() { w.finish(c, e) })
}

func (w *world) finish(c *call, e *engine) {
	i := slices.Index(e.serving, c)
	if i < 0 {
		return
	}
	e.serving = slices.Delete(e.serving, i, i+1)
	w.nodes[c.node].Finished(w.now, e.ID, Result{Cost: c.query.Cost, Total: w.now.Sub(c.sent), Started: true, FirstToken: c.first})
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
	if i := slices.Index(e.cache, c.query.Prefix); i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), c.query.Prefix)
		e.hits++
		return w.cachedPrefill
	}
	e.cache = append(e.cache, c.query.Prefix)
	e.cache = e.cache[max(0, len(e.cache)-w.cacheSize):]
	return w.prefill
}

// percentile is over all calls; those not answered count as an hour.
func (w *world) percentile(p float64) time.Duration {
	slices.Sort(w.delays)
	if i := int(p * float64(w.arrived)); i < len(w.delays) {
		return w.delays[i]
	}
	return time.Hour
}

// receivedAfter counts the requests that the endpoints got from t on.
func receivedAfter(t time.Time, engines ...*engine) int {
	n := 0
	for _, e := range engines {
		for _, r := range e.received {
			if !r.Before(t) {
				n++
			}
		}
	}
	return n
}
