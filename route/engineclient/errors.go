package engineclient

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/route/headers"
)

// Error is the class of every error of this package.
var Error = errs.Class("engine")

var (
	// ErrEventTooLong reports an event larger than MaxEventBytes, or a reply larger than MaxReplyBytes.
	ErrEventTooLong = errors.New("event exceeds the size limit")
	// ErrMalformed reports bytes that break the contract of an answer.
	ErrMalformed = errors.New("malformed event")
	// ErrTruncated reports a stream that ended before its closing marker.
	ErrTruncated = errors.New("stream ended before the answer was complete")
)

// State says whether a request that was sent to an engine may have run.
type State uint8

const (
	// StateUnknown means that the request may have run, completely or in part.
	StateUnknown State = iota
	// StateNotRun means that the request certainly did not run.
	StateNotRun
)

// SendError is a failed call to an engine.
type SendError struct {
	// Endpoint is the address that was called.
	Endpoint string
	// State says whether the request may have run.
	State State
	// HTTPStatus is the HTTP status with which the engine refused the call, or zero.
	HTTPStatus int
	// Pushback is how long the refusal says that the engine wants no further requests.
	Pushback headers.Pushback
	// Cause is the underlying error, or nil if the engine answered.
	Cause error
}

// Error returns the address, the state, and the cause or the HTTP status.
func (e *SendError) Error() string {
	state := "may have run"
	if e.State == StateNotRun {
		state = "not run"
	}
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Endpoint, state, e.Cause)
	}
	return fmt.Sprintf("%s: %s: status %d", e.Endpoint, state, e.HTTPStatus)
}

// Unwrap returns Cause.
func (e *SendError) Unwrap() error { return e.Cause }

// NotRun reports whether err proves that the engine did not run the request.
func NotRun(err error) bool {
	var send *SendError
	return errors.As(err, &send) && send.State == StateNotRun
}

// Pushback returns how long the engine wants no further requests, according to the refusal that
// err carries.
func Pushback(err error) headers.Pushback {
	var send *SendError
	if errors.As(err, &send) {
		return send.Pushback
	}
	return headers.Pushback{}
}

// HTTPStatus returns the HTTP status with which the engine refused the call, or zero if
// err carries none.
func HTTPStatus(err error) int {
	var send *SendError
	if errors.As(err, &send) {
		return send.HTTPStatus
	}
	return 0
}
