// Package admissionqueue lets requests of one service wait for room, in the order that
// decide/admission says, and tells at once those that will not be served.
//
//	ticket, err := g.Enter(ctx, Request{Team: "menteng", Cost: 200})
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

// Ticket is the room that a request was given.
type Ticket struct {
	gate *Gate
	id   uint64
	once sync.Once
	// Verdict is the decision that let the request in.
	Verdict admission.Verdict
}

// Gate is the queue of one service on one node. Safe for concurrent use.
type Gate struct {
	now func() time.Time

	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[uint64]chan admission.Verdict
	nextID  uint64
	timer   *time.Timer
	closed  bool
}

// New returns a gate around queue. now is the clock, time.Now outside tests.
func New(queue *admission.Queue, now func() time.Time) *Gate {
	return &Gate{
		now:     now,
		queue:   queue,
		waiting: map[uint64]chan admission.Verdict{},
	}
}

// Enter waits until the request may run. It fails with *outcome.Refusal when
// the queue refuses, and with the context's error when the caller left.
func (g *Gate) Enter(ctx context.Context, r Request) (*Ticket, error) {
	id, answer := g.offer(r)
	select {
	case v := <-answer:
		return g.settle(id, v)
	case <-ctx.Done():
		g.abandon(id)
		return nil, ctx.Err()
	}
}

func (g *Gate) offer(r Request) (uint64, <-chan admission.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	id := g.nextID
	answer := make(chan admission.Verdict, 1)
	g.waiting[id] = answer
	g.apply(g.queue.Offer(g.now(), admission.Request{
		ID:       id,
		Team:     r.Team,
		Class:    r.Class,
		Cost:     r.Cost,
		Deadline: r.Deadline,
	}))
	return id, answer
}

func (g *Gate) settle(id uint64, v admission.Verdict) (*Ticket, error) {
	if v.Kind == admission.Run {
		return &Ticket{gate: g, id: id, Verdict: v}, nil
	}
	return nil, &Refused{Verdict: v}
}

// abandon takes back a request whose caller left. The queue knows whether it
// still waited or had just been let in, so a verdict that crossed with the
// caller's leaving frees its room as well.
func (g *Gate) abandon(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.apply(g.queue.Cancel(g.now(), id))
}

// Leave frees the room. cost is the work that was really done, in tokens. Only
// the first call counts.
func (t *Ticket) Leave(cost float64) {
	t.once.Do(func() { t.gate.finish(t.id, cost) })
}

func (g *Gate) finish(id uint64, cost float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.queue.Finish(g.now(), id, cost))
}

// Cut frees the room of a request whose answer ended early. Only the first call
// of Leave or Cut counts.
func (t *Ticket) Cut(cost float64) {
	t.once.Do(func() {
		t.gate.Configure(func(now time.Time, q *admission.Queue) []admission.Verdict {
			return q.FinishTruncated(now, t.id, cost)
		})
	})
}

// Configure runs change on the queue under the gate's lock and hands out the
// verdicts that follow from it.
func (g *Gate) Configure(change func(now time.Time, q *admission.Queue) []admission.Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(change(g.now(), g.queue))
}

// apply hands each verdict to whom it concerns and sets the timer for the
// queue's next own event. The caller holds the lock.
func (g *Gate) apply(verdicts []admission.Verdict) {
	g.deliver(verdicts)
	more, next := g.queue.Tick(g.now())
	g.deliver(more)
	g.schedule(next)
}

func (g *Gate) deliver(verdicts []admission.Verdict) {
	for _, v := range verdicts {
		answer, ok := g.waiting[v.ID]
		if !ok {
			continue
		}
		delete(g.waiting, v.ID)
		answer <- v // buffered: one verdict per request
	}
}

func (g *Gate) schedule(next time.Time) {
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	if next.IsZero() || g.closed {
		return
	}
	g.timer = time.AfterFunc(next.Sub(g.now()), g.tick)
}

func (g *Gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(nil)
}

// Close stops the timer. Requests still waiting keep waiting for room.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.schedule(time.Time{})
}

// Refused is the error of a request that the queue did not let in. It was not
// run.
type Refused struct {
	Verdict admission.Verdict
}

// Error names the queue's reason.
func (r *Refused) Error() string {
	return "refused: " + r.Verdict.Reason.String()
}

// Refusal is the answer that the caller gets, at once.
func (r *Refused) Refusal() *outcome.Refusal {
	return &outcome.Refusal{
		Status:     http.StatusTooManyRequests,
		Code:       "overloaded",
		Message:    "no room before the deadline: " + r.Verdict.Reason.String(),
		Outcome:    outcome.NotRun,
		RetryAfter: r.Verdict.RetryAfter,
	}
}
