package engineclient

import "fmt"

// Reason says how bytes break the contract of an answer.
type Reason string

// Reasons, as they stand in logs.
const (
	// ReasonLine is a line that is neither a field nor a comment.
	ReasonLine Reason = "line"
	// ReasonJSON is an event whose data is no JSON object of the protocol.
	ReasonJSON Reason = "json"
	// ReasonForm is an event without exactly one choice, with another index than 0, or without a trace
	// that states a position.
	ReasonForm Reason = "form"
	// ReasonClosing is a closing event that carries a token, or whose finish reason is none.
	ReasonClosing Reason = "closing"
	// ReasonAfterEnd is a token behind the closing event of its answer.
	ReasonAfterEnd Reason = "after_end"
	// ReasonTooLong is a line or an event of more than MaxEventBytes.
	ReasonTooLong Reason = "too_long"
)

// Violation is the error of an answer that breaks its contract. It wraps ErrEventTooLong or
// ErrMalformed.
type Violation struct {
	Reason Reason
	// Bytes are the first of the bytes that break the contract.
	Bytes string
	// Cause is the underlying error, or nil.
	Cause error
}

// EndsAnswer reports whether nothing can be read behind the violation. All other violations are passed
// over by the next read.
func (v *Violation) EndsAnswer() bool { return v.Reason == ReasonTooLong }

// Error implements error.
func (v *Violation) Error() string {
	if v.Cause != nil {
		return fmt.Sprintf("stray bytes (%s): %q: %v", v.Reason, v.Bytes, v.Cause)
	}
	return fmt.Sprintf("stray bytes (%s): %q", v.Reason, v.Bytes)
}

// Unwrap returns the class of the violation, and its cause if there is one.
func (v *Violation) Unwrap() []error {
	class := ErrMalformed
	if v.Reason == ReasonTooLong {
		class = ErrEventTooLong
	}
	if v.Cause == nil {
		return []error{class}
	}
	return []error{class, v.Cause}
}

// maxShownBytes bounds Violation.Bytes.
const maxShownBytes = 64

func violates(reason Reason, p []byte) *Violation {
	return &Violation{Reason: reason, Bytes: string(p[:min(len(p), maxShownBytes)])}
}
