package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/decide/forwarding"
	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/targets"
)

// anotherAnswered is the reason to cancel an attempt in whose place another one has answered.
const anotherAnswered = "another replica has answered"

// parallelAttempts are the attempts at one idempotent request that is answered as a whole. The first
// one goes on if its replica is silent, as the replica may be sound; another one is made beside it.
// The first complete answer is the request's, and the other attempts are canceled. Only the
// goroutine of the request uses it.
type parallelAttempts struct {
	req     *requestState
	first   *parallelAttempt
	running []*parallelAttempt
	ended   chan *parallelAttempt
	// firstResult is how the first attempt ended, nil while it is under way.
	firstResult *attemptResult
	// failedAnswer is the answer of a hedge that reports the endpoint's own failure.
	failedAnswer *Answer
	// prepaid is set if the last hedge was not sent, so that the next one costs no retry.
	prepaid bool
}

// parallelAttempt is one of the attempts. All but the first one are hedges.
type parallelAttempt struct {
	*attempt
	cancel context.CancelFunc
	// guarded is what the guard keeps of a hedge; the first attempt has that of the request.
	guarded *crashguard.Request
	// node is the node of a hedge that is forwarded.
	node forwarding.Node
	// answering is set once the head of the answer is there.
	answering atomic.Bool
	// counted is set if its replica is in the request's mayHaveRunOn because of this attempt.
	counted  bool
	response response
}

// mayBeHedged reports whether another replica may get the request while this attempt is under way.
// A node to which the request is forwarded may itself use as many replicas as the route allows.
func (a *attempt) mayBeHedged() bool {
	req := a.req
	return req.Route.Idempotent() && !a.forwarded && len(req.mayHaveRunOn)+1 < req.Route.MaxReplicas &&
		req.headTimeout() < req.Deadline.Sub(req.server.Now())
}

// headTimeout is the time after which a silent attempt is joined by another one.
func (req *requestState) headTimeout() time.Duration {
	return headTimeoutFactor * req.Route.LatencyObjective
}

func newParallelAttempts(first *attempt) *parallelAttempts {
	return &parallelAttempts{
		req: first.req, first: &parallelAttempt{attempt: first}, ended: make(chan *parallelAttempt, attemptLimit),
	}
}

// run makes the attempts and returns the result of the first one, with the answer of the request if
// a hedge has it.
func (p *parallelAttempts) run() attemptResult {
	defer p.cancelRunning()
	p.start(p.first)
	timer := time.NewTimer(p.req.headTimeout())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			p.hedge()
		case ended := <-p.ended:
			if res, over := p.end(ended); over {
				return res
			}
			if ended != p.first && p.firstResult == nil {
				p.hedge()
			}
		}
		timer.Reset(p.req.headTimeout())
	}
}

func (p *parallelAttempts) start(x *parallelAttempt) {
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(p.req.ctx)
	p.running = append(p.running, x)
	go func() {
		if err := x.guarded.Begin(ctx); err != nil {
			x.response.failed = &attemptResult{kind: resultNotSent, detail: err.Error(), feedback: targets.Result{Failure: health.Canceled}}
		} else {
			x.response = x.receive(ctx, func() { x.answering.Store(true) })
		}
		p.ended <- x
	}()
}

// hedge makes another attempt if the route and the retry budget allow it and no attempt has the head
// of an answer.
func (p *parallelAttempts) hedge() {
	req := p.req
	if req.ctx.Err() != nil || slices.ContainsFunc(p.running, func(x *parallelAttempt) bool { return x.forwarded || x.answering.Load() }) {
		return
	}
	p.countRunning()
	if req.attemptsExhausted() || !p.prepaid && !req.Budget.CanRetry() {
		return
	}
	target, node, err := p.chooseAnother()
	if err != nil {
		req.log.Debug("no replica beside the silent one", "error", err)
		return
	}
	silent := attemptResult{
		kind: resultUnknown, detail: fmt.Sprintf("%s is silent for %v", p.first.target.Replica, req.headTimeout()), feedback: targets.Result{Failure: health.Timeout},
	}
	d := retry.Decision{Retry: true, Reason: retry.Allowed}
	if !p.prepaid {
		d = req.askBudget(silent)
	}
	req.recordRetry(silent, d)
	if !d.Retry {
		p.release(target, node)
		return
	}
	p.prepaid = false
	p.startHedge(target, node)
}

// countRunning records that the attempts under way may have run.
func (p *parallelAttempts) countRunning() {
	for _, x := range p.running {
		if x.counted {
			continue
		}
		x.counted = !slices.Contains(p.req.mayHaveRunOn, x.target.Replica)
		p.req.addFailed(x.target, attemptResult{kind: resultUnknown})
		p.req.addRan(x.target.Replica)
	}
}

// chooseAnother returns a replica that has not got the request, or a node if this node reaches no
// replica.
func (p *parallelAttempts) chooseAnother() (targets.Target, forwarding.Node, error) {
	if p.req.cutOff() {
		if node, ok := p.req.chooseNode(); ok {
			return targets.Target{}, node, nil
		}
	}
	target, err := p.req.choose(p.req.server.Forwarder != nil)
	if errors.Is(err, targets.ErrUnreachable) {
		if node, ok := p.req.chooseNode(); ok {
			return targets.Target{}, node, nil
		}
	}
	return target, forwarding.Node{}, err
}

// release gives back a target or a node to which nothing was sent.
func (p *parallelAttempts) release(target targets.Target, node forwarding.Node) {
	if node.Name != "" {
		p.req.server.Forwarder.Finish(p.req.Service, node, forwarding.Canceled)
		return
	}
	p.req.Targets.Finish(target, targets.Result{Failure: health.Canceled})
}

func (p *parallelAttempts) startHedge(target targets.Target, node forwarding.Node) {
	req := p.req
	x := &parallelAttempt{node: node, guarded: req.guardRequest()}
	if node.Name != "" {
		x.attempt = req.attemptAtNode(node)
	} else {
		req.attemptCount++
		req.recordRoute(target)
		x.attempt = &attempt{req: req, target: target, startedAt: req.server.Now()}
		x.sentTo(x.guarded)
	}
	p.start(x)
}

// end classifies an attempt that has ended. It reports whether the request's attempts are over.
func (p *parallelAttempts) end(x *parallelAttempt) (attemptResult, bool) {
	p.running = slices.DeleteFunc(p.running, func(other *parallelAttempt) bool { return other == x })
	if x.exceedsBuffer(x.response) && x.invalidReason() == "" {
		p.adopt(x) // the answer goes to the caller while it is classified
	}
	res := x.bufferedResult(x.response)
	x.response.close()
	x.cancel()
	if res.kind == resultComplete {
		p.adopt(x)
	}
	if x == p.first {
		p.endFirst(res)
	} else {
		p.endHedge(x, res)
	}
	switch {
	case res.kind == resultComplete, p.req.answerStarted:
		return p.asResultOfFirst(x, res), true
	case x == p.first && (res.kind == resultCallerGone || res.kind == resultDeadline), len(p.running) == 0:
		return p.failure(), true
	}
	return attemptResult{}, false
}

// adopt makes an attempt the one that answers the request and cancels the others.
func (p *parallelAttempts) adopt(x *parallelAttempt) {
	p.req.lastTarget = x.target
	p.cancelRunning()
}

func (p *parallelAttempts) endFirst(res attemptResult) {
	p.firstResult = &res
	p.uncount(p.first, res)
}

// uncount takes back that an attempt may have run if it provably has not.
func (p *parallelAttempts) uncount(x *parallelAttempt, res attemptResult) {
	if x.counted && res.notRun() {
		p.req.mayHaveRunOn = slices.DeleteFunc(p.req.mayHaveRunOn, func(id string) bool { return id == x.target.Replica })
	}
}

// endHedge releases a hedge and records at which replicas the request may have run, and which have
// failed it.
func (p *parallelAttempts) endHedge(x *parallelAttempt, res attemptResult) {
	if res.brokenOff() {
		x.guarded.BrokenOff(p.req.ctx)
	}
	x.guarded.End()
	p.prepaid = res.kind == resultNotSent
	if res.kind == resultFailed {
		p.failedAnswer = res.answer
	}
	if x.forwarded {
		x.endAtNode(x.node, res)
		return
	}
	p.uncount(x, res)
	if res.kind != resultComplete {
		p.req.addFailed(x.target, res)
	}
	if !res.notRun() {
		p.req.addRan(x.target.Replica)
	}
	res.feedback.Duration = p.req.server.Now().Sub(x.startedAt)
	if x.head.Load != nil {
		res.feedback.Load = &targets.Load{Running: x.head.Load.RunningRequests, Waiting: x.head.Load.WaitingRequests}
	}
	p.req.Targets.Finish(x.target, res.feedback)
}

// asResultOfFirst returns the result of the attempt that answers the request, with the feedback on
// the target of the first attempt.
func (p *parallelAttempts) asResultOfFirst(x *parallelAttempt, res attemptResult) attemptResult {
	if x == p.first {
		return res
	}
	res.forwarded = x.forwarded
	switch {
	case p.firstResult != nil:
		p.first.checkReplicaEnded(*p.firstResult)
		res.feedback = p.firstResult.feedback
	case p.first.answering.Load():
		res.feedback = targets.Result{Failure: health.Canceled}
	default:
		res.feedback = targets.Result{Failure: health.Timeout}
	}
	return res
}

// failure returns the result of the first attempt after all have failed, or the answer of a hedge
// that reports the endpoint's own failure if the first one has none.
func (p *parallelAttempts) failure() attemptResult {
	res := *p.firstResult
	if p.failedAnswer != nil && (res.kind == resultUnknown || res.kind == resultDeadline) {
		res.kind, res.answer = resultFailed, p.failedAnswer
	}
	return res
}

// cancelRunning cancels the attempts under way and waits until they have ended.
func (p *parallelAttempts) cancelRunning() {
	for _, x := range p.running {
		x.cancel()
	}
	for range p.running {
		x := <-p.ended
		x.response.close()
		x.memory.Release()
		if x == p.first {
			continue
		}
		x.guarded.End()
		p.release(x.target, x.node)
		p.recordCanceled(x)
	}
	p.running = nil
}

// recordCanceled records that a hedge was canceled.
func (p *parallelAttempts) recordCanceled(x *parallelAttempt) {
	p.req.record(decisionlog.Decision{
		Kind: decisionlog.Hedge, Chosen: x.target.Replica, Reason: anotherAnswered,
		TextValues: []decisionlog.TextValue{{Name: "present", Text: p.first.target.Replica}},
		Values:     map[string]float64{"sends": float64(p.req.attemptCount)},
	})
}
