package relay

import (
	"math"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/connprobe"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/state/wait"
)

const (
	// maxAttempts bounds the attempts of one request, including those that did not run.
	maxAttempts = 5
	// defaultAnswerTokens is the assumed length of the answer if the caller gave neither an
	// estimate nor a limit.
	defaultAnswerTokens = 200
)

// run makes attempts until there is an answer or a reason to give up. It returns neither if the
// answer was passed on as it arrived.
func (req *requestState) run() (*Answer, *outcome.Refusal) {
	var res attemptResult
	for {
		target, err := req.choose(res.next)
		if err != nil {
			return req.answerWithoutTarget(err)
		}
		res = req.attempt(target)
		if res.kind == resultComplete {
			req.Budget.Success()
			return res.answer, nil
		}
		if !req.decideRetry(res) {
			return req.finalAnswer(res)
		}
	}
}

// attempt makes one attempt and reports its result to the targets.
func (req *requestState) attempt(target targets.Target) attemptResult {
	a := &attempt{req: req, target: target, startedAt: req.server.Now()}
	req.attempts++
	req.lastTarget = target
	req.recordRoute(target)
	var res attemptResult
	if req.Route.Kind == ruleset.Stream {
		res = a.runStream()
	} else {
		res = a.runBuffered()
	}
	res.feedback.Duration = req.server.Now().Sub(a.startedAt)
	if a.head.Load != nil {
		res.feedback.Load = &targets.Load{Running: a.head.Load.Running, Waiting: a.head.Load.Waiting}
	}
	req.Targets.Finish(a.target, res.feedback)
	req.lastResult = res
	if res.feedback.NoCapacity && res.feedback.FaultAddress != "" {
		req.probeFault(target, res.feedback.FaultAddress)
	}
	return res
}

// probeFault probes the stage that a refusal names. The first replica can't tell a stage
// without capacity from a dead one, and a node that has just started has not found out yet
// which replicas are dead.
func (req *requestState) probeFault(target targets.Target, address string) {
	replica := target.ReplicaByAddress(address)
	if replica == "" {
		return
	}
	lost := req.server.Prober.Lost(req.ctx, connprobe.Named, []string{address})
	if len(lost) > 0 && target.Active.Suspect(replica, lost[0].Silent) {
		req.log.Info("replica out of reach", "service", req.Service, "replica", replica, "address", address)
	}
}

// recordRoute records the chosen target and the reason for the choice.
func (req *requestState) recordRoute(target targets.Target) {
	d := decisionlog.Weighed(target.Choice)
	d.Kind, d.Chosen = decisionlog.Route, target.Replica
	d.Figures["try"] = float64(req.attempts)
	d.Notes = []decisionlog.Note{{Name: "address", Text: target.Address}}
	if len(target.Path) > 0 {
		d.Reason = "cheapest path with capacity"
		d.Notes = append(d.Notes, decisionlog.Note{Name: "path", Text: target.Path.String()})
	}
	d.Quiet = !req.sampled && req.attempts == 1
	req.record(d)
}

// choose returns the reserved target, or asks for a new one. Once the request has been given to
// as many replicas as its route allows, only those may get it again.
func (req *requestState) choose(reserved *targets.Target) (targets.Target, error) {
	if reserved != nil {
		return *reserved, nil
	}
	begun := req.server.Now()
	query := targets.Query{
		Tokens: req.expectedTokens(), PrefillTokens: req.prefillTokens(), Exclude: req.failed, NonIdempotent: !req.Route.Idempotent(), Rank: req.Rank,
		OnTimeUntil: req.Arrived.Add(req.onTimeWait()), WaitUntil: req.Arrived.Add(maxWaitFactor * req.onTimeWait()),
	}
	if req.started {
		query.WaitUntil = begun.Add(resumeTimeout)
	}
	if len(req.mayHaveRun) >= req.Route.MaxReplicas {
		query.FirstReplicas, query.Exclude = req.mayHaveRun, nil
	}
	t, err := req.Targets.Choose(req.ctx, query)
	if waited := req.server.Now().Sub(begun); waited > time.Millisecond {
		req.capacityWait += waited
		req.server.Metrics.Waited(req.Service, waited)
	}
	return t, err
}

// resumeTimeout is how long a stream that has begun waits for a path to continue on. Callers
// wait as long for the next event.
const resumeTimeout = 1500 * time.Millisecond

// onTimeWait is how long a request can wait for capacity and still be answered on time.
func (req *requestState) onTimeWait() time.Duration {
	return req.Route.Objective * 6 / 10
}

// maxWaitFactor times onTimeWait is the longest wait for capacity. A late answer has part of
// the value of one on time, a refusal has none; callers leave a little later than this.
const maxWaitFactor = 2

// expectedTokens is the KV cache memory, in tokens, that the request is expected to need at its
// end.
func (req *requestState) expectedTokens() float64 {
	answer := req.Call.Expected
	if answer == 0 {
		answer = req.Call.MaxAnswer
	}
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	if req.Call.MaxAnswer > 0 {
		answer = min(answer, req.Call.MaxAnswer)
	}
	return float64(req.Call.Prompt) + reservedAnswerShare*float64(answer)
}

// prefillTokens is the number of tokens to prefill before the next event: the prompt and, for a
// resumed stream, the part of the answer that the caller has.
func (req *requestState) prefillTokens() float64 {
	if req.started || req.Call.After != "" {
		return req.expectedTokens()
	}
	return float64(req.Call.Prompt)
}

// reservedAnswerShare of an answer's length is reserved. Requests in progress are spread over
// all points of their answers and hold half of the length on average; the rest is a margin for
// answers that are longer than estimated.
const reservedAnswerShare = 0.6

// decideRetry decides whether to make another attempt. It waits while the retry budget is
// spent.
func (req *requestState) decideRetry(res attemptResult) bool {
	req.recordFailure(res)
	if res.kind == resultCallerGone || res.kind == resultDeadline {
		return false
	}
	d := req.askBudget(res)
	waitStart := req.server.Now()
	for d.Reason == retry.BudgetSpent && req.server.Now().Before(req.budgetWaitUntil()) && wait.For(req.ctx, budgetPollInterval) {
		d = req.askBudget(res) // the budget refills over time
	}
	req.budgetWait += req.server.Now().Sub(waitStart)
	req.record(decisionlog.Decision{
		Kind: decisionlog.Retry, Chosen: lastOf(req.failed), Reason: d.Reason.String(),
		Notes: []decisionlog.Note{{Name: "end", Text: res.detail}},
		Figures: map[string]float64{
			"not_run": boolFigure(res.notRun()), "sends": float64(req.attempts), "again": boolFigure(d.Retry), "budget_left": math.Floor(d.RetriesLeft),
		},
	})
	if d.Retry {
		req.server.Metrics.Retried(req.Service, res.feedback.Failure.String())
	}
	return d.Retry
}

// budgetWaitUntil is how long the request may wait for the retry budget. Giving up a stream
// that has begun wastes what the caller has received of it, so it waits as long as its caller
// does. Other requests wait as long as for capacity.
func (req *requestState) budgetWaitUntil() time.Time {
	if req.started {
		return req.lastEventAt.Add(resumeTimeout)
	}
	return req.Arrived.Add(maxWaitFactor * req.onTimeWait())
}

// budgetPollInterval is the time between two checks of a spent retry budget.
const budgetPollInterval = 100 * time.Millisecond

func lastOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1]
}

// recordFailure records which replica failed and which may have run the request. If the answer
// names the faulty stage of the path, the first replica did not fail.
func (req *requestState) recordFailure(res attemptResult) {
	first := req.lastTarget.Replica
	if first == "" {
		return
	}
	faulty := first
	if res.feedback.FaultAddress != "" {
		faulty = req.lastTarget.ReplicaByAddress(res.feedback.FaultAddress)
	}
	if faulty != "" && !slices.Contains(req.failed, faulty) {
		req.failed = append(req.failed, faulty)
	}
	if !res.notRun() && !slices.Contains(req.mayHaveRun, first) {
		req.mayHaveRun = append(req.mayHaveRun, first)
	}
}

// askBudget decides on a retry by the limits of the route and the retry budget. A retry of an
// attempt that was not sent costs the endpoints nothing and is not charged.
func (req *requestState) askBudget(res attemptResult) retry.Decision {
	switch {
	case res.next != nil:
		return retry.Decision{Retry: true, Reason: retry.Allowed}
	case req.attempts >= maxAttempts, len(req.mayHaveRun) >= req.Route.MaxReplicas && req.Route.Kind != ruleset.Stream:
		return retry.Decision{Reason: retry.TooManyAttempts}
	case res.kind == resultNotSent:
		return retry.Decision{Retry: true, Reason: retry.Allowed}
	}
	failure := res.feedback.Failure
	if failure == health.None || failure == health.Canceled {
		failure = health.Internal
	}
	return req.Budget.Allow(retry.Attempt{
		AttemptsMade: 1, Failure: failure, Idempotent: req.Route.Idempotent(), NotRun: res.notRun(),
		Deadline: req.Deadline, Alternatives: 1,
	})
}
