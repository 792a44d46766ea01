// Package admissionqueue holds the requests of one service until they get a slot, in
// the order that decide/admission chooses. Requests that will not be served are
// rejected at once.
//
//	permit, err := queue.Acquire(ctx, Request{Team: "menteng", Cost: 200})
//	if err != nil { ... } // *RefusedError: not run, with Retry-After
//	defer permit.Release(actualCost)
//
// admission.Queue makes the decisions and has neither locks nor timers. This package
// adds a lock, a timer and a channel for each waiting request.
package admissionqueue

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// Request is one call that needs a slot.
type Request struct {
	Team  string
	Class admission.Class
	// Cost is the expected work in tokens.
	Cost float64
	// Deadline is the latest useful start of the request; zero means the default of
	// admission.Queue.
	Deadline time.Time
}

// Permit is the right of an admitted request to run. The request holds a slot until its
// permit is released.
type Permit struct {
	queue *Queue
	id    uint64
	once  sync.Once
	// answering is set once the request has got the first part of its answer.
	answering bool
	// Verdict is the decision that admitted the request.
	Verdict admission.Verdict
}

// Queue is the admission queue of one service on one node. Safe for concurrent use.
type Queue struct {
	now     func() time.Time
	created time.Time
	// progressAt is when a running request last got a part of its answer, in nanoseconds after
	// created. The lock is needed to end a silence.
	progressAt atomic.Int64

	mu              sync.Mutex
	policy          *admission.Queue
	pendingVerdicts map[uint64]chan admission.Verdict
	lastID          uint64
	timer           *time.Timer
	closed          bool
}

// New returns a Queue that follows the decisions of policy. now is the clock, time.Now
// outside tests.
func New(policy *admission.Queue, now func() time.Time) *Queue {
	return &Queue{
		now:             now,
		created:         now(),
		policy:          policy,
		pendingVerdicts: map[uint64]chan admission.Verdict{},
	}
}

// Acquire waits until the request may run. It fails with *RefusedError if the queue
// rejects the request, and with the context's error if the caller cancels.
func (q *Queue) Acquire(ctx context.Context, r Request) (*Permit, error) {
	id, verdicts := q.offer(r)
	select {
	case v := <-verdicts:
		return q.permitOrError(id, v)
	case <-ctx.Done():
		q.cancel(id)
		return nil, ctx.Err()
	}
}

func (q *Queue) offer(r Request) (uint64, <-chan admission.Verdict) {
	q.lock()
	defer q.mu.Unlock()
	q.lastID++
	id := q.lastID
	verdicts := make(chan admission.Verdict, 1)
	q.pendingVerdicts[id] = verdicts
	q.deliverAndSchedule(q.policy.Offer(q.now(), admission.Request{
		ID:       id,
		Team:     r.Team,
		Class:    r.Class,
		Cost:     r.Cost,
		Deadline: r.Deadline,
	}))
	return id, verdicts
}

func (q *Queue) permitOrError(id uint64, v admission.Verdict) (*Permit, error) {
	if v.Kind == admission.Run {
		return &Permit{queue: q, id: id, Verdict: v}, nil
	}
	return nil, &RefusedError{Verdict: v}
}

// cancel removes a request whose caller has canceled. If the policy admits the request
// at the same moment, Cancel frees the slot.
func (q *Queue) cancel(id uint64) {
	q.lock()
	defer q.mu.Unlock()
	delete(q.pendingVerdicts, id)
	q.deliverAndSchedule(q.policy.Cancel(q.now(), id))
}

// Release frees the slot. cost is the work done, in tokens. Only the first call of
// Release or ReleaseTruncated has an effect.
func (p *Permit) Release(cost float64) {
	p.once.Do(func() { p.queue.finish(p.id, cost) })
}

func (q *Queue) finish(id uint64, cost float64) {
	q.lock()
	defer q.mu.Unlock()
	q.deliverAndSchedule(q.policy.Finish(q.now(), id, cost))
}

// ReleaseTruncated frees the slot of a request whose answer ended early. Such an answer
// does not count in the service's measured rate. Only the first call of Release or
// ReleaseTruncated has an effect.
func (p *Permit) ReleaseTruncated(cost float64) {
	p.once.Do(func() {
		p.queue.Configure(func(now time.Time, q *admission.Queue) []admission.Verdict {
			return q.FinishTruncated(now, p.id, cost)
		})
	})
}

// lock takes the lock and tells the policy of the answers' progress.
func (q *Queue) lock() {
	q.mu.Lock()
	at := q.created.Add(time.Duration(q.progressAt.Load()))
	q.policy.Progress(at, at)
}

// Progress records that the request got a part of its answer. It is called for each part, by one
// goroutine, and takes the queue's lock only for the first part and after a silence.
func (p *Permit) Progress() {
	q := p.queue
	at := q.now().Sub(q.created)
	if p.answering && at-time.Duration(q.progressAt.Load()) < admission.SilenceAfter {
		q.progressAt.Store(int64(at))
		return
	}
	q.lock()
	defer q.mu.Unlock()
	now := q.created.Add(at)
	q.policy.Progress(q.created.Add(time.Duration(q.progressAt.Load())), now)
	q.progressAt.Store(int64(at))
	if !p.answering {
		p.answering = true
		q.policy.AnswerBegan(now, p.id)
	}
	q.deliverAndSchedule(nil)
}

// Configure runs change on the policy under the queue's lock and delivers the verdicts
// that change returns.
func (q *Queue) Configure(change func(now time.Time, q *admission.Queue) []admission.Verdict) {
	q.lock()
	defer q.mu.Unlock()
	q.deliverAndSchedule(change(q.now(), q.policy))
}

// deliverAndSchedule delivers verdicts to the waiting requests and sets the timer for
// the policy's next tick. The caller holds the lock.
func (q *Queue) deliverAndSchedule(verdicts []admission.Verdict) {
	q.deliver(verdicts)
	more, next := q.policy.Tick(q.now())
	q.deliver(more)
	q.scheduleTick(next)
}

func (q *Queue) deliver(verdicts []admission.Verdict) {
	for _, v := range verdicts {
		waiter, ok := q.pendingVerdicts[v.ID]
		if !ok {
			continue
		}
		delete(q.pendingVerdicts, v.ID)
		waiter <- v // buffered: one verdict for each request
	}
}

func (q *Queue) scheduleTick(next time.Time) {
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
	if next.IsZero() || q.closed {
		return
	}
	q.timer = time.AfterFunc(next.Sub(q.now()), q.tick)
}

func (q *Queue) tick() {
	q.lock()
	defer q.mu.Unlock()
	q.deliverAndSchedule(nil)
}

// Close stops the timer. Waiting requests keep waiting for a slot.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.scheduleTick(time.Time{})
}

// RefusedError is the error of a request that the queue rejected. The request was not
// run.
type RefusedError struct {
	Verdict admission.Verdict
}

// Error returns the reason of the verdict.
func (r *RefusedError) Error() string {
	return "refused: " + r.Verdict.Reason.String()
}

// Refusal returns the answer for the caller.
func (r *RefusedError) Refusal() *outcome.Refusal {
	return &outcome.Refusal{
		Status:     http.StatusTooManyRequests,
		Code:       "overloaded",
		Message:    "no room before the deadline: " + r.Verdict.Reason.String(),
		Outcome:    outcome.NotRun,
		RetryAfter: r.Verdict.RetryAfter,
	}
}
