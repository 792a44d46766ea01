package engineclient

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("engine")

var (
	// ErrEventTooLong reports an event over MaxEventBytes.
	ErrEventTooLong = errors.New("event longer than the bound")
	// ErrMalformed reports an event that is not a chunk with a trace.
	ErrMalformed = errors.New("malformed event")
	// ErrTruncated reports a stream that ended before its closing event.
	ErrTruncated = errors.New("stream ended before the answer did")
)

// State is what is known of work that was sent to an engine.
type State uint8

const (
	// StateUnknown work may have run, in part or whole.
	StateUnknown State = iota
	// StateNotRun work provably did not run.
	StateNotRun
)

// SendError is a failed call of an engine.
type SendError struct {
	// Endpoint is the address that was called.
	Endpoint string
	// State says whether the work may have run.
	State State
	// Status is the HTTP status of the engine's own refusal, or zero.
	Status int
	// Cause is the error below, or nil if the engine answered.
	Cause error
}

// Error describes the failure.
func (e *SendError) Error() string {
	state := "may have run"
	if e.State == StateNotRun {
		state = "not run"
	}
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Endpoint, state, e.Cause)
	}
	return fmt.Sprintf("%s: %s: status %d", e.Endpoint, state, e.Status)
}

// Unwrap returns the error below.
func (e *SendError) Unwrap() error { return e.Cause }

// NotRun reports whether err proves that the engine did not run the work.
func NotRun(err error) bool {
	var send *SendError
	return errors.As(err, &send) && send.State == StateNotRun
}

// Status returns the HTTP status with which the engine refused, or zero.
func Status(err error) int {
	var send *SendError
	if errors.As(err, &send) {
		return send.Status
	}
	return 0
}
