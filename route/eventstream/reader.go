package eventstream

import "bytes"

// MaxPendingBytes bounds what a reader keeps: an incomplete block, or an event that waits for the next
// one, with what follows it.
const MaxPendingBytes = 1 << 20

// Block is one complete block of a stream. Data is valid until the next call of Add.
type Block struct {
	// Data is the block as received, with the empty line that ends it.
	Data []byte
	// Event is set if the block is an event, whose id is ID. Repeated is set if its id is not above
	// the position that the reader began with: the stream already has that event.
	Event, Repeated bool
	ID              int64
}

// Reader reads the blocks of one answer. Its zero value reads an answer that begins its stream.
type Reader struct {
	scanner scanner
	// position is that of the last event of the stream that was found.
	position Position
	// last is the id of the last event of this answer, also of a repeated one; valid if answered is set.
	last     int64
	answered bool
	// held is an event that waits for the next one; valid if holds is set.
	held  block
	holds bool
	// found[next:] are blocks that Next has not returned, newEvents how many of them are events that are
	// not repeated. returned is the end of the last block that it has returned.
	found     []block
	next      int
	newEvents int
	returned  int
	// complete is set once the answer has ended.
	complete  bool
	violation *Violation
}

// NewReader returns a reader of an answer that goes on with its stream after a position.
func NewReader(after Position) Reader {
	return Reader{position: after, scanner: scanner{dropMark: after.known}}
}

// Add appends received bytes.
func (r *Reader) Add(p []byte) { r.scanner.add(p, r.returned) }

// Complete records that the answer has ended and is complete. No bytes follow.
func (r *Reader) Complete() { r.complete = true }

// Next returns the next block; ok is false if it has not arrived yet. The error is a *Violation, and
// is returned by all further calls as well.
func (r *Reader) Next() (b Block, ok bool, err error) {
	for r.next == len(r.found) {
		r.found, r.next = r.found[:0], 0
		if more, err := r.find(); err != nil || !more {
			return Block{}, false, err
		}
	}
	first := r.found[r.next]
	r.next++
	r.returned = first.end
	if first.event && !first.repeated {
		r.newEvents--
	}
	return Block{Data: r.scanner.bytes(first.span), Event: first.event, Repeated: first.repeated, ID: first.id}, true, nil
}

// HasEvent reports whether an event has arrived that the stream does not have. Next returns it later.
func (r *Reader) HasEvent() (bool, error) {
	for r.newEvents == 0 {
		if more, err := r.find(); err != nil || !more {
			return false, err
		}
	}
	return true, nil
}

// Incomplete reports whether a part of a block is left that is more than white space.
func (r *Reader) Incomplete() bool {
	return len(bytes.TrimSpace(r.scanner.bytes(span{r.scanner.start, r.scanner.end()}))) > 0
}

// find reads one block, and adds to found what can be returned by now. It returns false if no complete
// block is left.
func (r *Reader) find() (bool, error) {
	if r.violation != nil {
		return false, r.violation
	}
	b, ok, violation := r.scanner.next()
	switch {
	case violation != nil:
	case ok:
		violation = r.take(b)
	case r.complete:
		ok, violation = r.end()
	case r.scanner.end()-r.returned > MaxPendingBytes:
		violation = &Violation{Reason: ReasonTooLong}
	}
	if violation == nil {
		return ok, nil
	}
	violation.After, violation.Bytes = r.position.ID(), firstOf(r.scanner.bytes(span{r.pendingStart(b), r.scanner.end()}))
	r.violation = violation
	return false, violation
}

// pendingStart is where the bytes begin that break the contract: at the event that is held, or at the
// block that was read last.
func (r *Reader) pendingStart(read block) int {
	switch {
	case r.holds:
		return r.held.start
	case read.end > 0:
		return read.start
	}
	return r.scanner.start
}

// take adds a block to found, or holds it.
func (r *Reader) take(b block) *Violation {
	switch {
	case !b.event && r.holds:
		r.held.end = b.end
		return nil
	case !b.event:
		r.addComment(b)
		return nil
	case r.holds && b.id <= r.held.id:
		return &Violation{Reason: ReasonJump}
	case r.holds:
		r.accept(r.held)
		r.holds = false
	case r.answered && b.id <= r.last:
		return &Violation{Reason: ReasonOrder}
	}
	if r.position.jumpsTo(b.id) {
		r.held, r.holds = b, true
		return nil
	}
	r.accept(b)
	return nil
}

// addComment adds a block that is no event to found. Several in succession become one, so that many short
// ones take no more memory than their bytes.
func (r *Reader) addComment(b block) {
	if last := len(r.found) - 1; last >= r.next && !r.found[last].event {
		r.found[last].end = b.end
		return
	}
	r.found = append(r.found, b)
}

// accept adds an event to found.
func (r *Reader) accept(b block) {
	r.last, r.answered = b.id, true
	b.repeated = !r.position.precedes(b.id)
	if !b.repeated {
		r.newEvents++
		r.position.Advance(b.id)
	}
	r.found = append(r.found, b)
}

// end judges what only the end of the answer tells. It returns true if that adds an event to found.
func (r *Reader) end() (bool, *Violation) {
	switch {
	case r.holds && r.position.known:
		return false, &Violation{Reason: ReasonJump}
	case r.holds:
		r.accept(r.held)
		r.holds = false
		return true, nil
	case r.answered && r.last < r.position.id:
		return false, &Violation{Reason: ReasonEnd}
	}
	return false, nil
}
