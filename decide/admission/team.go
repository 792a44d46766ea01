package admission

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/fairness"
)

// team is one team's queue.
type team struct {
	name      string
	index     int // in Queue.order
	flow      *fairness.Flow[*team]
	waiting   [classCount][lengthCount]list
	running   int
	declared  bool      // by SetTeam
	shortWork decayed   // tokens of short jobs offered
	returnsAt time.Time // when the last refused caller was told to come back
}

// idle tells whether the team has no request in the queue.
func (t *team) idle() bool { return t.running == 0 && !t.flow.Waiting() }

// longWork returns the expected tokens of the team's waiting long jobs.
func (t *team) longWork() float64 {
	sum := 0.0
	for c := range t.waiting {
		sum += t.waiting[c][long].cost
	}
	return sum
}

// workBefore returns the expected tokens that wait ahead of a new request of
// the class.
func (t *team) workBefore(class Class) float64 {
	sum := 0.0
	for c := Order; c <= class; c++ {
		sum += t.waiting[c][short].cost + t.waiting[c][long].cost
	}
	return sum
}

// first returns the request of the team that is to go next: by class, then by
// arrival. A long job without room is passed over, so that it does not hold up
// the short ones behind it.
func (t *team) first(longMayRun bool) *item {
	for c := range t.waiting {
		s := t.waiting[c][short].head
		l := t.waiting[c][long].head
		if !longMayRun {
			l = nil
		}
		if it := earlier(s, l); it != nil {
			return it
		}
	}
	return nil
}

// earlier returns the one that arrived first; either may be nil.
func earlier(a, b *item) *item {
	if a == nil {
		return b
	}
	if b == nil || a.seq < b.seq {
		return a
	}
	return b
}

// walk calls visit for each waiting request in the order of service as long as
// there is room for long jobs. Visit may remove the request it is given.
func (t *team) walk(visit func(*item)) {
	for c := range t.waiting {
		s := t.waiting[c][short].head
		l := t.waiting[c][long].head
		for it := earlier(s, l); it != nil; it = earlier(s, l) {
			if it == s {
				s = s.next
			} else {
				l = l.next
			}
			visit(it)
		}
	}
}
