package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/keep/wait"
	"github.com/cicadatack/cicadatack/route/decision"
	"github.com/cicadatack/cicadatack/route/dialect"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

const (
	// maxSends bounds the tries of one request, those that did not run included.
	maxSends = 5
	// defaultExpected is the answer's length in tokens where the caller gave no
	// estimate and no bound.
	defaultExpected = 200
	// leftMargin is taken off the time that is passed on, so that the endpoint's
	// own timeout comes before this node's.
	leftMargin = 5 * time.Millisecond
)

// end says what a try came to.
type end uint8

const (
	// endWhole has a whole answer, which the caller has if it was passed on as it came.
	endWhole end = iota
	// endNotSent and endNotRun provably did not run.
	endNotSent
	endNotRun
	// endFailed is the endpoint's own failure, which ran.
	endFailed
	// endUnknown may have run.
	endUnknown
	// endCallerGone and endDeadline were ended from this side.
	endCallerGone
	endDeadline
)

// verdict is the end of one try.
type verdict struct {
	end    end
	detail string // for the log
	result targets.Result
	// answer is a whole answer, or the endpoint's own failure, to be passed on if
	// nothing better comes.
	answer *Answer
	// next is where the request goes on, if that is booked and paid for.
	next *targets.Target
}

// notRun says whether the try provably did not run.
func (v verdict) notRun() bool { return v.end == endNotSent || v.end == endNotRun }

// attempt is one try of a request.
type attempt struct {
	q      *request
	target targets.Target
	begun  time.Time
	// after is the event to go on after, for a stream.
	after string
	seen  dialect.Answer
}

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
	return v
}

// recordRoute records where the request is sent and why.
func (q *request) recordRoute(t targets.Target) {
	d := decision.Weighed(t.Choice)
	d.Kind, d.Chosen = decision.Route, t.Replica
	d.Figures["try"] = float64(q.sends)
	d.Notes = []decision.Note{{Name: "address", Text: t.Address}}
	if len(t.Path) > 0 {
		d.Reason = "cheapest path with room"
		d.Notes = append(d.Notes, decision.Note{Name: "path", Text: t.Path.String()})
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
		Tokens: q.tokens(), Exclude: q.tried, Once: !q.Route.Idempotent(), Rank: q.Rank,
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

// send sends the request to the attempt's target and checks the answer's head.
func (a *attempt) send(ctx context.Context, within time.Duration) (*upstream.Exchange, *verdict) {
	q := a.q
	left := q.Deadline.Sub(q.s.Now())
	if left <= leftMargin {
		return nil, &verdict{end: endDeadline, detail: "no time left"}
	}
	if q.Proof != nil && !q.Proof.Fresh() {
		return nil, &verdict{end: endNotSent, detail: "the configuration is not proved any more"}
	}
	exchange, err := q.s.Pool.Send(ctx, upstream.Request{
		Address: a.target.Address,
		Method:  q.Method, Target: q.Target, Host: cmp.Or(q.Host, a.target.Address), Body: q.Body,
		Header: q.s.Dialect.Forward(q.Header, dialect.Sending{
			Replica: a.target.Replica, Team: q.Team, Left: left - leftMargin, After: a.after, Path: a.target.Path,
		}),
		// A request that may not repeat gets a connection of its own: if it ends
		// before an answer, no earlier request can be what ended it.
		Fresh:        !q.Route.Idempotent(),
		MostConns:    a.target.MostConns,
		Belongs:      a.belongs,
		AnswerWithin: min(left, within),
	})
	if err != nil {
		v := a.failed(err)
		return nil, &v
	}
	a.seen = q.s.Dialect.Answer(exchange.StatusCode, exchange.Header)
	return exchange, nil
}

// belongs says whether an answer's head is this request's. Refusals of requests
// that could not be read bear no id.
func (a *attempt) belongs(h http.Header) bool {
	id := a.q.s.Dialect.Answer(http.StatusOK, h).ID
	return id == "" || id == a.q.Call.ID
}

// failed judges a try without an answer.
func (a *attempt) failed(err error) verdict {
	if end, ok := a.ended(); ok {
		return verdict{end: end, detail: err.Error(), result: targets.Result{Failure: a.blame(end)}}
	}
	var f *upstream.Failure
	v := verdict{end: endUnknown, detail: err.Error(), result: targets.Result{Failure: health.Broken}}
	if !errors.As(err, &f) {
		return v
	}
	switch {
	case f.Full:
		v.end, v.result.Failure, v.result.NoRoom = endNotSent, health.Canceled, true
	case f.Unreachable:
		v.end, v.result.Failure, v.result.Gone = endNotSent, health.Unreachable, true
	case f.NotSent:
		v.end, v.result.Failure = endNotSent, health.Unreachable
	case f.Silent:
		v.result.Failure = health.Timeout
	}
	return v
}

// blame says what an attempt that was ended from this side tells of its endpoint:
// nothing, unless it had most of the time there was and let it pass. An endpoint that
// hangs shows in no other way.
func (a *attempt) blame(e end) health.Failure {
	all := a.q.Deadline.Sub(a.q.Arrived)
	if e == endDeadline && a.q.s.Now().Sub(a.begun) >= all/hangPart {
		return health.Timeout
	}
	return health.Canceled
}

// hangPart: an endpoint that lets half of a request's whole time pass has hung; less may
// be a caller who came with little time left.
const hangPart = 2

// ended says whether the request was ended from this side, by its caller or by its
// deadline.
func (a *attempt) ended() (end, bool) {
	q := a.q
	switch {
	case q.caller.Err() != nil:
		return endCallerGone, true
	case !q.s.Now().Before(q.Deadline.Add(-leftMargin)):
		return endDeadline, true
	}
	return 0, false
}

// goneAfter tells a refusal for want of room, which comes at once, from one because a
// part of the path did not answer, which comes after the engine's own timeout.
const goneAfter = time.Second

// refused judges an answer that says that the request did not run.
func (a *attempt) refused(status int) verdict {
	slow := a.q.s.Now().Sub(a.begun) > goneAfter
	return verdict{
		end:    endNotRun,
		detail: fmt.Sprintf("%d from %s, at fault: %q", status, a.target.Address, a.seen.Fault),
		result: targets.Result{
			Failure: upstream.RefusalFailure(status),
			Fault:   a.seen.Fault,
			Misheld: a.seen.Misdirected,
			Gone:    slow,
			NoRoom:  !a.seen.Misdirected && !slow,
		},
	}
}

// again says whether to try once more.
func (q *request) again(v verdict) bool {
	q.note(v)
	if v.end == endCallerGone || v.end == endDeadline {
		return false
	}
	d := q.mayRetry(v)
	for d.Reason == retry.BudgetSpent && q.s.Now().Before(q.givesUp()) && wait.For(q.ctx, budgetPause) {
		d = q.mayRetry(v) // the budget is earned again with the time
	}
	q.record(decision.Decision{
		Kind: decision.Retry, Chosen: lastOf(q.tried), Reason: d.Reason.String(),
		Notes: []decision.Note{{Name: "end", Text: v.detail}},
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
	return q.Arrived.Add(q.patience())
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

// settle is the final answer after a try that is not repeated.
func (q *request) settle(v verdict) (*Answer, *outcome.Refusal) {
	switch {
	case v.end == endCallerGone:
		return nil, q.callerGone()
	case v.end == endDeadline:
		return nil, q.expired()
	case q.started:
		q.cut(ReasonUnknown)
	case v.answer != nil:
		return v.answer, nil
	case len(q.ran) > 0:
		return nil, unanswered(v)
	case v.result.Failure == health.Overloaded:
		return nil, NotRun(http.StatusTooManyRequests, ReasonOverloaded, v.detail, retryRoom)
	case v.result.NoRoom:
		return nil, NotRun(http.StatusServiceUnavailable, ReasonNoRoom, "an endpoint had no room, and no further try is left: "+v.detail, retryRoom)
	}
	return nil, NotRun(http.StatusServiceUnavailable, ReasonNoEndpoint, "no endpoint took the request: "+v.detail, retryRoom)
}

// callerGone ends a request whose caller has left. The answer reaches nobody but a
// door that keeps it.
func (q *request) callerGone() *outcome.Refusal {
	q.record(decision.Decision{
		Kind: decision.Finish, Chosen: q.lastTarget.Replica, Reason: "the caller left",
		Figures: map[string]float64{"sends": float64(q.sends), "events": float64(q.events), "took_ms": millis(q.s.Now().Sub(q.Arrived))},
	})
	r := NotRun(statusCallerGone, ReasonCallerGone, "the caller left", 0)
	if len(q.ran) > 0 {
		r.Outcome = outcome.Unknown
	}
	return r
}

// expired is the answer to a request whose time is up.
func (q *request) expired() *outcome.Refusal {
	if q.started {
		q.cut(ReasonTimeout)
	}
	if len(q.ran) == 0 && q.sends == 0 {
		return NotRun(http.StatusServiceUnavailable, ReasonTimeout, "no endpoint had room in time", retryRoom)
	}
	return unknown(http.StatusGatewayTimeout, ReasonTimeout, "no answer in time")
}

// giveUp is the answer to a request for which there is no target.
func (q *request) giveUp(err error) (*Answer, *outcome.Refusal) {
	switch {
	case q.caller.Err() != nil:
		return nil, q.callerGone()
	case q.started:
		q.cut(ReasonNoEndpoint)
	case q.last.answer != nil:
		return q.last.answer, nil
	case len(q.ran) > 0:
		return nil, unanswered(q.last)
	case errors.Is(err, targets.ErrNoRoom):
		return nil, NotRun(http.StatusServiceUnavailable, ReasonNoRoom, "all endpoints are full", retryRoom)
	case errors.Is(err, targets.ErrNoEndpoint):
		return nil, NotRun(http.StatusServiceUnavailable, ReasonNoEndpoint, "no endpoint may be used now", retryRoom)
	}
	return nil, q.expired()
}

func unanswered(v verdict) *outcome.Refusal {
	return unknown(http.StatusBadGateway, ReasonUnknown, "the endpoint that was given the request did not answer it: "+v.detail)
}

// answerPart of an answer's length is booked: requests underway are at all points of
// their answers and hold half of it on the mean; a little more allows for answers that
// are longer than foreseen. Against the whole length, 0.8% and 3.4% more of the answers'
// worth was measured at two sites (decisions/layers).
const answerPart = 0.6
