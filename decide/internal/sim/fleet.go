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

// FleetScenario describes a run of several nodes that share replicas. Each node has its own
// queue and balancer, and learns of the other nodes' requests only from the
// replicas' load reports.
type FleetScenario struct {
	// NodeShares holds each node's share of the calls; the shares add up to 1. The
	// length of a node's queue does not influence which calls go to the node,
	// because callers keep the node addresses that they were given.
	NodeShares   []float64
	ReplicaCount int
	// SlotsPerReplica is the number of slots of each replica. A replica queues
	// requests beyond its slots.
	SlotsPerReplica int
	// TokenTime is the time that a slot takes for one token. All slots take the same
	// time.
	TokenTime time.Duration
	// TokensPerAnswer is the number of tokens of each answer.
	TokensPerAnswer int
	TeamCount       int
	// OfferedLoad is the rate of calls divided by Capacity.
	OfferedLoad float64
	// Preload is offered before the load of the run.
	Preload Preload
	// CallerTimeout is how long a caller waits for its whole answer.
	CallerTimeout time.Duration
	// Duration is how long calls are sent, the preload included. Warmup is the first
	// part of this time; RunFleet leaves out the calls that were sent in this part.
	Duration, Warmup time.Duration
	Seed             uint64
	// RoundRobin sends the calls directly to the replicas by round robin, without
	// nodes.
	RoundRobin bool
	// DomainCount is the number of failure domains; zero means one. Nodes and
	// replicas are assigned to the domains by round robin.
	DomainCount int
	// SharedPrompt makes all callers send the same prompt, which every replica has
	// cached.
	SharedPrompt bool
	// HideNodeCountFromBalancers withholds the number of nodes from the balancers.
	// Balancer.Headroom then takes the node's fair share of the slots as zero.
	HideNodeCountFromBalancers bool
}

// Preload is a load that is offered before the load of the run. No calls are sent
// in the IdleTime between the preload and the load of the run.
type Preload struct {
	// OfferedLoad is the rate of calls divided by Capacity.
	OfferedLoad float64
	// Duration is how long calls of the preload are sent. IdleTime is the time without
	// calls after the preload.
	Duration, IdleTime time.Duration
}

const (
	// reportInterval is the shortest time between two load reports made by a
	// replica. If another report is needed sooner, the replica sends its last
	// report again.
	reportInterval = 100 * time.Millisecond
	// tokensPerReport is the number of tokens between two load reports that a
	// replica sends with an answer.
	tokensPerReport = 8
	// admissionSlotsUpdateInterval is how often a node recomputes how many slots its
	// admission queue may fill. The node also recomputes this number at each report
	// and answer.
	admissionSlotsUpdateInterval = time.Second
	// sharedPrefix is the prefix hash of the prompt that all callers share.
	sharedPrefix = 12345
)

// Capacity returns the number of calls per second that the replicas can answer.
func (f FleetScenario) Capacity() float64 {
	return float64(f.ReplicaCount*f.SlotsPerReplica) / (float64(f.TokensPerAnswer) * f.TokenTime.Seconds())
}

// failureDomain returns the failure domain of the i-th node or replica.
func (f FleetScenario) failureDomain(i int) string {
	return fmt.Sprint("domain-", i%max(f.DomainCount, 1))
}

// Answer records what one caller of a FleetScenario received.
type Answer struct {
	SentAt time.Duration // when the caller sent the call, measured from Start
	// TimeToFirstToken and TotalTime are measured from the sending of the call.
	// TimeToFirstToken is zero if no token arrived.
	TimeToFirstToken, TotalTime time.Duration
	// Completed is set if the whole answer arrived before the caller's timeout.
	// Refused is set if the node refused the call. If neither is set, the caller
	// timed out.
	Completed, Refused bool
	RetryAfter         time.Duration
	NodeIndex          int
}

// fleetRun is the state of one run of a FleetScenario.
type fleetRun struct {
	FleetScenario
	*Loop
	arrivalRNG       *rand.Rand // for the arrival times of calls only; the arrival times are thus the same however calls are served
	assignmentRNG    *rand.Rand // for assigning calls to nodes and teams
	nodes            []*fleetNode
	replicas         []*fleetReplica
	nextReplicaIndex int
	answers          []*Answer
}

type fleetReplica struct {
	id               string
	runningCalls     int
	waitingCalls     []*fleetCall
	lastReport       balance.LoadReport
	lastReportMadeAt time.Time
}

type fleetNode struct {
	index          int
	queue          *admission.Queue
	balancer       *balance.Balancer
	waitingCalls   map[uint64]*fleetCall
	lastCallID     uint64
	nextTickAt     time.Time
	admissionSlots int           // number of slots that the admission queue may fill
	inflightCalls  int           // number of calls sent to replicas and not ended
	meanAnswerTime time.Duration // moving average of the time from sending a request to the end of its answer
}

type fleetCall struct {
	*Answer
	id                      uint64
	node                    *fleetNode
	replica                 *fleetReplica
	cost                    float64
	receivedTokens          float64       // number of tokens that the caller received
	sentToReplicaAt         time.Time     // when the node sent the request to the replica
	replicaTimeToFirstToken time.Duration // measured from sentToReplicaAt
	ended                   bool
}

// RunFleet runs the simulation. It returns the answers to the calls that were sent
// after Warmup, in order of the arrival of these calls.
func RunFleet(f FleetScenario) []*Answer {
	r := &fleetRun{FleetScenario: f, Loop: NewLoop(), arrivalRNG: rand.New(rand.NewPCG(f.Seed, 3)), assignmentRNG: rand.New(rand.NewPCG(f.Seed, 4))}
	var replicas []balance.Replica
	for i := range f.ReplicaCount {
		id := fmt.Sprint("replica-", i)
		r.replicas = append(r.replicas, &fleetReplica{id: id})
		replicas = append(replicas, balance.Replica{ID: id, Slots: f.SlotsPerReplica, FailureDomain: f.failureDomain(i)})
	}
	for i := range f.NodeShares {
		r.addNode(i, replicas)
	}
	r.scheduleArrival()
	r.Run(Start.Add(f.Duration + f.CallerTimeout))
	return slices.DeleteFunc(r.answers, func(a *Answer) bool { return a.SentAt < f.Warmup })
}

func (r *fleetRun) addNode(i int, replicas []balance.Replica) {
	n := &fleetNode{
		index:        i,
		queue:        admission.New(admission.Config{SlotRate: 1 / r.TokenTime.Seconds()}),
		balancer:     balance.New(balance.Config{Node: fmt.Sprint("vm-", i), FailureDomain: r.failureDomain(i), Seed: uint64(i) + r.Seed*64}),
		waitingCalls: map[uint64]*fleetCall{},
	}
	n.balancer.SetReplicas(r.Now, replicas)
	if !r.HideNodeCountFromBalancers {
		n.balancer.SetNodeCount(len(r.FleetScenario.NodeShares))
	}
	r.nodes = append(r.nodes, n)
	r.updateAdmissionSlotsPeriodically(n)
}

func (r *fleetRun) updateAdmissionSlotsPeriodically(n *fleetNode) {
	r.updateAdmissionSlots(n)
	r.Schedule(r.Now.Add(admissionSlotsUpdateInterval), func() { r.updateAdmissionSlotsPeriodically(n) })
}

// updateAdmissionSlots sets how many slots the node's admission queue may fill. This
// is the number of requests that the node has in flight plus the balancer's headroom,
// but at least 1.
func (r *fleetRun) updateAdmissionSlots(n *fleetNode) {
	slots := max(1, n.inflightCalls+n.balancer.Headroom(r.Now))
	if slots == n.admissionSlots {
		return
	}
	n.admissionSlots = slots
	r.applyVerdicts(n, n.queue.SetShare(r.Now, slots, n.balancer.Capacity(r.Now)))
}

func (r *fleetRun) scheduleArrival() {
	nextArrivalAt := r.nextArrival()
	if nextArrivalAt.Sub(Start) > r.Duration {
		return
	}
	r.Schedule(nextArrivalAt, func() {
		r.startCall()
		r.scheduleArrival()
	})
}

// nextArrival draws the time of the next call at random.
func (r *fleetRun) nextArrival() time.Time {
	preloadEnd, mainLoadStart := Start.Add(r.Preload.Duration), Start.Add(r.Preload.Duration+r.Preload.IdleTime)
	if r.Now.Before(preloadEnd) {
		if at := r.Now.Add(r.interarrivalTime(r.Preload.OfferedLoad)); at.Before(preloadEnd) {
			return at
		}
		return mainLoadStart
	}
	return r.Now.Add(r.interarrivalTime(r.OfferedLoad))
}

func (r *fleetRun) interarrivalTime(offeredLoad float64) time.Duration {
	return time.Duration(r.arrivalRNG.ExpFloat64() / (offeredLoad * r.Capacity()) * float64(time.Second))
}

func (r *fleetRun) startCall() {
	a := &Answer{SentAt: r.Now.Sub(Start)}
	r.answers = append(r.answers, a)
	c := &fleetCall{Answer: a, cost: float64(r.TokensPerAnswer)}
	if r.RoundRobin {
		r.nextReplicaIndex++
		c.replica = r.replicas[r.nextReplicaIndex%len(r.replicas)]
		r.serveOrQueue(c)
	} else {
		r.offerToNode(c)
	}
	r.Schedule(r.Now.Add(r.CallerTimeout), func() { r.timeOutCall(c) })
}

func (r *fleetRun) offerToNode(c *fleetCall) {
	n := r.randomNode()
	c.node, c.NodeIndex = n, n.index
	n.lastCallID++
	c.id = n.lastCallID
	n.waitingCalls[c.id] = c
	answerTime := max(n.meanAnswerTime, time.Duration(r.TokensPerAnswer)*r.TokenTime)
	r.applyVerdicts(n, n.queue.Offer(r.Now, admission.Request{
		ID: c.id, Team: fmt.Sprint("team-", r.assignmentRNG.IntN(r.TeamCount)), Class: admission.Interactive,
		Cost: c.cost, Deadline: r.Now.Add(r.CallerTimeout - answerTime),
	}))
}

func (r *fleetRun) randomNode() *fleetNode {
	remainingFraction := r.assignmentRNG.Float64()
	for i, share := range r.NodeShares {
		if remainingFraction -= share; remainingFraction <= 0 {
			return r.nodes[i]
		}
	}
	return r.nodes[len(r.nodes)-1]
}

// applyVerdicts carries out the queue's verdicts and schedules the next tick of the
// queue.
func (r *fleetRun) applyVerdicts(n *fleetNode, verdicts []admission.Verdict) {
	r.executeVerdicts(n, verdicts)
	tickVerdicts, nextTickAt := n.queue.Tick(r.Now)
	r.executeVerdicts(n, tickVerdicts)
	if nextTickAt.After(r.Now) && !(n.nextTickAt.After(r.Now) && !nextTickAt.Before(n.nextTickAt)) {
		n.nextTickAt = nextTickAt
		r.Schedule(nextTickAt, func() { r.applyVerdicts(n, nil) })
	}
}

func (r *fleetRun) executeVerdicts(n *fleetNode, verdicts []admission.Verdict) {
	for _, v := range verdicts {
		c := n.waitingCalls[v.ID]
		delete(n.waitingCalls, v.ID)
		if v.Kind == admission.Refuse {
			c.Refused, c.ended = true, true
			c.RetryAfter = v.RetryAfter
			c.TotalTime = r.Now.Sub(Start) - c.SentAt
			continue
		}
		r.sendToReplica(c)
	}
}

func (r *fleetRun) sendToReplica(c *fleetCall) {
	n := c.node
	query := balance.Query{Cost: c.cost}
	if r.SharedPrompt {
		query.Prefix = sharedPrefix
	}
	choice, _ := n.balancer.Pick(r.Now, query)
	n.balancer.Sent(r.Now, choice.ReplicaID, c.cost)
	n.inflightCalls++
	c.replica = r.replicas[slices.IndexFunc(r.replicas, func(e *fleetReplica) bool { return e.id == choice.ReplicaID })]
	c.sentToReplicaAt = r.Now
	r.serveOrQueue(c)
}

func (r *fleetRun) serveOrQueue(c *fleetCall) {
	e := c.replica
	if e.runningCalls == r.SlotsPerReplica {
		e.waitingCalls = append(e.waitingCalls, c)
		return
	}
	e.runningCalls++
	r.Schedule(r.Now.Add(r.TokenTime), func() { r.emitToken(c, 0) })
}

// emitToken produces the token with the given index of an answer. If the caller has
// timed out, emitToken ends the call instead.
func (r *fleetRun) emitToken(c *fleetCall, tokenIndex int) {
	if c.ended {
		r.releaseSlot(c)
		return
	}
	c.receivedTokens++
	if tokenIndex == 0 {
		c.TimeToFirstToken = r.Now.Sub(Start) - c.SentAt
		if c.node != nil {
			c.replicaTimeToFirstToken = r.Now.Sub(c.sentToReplicaAt)
			c.node.balancer.Started(r.Now, c.replica.id, c.replicaTimeToFirstToken)
		}
	}
	if tokenIndex%tokensPerReport == 0 {
		r.deliverReport(c)
	}
	if tokenIndex+1 < r.TokensPerAnswer {
		r.Schedule(r.Now.Add(r.TokenTime), func() { r.emitToken(c, tokenIndex+1) })
		return
	}
	c.Completed, c.ended = true, true
	c.TotalTime = r.Now.Sub(Start) - c.SentAt
	r.releaseSlot(c)
}

// releaseSlot frees the call's slot at the replica and records the end of the call
// at its node.
func (r *fleetRun) releaseSlot(c *fleetCall) {
	e := c.replica
	e.runningCalls--
	if len(e.waitingCalls) > 0 {
		nextCall := e.waitingCalls[0]
		e.waitingCalls = e.waitingCalls[1:]
		r.serveOrQueue(nextCall)
	}
	if c.node == nil {
		return
	}
	result := balance.Result{Cost: c.cost, TimeToFirstToken: c.replicaTimeToFirstToken, TotalTime: r.Now.Sub(c.sentToReplicaAt), Started: c.replicaTimeToFirstToken > 0}
	if !c.Completed {
		result.Failure = health.Canceled
	}
	c.node.inflightCalls--
	c.node.balancer.Finished(r.Now, e.id, result)
	r.deliverReport(c)
	r.updateAdmissionSlots(c.node)
	if !c.Completed {
		r.applyVerdicts(c.node, c.node.queue.FinishTruncated(r.Now, c.id, c.receivedTokens))
		return
	}
	c.node.meanAnswerTime += (result.TotalTime - c.node.meanAnswerTime) / 20
	r.applyVerdicts(c.node, c.node.queue.Finish(r.Now, c.id, c.receivedTokens))
}

// deliverReport passes the replica's load report to the call's node.
func (r *fleetRun) deliverReport(c *fleetCall) {
	if c.node == nil {
		return
	}
	e := c.replica
	if e.lastReportMadeAt.IsZero() || r.Now.Sub(e.lastReportMadeAt) >= reportInterval {
		e.lastReport = balance.LoadReport{RunningRequests: e.runningCalls, WaitingRequests: len(e.waitingCalls)}
		e.lastReportMadeAt = r.Now
	}
	report := e.lastReport
	report.Age = r.Now.Sub(e.lastReportMadeAt)
	c.node.balancer.Report(r.Now, e.id, report)
	r.updateAdmissionSlots(c.node)
}

// timeOutCall ends a call whose answer is not complete when the caller's timeout
// has passed.
func (r *fleetRun) timeOutCall(c *fleetCall) {
	if c.ended {
		return
	}
	c.ended = true
	c.TotalTime = r.CallerTimeout
	if n := c.node; n != nil && n.waitingCalls[c.id] != nil {
		delete(n.waitingCalls, c.id)
		r.applyVerdicts(n, n.queue.Cancel(r.Now, c.id))
		return
	}
	e := c.replica
	if i := slices.Index(e.waitingCalls, c); i >= 0 {
		e.waitingCalls = slices.Delete(e.waitingCalls, i, i+1)
		e.runningCalls++ // the call has no slot; this cancels out the decrement in releaseSlot
		r.releaseSlot(c)
	}
}
