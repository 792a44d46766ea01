// Package waitqueue orders the requests that wait on one node for room on a model's
// replicas.
//
// # Load pattern
//
// More comes for some seconds than the replicas have room for: a burst of twice the
// usual, or the usual with a failure domain less. Whoever is not served within its
// objective is worth a part only, and whoever is refused nothing.
//
// # Without it
//
// In order of arrival the wait grows until all are just too late: the room goes to
// those who have waited longest, and everybody is served late or not at all, for as
// long as the burst lasts.
//
// # Rules
//
//   - Those who can still be on time go before those who can't any more; these get what
//     room is left until they give up.
//   - Within that, by rank; within a rank in order of arrival. Nobody is passed over
//     because he needs much: a large request that waits holds those behind it back, or
//     it would never find room beside small ones.
//   - Teams have no shares here: the operator gives them ranks and nothing else, and
//     shares that are the same for all would starve the large ones.
//
// # Use
//
//	q.Add(now, waitqueue.Request{ID: 1, Rank: 0, OnTimeUntil: t})
//	id, ok := q.First(now) // may go as soon as there is room for it
//	q.Remove(id)
//
// It is a pure state machine: the caller locks, and looks again when room comes free.
package waitqueue

import (
	"cmp"
	"slices"
	"time"
)

// Request is one that waits.
type Request struct {
	ID uint64
	// Rank orders requests, 0 first.
	Rank int
	// OnTimeUntil is up to when an answer that begins is on time; zero for always.
	OnTimeUntil time.Time
}

func (r Request) late(now time.Time) bool {
	return !r.OnTimeUntil.IsZero() && !now.Before(r.OnTimeUntil)
}

// Queue is the requests that wait for one model. The zero value is empty and ready. It
// is not safe for concurrent use.
type Queue struct {
	// onTime and late are each ordered by rank, then by arrival; for late ones that is
	// the moment at which they became late.
	onTime, late []Request
}

// Add puts a request behind those of its rank.
func (q *Queue) Add(now time.Time, r Request) {
	q.settle(now)
	if r.late(now) {
		q.late = insert(q.late, r)
		return
	}
	q.onTime = insert(q.onTime, r)
}

func insert(list []Request, r Request) []Request {
	at, _ := slices.BinarySearchFunc(list, r.Rank+1, func(e Request, rank int) int { return cmp.Compare(e.Rank, rank) })
	return slices.Insert(list, at, r)
}

// Remove takes a request out, because it goes or has given up. It says whether it
// waited.
func (q *Queue) Remove(id uint64) bool {
	is := func(r Request) bool { return r.ID == id }
	before := q.Len()
	q.onTime = slices.DeleteFunc(q.onTime, is)
	q.late = slices.DeleteFunc(q.late, is)
	return q.Len() < before
}

// First is the request that is to go next; ok is false if none waits.
func (q *Queue) First(now time.Time) (id uint64, ok bool) {
	q.settle(now)
	switch {
	case len(q.onTime) > 0:
		return q.onTime[0].ID, true
	case len(q.late) > 0:
		return q.late[0].ID, true
	}
	return 0, false
}

// Before says whether one that waits is to go before a newcomer.
func (q *Queue) Before(now time.Time, r Request) bool {
	q.settle(now)
	if len(q.onTime) > 0 && q.onTime[0].Rank <= r.Rank {
		return true
	}
	return r.late(now) && (len(q.onTime) > 0 || len(q.late) > 0 && q.late[0].Rank <= r.Rank)
}

// Len is how many wait.
func (q *Queue) Len() int { return len(q.onTime) + len(q.late) }

// settle moves those who have become late behind the others.
func (q *Queue) settle(now time.Time) {
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
