package stream

import (
	"context"
	"errors"
	"net"
	"time"
)

// maxSilence bounds the wait for silent chains if the request has no deadline. It is longer
// than the pauses of sound engines, and it ends calls whose engines have stopped for good.
const maxSilence = 30 * time.Second

// mayLeaveSilentChain returns a function that reports whether the epoch's chain may be left
// because it has been silent since a time. It may be left only if another epoch is allowed
// and the chooser reserves the retry for it. Otherwise the answer would be ended for a
// silence alone, although its deadline has not passed and the chain may be sound.
//
// The numbers of executions and attempts do not change during an epoch, so they are read
// before it starts: the function is called from another goroutine.
func (e *epoch) mayLeaveSilentChain() func(since time.Time) bool {
	another := e.mayLeaveChain()
	limited := !e.answer.req.Deadline.IsZero()
	reserver, limitsRetries := e.answer.chooser().(RetryReserver)
	return func(since time.Time) bool {
		if !limited && time.Since(since) >= maxSilence {
			return true
		}
		return another && (!limitsRetries || reserver.ReserveRetry())
	}
}

// isTimeout reports whether a call failed because no answer came in time. A refused or a
// broken connection is no timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}
