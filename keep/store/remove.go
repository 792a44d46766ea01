package store

import (
	"context"
	"fmt"
)

// Remover removes a key only if it has not changed since it was read.
type Remover interface {
	// CompareAndRemove removes key if it is still at revision. It fails with
	// ErrConflict if the key moved on or is gone, and with ErrUnknown if no reply
	// came; removing again is then harmless.
	CompareAndRemove(ctx context.Context, key string, revision int64) error
}

// CompareAndRemove implements Remover.
func (h *HTTP) CompareAndRemove(ctx context.Context, key string, revision int64) error {
	request := TxnRequest{
		Compare: []Compare{{Key: []byte(key), Target: TargetMod, Result: ResultEqual, ModRevision: revision}},
		Success: []RequestOp{{Delete: &DeleteRequest{Key: []byte(key)}}},
	}
	var answer TxnResponse
	if err := h.write(ctx, PathTxn, request, &answer); err != nil {
		return err
	}
	if !answer.Succeeded {
		return Error.Wrap(fmt.Errorf("%w: %s is no longer at %d", ErrConflict, key, revision))
	}
	return nil
}
