package docsync

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this layer.
var Error = errs.Class("spread")

var (
	// ErrBase reports a difference to a record that this node does not hold.
	ErrBase = errors.New("the difference is to a record that is not held here")
	// ErrTooLarge reports a body over MaxBodyBytes.
	ErrTooLarge = errors.New("the body is larger than a document may be")
	// ErrDigest reports a body that is not the one that was accepted.
	ErrDigest = errors.New("the body does not have the record's digest")
	// ErrMalformed reports a payload that does not unpack to its stated length.
	ErrMalformed = errors.New("the payload is malformed")
)
