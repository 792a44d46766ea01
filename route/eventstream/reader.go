package eventstream

import "bytes"

// MaxPendingBytes bounds the bytes after an event in which there is no further event: an incomplete
// block, an event that waits for the next one, or bytes that are ignored. It also bounds the events that
// a reader keeps until Next returns them.
const MaxPendingBytes = 1 << 20

// Format says which fields the events of a replica have beside the id and the data.
type Format struct {
	// NumericFields are at most 64 names of fields whose value is a whole number of at most MaxIDDigits
	// digits. Each stands at most once in an event.
	NumericFields []string
}

// Event is an event of a stream.
type Event struct {
	ID int64
	// Data is the event as it is written to a caller, with the empty line that ends it. It is valid until
	// the next call of Next or Add.
	Data []byte
	// Repeated is set if the id is not above the position that the reader began with: the stream already
	// has that event.
	Repeated bool
}

// Reader reads the events of one answer. Its zero value reads an answer that begins its stream, in the
// zero Format.
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
	// found[next:] are events that Next has not returned, newEvents how many of them are not repeated.
	// returned is the end of the last event that it has returned.
	found     []block
	next      int
	newEvents int
	returned  int
	wentOn    bool
	// normalized holds the last event that Next has returned in another form than it was received.
	normalized []byte
	// complete is set once the answer has ended.
	complete  bool
	violation *Violation
}

// NewReader returns a reader of an answer that goes on with its stream after a position.
func NewReader(after Position, format Format) Reader {
	return Reader{position: after, scanner: scanner{format: format}}
}

// Held returns the number of bytes that the reader holds.
func (r *Reader) Held() int { return len(r.scanner.buffer) }

// Add appends received bytes.
func (r *Reader) Add(p []byte) { r.scanner.add(p, r.needed()) }

// needed is the offset before which no bytes are needed any more.
func (r *Reader) needed() int {
	switch {
	case r.next < len(r.found):
		return r.found[r.next].start
	case r.holds:
		return r.held.start
	}
	return r.scanner.start
}

// Complete records that the answer has ended and is complete. No bytes follow.
func (r *Reader) Complete() { r.complete = true }

// Next returns the next event; ok is false if it has not arrived yet. The error is a *Violation, and
// is returned by all further calls as well.
func (r *Reader) Next() (e Event, ok bool, err error) {
	for r.next == len(r.found) {
		r.found, r.next = r.found[:0], 0
		if more, err := r.find(); err != nil || !more {
			return Event{}, false, err
		}
	}
	first := r.found[r.next]
	r.next++
	r.returned = first.end
	if !first.repeated {
		r.newEvents--
	}
	return Event{ID: first.id, Data: r.normalForm(first), Repeated: first.repeated}, true, nil
}

// normalForm returns an event in the form that is written to callers.
func (r *Reader) normalForm(event block) []byte {
	raw := r.scanner.bytes(event.span)
	if event.normal {
		return raw
	}
	r.normalized = r.scanner.format.appendNormal(r.normalized[:0], raw, r.scanner.lineEnd, event.id)
	return r.normalized
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

// TakeIgnored returns what was ignored since the last call.
func (r *Reader) TakeIgnored() Ignored {
	taken := r.scanner.ignored
	r.scanner.ignored = Ignored{}
	return taken
}

// Empty reports whether no bytes have arrived.
func (r *Reader) Empty() bool { return r.scanner.end() == 0 }

// WentOn reports whether the answer has had an event that the stream did not have.
func (r *Reader) WentOn() bool { return r.wentOn }

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
	ignoredBefore := r.scanner.ignored.Bytes
	b, ok, violation := r.scanner.next()
	if ignoredBefore == 0 && r.scanner.ignored.Bytes > 0 {
		r.scanner.ignored.After = r.position.ID()
	}
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

// take adds an event to found, or holds it. Other blocks are ignored.
func (r *Reader) take(b block) *Violation {
	switch {
	case !b.event:
		return nil
	case r.holds && b.id <= r.held.id:
		return &Violation{Reason: ReasonJump}
	case r.holds:
		r.accept(r.held)
		r.holds = false
	case r.answered && b.id <= r.last:
		return &Violation{Reason: ReasonOrder}
	}
	if r.position.skipsTo(b.id) {
		return &Violation{Reason: ReasonJump}
	}
	if r.position.jumpsTo(b.id) {
		r.held, r.holds = b, true
		return nil
	}
	r.accept(b)
	return nil
}

// accept adds an event to found.
func (r *Reader) accept(b block) {
	r.last, r.answered = b.id, true
	b.repeated = !r.position.precedes(b.id)
	if !b.repeated {
		r.newEvents++
		r.wentOn = true
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
	case r.position.known && !r.wentOn && !r.Empty():
		return false, &Violation{Reason: ReasonEnd}
	}
	return false, nil
}
