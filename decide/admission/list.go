package admission

import "time"

// length separates long jobs from short ones.
type length uint8

const (
	short length = iota
	long
	lengthCount = 2
)

func (l length) other() length { return long - l }

// item is a request that waits or runs. What a sweep reads stands first: with
// thousands waiting its time goes into loading them.
type item struct {
	next    *item
	prev    *item
	team    *team
	length  length
	running bool
	Request
	offered  time.Time
	started  time.Time
	foreseen time.Duration // wait predicted at the offer
}

// list holds the waiting requests of one team, class and length in order of
// arrival. It is linked so that a caller who leaves costs the same from any
// place in the queue.
type list struct {
	head *item
	tail *item
	cost float64 // sum of the expected costs, tokens
}

func (l *list) push(it *item) {
	it.prev = l.tail
	it.next = nil
	if l.tail == nil {
		l.head = it
	} else {
		l.tail.next = it
	}
	l.tail = it
	l.cost += it.Cost
}

func (l *list) remove(it *item) {
	if it.prev == nil {
		l.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		l.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev = nil
	it.next = nil
	l.cost -= it.Cost
	if l.head == nil {
		l.cost = 0 // no rounding error outlives the last request
	}
}

// each calls visit for every request. Visit may remove the one it is given.
func (l *list) each(visit func(*item)) {
	var next *item
	for it := l.head; it != nil; it = next {
		next = it.next
		visit(it)
	}
}
