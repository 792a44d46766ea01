package relay

import (
	"cmp"
	"time"

	"github.com/cicadatack/cicadatack/decide/health"
	"github.com/cicadatack/cicadatack/route/eventstream"
	"github.com/cicadatack/cicadatack/route/targets"
	"github.com/cicadatack/cicadatack/route/upstream"
	"github.com/cicadatack/cicadatack/state/wait"
)

const (
	// maxDiscardedBytes and discardTimeout bound the body of a refusal. It is read only so that the
	// connection can be reused, while the request waits to be sent elsewhere.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 250 * time.Millisecond
	// memoryWait bounds the wait of an answer that must be buffered for memory that others hold.
	memoryWait         = time.Second
	memoryPollInterval = 20 * time.Millisecond
)

// errAnswerMemory means that the node's memory for answers does not suffice for this one.
var errAnswerMemory = Error.New("the memory for answers is used up")

// openMemory opens the account that what is read of the answer is charged to.
func (a *attempt) openMemory() {
	if a.memory == nil {
		a.memory = a.req.server.Memory.Account(a.target.Address)
	}
}

// readAll reads the body to its end, or up to the buffer limit.
func (a *attempt) readAll(e *upstream.Exchange) ([]byte, error) {
	a.openMemory()
	maxBytes := cmp.Or(a.req.server.MaxBufferedBytes, DefaultMaxBufferedBytes)
	return e.ReadGrowing(maxBytes, a.req.Deadline.Sub(a.req.server.Now()), a.growMemory)
}

// growMemory charges a larger buffer. An answer that can't be passed on as it arrives waits for memory.
func (a *attempt) growMemory(bytes int) error {
	until := a.req.server.Now().Add(memoryWait)
	for !a.memory.Resize(bytes) {
		mayPassOn := a.req.w != nil
		if mayPassOn || !a.req.server.Now().Before(until) || !wait.For(a.req.ctx, memoryPollInterval) {
			a.req.server.Metrics.AnswerMemoryFull(a.req.Service)
			return errAnswerMemory
		}
	}
	return nil
}

// discard reads the body of an answer that nobody gets.
func (a *attempt) discard(e *upstream.Exchange) error {
	return e.Discard(maxDiscardedBytes, min(discardTimeout, a.req.Deadline.Sub(a.req.server.Now())))
}

// discardAndReuse reads the body of an answer that nobody gets, and keeps its connection if it ends. The error is
// why it does not end.
func (a *attempt) discardAndReuse(e *upstream.Exchange) error {
	err := a.discard(e)
	if err == nil {
		e.KeepAlive(a.head.IdleTimeout)
	}
	return err
}

// chargePending charges what a reader of events holds. It returns a result if the memory does not suffice:
// the stream may go on elsewhere.
func (a *attempt) chargePending(reader *eventstream.Reader) *attemptResult {
	a.openMemory()
	if a.memory.Resize(reader.Held()) {
		return nil
	}
	a.req.server.Metrics.AnswerMemoryFull(a.req.Service)
	return &attemptResult{kind: resultUnknown, detail: errAnswerMemory.Error(), feedback: targets.Result{Failure: health.Canceled}}
}

// releaseAnswers gives back the memory of all answers but one.
func (req *requestState) releaseAnswers(kept *Answer) {
	for _, memory := range req.held {
		if kept == nil || kept.memory != memory {
			memory.Release()
		}
	}
}
