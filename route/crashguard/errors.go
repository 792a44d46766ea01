package crashguard

import "github.com/zeebo/errs"

// Error is the class of this layer's errors.
var Error = errs.Class("crash guard")
