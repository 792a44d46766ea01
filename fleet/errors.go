package fleet

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this layer.
var Error = errs.Class("fleet")

// ErrConfig reports a Config that cannot be run.
var ErrConfig = errors.New("the fleet's settings are incomplete")
