// Package admissionqueue lets requests of one service wait for room, in the order that
// decide/admission says, and tells at once those that will not be served.
//
//	ticket, err := q.Enter(ctx, Request{Team: "menteng", Cost: 200})
//	if err != nil { ... } // *outcome.Refusal: not run, with Retry-After
//	defer ticket.Leave(actualCost)
//
// The gate adds to the pure queue only what the queue must not have: a lock, a
// timer and channels for those who wait.
package admissionqueue

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/decide/admission"
	"github.com/cicadatack/cicadatack/route/outcome"
)

// Request is one call that asks for room.
type Request struct {
	Team  string
	Class admission.Class
	// Cost is the expected work in tokens.
	Cost float64
	// Deadline is the latest useful start; zero takes the queue's default.
	Deadline time.Time
}

// Permit is the room that a request was given.
type Permit struct {
	queue *Queue
	id   uint64
	once sync.Once
	// Verdict is the decision that let the request in.
	Verdict admission.Verdict
}

// Queue is the queue of one service on one node. Safe for concurrent use.
type Queue struct {
	now func() time.Time

	mu      sync.Mutex
	policy   *admission.Queue
	pendingVerdicts map[uint64]chan admission.Verdict
	lastID  uint64
	timer   *time.Timer
	closed  bool
}

// New returns a gate around queue. now is the clock, time.Now outside tests.
func New(queue *admission.Queue, now func() time.Time) *Queue {
	return &Queue{
		now:     now,
		policy:   queue,
		pendingVerdicts: map[uint64]chan admission.Verdict{},
	}
}

// Acquire waits until the request may run. It fails with *outcome.Refusal when
// the queue refuses, and with the context's error when the caller left.
func (q *Queue) Acquire(ctx context.Context, r Request) (*Permit, error) {
	id, answer := q.offer(r)
	select {
	case v := <-answer:
		return q.permitOrError(id, v)
	case <-ctx.Done():
		q.cancel(id)
		return nil, ctx.Err()
	}
}

func (q *Queue) offer(r Request) (uint64, <-chan admission.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	id := q.lastID
	answer := make(chan admission.Verdict, 1)
	q.pendingVerdicts[id] = answer
	q.deliverAndSchedule(q.policy.Offer(q.now(), admission.Request{
		ID:       id,
		Team:     r.Team,
		Class:    r.Class,
		Cost:     r.Cost,
		Deadline: r.Deadline,
	}))
	return id, answer
}

func (q *Queue) permitOrError(id uint64, v admission.Verdict) (*Permit, error) {
	if v.Kind == admission.Run {
		return &Permit{queue: q, id: id, Verdict: v}, nil
	}
	return nil, &RefusedError{Verdict: v}
}

// cancel takes back a request whose caller left. The queue knows whether it
// still waited or had just been let in, so a verdict that crossed with the
// caller's leaving frees its room as well.
func (q *Queue) cancel(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pendingVerdicts, id)
	q.deliverAndSchedule(q.policy.Cancel(q.now(), id))
}

// Release frees the room. cost is the work that was really done, in tokens. Only
// the first call counts.
func (t *Permit) Release(cost float64) {
	t.once.Do(func() { t.queue.finish(t.id, cost) })
}

func (q *Queue) finish(id uint64, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliverAndSchedule(q.policy.Finish(q.now(), id, cost))
}

// ReleaseTruncated frees the room of a request whose answer ended early. Only the first call
// of Leave or ReleaseTruncated counts.
func (t *Permit) ReleaseTruncated(cost float64) {
	t.once.Do(func() {
		t.queue.Configure(func(now time.Time, q *admission.Queue) []admission.Verdict {
			return q.FinishTruncated(now, t.id, cost)
		})
	})
}

// Configure runs change on the queue under the gate's lock and hands out the
// verdicts that follow from it.
func (q *Queue) Configure(change func(now time.Time, q *admission.Queue) []admission.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliverAndSchedule(change(q.now(), q.policy))
}

// deliverAndSchedule hands each verdict to whom it concerns and sets the timer for the
// queue's next own event. The caller holds the lock.
func (q *Queue) deliverAndSchedule(verdicts []admission.Verdict) {
	q.deliver(verdicts)
	more, next := q.policy.Tick(q.now())
	q.deliver(more)
	q.scheduleTick(next)
}

func (q *Queue) deliver(verdicts []admission.Verdict) {
	for _, v := range verdicts {
		answer, ok := q.pendingVerdicts[v.ID]
		if !ok {
			continue
		}
		delete(q.pendingVerdicts, v.ID)
		answer <- v // buffered: one verdict per request
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
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliverAndSchedule(nil)
}

// Close stops the timer. Requests still waiting keep waiting for room.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.scheduleTick(time.Time{})
}

// RefusedError is the error of a request that the queue did not let in. It was not
// run.
type RefusedError struct {
	Verdict admission.Verdict
}

// Error names the queue's reason.
func (r *RefusedError) Error() string {
	return "refused: " + r.Verdict.Reason.String()
}

// Refusal is the answer that the caller gets, at once.
func (r *RefusedError) Refusal() *outcome.Refusal {
	return &outcome.Refusal{
		Status:     http.StatusTooManyRequests,
		Code:       "overloaded",
		Message:    "no room before the deadline: " + r.Verdict.Reason.String(),
		Outcome:    outcome.NotRun,
		RetryAfter: r.Verdict.RetryAfter,
	}
}
