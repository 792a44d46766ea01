package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/decide/balance"
	"github.com/cicadatack/cicadatack/decide/health"
)

// Fleet is a run of several nodes, each with its own queue and balancer, before
// replicas that they share. The nodes learn of each other's requests only from
// the replicas' reports.
type Fleet struct {
	// Nodes are the nodes' parts of the calls; they add up to 1. A call of a
	// team with a heavy node is sent there however long its queue is, as callers
	// keep the addresses they were given.
	Nodes    []float64
	Replicas int
	// Slots are those of a replica; it queues what comes beyond them.
	Slots int
	// Step is the time of a token, the same in every slot.
	Step time.Duration
	// Tokens of an answer.
	Tokens int
	Teams  int
	// Offered is the load over the bound.
	Offered float64
	// Prelude is served before.
	Prelude Prelude
	// Patience is how long a caller waits for its whole answer.
	Patience time.Duration
	// Length of the run; calls from Warm on are judged.
	Length, Warm time.Duration
	Seed         uint64
	// InTurn sends the calls to the replicas in turn, without nodes.
	InTurn bool
	// Domains is the number of failure domains, among which nodes and replicas
	// are dealt in turn; zero: one.
	Domains int
	// OnePrompt has all callers ask with the same prompt, which each replica
	// keeps cached.
	OnePrompt bool
	// Strangers keeps from the nodes how many they are, so that none counts on a
	// part of the slots of its own.
	Strangers bool
}

// Prelude is a load before that of the run, and a pause after it.
type Prelude struct {
	// Offered is the load over the bound.
	Offered    float64
	For, Pause time.Duration
}

const (
	// reportLag is how old a replica's report may be: it is renewed no sooner.
	reportLag = 100 * time.Millisecond
	// reportEvery is the number of tokens between two reports on an answer.
	reportEvery = 8
	// refreshEvery is how often a node looks again at its slots.
	refreshEvery = time.Second
	// onePrompt names the prefix of the prompt that all callers share.
	onePrompt = 12345
)

// Bound is what the replicas can answer, in calls a second.
func (f Fleet) Bound() float64 {
	return float64(f.Replicas*f.Slots) / (float64(f.Tokens) * f.Step.Seconds())
}

// domain of the i-th node or replica.
func (f Fleet) domain(i int) string {
	return fmt.Sprint("domain-", i%max(f.Domains, 1))
}

// Answer is what one caller of a Fleet received.
type Answer struct {
	Sent time.Duration // since Start
	// FirstToken and Total are since the call; FirstToken is zero if none came.
	FirstToken, Total time.Duration
	// Whole is set if the answer was whole while the caller waited, Refused if
	// the caller was told that it will not run. Neither: it waited in vain.
	Whole, Refused bool
	RetryAfter     time.Duration
	Node           int
}

type fleet struct {
	Fleet
	*Loop
	rng      *rand.Rand // of the arrivals, the same however they are served
	draws    *rand.Rand // of nodes and teams
	nodes    []*fleetNode
	replicas []*fleetReplica
	turn     int
	answers  []*Answer
}

type fleetReplica struct {
	id      string
	running int
	waiting []*fleetCall
	report  balance.Load
	taken   time.Time
}

type fleetNode struct {
	index    int
	queue    *admission.Queue
	balancer *balance.Balancer
	waiting  map[uint64]*fleetCall
	nextID   uint64
	nextTick time.Time
	slots    int
	running  int
	took     time.Duration // mean time of an answer
}

type fleetCall struct {
	*Answer
	id      uint64
	node    *fleetNode
	replica *fleetReplica
	cost    float64
	tokens  float64 // come so far
	sent    time.Time
	first   time.Duration
	gone    bool
}

// RunFleet plays the run and returns the judged calls in order of arrival.
func RunFleet(f Fleet) []*Answer {
	r := &fleet{Fleet: f, Loop: NewLoop(), rng: rand.New(rand.NewPCG(f.Seed, 3)), draws: rand.New(rand.NewPCG(f.Seed, 4))}
	var replicas []balance.Replica
	for i := range f.Replicas {
		id := fmt.Sprint("replica-", i)
		r.replicas = append(r.replicas, &fleetReplica{id: id})
		replicas = append(replicas, balance.Replica{ID: id, Slots: f.Slots, FailureDomain: f.domain(i)})
	}
	for i := range f.Nodes {
		r.addNode(i, replicas)
	}
	r.arrive()
	r.Run(Start.Add(f.Length + f.Patience))
	return slices.DeleteFunc(r.answers, func(a *Answer) bool { return a.Sent < f.Warm })
}

func (r *fleet) addNode(i int, replicas []balance.Replica) {
	n := &fleetNode{
		index:    i,
		queue:    admission.New(admission.Config{SlotRate: 1 / r.Step.Seconds()}),
		balancer: balance.New(balance.Config{Node: fmt.Sprint("vm-", i), FailureDomain: r.domain(i), Seed: uint64(i) + r.Seed*64}),
		waiting:  map[uint64]*fleetCall{},
	}
	n.balancer.SetReplicas(r.Now, replicas)
	if !r.Strangers {
		n.balancer.SetNodes(len(r.Fleet.Nodes))
	}
	r.nodes = append(r.nodes, n)
	r.refresh(n)
}

func (r *fleet) refresh(n *fleetNode) {
	r.follow(n)
	r.At(r.Now.Add(refreshEvery), func() { r.refresh(n) })
}

// follow tells the queue the slots that the balancer sees.
func (r *fleet) follow(n *fleetNode) {
	slots := max(1, n.running+n.balancer.Room(r.Now))
	if slots == n.slots {
		return
	}
	n.slots = slots
	r.act(n, n.queue.SetShare(r.Now, slots, n.balancer.Capacity(r.Now)))
}

func (r *fleet) arrive() {
	next := r.next()
	if next.Sub(Start) > r.Length {
		return
	}
	r.At(next, func() {
		r.call()
		r.arrive()
	})
}

// next draws the time of the next call.
func (r *fleet) next() time.Time {
	begin, end := Start.Add(r.Prelude.For), Start.Add(r.Prelude.For+r.Prelude.Pause)
	if r.Now.Before(begin) {
		if at := r.Now.Add(r.gap(r.Prelude.Offered)); at.Before(begin) {
			return at
		}
		return end
	}
	return r.Now.Add(r.gap(r.Offered))
}

func (r *fleet) gap(offered float64) time.Duration {
	return time.Duration(r.rng.ExpFloat64() / (offered * r.Bound()) * float64(time.Second))
}

func (r *fleet) call() {
	a := &Answer{Sent: r.Now.Sub(Start)}
	r.answers = append(r.answers, a)
	c := &fleetCall{Answer: a, cost: float64(r.Tokens)}
	if r.InTurn {
		r.turn++
		c.replica = r.replicas[r.turn%len(r.replicas)]
		r.serve(c)
	} else {
		r.offer(c)
	}
	r.At(r.Now.Add(r.Patience), func() { r.leave(c) })
}

func (r *fleet) offer(c *fleetCall) {
	n := r.draw()
	c.node, c.Node = n, n.index
	n.nextID++
	c.id = n.nextID
	n.waiting[c.id] = c
	answer := max(n.took, time.Duration(r.Tokens)*r.Step)
	r.act(n, n.queue.Offer(r.Now, admission.Request{
		ID: c.id, Team: fmt.Sprint("team-", r.draws.IntN(r.Teams)), Class: admission.Interactive,
		Cost: c.cost, Deadline: r.Now.Add(r.Patience - answer),
	}))
}

func (r *fleet) draw() *fleetNode {
	at := r.draws.Float64()
	for i, part := range r.Nodes {
		if at -= part; at <= 0 {
			return r.nodes[i]
		}
	}
	return r.nodes[len(r.nodes)-1]
}

// act does what the queue says and plans its next own event.
func (r *fleet) act(n *fleetNode, verdicts []admission.Verdict) {
	r.deliver(n, verdicts)
	more, next := n.queue.Tick(r.Now)
	r.deliver(n, more)
	if next.After(r.Now) && !(n.nextTick.After(r.Now) && !next.Before(n.nextTick)) {
		n.nextTick = next
		r.At(next, func() { r.act(n, nil) })
	}
}

func (r *fleet) deliver(n *fleetNode, verdicts []admission.Verdict) {
	for _, v := range verdicts {
		c := n.waiting[v.ID]
		delete(n.waiting, v.ID)
		if v.Kind == admission.Refuse {
			c.Refused, c.gone = true, true
			c.RetryAfter = v.RetryAfter
			c.Total = r.Now.Sub(Start) - c.Sent
			continue
		}
		r.send(c)
	}
}

func (r *fleet) send(c *fleetCall) {
	n := c.node
	query := balance.Query{Cost: c.cost}
	if r.OnePrompt {
		query.Prefix = onePrompt
	}
	choice, _ := n.balancer.Pick(r.Now, query)
	n.balancer.Sent(r.Now, choice.Replica, c.cost)
	n.running++
	c.replica = r.replicas[slices.IndexFunc(r.replicas, func(e *fleetReplica) bool { return e.id == choice.Replica })]
	c.sent = r.Now
	r.serve(c)
}

func (r *fleet) serve(c *fleetCall) {
	e := c.replica
	if e.running == r.Slots {
		e.waiting = append(e.waiting, c)
		return
	}
	e.running++
	r.At(r.Now.Add(r.Step), func() { r.token(c, 0) })
}

// token is the number-th of the answer. A caller who has gone ends it.
func (r *fleet) token(c *fleetCall, number int) {
	if c.gone {
		r.free(c)
		return
	}
	c.tokens++
	if number == 0 {
		c.FirstToken = r.Now.Sub(Start) - c.Sent
		if c.node != nil {
			c.first = r.Now.Sub(c.sent)
			c.node.balancer.Started(r.Now, c.replica.id, c.first)
		}
	}
	if number%reportEvery == 0 {
		r.told(c)
	}
	if number+1 < r.Tokens {
		r.At(r.Now.Add(r.Step), func() { r.token(c, number+1) })
		return
	}
	c.Whole, c.gone = true, true
	c.Total = r.Now.Sub(Start) - c.Sent
	r.free(c)
}

// free ends the call's slot and tells its node.
func (r *fleet) free(c *fleetCall) {
	e := c.replica
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.serve(next)
	}
	if c.node == nil {
		return
	}
	result := balance.Result{Cost: c.cost, FirstToken: c.first, Total: r.Now.Sub(c.sent), Started: c.first > 0}
	if !c.Whole {
		result.Failure = health.Canceled
	}
	c.node.running--
	c.node.balancer.Finished(r.Now, e.id, result)
	r.told(c)
	r.follow(c.node)
	if !c.Whole {
		r.act(c.node, c.node.queue.Cut(r.Now, c.id, c.tokens))
		return
	}
	c.node.took += (result.Total - c.node.took) / 20
	r.act(c.node, c.node.queue.Finish(r.Now, c.id, c.tokens))
}

// told passes the replica's report to the call's node.
func (r *fleet) told(c *fleetCall) {
	if c.node == nil {
		return
	}
	e := c.replica
	if e.taken.IsZero() || r.Now.Sub(e.taken) >= reportLag {
		e.report = balance.Load{Running: e.running, Waiting: len(e.waiting)}
		e.taken = r.Now
	}
	l := e.report
	l.Age = r.Now.Sub(e.taken)
	c.node.balancer.Report(r.Now, e.id, l)
	r.follow(c.node)
}

// leave ends the patience of a caller.
func (r *fleet) leave(c *fleetCall) {
	if c.gone {
		return
	}
	c.gone = true
	c.Total = r.Patience
	if n := c.node; n != nil && n.waiting[c.id] != nil {
		delete(n.waiting, c.id)
		r.act(n, n.queue.Abandon(r.Now, c.id))
		return
	}
	e := c.replica
	if i := slices.Index(e.waiting, c); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.running++ // free takes it off again
		r.free(c)
	}
}
