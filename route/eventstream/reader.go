package eventstream

import (
	"bytes"
)

// MaxBlockBytes bounds one block of a stream.
const MaxBlockBytes = 1 << 20

// Block is one complete block of a stream. Data is valid until the next call of Add.
type Block struct {
	// Data is the block as received, with the empty line that ends it.
	Data []byte
	// Event is set if the block is an event, whose id is ID.
	Event bool
	ID    int64
}

// Reader reads the blocks of one answer. Its zero value reads an answer that begins its stream.
type Reader struct {
	buffer []byte
	// consumed is the length in bytes of the buffer's prefix that Next has returned.
	consumed int
	// begun is set once Next has returned a block.
	begun   bool
	lineEnd lineEnd
	// position is that of the last event of the stream. answered is set once this answer has had an event.
	position Position
	answered bool
	// complete is set once the answer has ended.
	complete  bool
	violation *Violation
}

// NewReader returns a reader of an answer that resumes its stream after a position.
func NewReader(after Position) Reader { return Reader{position: after} }

// Add appends received bytes.
func (r *Reader) Add(p []byte) {
	if r.consumed > 0 {
		r.buffer = r.buffer[:copy(r.buffer, r.pending())]
		r.consumed = 0
	}
	r.buffer = append(r.buffer, p...)
}

// Complete records that the answer has ended and is complete. No bytes follow.
func (r *Reader) Complete() { r.complete = true }

// Next returns the next block; ok is false if it has not arrived yet. The error is a *Violation, and
// is returned by all further calls as well.
func (r *Reader) Next() (block Block, ok bool, err error) {
	if r.violation != nil {
		return Block{}, false, r.violation
	}
	block, ok, violation := r.next()
	if violation != nil {
		violation.After, violation.Bytes = r.position.ID(), firstOf(r.pending())
		r.violation = violation
		return Block{}, false, violation
	}
	return block, ok, nil
}

func (r *Reader) next() (Block, bool, *Violation) {
	block, violation := r.lineEnd.block(r.pending(), r.begun)
	switch {
	case violation != nil:
		return Block{}, false, violation
	case len(block.Data) == 0 && len(r.pending()) > MaxBlockBytes:
		return Block{}, false, &Violation{Reason: ReasonTooLong}
	case len(block.Data) == 0:
		return Block{}, false, nil
	case !block.Event:
		r.consume(block)
		return block, true, nil
	case r.answered && block.ID <= r.position.id:
		return Block{}, false, &Violation{Reason: ReasonOrder}
	}
	if r.position.jumpsTo(block.ID) {
		if confirmed, violation := r.confirms(block); violation != nil || !confirmed {
			return Block{}, false, violation
		}
	}
	r.consume(block)
	r.advance(block.ID)
	return block, true, nil
}

func (r *Reader) consume(block Block) {
	r.consumed += len(block.Data)
	r.begun = true
}

// advance records an event of this answer. A replica that resumes a stream may repeat events before the
// position.
func (r *Reader) advance(id int64) {
	if id > r.position.id || !r.position.known {
		r.position.Advance(id)
		r.answered = true
	}
}

// confirms reports whether the event after a block confirms the block's id, which rises by a larger step
// than any before. It returns false if that event has not arrived yet.
func (r *Reader) confirms(block Block) (bool, *Violation) {
	lineEnd, rest := r.lineEnd, r.pending()[len(block.Data):]
	for {
		next, violation := lineEnd.block(rest, true)
		switch {
		case violation != nil:
			return false, violation
		case len(next.Data) == 0 && !r.complete:
			return false, nil
		case len(next.Data) == 0 && r.answered:
			return false, &Violation{Reason: ReasonJump}
		case len(next.Data) == 0:
			return true, nil
		case next.Event && next.ID <= block.ID:
			return false, &Violation{Reason: ReasonJump}
		case next.Event:
			return true, nil
		}
		rest = rest[len(next.Data):]
	}
}

// HasEventAfter reports whether an event after a position is there. It consumes nothing.
func (r *Reader) HasEventAfter(p Position) (bool, error) {
	ahead := *r
	for {
		block, ok, err := ahead.Next()
		if err != nil || !ok {
			return false, err
		}
		if block.Event && p.Precedes(block.ID) {
			return true, nil
		}
	}
}

// Incomplete reports whether a part of a block is left that is more than white space.
func (r *Reader) Incomplete() bool { return len(bytes.TrimSpace(r.pending())) > 0 }

func (r *Reader) pending() []byte { return r.buffer[r.consumed:] }
