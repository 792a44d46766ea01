package admission

import "time"

// jobLength says whether a request is short or a long job.
type jobLength uint8

const (
	short jobLength = iota
	long
	jobLengthCount = 2
)

func (l jobLength) other() jobLength { return long - l }

// item is a waiting or running request. The fields that a sweep reads come first, because
// with thousands of waiting requests a sweep spends most of its time on loading them
// from memory.
type item struct {
	next      *item
	prev      *item
	team      *team
	block     *block // set while the request waits
	jobLength jobLength
	running   bool
	Request
	offeredAt     time.Time
	startedAt     time.Time
	predictedWait time.Duration // as predicted at the offer
}

// blockSize is the largest number of requests in a block. A review checks each block, so
// larger blocks make the review shorter. It also checks each request of a block in which
// a request may be late, so smaller blocks make that part shorter.
const blockSize = 64

// block is a sequence of adjacent requests in a list. It holds the values by which a
// review recognizes that no request of the block will be late.
//
// A review that checked every request took 0.8 ms with 10,000 waiting requests. It ran
// ten times a second under the service's lock and blocked all other requests.
type block struct {
	next         *block
	prev         *block
	first        *item
	waitingCount int
	addedCount   int     // including requests that have left the block
	cost         float64 // sum of the expected costs of the waiting requests, tokens
	// earliestDeadline is not after the deadline of any request of the block.
	earliestDeadline time.Time
}

// list holds the waiting requests of one team, class and job length in order of arrival. It
// is a linked list, so that canceling a request takes constant time at any position.
type list struct {
	head       *item
	tail       *item
	firstBlock *block
	lastBlock  *block
	freeBlock  *block  // the block that was emptied last, for reuse
	cost       float64 // sum of the expected costs, tokens
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
	l.addToBlock(it)
}

// addToBlock adds the last request of the list to the last block, or to a new block if
// the last block is full.
func (l *list) addToBlock(it *item) {
	b := l.lastBlock
	if b == nil || b.addedCount == blockSize {
		b = l.newBlock()
		*b = block{first: it, prev: l.lastBlock}
		if l.lastBlock == nil {
			l.firstBlock = b
		} else {
			l.lastBlock.next = b
		}
		l.lastBlock = b
	}
	b.waitingCount++
	b.addedCount++
	b.cost += it.Cost
	b.earliestDeadline = earlier(b.earliestDeadline, it.Deadline)
	it.block = b
}

func (l *list) remove(it *item) {
	l.removeFromBlock(it)
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
		l.cost = 0 // drop accumulated rounding errors
	}
}

func (l *list) removeFromBlock(it *item) {
	b := it.block
	it.block = nil
	b.waitingCount--
	b.cost -= it.Cost
	if b.first == it {
		b.first = it.next // in the same block, unless the block is now empty
	}
	if b.waitingCount == 0 {
		l.unlink(b)
	}
}

func (l *list) newBlock() *block {
	b := l.freeBlock
	l.freeBlock = nil
	if b == nil {
		b = new(block)
	}
	return b
}

func (l *list) unlink(b *block) {
	l.freeBlock = b
	if b.prev == nil {
		l.firstBlock = b.next
	} else {
		b.prev.next = b.next
	}
	if b.next == nil {
		l.lastBlock = b.prev
	} else {
		b.next.prev = b.prev
	}
}

// each calls visit for every request. visit may remove the request that it receives.
func (l *list) each(visit func(*item)) {
	var next *item
	for it := l.head; it != nil; it = next {
		next = it.next
		visit(it)
	}
}

// each calls visit for every request of the block. visit may remove the request that it
// receives.
func (b *block) each(visit func(*item)) {
	it := b.first
	for range b.waitingCount {
		next := it.next
		visit(it)
		it = next
	}
}
