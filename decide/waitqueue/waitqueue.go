// Package waitqueue orders the requests that wait on one node for capacity on a model's
// replicas.
//
// # Load pattern
//
// For some seconds the offered load exceeds the capacity of the replicas: a burst of
// twice the usual load, or the usual load with a failure domain down. Each request has an
// objective for the time until its response begins. A response after this time is worth
// less than a response in time. A refused request is worth nothing.
//
// # Failures with first-in-first-out order
//
// The wait grows until every request is just too late. Free capacity goes to the
// requests that have waited longest, so every response is late or missing for as long
// as the burst lasts.
//
// # Rules
//
//   - A request is late from OnTimeUntil on. A request that can still be on time goes
//     before every late request. Late requests get the remaining capacity until their
//     callers give up.
//   - Within each of these two groups, a lower Priority value goes first. Requests of the
//     same priority go in order of arrival; late requests go in the order in which they
//     became late.
//   - If the first request needs more capacity than is free, the requests behind it wait as
//     well. Otherwise a request that needs much capacity would never start beside many
//     small requests.
//   - Teams have no shares in this queue. The operator configures priorities but no weights
//     of teams, and equal shares for all teams would starve the large teams.
//
// # Use
//
//	q.Add(now, waitqueue.Request{ID: 1, Priority: 0, OnTimeUntil: t})
//	id, ok := q.First(now) // may start as soon as there is capacity for it
//	q.Remove(id)
//
// The queue is a pure state machine: the caller locks, and calls First again when
// capacity is released.
package waitqueue

import (
	"cmp"
	"slices"
	"time"
)

// Request is a waiting request.
type Request struct {
	ID uint64
	// Priority orders the requests. Requests with a lower value go first; the lowest value
	// is 0.
	Priority int
	// OnTimeUntil is the time before which the response must begin to be on time. Zero
	// means that the response is always on time.
	OnTimeUntil time.Time
}

func (r Request) late(now time.Time) bool {
	return !r.OnTimeUntil.IsZero() && !now.Before(r.OnTimeUntil)
}

// Queue holds the requests that wait for one model. The zero value is an empty queue. A
// Queue is not safe for concurrent use.
type Queue struct {
	// onTime holds the requests that can still be on time, by priority, then by arrival.
	// late holds the other requests, by priority, then by the time at which they became
	// late.
	onTime, late []Request
}

// Add adds a waiting request. It goes behind the waiting requests of the same priority.
func (q *Queue) Add(now time.Time, r Request) {
	q.moveLate(now)
	if r.late(now) {
		q.late = insert(q.late, r)
		return
	}
	q.onTime = insert(q.onTime, r)
}

func insert(list []Request, r Request) []Request {
	index, _ := slices.BinarySearchFunc(list, r.Priority+1, func(e Request, priority int) int { return cmp.Compare(e.Priority, priority) })
	return slices.Insert(list, index, r)
}

// Remove removes a request that now starts or whose caller has given up. It reports whether
// the request was waiting.
func (q *Queue) Remove(id uint64) bool {
	matches := func(r Request) bool { return r.ID == id }
	before := q.Len()
	q.onTime = slices.DeleteFunc(q.onTime, matches)
	q.late = slices.DeleteFunc(q.late, matches)
	return q.Len() < before
}

// First returns the ID of the request that starts next. ok is false if no request waits.
func (q *Queue) First(now time.Time) (id uint64, ok bool) {
	q.moveLate(now)
	switch {
	case len(q.onTime) > 0:
		return q.onTime[0].ID, true
	case len(q.late) > 0:
		return q.late[0].ID, true
	}
	return 0, false
}

// MustWait reports whether at least one waiting request goes before the new request r.
func (q *Queue) MustWait(now time.Time, r Request) bool {
	q.moveLate(now)
	if len(q.onTime) > 0 && q.onTime[0].Priority <= r.Priority {
		return true
	}
	return r.late(now) && (len(q.onTime) > 0 || len(q.late) > 0 && q.late[0].Priority <= r.Priority)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.onTime) + len(q.late) }

// moveLate moves the requests that have become late from onTime to late.
func (q *Queue) moveLate(now time.Time) {
	kept := q.onTime[:0]
	for _, r := range q.onTime {
		if r.late(now) {
			q.late = insert(q.late, r)
			continue
		}
		kept = append(kept, r)
	}
	clear(q.onTime[len(kept):])
	q.onTime = kept
}
