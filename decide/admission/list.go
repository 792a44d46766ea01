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

// item is a waiting or running request. The fields that refuseLateRequests reads come
// first. With thousands of waiting requests, refuseLateRequests spends most of its time on
// loading these fields from memory.
type item struct {
	next      *item
	prev      *item
	team      *team
	block     *block // set while the request waits
	jobLength jobLength
	running   bool
	answering bool // running, and its answer has begun
	Request
	offeredAt     time.Time
	startedAt     time.Time     // in slot time
	predictedWait time.Duration // as predicted at the offer
}

// blockSize is the largest number of requests in a block. A review looks at each block, so
// larger blocks make a review shorter. If a request of a block may be late, the review
// looks at each request of the block, so smaller blocks make this part shorter.
const blockSize = 64

// block is a sequence of adjacent waiting requests in a list, at most blockSize of them.
// From the values of the block, a review recognizes that no request of the block will be
// late.
//
// A review that looked at every request took 0.8 ms with 10,000 waiting requests. This
// review ran ten times a second under the service's lock, and all calls on this service
// waited for the review.
type block struct {
	next         *block
	prev         *block
	first        *item
	waitingCount int
	addedCount   int     // requests ever added, including those that have left the block
	cost         float64 // sum of the expected costs of the waiting requests, tokens
	// earliestDeadline is a lower bound on the deadlines of the waiting requests in this
	// block. It is not raised when a request leaves the block; a review that looks at each
	// request of the block sets it again.
	earliestDeadline time.Time
}

// list holds the waiting requests of one team, class and job length in order of arrival. It
// is a doubly linked list, so that removing a canceled request takes constant time at any
// place.
type list struct {
	head       *item
	tail       *item
	firstBlock *block
	lastBlock  *block
	freeBlock  *block  // the block that was emptied last, for reuse
	totalCost  float64 // sum of the expected costs, tokens
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
	l.totalCost += it.Cost
	l.addToBlock(it)
}

// addToBlock adds the newest request of the list to the list's last block. If blockSize
// requests have already been added to that block, the request goes to a new block.
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
	l.totalCost -= it.Cost
	if l.head == nil {
		l.totalCost = 0 // drop accumulated rounding errors
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

// each calls visit for every request of the list. visit may remove the request with which
// it is called.
func (l *list) each(visit func(*item)) {
	var next *item
	for it := l.head; it != nil; it = next {
		next = it.next
		visit(it)
	}
}

// each calls visit for every request of the block. visit may remove the request with which
// it is called.
func (b *block) each(visit func(*item)) {
	it := b.first
	for range b.waitingCount {
		next := it.next
		visit(it)
		it = next
	}
}
