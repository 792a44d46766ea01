package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
)

// leftMargin is taken off the time that is passed on, so that the endpoint's own
// timeout comes before this node's.
const leftMargin = 5 * time.Millisecond

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
	seen  headers.Answer
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
		Header: q.s.Dialect.Forward(q.Header, headers.Sending{
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
