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
	// maxSends bounds the tries of one request, those that did not run included.
	maxSends = 5
	// defaultExpected is the answer's length in tokens where the caller gave no
	// estimate and no bound.
	defaultExpected = 200
)

// serve tries until there is an answer or a reason to give up. It returns neither if
// the answer was passed on as it came.
func (q *request) serve() (*Answer, *outcome.Refusal) {
	var v verdict
	for {
		target, err := q.choose(v.next)
		if err != nil {
			return q.giveUp(err)
		}
		v = q.try(target)
		if v.end == endWhole {
			q.Budget.Success()
			return v.answer, nil
		}
		if !q.again(v) {
			return q.settle(v)
		}
	}
}

// try makes one attempt and tells the targets how it ended.
func (q *request) try(t targets.Target) verdict {
	a := &attempt{q: q, target: t, begun: q.s.Now()}
	q.sends++
	q.lastTarget = t
	q.recordRoute(t)
	var v verdict
	if q.Route.Kind == ruleset.Stream {
		v = a.stream()
	} else {
		v = a.whole()
	}
	v.result.Took = q.s.Now().Sub(a.begun)
	if a.seen.Load != nil {
		v.result.Load = &targets.Load{Running: a.seen.Load.Running, Waiting: a.seen.Load.Waiting}
	}
	q.Targets.Ended(a.target, v.result)
	q.last = v
	if v.result.NoRoom && v.result.Fault != "" {
		q.lookAtFault(t, v.result.Fault)
	}
	return v
}

// lookAtFault finds out whether the part that a refusal names accepts connections: the
// first replica can't tell one that has no room from one that is gone, and a node that
// has just started has not met it yet.
func (q *request) lookAtFault(t targets.Target, address string) {
	replica := t.ReplicaAt(address)
	if replica == "" {
		return
	}
	lost := q.s.Prober.Lost(q.ctx, connprobe.Named, []string{address})
	if len(lost) > 0 && t.Flight.Suspect(replica, lost[0].Silent) {
		q.log.Info("replica out of reach", "service", q.Service, "replica", replica, "address", address)
	}
}

// recordRoute records where the request is sent and why.
func (q *request) recordRoute(t targets.Target) {
	d := decisionlog.Weighed(t.Choice)
	d.Kind, d.Chosen = decisionlog.Route, t.Replica
	d.Figures["try"] = float64(q.sends)
	d.Notes = []decisionlog.Note{{Name: "address", Text: t.Address}}
	if len(t.Path) > 0 {
		d.Reason = "cheapest path with room"
		d.Notes = append(d.Notes, decisionlog.Note{Name: "path", Text: t.Path.String()})
	}
	d.Quiet = !q.sampled && q.sends == 1
	q.record(d)
}

// choose takes the target that is booked, or asks for one. A stream goes on at as many replicas as its route allows;
// after that at those that it has been at.
func (q *request) choose(booked *targets.Target) (targets.Target, error) {
	if booked != nil {
		return *booked, nil
	}
	wait := q.s.Now()
	query := targets.Query{
		Tokens: q.tokens(), Read: q.reads(), Exclude: q.tried, Once: !q.Route.Idempotent(), Rank: q.Rank,
		OnTimeUntil: q.Arrived.Add(q.patience()), WaitUntil: q.Arrived.Add(latePatience * q.patience()),
	}
	if q.started {
		query.WaitUntil = wait.Add(resumePatience)
	}
	if len(q.ran) >= q.Route.MaxReplicas {
		query.FirstOf, query.Exclude = q.ran, nil
	}
	t, err := q.Targets.Choose(q.ctx, query)
	if waited := q.s.Now().Sub(wait); waited > time.Millisecond {
		q.waitedRoom += waited
		q.s.Figures.Waited(q.Service, waited)
	}
	return t, err
}

// resumePatience is how long a stream that has begun waits for a path to go on: as
// long as its caller does for the next event.
const resumePatience = 1500 * time.Millisecond

// patience is how long a request may wait for room and its answer still be on time.
func (q *request) patience() time.Duration {
	return q.Route.Objective * 6 / 10
}

// latePatience times its patience is how long a request waits for room at all. A late
// answer is worth a part of one on time, a refusal nothing; callers leave a little
// later.
const latePatience = 2

// tokens is the memory that the request is expected to need at its end.
func (q *request) tokens() float64 {
	answer := q.Call.Expected
	if answer == 0 {
		answer = q.Call.MaxAnswer
	}
	if answer == 0 {
		answer = defaultExpected
	}
	if q.Call.MaxAnswer > 0 {
		answer = min(answer, q.Call.MaxAnswer)
	}
	return float64(q.Call.Prompt) + answerPart*float64(answer)
}

// reads is what replicas read before the next event: the prompt, and of an answer that goes
// on what the caller has of it.
func (q *request) reads() float64 {
	if q.started || q.Call.After != "" {
		return q.tokens()
	}
	return float64(q.Call.Prompt)
}

// answerPart of an answer's length is booked: requests underway are at all points of
// their answers and hold half of it on the mean; a little more allows for answers that
// are longer than foreseen.
const answerPart = 0.6

// again says whether to try once more.
func (q *request) again(v verdict) bool {
	q.note(v)
	if v.end == endCallerGone || v.end == endDeadline {
		return false
	}
	d := q.mayRetry(v)
	asked := q.s.Now()
	for d.Reason == retry.BudgetSpent && q.s.Now().Before(q.givesUp()) && wait.For(q.ctx, budgetPause) {
		d = q.mayRetry(v) // the budget is earned again with the time
	}
	q.waitedBudget += q.s.Now().Sub(asked)
	q.record(decisionlog.Decision{
		Kind: decisionlog.Retry, Chosen: lastOf(q.tried), Reason: d.Reason.String(),
		Notes: []decisionlog.Note{{Name: "end", Text: v.detail}},
		Figures: map[string]float64{
			"not_run": flag(v.notRun()), "sends": float64(q.sends), "again": flag(d.Retry), "budget_left": math.Floor(d.Left),
		},
	})
	if d.Retry {
		q.s.Figures.Retried(q.Service, v.result.Failure.String())
	}
	return d.Retry
}

// givesUp is up to when the request waits for the budget: what the caller has of a
// stream is lost if it is given up, and one that has not begun waits as for room.
func (q *request) givesUp() time.Time {
	if q.started {
		return q.heard.Add(resumePatience)
	}
	return q.Arrived.Add(latePatience * q.patience())
}

// budgetPause is between two questions to a budget that is spent.
const budgetPause = 100 * time.Millisecond

func lastOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1]
}

// note remembers which replica failed, and which may have run the request. Where an
// answer names the part of the path at fault, the first part did not fail.
func (q *request) note(v verdict) {
	first := q.lastTarget.Replica
	if first == "" {
		return
	}
	failed := first
	if v.result.Fault != "" {
		failed = q.lastTarget.ReplicaAt(v.result.Fault)
	}
	if failed != "" && !slices.Contains(q.tried, failed) {
		q.tried = append(q.tried, failed)
	}
	if !v.notRun() && !slices.Contains(q.ran, first) {
		q.ran = append(q.ran, first)
	}
}

// mayRetry asks the budget. Tries that were not sent cost the endpoints nothing.
func (q *request) mayRetry(v verdict) retry.Decision {
	switch {
	case v.next != nil:
		return retry.Decision{Retry: true, Reason: retry.Allowed}
	case q.sends >= maxSends, len(q.ran) >= q.Route.MaxReplicas && q.Route.Kind != ruleset.Stream:
		return retry.Decision{Reason: retry.TooManyAttempts}
	case v.end == endNotSent:
		return retry.Decision{Retry: true, Reason: retry.Allowed}
	}
	failure := v.result.Failure
	if failure == health.None || failure == health.Canceled {
		failure = health.Internal
	}
	return q.Budget.Allow(retry.Attempt{
		Made: 1, Failure: failure, Repeatable: q.Route.Idempotent(), NotRun: v.notRun(),
		Deadline: q.Deadline, Alternatives: 1,
	})
}
