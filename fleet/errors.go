package fleet

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this layer.
var Error = errs.Class("fleet")

var (
	// ErrConfig reports a Config that cannot be run.
	ErrConfig = errors.New("the fleet's settings are incomplete")
	// ErrNoPeer reports a call of a node that is not known.
	ErrNoPeer = errors.New("no such peer")
)
