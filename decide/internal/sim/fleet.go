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

// Fleet describes a run of several nodes, each with its own queue and balancer,
// that share replicas. A node learns of the other nodes' requests only from the
// replicas' load reports.
type Fleet struct {
	// Nodes holds each node's share of the calls; the shares add up to 1. A call
	// goes to its node regardless of the length of the queue there, because callers
	// keep the addresses they were given.
	Nodes    []float64
	Replicas int
	// Slots is the number of slots of each replica. A replica queues further
	// requests.
	Slots int
	// TokenTime is the time per token, the same in every slot.
	TokenTime time.Duration
	// Tokens is the length of each answer.
	Tokens int
	Teams  int
	// OfferedLoad is the rate of calls over Capacity.
	OfferedLoad float64
	// Preload is a load that precedes the run's own.
	Preload Preload
	// CallerTimeout is how long a caller waits for its whole answer.
	CallerTimeout time.Duration
	// Length is that of the run. RunFleet returns only the calls sent after Warmup.
	Length, Warmup time.Duration
	Seed           uint64
	// RoundRobin sends the calls to the replicas by round robin, without nodes.
	RoundRobin bool
	// Domains is the number of failure domains; zero means one. Nodes and replicas
	// are assigned to them by round robin.
	Domains int
	// SharedPrompt makes all callers send the same prompt, which every replica has
	// cached.
	SharedPrompt bool
	// HideNodeCount withholds the number of nodes from the balancers, so that no
	// node has a fair share of the slots.
	HideNodeCount bool
}

// Preload is a load before that of the run, followed by a pause.
type Preload struct {
	// OfferedLoad is the rate of calls over Capacity.
	OfferedLoad     float64
	Duration, Pause time.Duration
}

const (
	// reportInterval is the shortest time between two load reports made by a
	// replica; a report sent in between repeats the last one.
	reportInterval = 100 * time.Millisecond
	// tokensPerReport is the number of tokens of an answer between two load
	// reports.
	tokensPerReport = 8
	// refreshInterval is how often a node recomputes its slots when nothing else
	// happens.
	refreshInterval = time.Second
	// sharedPrefix is the prefix hash of the prompt that all callers share.
	sharedPrefix = 12345
)

// Capacity returns the calls per second that the replicas can answer.
func (f Fleet) Capacity() float64 {
	return float64(f.Replicas*f.Slots) / (float64(f.Tokens) * f.TokenTime.Seconds())
}

// domain returns the failure domain of the i-th node or replica.
func (f Fleet) domain(i int) string {
	return fmt.Sprint("domain-", i%max(f.Domains, 1))
}

// Answer records what one caller of a Fleet received.
type Answer struct {
	Sent time.Duration // since Start
	// FirstToken and Total are measured from the call; FirstToken is zero if no
	// token arrived.
	FirstToken, Total time.Duration
	// Completed is set if the whole answer arrived before the caller's timeout,
	// Refused if the request was refused. If neither is set, the caller timed out.
	Completed, Refused bool
	RetryAfter         time.Duration
	Node               int
}

type fleet struct {
	Fleet
	*Loop
	arrivalRNG    *rand.Rand // of the arrivals, which do not depend on how calls are served
	assignmentRNG *rand.Rand // of the nodes and teams of calls
	nodes         []*fleetNode
	replicas      []*fleetReplica
	nextReplica   int
	answers       []*Answer
}

type fleetReplica struct {
	id         string
	running    int
	waiting    []*fleetCall
	report     balance.Load
	reportedAt time.Time
}

type fleetNode struct {
	index          int
	queue          *admission.Queue
	balancer       *balance.Balancer
	waiting        map[uint64]*fleetCall
	nextID         uint64
	nextTick       time.Time
	slots          int
	running        int
	meanAnswerTime time.Duration // moving average
}

type fleetCall struct {
	*Answer
	id         uint64
	node       *fleetNode
	replica    *fleetReplica
	cost       float64
	received   float64 // tokens
	sent       time.Time
	firstToken time.Duration
	ended      bool
}

// RunFleet runs the simulation and returns the calls sent after Warmup, in order of
// arrival.
func RunFleet(f Fleet) []*Answer {
	r := &fleet{Fleet: f, Loop: NewLoop(), arrivalRNG: rand.New(rand.NewPCG(f.Seed, 3)), assignmentRNG: rand.New(rand.NewPCG(f.Seed, 4))}
	var replicas []balance.Replica
	for i := range f.Replicas {
		id := fmt.Sprint("replica-", i)
		r.replicas = append(r.replicas, &fleetReplica{id: id})
		replicas = append(replicas, balance.Replica{ID: id, Slots: f.Slots, FailureDomain: f.domain(i)})
	}
	for i := range f.Nodes {
		r.addNode(i, replicas)
	}
	r.scheduleArrival()
	r.Run(Start.Add(f.Length + f.CallerTimeout))
	return slices.DeleteFunc(r.answers, func(a *Answer) bool { return a.Sent < f.Warmup })
}

func (r *fleet) addNode(i int, replicas []balance.Replica) {
	n := &fleetNode{
		index:    i,
		queue:    admission.New(admission.Config{SlotRate: 1 / r.TokenTime.Seconds()}),
		balancer: balance.New(balance.Config{Node: fmt.Sprint("vm-", i), FailureDomain: r.domain(i), Seed: uint64(i) + r.Seed*64}),
		waiting:  map[uint64]*fleetCall{},
	}
	n.balancer.SetReplicas(r.Now, replicas)
	if !r.HideNodeCount {
		n.balancer.SetNodeCount(len(r.Fleet.Nodes))
	}
	r.nodes = append(r.nodes, n)
	r.refresh(n)
}

func (r *fleet) refresh(n *fleetNode) {
	r.updateShare(n)
	r.Schedule(r.Now.Add(refreshInterval), func() { r.refresh(n) })
}

// updateShare sets the queue's slots to those that the balancer allows.
func (r *fleet) updateShare(n *fleetNode) {
	slots := max(1, n.running+n.balancer.Headroom(r.Now))
	if slots == n.slots {
		return
	}
	n.slots = slots
	r.applyVerdicts(n, n.queue.SetShare(r.Now, slots, n.balancer.Capacity(r.Now)))
}

func (r *fleet) scheduleArrival() {
	next := r.nextArrival()
	if next.Sub(Start) > r.Length {
		return
	}
	r.Schedule(next, func() {
		r.startCall()
		r.scheduleArrival()
	})
}

// nextArrival draws the time of the next call.
func (r *fleet) nextArrival() time.Time {
	preloadEnd, pauseEnd := Start.Add(r.Preload.Duration), Start.Add(r.Preload.Duration+r.Preload.Pause)
	if r.Now.Before(preloadEnd) {
		if at := r.Now.Add(r.interarrival(r.Preload.OfferedLoad)); at.Before(preloadEnd) {
			return at
		}
		return pauseEnd
	}
	return r.Now.Add(r.interarrival(r.OfferedLoad))
}

func (r *fleet) interarrival(offered float64) time.Duration {
	return time.Duration(r.arrivalRNG.ExpFloat64() / (offered * r.Capacity()) * float64(time.Second))
}

func (r *fleet) startCall() {
	a := &Answer{Sent: r.Now.Sub(Start)}
	r.answers = append(r.answers, a)
	c := &fleetCall{Answer: a, cost: float64(r.Tokens)}
	if r.RoundRobin {
		r.nextReplica++
		c.replica = r.replicas[r.nextReplica%len(r.replicas)]
		r.serve(c)
	} else {
		r.offer(c)
	}
	r.Schedule(r.Now.Add(r.CallerTimeout), func() { r.expire(c) })
}

func (r *fleet) offer(c *fleetCall) {
	n := r.drawNode()
	c.node, c.Node = n, n.index
	n.nextID++
	c.id = n.nextID
	n.waiting[c.id] = c
	answerTime := max(n.meanAnswerTime, time.Duration(r.Tokens)*r.TokenTime)
	r.applyVerdicts(n, n.queue.Offer(r.Now, admission.Request{
		ID: c.id, Team: fmt.Sprint("team-", r.assignmentRNG.IntN(r.Teams)), Class: admission.Interactive,
		Cost: c.cost, Deadline: r.Now.Add(r.CallerTimeout - answerTime),
	}))
}

func (r *fleet) drawNode() *fleetNode {
	at := r.assignmentRNG.Float64()
	for i, share := range r.Nodes {
		if at -= share; at <= 0 {
			return r.nodes[i]
		}
	}
	return r.nodes[len(r.nodes)-1]
}

// applyVerdicts carries out the queue's verdicts and schedules its next tick.
func (r *fleet) applyVerdicts(n *fleetNode, verdicts []admission.Verdict) {
	r.deliver(n, verdicts)
	more, next := n.queue.Tick(r.Now)
	r.deliver(n, more)
	if next.After(r.Now) && !(n.nextTick.After(r.Now) && !next.Before(n.nextTick)) {
		n.nextTick = next
		r.Schedule(next, func() { r.applyVerdicts(n, nil) })
	}
}

func (r *fleet) deliver(n *fleetNode, verdicts []admission.Verdict) {
	for _, v := range verdicts {
		c := n.waiting[v.ID]
		delete(n.waiting, v.ID)
		if v.Kind == admission.Refuse {
			c.Refused, c.ended = true, true
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
	if r.SharedPrompt {
		query.Prefix = sharedPrefix
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
	r.Schedule(r.Now.Add(r.TokenTime), func() { r.emitToken(c, 0) })
}

// emitToken produces the token of the given number. If the caller has timed out, it
// ends the call instead.
func (r *fleet) emitToken(c *fleetCall, number int) {
	if c.ended {
		r.releaseSlot(c)
		return
	}
	c.received++
	if number == 0 {
		c.FirstToken = r.Now.Sub(Start) - c.Sent
		if c.node != nil {
			c.firstToken = r.Now.Sub(c.sent)
			c.node.balancer.Started(r.Now, c.replica.id, c.firstToken)
		}
	}
	if number%tokensPerReport == 0 {
		r.deliverReport(c)
	}
	if number+1 < r.Tokens {
		r.Schedule(r.Now.Add(r.TokenTime), func() { r.emitToken(c, number+1) })
		return
	}
	c.Completed, c.ended = true, true
	c.Total = r.Now.Sub(Start) - c.Sent
	r.releaseSlot(c)
}

// releaseSlot frees the call's slot and records the end of the call at its node.
func (r *fleet) releaseSlot(c *fleetCall) {
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
	result := balance.Result{Cost: c.cost, FirstToken: c.firstToken, Total: r.Now.Sub(c.sent), Started: c.firstToken > 0}
	if !c.Completed {
		result.Failure = health.Canceled
	}
	c.node.running--
	c.node.balancer.Finished(r.Now, e.id, result)
	r.deliverReport(c)
	r.updateShare(c.node)
	if !c.Completed {
		r.applyVerdicts(c.node, c.node.queue.Cut(r.Now, c.id, c.received))
		return
	}
	c.node.meanAnswerTime += (result.Total - c.node.meanAnswerTime) / 20
	r.applyVerdicts(c.node, c.node.queue.Finish(r.Now, c.id, c.received))
}

// deliverReport passes the replica's load report to the call's node.
func (r *fleet) deliverReport(c *fleetCall) {
	if c.node == nil {
		return
	}
	e := c.replica
	if e.reportedAt.IsZero() || r.Now.Sub(e.reportedAt) >= reportInterval {
		e.report = balance.Load{Running: e.running, Waiting: len(e.waiting)}
		e.reportedAt = r.Now
	}
	l := e.report
	l.Age = r.Now.Sub(e.reportedAt)
	c.node.balancer.Report(r.Now, e.id, l)
	r.updateShare(c.node)
}

// expire ends a call at the caller's timeout.
func (r *fleet) expire(c *fleetCall) {
	if c.ended {
		return
	}
	c.ended = true
	c.Total = r.CallerTimeout
	if n := c.node; n != nil && n.waiting[c.id] != nil {
		delete(n.waiting, c.id)
		r.applyVerdicts(n, n.queue.Abandon(r.Now, c.id))
		return
	}
	e := c.replica
	if i := slices.Index(e.waiting, c); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.running++ // releaseSlot subtracts it again
		r.releaseSlot(c)
	}
}
