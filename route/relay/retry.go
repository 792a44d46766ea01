package relay

import (
	"math"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/state/wait"
)

// decideRetry decides whether to make another attempt. While the retry budget is spent it
// waits, at most until budgetWaitUntil.
func (req *requestState) decideRetry(res attemptResult) bool {
	req.recordFailure(res)
	if res.hedge != nil {
		req.recordRetry(res, retry.Decision{Retry: true, Reason: retry.Allowed})
		return true
	}
	if res.endedLocally() || req.forwarding.final || req.begunWhole() || req.heldBack(res) {
		return false
	}
	d := req.askBudget(res)
	waitStart := req.server.Now()
	if d.Reason == retry.BudgetSpent {
		req.Budget.AddWaiting(1)
		defer req.Budget.AddWaiting(-1)
	}
	for d.Reason == retry.BudgetSpent && req.server.Now().Before(req.budgetWaitUntil()) && wait.For(req.ctx, budgetPollInterval) {
		d = req.askBudget(res) // the budget refills over time
	}
	req.budgetWait += req.server.Now().Sub(waitStart)
	req.recordRetry(res, d)
	return d.Retry
}

// begunWhole reports whether the caller has a part of an answer that is no stream. Only its own replica
// can continue it: another one would begin a new answer.
func (req *requestState) begunWhole() bool {
	return req.answerStarted && req.Route.Kind != ruleset.Stream
}

// recordRetry records how an attempt ended and whether another one follows.
func (req *requestState) recordRetry(res attemptResult, d retry.Decision) {
	req.record(decisionlog.Decision{
		Kind: decisionlog.Retry, Chosen: lastOf(req.failedReplicas), Reason: d.Reason.String(),
		TextValues: []decisionlog.TextValue{{Name: "end", Text: res.detail}},
		Values: map[string]float64{
			"not_run": boolFigure(res.notRun()), "sends": float64(req.attemptCount), "again": boolFigure(d.Retry), "budget_left": math.Floor(d.RetriesLeft),
		},
	})
	if d.Retry {
		req.server.Metrics.Retried(req.Service, res.feedback.Failure.String())
	}
}

// budgetWaitUntil is the time until which the request may wait for the retry budget. If a
// stream that has begun were given up, the events that the caller has received would be wasted.
// Such a stream waits as long as its caller does. Other requests wait as long as they may wait
// for capacity, but at most for maxBudgetWait.
func (req *requestState) budgetWaitUntil() time.Time {
	if req.answerStarted {
		return req.lastEventAt.Add(resumeTimeout)
	}
	return req.Arrived.Add(min(maxBudgetWait, maxWaitFactor*req.onTimeWait()))
}

// maxBudgetWait bounds the wait for the retry budget. Routes without a latency objective of their
// own have their timeout in its place, often half a minute. If all endpoints refuse, their
// requests would hold their slots for that time, and their callers would learn nothing.
const maxBudgetWait = time.Second

// budgetPollInterval is the time between two checks of a spent retry budget.
const budgetPollInterval = 100 * time.Millisecond

func lastOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1]
}

// recordFailure records which replica failed, and whether the first replica may have run the
// request.
func (req *requestState) recordFailure(res attemptResult) {
	first := req.lastTarget.Replica
	if first == "" || res.forwarded {
		return
	}
	req.addFailed(req.lastTarget, res)
	if !res.notRun() {
		req.addRan(first)
	}
}

// attemptsExhausted reports whether the route allows no further attempt.
func (req *requestState) attemptsExhausted() bool {
	return req.attemptCount >= attemptLimit || len(req.mayHaveRunOn) >= req.Route.MaxReplicas && req.Route.Kind != ruleset.Stream
}

// askBudget decides on a retry by the limits of the route and the retry budget. A retry of an
// attempt that was not sent costs the endpoints nothing and is not charged.
func (req *requestState) askBudget(res attemptResult) retry.Decision {
	switch {
	case res.kind == resultNotSent && req.mayAskNode():
		return retry.Decision{Retry: true, Reason: retry.Allowed}
	case req.attemptsExhausted():
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
