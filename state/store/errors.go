package store

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this layer.
var Error = errs.Class("store")

var (
	// ErrConflict reports a compare-and-swap that lost: the key moved on.
	ErrConflict = errors.New("the key has changed since it was read")
	// ErrUnknown reports a write that may or may not have taken effect.
	ErrUnknown = errors.New("the write's reply was lost; it may have taken effect")
	// ErrUnavailable reports a call that did not take effect because the
	// service could not be reached, was too slow or refused it.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrTooLarge reports a value over MaxValueBytes; it was not sent.
	ErrTooLarge = errors.New("the value is larger than the store holds")
	// ErrBudget reports a call that this node's own budget did not let through.
	ErrBudget = errors.New("this node's budget of store calls is spent")
	// ErrLeaseGone reports a lease that has expired or was revoked.
	ErrLeaseGone = errors.New("the lease is gone")
	// ErrCompacted reports a watch whose start lies before the changes that the
	// store still keeps; CompactedError says what to do.
	ErrCompacted = errors.New("the store no longer keeps these changes")
	// ErrProtocol reports an answer that is not of the store's protocol.
	ErrProtocol = errors.New("the store's answer cannot be read")
)

// CompactedError is ErrCompacted with the revision up to which changes are
// gone. The caller lists the keys anew and watches from the highest of their
// revisions and Revision. Watching from the keys' own revisions alone would
// fail forever on keys that have not changed for long.
type CompactedError struct{ Revision int64 }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("%v up to revision %d", ErrCompacted, e.Revision)
}

// Is makes the error match ErrCompacted.
func (e *CompactedError) Is(target error) bool { return target == ErrCompacted }
