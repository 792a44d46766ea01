package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/decide/retry"
	"github.com/cicadatack/cicadatack/route/dialect"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/ruleset"
	"github.com/cicadatack/cicadatack/route/send"
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
	// endWhole has been answered to the caller.
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
	// answer is the endpoint's own failure, to be passed on if nothing better comes.
	answer *wholeAnswer
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

// serve tries until the request is answered.
func (q *request) serve() {
	for {
		target, err := q.choose()
		if err != nil {
			q.giveUp(err)
			return
		}
		v := q.try(target)
		if v.end == endWhole {
			q.budget.success(q.s.Now())
			return
		}
		if !q.again(v) {
			return
		}
	}
}

// try makes one attempt and tells the targets how it ended.
func (q *request) try(t targets.Target) verdict {
	a := &attempt{q: q, target: t, begun: q.s.Now()}
	q.sends++
	q.lastTarget = t
	var v verdict
	if q.route.Kind == ruleset.Stream {
		v = a.stream()
	} else {
		v = a.whole()
	}
	v.result.Took = q.s.Now().Sub(a.begun)
	if a.seen.Load != nil {
		v.result.Load = &targets.Load{Running: a.seen.Load.Running, Waiting: a.seen.Load.Waiting}
	}
	q.targets.Ended(a.target, v.result)
	q.last = v
	return v
}

// choose asks for a target. A stream goes on at as many replicas as its route allows;
// after that at those that it has been at.
func (q *request) choose() (targets.Target, error) {
	wait := q.s.Now()
	query := targets.Query{
		Tokens: q.tokens(), Exclude: q.tried, Once: !q.route.Idempotent(), Rank: q.rank(),
		OnTimeUntil: q.arrived.Add(q.patience()), WaitUntil: q.arrived.Add(latePatience * q.patience()),
	}
	if q.started {
		query.WaitUntil = wait.Add(resumePatience)
	}
	if len(q.ran) >= q.route.MaxReplicas {
		query.FirstOf, query.Exclude = q.ran, nil
	}
	t, err := q.targets.Choose(q.ctx, query)
	if waited := q.s.Now().Sub(wait); waited > time.Millisecond {
		q.s.Figures.Waited(q.service, waited)
	}
	return t, err
}

// resumePatience is how long a stream that has begun waits for a path to go on: as
// long as its caller does for the next event.
const resumePatience = 1500 * time.Millisecond

// patience is how long a request may wait for room and its answer still be on time.
func (q *request) patience() time.Duration {
	return q.route.Objective * 6 / 10
}

// latePatience times its patience is how long a request waits for room at all. A late
// answer is worth a part of one on time, a refusal nothing; callers leave a little
// later.
const latePatience = 2

// rank orders those who wait: a team's own rank goes before its route's.
func (q *request) rank() int {
	if q.team != nil && q.team.Priority != nil {
		return *q.team.Priority
	}
	return q.route.Priority
}

// tokens is the memory that the request is expected to need at its end.
func (q *request) tokens() float64 {
	answer := q.call.Expected
	if answer == 0 {
		answer = q.call.MaxAnswer
	}
	if answer == 0 {
		answer = defaultExpected
	}
	if q.call.MaxAnswer > 0 {
		answer = min(answer, q.call.MaxAnswer)
	}
	return float64(q.call.Prompt) + answerPart*float64(answer)
}

// send sends the request to the attempt's target and checks the answer's head.
func (a *attempt) send(ctx context.Context, within time.Duration) (*upstream.Exchange, *verdict) {
	q := a.q
	left := q.deadline.Sub(q.s.Now())
	if left <= leftMargin {
		return nil, &verdict{end: endDeadline, detail: "no time left"}
	}
	if !q.route.Public && !q.s.Rules.Fresh() {
		return nil, &verdict{end: endNotSent, detail: "the configuration is not proved any more"}
	}
	sending := dialect.Sending{Replica: a.target.Replica, Left: left - leftMargin, After: a.after, Path: a.target.Path}
	if q.team != nil {
		sending.Team = q.team.Name
	}
	exchange, err := q.s.Pool.Send(ctx, upstream.Request{
		Address: a.target.Address,
		Method:  q.in.Method, Target: q.target, Host: q.in.Host, Body: q.body,
		Header: q.s.Dialect.Forward(q.in.Header, sending),
		// A request that may not repeat gets a connection of its own: if it ends
		// before an answer, no earlier request can be what ended it.
		Fresh:        !q.route.Idempotent(),
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
	return id == "" || id == a.q.call.ID
}

// failed judges a try without an answer.
func (a *attempt) failed(err error) verdict {
	if end, ok := a.ended(); ok {
		return verdict{end: end, detail: err.Error(), result: targets.Result{Failure: health.Canceled}}
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

// ended says whether the request was ended from this side, by its caller or by its
// deadline.
func (a *attempt) ended() (end, bool) {
	q := a.q
	switch {
	case q.in.Context().Err() != nil:
		return endCallerGone, true
	case !q.s.Now().Before(q.deadline.Add(-leftMargin)):
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
			Failure: send.RefusalFailure(status),
			Fault:   a.seen.Fault,
			Misheld: a.seen.Misdirected,
			Gone:    slow,
			NoRoom:  !a.seen.Misdirected && !slow,
		},
	}
}

// again says whether to try once more. If not, the caller has been answered.
func (q *request) again(v verdict) bool {
	q.note(v)
	switch v.end {
	case endCallerGone:
		q.log.Info("caller left", "service", q.service, "sends", q.sends, "after_ms", q.s.Now().Sub(q.arrived).Milliseconds())
		q.s.Figures.Request(q.service, q.teamName(), reasonCallerGone)
		panic(http.ErrAbortHandler)
	case endDeadline:
		q.expire()
		return false
	}
	d := q.mayRetry(v)
	for d.Reason == retry.BudgetSpent && q.s.Now().Before(q.givesUp()) && pause(q.ctx, budgetPause) {
		d = q.mayRetry(v) // the budget is earned again with the time
	}
	q.log.Info("try failed", "service", q.service, "replica", lastOf(q.tried), "end", v.detail, "not_run", v.notRun(),
		"sends", q.sends, "again", d.Retry, "reason", d.Reason.String(), "budget_left", int(d.Left))
	if !d.Retry {
		q.settle(v)
		return false
	}
	q.s.Figures.Resumed(q.service, d.Reason.String())
	return true
}

// givesUp is up to when the request waits for the budget: what the caller has of a
// stream is lost if it is given up, and one that has not begun waits as for room.
func (q *request) givesUp() time.Time {
	if q.started {
		return q.heard.Add(resumePatience)
	}
	return q.arrived.Add(q.patience())
}

// budgetPause is between two questions to a budget that is spent.
const budgetPause = 100 * time.Millisecond

// pause waits; it returns false, early, if the context ends.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

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
	case q.sends >= maxSends, len(q.ran) >= q.route.MaxReplicas && q.route.Kind != ruleset.Stream:
		return retry.Decision{Reason: retry.TooManyAttempts}
	case v.end == endNotSent:
		return retry.Decision{Retry: true, Reason: retry.Allowed}
	}
	failure := v.result.Failure
	if failure == health.None || failure == health.Canceled {
		failure = health.Internal
	}
	return q.budget.allow(q.s.Now(), retry.Attempt{
		Made: 1, Failure: failure, Repeatable: q.route.Idempotent(), NotRun: v.notRun(),
		Deadline: q.deadline, Alternatives: 1,
	})
}

// settle gives the final answer after a try that is not repeated.
func (q *request) settle(v verdict) {
	switch {
	case q.started:
		q.cut(reasonUnknown)
	case v.answer != nil:
		v.answer.write(q)
	case len(q.ran) == 0:
		q.refuse(refusal(http.StatusServiceUnavailable, reasonNoEndpoint, "no endpoint took the request", retryRoom))
	default:
		q.refuse(unknown(http.StatusBadGateway, reasonUnknown, "the endpoint that was given the request did not answer it"))
	}
}

// expire answers a request whose time is up.
func (q *request) expire() {
	if q.started {
		q.cut(reasonTimeout)
	}
	if len(q.ran) == 0 && q.sends == 0 {
		q.refuse(refusal(http.StatusServiceUnavailable, reasonTimeout, "no endpoint had room in time", retryRoom))
		return
	}
	q.refuse(unknown(http.StatusGatewayTimeout, reasonTimeout, "no answer in time"))
}

// giveUp answers a request for which there is no target.
func (q *request) giveUp(err error) {
	if q.in.Context().Err() != nil {
		q.again(verdict{end: endCallerGone})
		return
	}
	switch {
	case q.started:
		q.cut(reasonNoEndpoint)
	case q.last.answer != nil:
		q.last.answer.write(q)
	case len(q.ran) > 0:
		q.refuse(unknown(http.StatusBadGateway, reasonUnknown, "the endpoint that was given the request did not answer it"))
	case errors.Is(err, targets.ErrNoRoom):
		q.refuse(refusal(http.StatusServiceUnavailable, reasonNoRoom, "all endpoints are full", retryRoom))
	case errors.Is(err, targets.ErrNoEndpoint):
		q.refuse(refusal(http.StatusServiceUnavailable, reasonNoEndpoint, "no endpoint may be used now", retryRoom))
	default:
		q.expire()
	}
}

// unknown is an answer to a request that may have run.
func unknown(status int, code, message string) *outcome.Refusal {
	return &outcome.Refusal{Status: status, Code: code, Message: message, Outcome: outcome.Unknown}
}

func (q *request) teamName() string {
	if q.team == nil {
		return ""
	}
	return q.team.Name
}

// answerPart of an answer's length is booked: requests underway are at all points of
// their answers and hold half of it on the mean; a little more allows for answers that
// are longer than foreseen. Against the whole length, 0.8% and 3.4% more of the answers'
// worth was measured at two sites (decisions/layers).
const answerPart = 0.6
