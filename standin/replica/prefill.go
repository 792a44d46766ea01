package replica

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// defaultPriority is the priority of a request that states none.
const defaultPriority = 5

// prefillQueue lets one prompt at a time be read, the most urgent first and, among those of the
// same priority, the one that arrived first. The zero value is ready to use.
type prefillQueue struct {
	mu      sync.Mutex
	busy    bool
	waiting []prefillWaiter
}

type prefillWaiter struct {
	priority int
	turn     chan struct{}
}

// acquire waits for the request's turn. It returns false if the caller left meanwhile; otherwise
// release must follow.
func (q *prefillQueue) acquire(ctx context.Context, priority int) bool {
	q.mu.Lock()
	if !q.busy {
		q.busy = true
		q.mu.Unlock()
		return true
	}
	w := prefillWaiter{priority: priority, turn: make(chan struct{})}
	at := slices.IndexFunc(q.waiting, func(other prefillWaiter) bool { return other.priority > priority })
	if at < 0 {
		at = len(q.waiting)
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	q.mu.Unlock()
	select {
	case <-w.turn:
		return true
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(other prefillWaiter) bool { return other.turn == w.turn })
	if len(q.waiting) == before {
		q.next() // its turn had come
	}
	return false
}

func (q *prefillQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next()
}

// next gives the turn to the first of those that wait. The caller holds the lock.
func (q *prefillQueue) next() {
	if len(q.waiting) == 0 {
		q.busy = false
		return
	}
	close(q.waiting[0].turn)
	q.waiting = q.waiting[1:]
}

func priorityOf(h http.Header) int {
	priority, err := strconv.Atoi(h.Get("Request-Priority"))
	if err != nil {
		return defaultPriority
	}
	return priority
}

// prefill reads the prompt of a stream. It returns false if the caller left meanwhile.
func (r *Replica) prefill(ctx context.Context, duration time.Duration, priority int) bool {
	if duration == 0 {
		return true
	}
	if !r.prompts.acquire(ctx, priority) {
		return false
	}
	defer r.prompts.release()
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
