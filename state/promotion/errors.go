package promotion

import (
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"github.com/cicadatack/cicadatack/state/document"
	"github.com/cicadatack/cicadatack/state/documentparts"
	"github.com/cicadatack/cicadatack/state/store"
)

// Error is the class of every error of this layer.
var Error = errs.Class("promotion")

var (
	// ErrConflict reports that the base has been replaced; *ConflictError holds
	// by what.
	ErrConflict = errors.New("another promotion came first")
	// ErrNotTried reports that the trial in force is not of the digest that was
	// to be promoted.
	ErrNotTried = errors.New("this text is not the one on trial")
	// ErrUnknown reports that the store did not answer for so long that it is
	// not known whether the text is in force. Promote with the same promotion
	// id tells later.
	ErrUnknown = errors.New("it is not known whether the promotion took effect; ask again with the same promotion id")
	// ErrNotDone reports that this call wrote nothing.
	ErrNotDone = errors.New("this call put nothing in force")
	// ErrNoRecord reports that there is no such record.
	ErrNoRecord = errors.New("there is no such record")
	// ErrBadRecord reports a record in the store that cannot be read. It is
	// neither used nor replaced.
	ErrBadRecord = errors.New("the record in the store cannot be read")
	// ErrInvalid reports arguments or a text that are refused.
	ErrInvalid = errors.New("refused")
)

// ConflictError is ErrConflict with the record that came first and what it
// changes against the text that lost.
type ConflictError struct {
	Base    int64
	Winner  document.Record
	Changes []document.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%v: revision %d by %s replaced base %d; it differs from yours by %d changes",
		ErrConflict, e.Winner.Revision, e.Winner.Operator, e.Base, len(e.Changes))
	for _, change := range e.Changes {
		text.WriteString("\n" + change.String())
	}
	return text.String()
}

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// asPart turns an error of reading or writing parts. Whatever became of a part,
// no index was touched.
func asPart(err error) error {
	if errors.Is(err, documentparts.ErrMissing) || errors.Is(err, document.ErrPart) {
		return Error.Wrap(fmt.Errorf("%w: %w; a trial of the same text puts it right", ErrBadRecord, err))
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrNotDone, err))
}

// fromStore turns an error of a read, or of a write that did not take effect.
func fromStore(err error) error {
	if errors.Is(err, store.ErrUnknown) {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrUnknown, err))
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrNotDone, err))
}
