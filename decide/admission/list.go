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
	block   *block // while it waits
	length  length
	running bool
	Request
	offered  time.Time
	started  time.Time
	foreseen time.Duration // wait predicted at the offer
}

// blockSize is the number of requests of a block. A review looks at each block,
// so that larger ones make it shorter, and at each request of a block in doubt.
const blockSize = 64

// block is a run of neighbours in a list, with what a review needs to see that
// none of them is to be given up.
//
// A review that looked at every request took 0.8 ms with 10,000 waiting, ten
// times a second, with the service's lock held: all others waited meanwhile.
type block struct {
	next  *block
	prev  *block
	first *item
	count int // waiting
	taken int // pushed into it so far
	cost  float64
	// earliest is no later than the deadline of any request of the block.
	earliest time.Time
}

// list holds the waiting requests of one team, class and length in order of
// arrival. It is linked so that a caller who leaves costs the same from any
// place in the queue.
type list struct {
	head   *item
	tail   *item
	blocks *block // the first
	last   *block
	spare  *block  // emptied last, for reuse
	cost   float64 // sum of the expected costs, tokens
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
	l.intoBlock(it)
}

// intoBlock adds the last request to the last block, or to a new one.
func (l *list) intoBlock(it *item) {
	b := l.last
	if b == nil || b.taken == blockSize {
		b = l.newBlock()
		*b = block{first: it, prev: l.last}
		if l.last == nil {
			l.blocks = b
		} else {
			l.last.next = b
		}
		l.last = b
	}
	b.count++
	b.taken++
	b.cost += it.Cost
	b.earliest = sooner(b.earliest, it.Deadline)
	it.block = b
}

func (l *list) remove(it *item) {
	l.outOfBlock(it)
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

func (l *list) outOfBlock(it *item) {
	b := it.block
	it.block = nil
	b.count--
	b.cost -= it.Cost
	if b.first == it {
		b.first = it.next // of the same block, unless it is empty now
	}
	if b.count == 0 {
		l.unlink(b)
	}
}

func (l *list) newBlock() *block {
	b := l.spare
	l.spare = nil
	if b == nil {
		b = new(block)
	}
	return b
}

func (l *list) unlink(b *block) {
	l.spare = b
	if b.prev == nil {
		l.blocks = b.next
	} else {
		b.prev.next = b.next
	}
	if b.next == nil {
		l.last = b.prev
	} else {
		b.next.prev = b.prev
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

// each calls visit for every request of the block. Visit may remove the one it
// is given.
func (b *block) each(visit func(*item)) {
	it := b.first
	for range b.count {
		next := it.next
		visit(it)
		it = next
	}
}
