package eventstream

import "fmt"

// Reason says how bytes break the contract of a stream.
type Reason string

// Reasons, as they stand in logs and metrics.
const (
	// ReasonLine is a line that is neither a field nor a comment.
	ReasonLine Reason = "line"
	// ReasonID is an event without an id, with several, or with one that is no whole number.
	ReasonID Reason = "id"
	// ReasonData is an event without data, or with other fields between its lines of data.
	ReasonData Reason = "data"
	// ReasonField is an event with a numeric field that stands twice.
	ReasonField Reason = "field"
	// ReasonOrder is an id that is not above the one before it in the same answer.
	ReasonOrder Reason = "order"
	// ReasonJump is an id that rises by more than one where all have risen by one, or by a larger step
	// than any before it, and no further event confirms it.
	ReasonJump Reason = "jump"
	// ReasonEnd is the end of an answer that resumes a stream, and that holds bytes and no further event.
	ReasonEnd Reason = "end"
	// ReasonTooLong is more than MaxPendingBytes without a further event.
	ReasonTooLong Reason = "too_long"
)

// Violation is the error of an answer that breaks the contract of a stream.
type Violation struct {
	Reason Reason
	// After is the id of the last sound event, "" if there was none.
	After string
	// Bytes are the first of the bytes that break the contract.
	Bytes string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("stray bytes after event %q (%s): %q", v.After, v.Reason, v.Bytes)
}

// maxShownBytes bounds Violation.Bytes.
const maxShownBytes = 64

func firstOf(p []byte) string { return string(p[:min(len(p), maxShownBytes)]) }
