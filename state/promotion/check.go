package promotion

import (
	"fmt"

	"github.com/cicadatack/cicadatack/state/document"
)

func checkText(env string, text []byte, operator string) error {
	if err := checkNames(env, operator, "-"); err != nil {
		return err
	}
	doc, err := document.Parse(text)
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	if doc.Environment != env {
		return Error.Wrap(fmt.Errorf("%w: the text is for environment %q, not %q", ErrInvalid, doc.Environment, env))
	}
	return nil
}

func checkNames(env, operator, promotionID string) error {
	switch {
	case !document.ValidName(env):
		return Error.Wrap(fmt.Errorf("%w: %q is not the name of an environment", ErrInvalid, env))
	case operator == "" || len(operator) > maxIDBytes:
		return Error.Wrap(fmt.Errorf("%w: the operator's name must have 1 to %d bytes", ErrInvalid, maxIDBytes))
	case promotionID == "" || len(promotionID) > maxIDBytes:
		return Error.Wrap(fmt.Errorf("%w: the promotion id must have 1 to %d bytes", ErrInvalid, maxIDBytes))
	}
	return nil
}
