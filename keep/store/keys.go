package store

import (
	"bytes"
	"context"
)

// KeyReader lists keys without their values.
type KeyReader interface {
	// Keys returns every entry whose key starts with prefix, in key order,
	// without values.
	Keys(ctx context.Context, prefix string) ([]Entry, error)
}

// Keys implements KeyReader. Like List, it takes several calls for long lists.
func (h *HTTP) Keys(ctx context.Context, prefix string) ([]Entry, error) {
	var entries []Entry
	request := RangeRequest{Key: []byte(prefix), RangeEnd: []byte(PrefixEnd(prefix)), Limit: keysPage, KeysOnly: true}
	for {
		var answer RangeResponse
		if err := h.read(ctx, PathRange, request, &answer); err != nil {
			return nil, err
		}
		for _, kv := range answer.KVs {
			entries = append(entries, kv.entry())
		}
		if !answer.More || len(answer.KVs) == 0 {
			return entries, nil
		}
		last := answer.KVs[len(answer.KVs)-1].Key
		request.Key = append(bytes.Clone(last), 0)
	}
}

// keysPage is how many keys one call lists: some 200 bytes each in JSON are well
// below the longest answer that is read.
const keysPage = 5000
