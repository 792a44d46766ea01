package httpanswer

import (
	"errors"
	"fmt"
	"net/textproto"
)

// Reason says what is wrong with bytes that are no answer.
type Reason string

// Reasons.
const (
	// ReasonUnwritten is that the connection of an answer without a length ended before the request was written.
	ReasonUnwritten Reason = "request_unwritten"
	// ReasonStatus is a status that is none.
	ReasonStatus Reason = "status"
	// ReasonField is a line of a head or a trailer that is no field.
	ReasonField Reason = "field"
)

// Fault is the error of bytes that are no answer.
type Fault struct {
	Reason Reason
	// Detail is for the log: it may have bytes that the sender has sent.
	Detail string
}

// Error returns the reason and the detail.
func (f *Fault) Error() string { return fmt.Sprintf("unsound answer (%s): %s", f.Reason, f.Detail) }

// IsFault reports whether an error is that of bytes that are no answer. Nothing that such bytes say is to be trusted,
// whatever their head was.
func IsFault(err error) bool {
	fault := (*Fault)(nil)
	return errors.As(err, &fault)
}

// asFault returns the *Fault that an error of the standard library stands for, or the error.
func asFault(err error) error {
	if malformed := textproto.ProtocolError(""); errors.As(err, &malformed) {
		return &Fault{Reason: ReasonField, Detail: fmt.Sprintf("%.100q", string(malformed))}
	}
	return err
}
