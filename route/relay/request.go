package relay

import (
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
)

const (
	// attemptLimit bounds the attempts of one request, including those that did not run.
	attemptLimit = 5
	// defaultAnswerTokens is the assumed length of the answer if the caller gave neither an
	// estimate nor a limit.
	defaultAnswerTokens = 200
)

// run makes attempts until there is an answer or a reason to give up. It returns neither an
// answer nor a refusal if the answer was passed on to the caller as it arrived.
func (req *requestState) run() (*Answer, *outcome.Refusal) {
	if refusal := req.refuseIsolated(); refusal != nil {
		return nil, refusal
	}
	if refusal := req.admit(); refusal != nil {
		return nil, refusal
	}
	defer req.awaiting.Ended()
	var res attemptResult
	for {
		var err error
		if res, err = req.guardedAttempt(res.hedge); err != nil {
			return req.answerWithoutTarget(err)
		}
		if res.kind == resultComplete {
			if !res.forwarded { // the other node has counted it
				req.Budget.Success()
			}
			return res.answer, nil
		}
		if res.kind == resultUnknown && res.feedback.Failure == health.Timeout {
			req.leftReplica, req.leftAt, req.leftSilence = req.lastTarget.Replica, req.server.Now(), req.silentFor()
		}
		if !req.decideRetry(res) {
			return req.finalAnswer(res)
		}
	}
}

// guardedAttempt continues a hedge, or makes one attempt if the guard allows it.
func (req *requestState) guardedAttempt(h *hedge) (attemptResult, error) {
	if h != nil {
		h.guarded.Join(req.guarded)
		req.guarded = h.guarded
		defer req.guarded.End()
		return req.attempt(h.attempt), nil
	}
	if err := req.guarded.Begin(req.ctx); err != nil {
		return attemptResult{}, err
	}
	defer req.guarded.End()
	return req.nextAttempt()
}

// nextAttempt makes one attempt at an endpoint that this node reaches, or at another node if it
// reaches none. It fails if there is neither.
func (req *requestState) nextAttempt() (attemptResult, error) {
	if req.outlastsNode() {
		return attemptResult{}, errLeaving
	}
	if req.cutOff() {
		if node, ok := req.chooseNode(); ok {
			return req.forward(node), nil
		}
		// After other nodes have declined, this node's own links would only hold the caller.
		if !req.answerStarted && (req.Forwarded != nil || len(req.forwarding.asked) > 0) {
			return attemptResult{}, targets.ErrUnreachable
		}
	}
	target, err := req.choose(req.server.Forwarder != nil)
	if errors.Is(err, targets.ErrUnreachable) {
		if node, ok := req.chooseNode(); ok {
			return req.forward(node), nil
		}
		if req.answerStarted || !req.cutOff() && req.Forwarded == nil {
			// The suspicions may be wrong: the next probes tell. The caller of a stream that has
			// begun waits for its next event in any case.
			target, err = req.choose(false)
		}
	}
	if err != nil {
		return attemptResult{}, err
	}
	if req.outlastsNode() { // it has waited for capacity
		req.Targets.Finish(target, targets.Result{Failure: health.Canceled})
		return attemptResult{}, errLeaving
	}
	return req.attempt(&attempt{req: req, target: target, startedAt: req.server.Now()}), nil
}

// attempt makes one attempt and reports its result to the targets.
func (req *requestState) attempt(a *attempt) attemptResult {
	target := a.target
	req.attemptCount++
	req.lastTarget = target
	req.recordRoute(target)
	if a.hedge == nil {
		a.sentTo(req.guarded)
	}
	var res attemptResult
	if req.Route.Kind == ruleset.Stream {
		res = a.runStream()
	} else {
		res = a.runBuffered()
	}
	res.feedback.Duration = req.server.Now().Sub(a.startedAt)
	if a.head.Load != nil {
		res.feedback.Load = &targets.Load{Running: a.head.Load.RunningRequests, Waiting: a.head.Load.WaitingRequests}
	}
	req.Targets.Finish(a.target, res.feedback)
	req.lastResult = res
	a.checkReplicaEnded(res)
	if res.feedback.NoCapacity && res.feedback.FaultAddress != "" {
		req.probeFaultyReplica(target, res.feedback.FaultAddress)
	}
	return res
}

// probeFaultyReplica probes the stage that a refusal names as faulty, and suspects its replica
// if it is out of reach. The refusal alone does not tell whether the stage is dead or only has
// no capacity. A node that has just started does not know yet which replicas are dead.
func (req *requestState) probeFaultyReplica(target targets.Target, address string) {
	replica := target.ReplicaByAddress(address)
	if replica == "" || !target.Active.MayProbe(replica, req.server.Prober.Contact(address)) {
		return
	}
	lost := req.server.Prober.FindUnreachable(req.ctx, connprobe.ReasonReportedFault, []string{address})
	if len(lost) > 0 && target.Active.Suspect(replica, lost[0].HostUnreachable) {
		req.log.Info("replica out of reach", "service", req.Service, "replica", replica, "address", address)
	}
}

// recordRoute records the chosen target and the reason for the choice.
func (req *requestState) recordRoute(target targets.Target) {
	d := decisionlog.FromChoice(target.Choice)
	d.Kind, d.Chosen = decisionlog.Route, target.Replica
	d.Values["try"] = float64(req.attemptCount)
	pushback := req.Targets.Limits().PushbackRemaining(target.Replica)
	if pushback > 0 {
		d.Values["pushback_left_ms"] = millis(pushback)
	}
	d.TextValues = []decisionlog.TextValue{{Name: "address", Text: target.Address}}
	if len(target.Path) > 0 {
		d.Reason = "cheapest path with capacity"
		d.TextValues = append(d.TextValues, decisionlog.TextValue{Name: "path", Text: target.Path.String()})
	}
	d.SkipLog = !req.sampled && req.attemptCount == 1 && pushback == 0
	req.record(d)
}

// choose returns a target from Targets. If the request
// may already have run on as many replicas as the route allows, only these replicas may get the
// request again. With failIfUnreachable the choice fails at once if the endpoints are out of this
// node's reach.
func (req *requestState) choose(failIfUnreachable bool) (targets.Target, error) {
	begun := req.server.Now()
	query := targets.Query{
		Tokens: req.expectedTokens(), PrefillTokens: req.prefillTokens(), Exclude: req.failedReplicas, NonIdempotent: !req.Route.Idempotent(), Rank: req.Rank,
		OnTimeUntil: req.Arrived.Add(req.onTimeWait()), WaitUntil: req.Arrived.Add(maxWaitFactor * req.onTimeWait()),
		FailIfUnreachable: failIfUnreachable,
	}
	if req.answerStarted {
		query.WaitUntil = begun.Add(resumeTimeout)
	}
	if len(req.mayHaveRunOn) >= req.Route.MaxReplicas {
		query.AllowedFirstReplicas, query.Exclude = req.mayHaveRunOn, nil
	}
	t, err := req.Targets.Choose(req.ctx, query)
	if waited := req.server.Now().Sub(begun); waited > time.Millisecond {
		req.capacityWait += waited
		req.server.Metrics.Waited(req.Service, waited)
	}
	return t, err
}

// resumeTimeout is how long a stream that has begun waits for a path to continue on. Callers
// wait for the next event for the same time.
const resumeTimeout = 1500 * time.Millisecond

// onTimeWait is how long a request can wait for capacity and still be answered on time.
func (req *requestState) onTimeWait() time.Duration {
	return req.Route.LatencyObjective * 6 / 10
}

// maxWaitFactor is multiplied by onTimeWait; the product is the longest wait for capacity. A
// late answer has part of the value of an answer on time, and a refusal has none. Callers leave
// a little after the longest wait.
const maxWaitFactor = 2

// expectedTokens is the KV cache memory, in tokens, that the request is expected to need at its
// end.
func (req *requestState) expectedTokens() float64 {
	answer := req.Call.ExpectedTokens
	if answer == 0 {
		answer = req.Call.MaxAnswerTokens
	}
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	if req.Call.MaxAnswerTokens > 0 {
		answer = min(answer, req.Call.MaxAnswerTokens)
	}
	return float64(req.Call.PromptTokens) + reservedAnswerShare*float64(answer)
}

// prefillTokens is the number of tokens to prefill before the next event: the prompt and, for a
// resumed stream, the part of the answer that the caller already has.
func (req *requestState) prefillTokens() float64 {
	if req.answerStarted || req.Call.LastEventID != "" {
		return req.expectedTokens()
	}
	return float64(req.Call.PromptTokens)
}

// reservedAnswerShare is the share of an answer's expected length for which KV cache memory is
// reserved. At any moment, requests in progress are on average halfway through their answers, so
// each of them holds about half of its answer. The share above half is a margin for answers
// that are longer than expected.
const reservedAnswerShare = 0.6
