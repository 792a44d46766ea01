package storetest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/state/store"
)

// Op names a call of the store.
type Op string

// The calls that a fault can hit.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpSwap   Op = "swap"
	OpRemove Op = "remove"
	OpLease  Op = "lease"
	OpPut    Op = "put"
	OpWatch  Op = "watch"
)

// Call is one call as the fault function sees it. Number counts the client's
// calls of all kinds from one.
type Call struct {
	Op     Op
	Key    string
	Number int
}

// Fault says what happens to one call. The zero value lets it through.
type Fault struct {
	// Unavailable fails the call without effect.
	Unavailable bool
	// LoseReply lets a write take effect and loses its reply.
	LoseReply bool
	// LoseRequest loses a write before it takes effect; the caller cannot tell
	// this from LoseReply.
	LoseRequest bool
	// Blind makes a CompareAndSwap ignore its revision, to show what the
	// comparison is for.
	Blind bool
	// Before, if set, runs before the call takes effect, After once it has.
	// A test blocks in them to pause a caller at that point.
	Before, After func()
}

// Client is a store.Store on a Memory, with faults on demand.
type Client struct {
	memory *Memory

	mu    sync.Mutex
	fault func(Call) Fault
	count int
	byOp  map[Op]int
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client of memory; several clients may share one.
func NewClient(memory *Memory) *Client {
	return &Client{memory: memory, byOp: map[Op]int{}}
}

// SetFault makes fault decide on each call from now on; nil lets all through.
func (c *Client) SetFault(fault func(Call) Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
}

// Calls returns how many calls of a kind were made.
func (c *Client) Calls(op Op) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byOp[op]
}

func (c *Client) begin(ctx context.Context, op Op, key string) (Fault, error) {
	c.mu.Lock()
	c.count++
	c.byOp[op]++
	call := Call{Op: op, Key: key, Number: c.count}
	decide := c.fault
	c.mu.Unlock()
	var fault Fault
	if decide != nil {
		fault = decide(call)
	}
	if fault.Before != nil {
		fault.Before()
	}
	if err := ctx.Err(); err != nil {
		return fault, store.Error.Wrap(fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	if fault.Unavailable {
		return fault, store.Error.Wrap(store.ErrUnavailable)
	}
	return fault, nil
}

func (f Fault) end() {
	if f.After != nil {
		f.After()
	}
}

// Get implements store.Reader.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	fault, err := c.begin(ctx, OpGet, key)
	if err != nil {
		return store.Entry{}, err
	}
	defer fault.end()
	kvs, _, _ := c.memory.Range(key, "", 0)
	if len(kvs) == 0 {
		return store.Entry{Key: key}, nil
	}
	return entryOf(kvs[0]), nil
}

// List implements store.Reader.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	fault, err := c.begin(ctx, OpList, prefix)
	if err != nil {
		return nil, err
	}
	defer fault.end()
	kvs, _, _ := c.memory.Range(prefix, store.PrefixEnd(prefix), 0)
	var entries []store.Entry
	for _, kv := range kvs {
		entries = append(entries, entryOf(kv))
	}
	return entries, nil
}

// CompareAndSwap implements store.Swapper.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (int64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.Error.Wrap(store.ErrTooLarge)
	}
	fault, err := c.begin(ctx, OpSwap, key)
	if err != nil {
		return 0, err
	}
	defer fault.end()
	if fault.LoseRequest {
		return 0, store.Error.Wrap(store.ErrUnknown)
	}
	compares := []Compare{{Key: key, ModRevision: revision}}
	if fault.Blind {
		compares = nil
	}
	ok, head, err := c.memory.Txn(compares, []Write{{Key: key, Value: value}})
	if fault.LoseReply {
		return 0, store.Error.Wrap(store.ErrUnknown)
	}
	if err != nil {
		return 0, store.Error.Wrap(err)
	}
	if !ok {
		return 0, store.Error.Wrap(store.ErrConflict)
	}
	return head, nil
}

// Changed implements store.ChangeReader.
func (c *Client) Changed(ctx context.Context, prefix string, since int64) ([]store.Entry, int64, error) {
	all, err := c.List(ctx, prefix)
	_, revision, _ := c.memory.Range(prefix, "", 0)
	all = slices.DeleteFunc(all, func(e store.Entry) bool { return e.Revision <= since })
	return all, revision, err
}

// Keys implements store.KeyReader.
func (c *Client) Keys(ctx context.Context, prefix string) ([]store.Entry, error) {
	all, err := c.List(ctx, prefix)
	for i := range all {
		all[i].Value = nil
	}
	return all, err
}

// CompareAndRemove implements store.Remover.
func (c *Client) CompareAndRemove(ctx context.Context, key string, revision int64) error {
	fault, err := c.begin(ctx, OpRemove, key)
	if err != nil {
		return err
	}
	defer fault.end()
	if fault.LoseRequest {
		return store.Error.Wrap(store.ErrUnknown)
	}
	ok, _, err := c.memory.Txn([]Compare{{Key: key, ModRevision: revision}}, []Write{{Key: key, Delete: true}})
	switch {
	case fault.LoseReply:
		return store.Error.Wrap(store.ErrUnknown)
	case err != nil:
		return store.Error.Wrap(err)
	case !ok:
		return store.Error.Wrap(store.ErrConflict)
	}
	return nil
}

// Grant implements store.Leaser.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	fault, err := c.begin(ctx, OpLease, "")
	if err != nil {
		return 0, err
	}
	defer fault.end()
	return store.LeaseID(c.memory.Grant(ttl)), nil
}

// KeepAlive implements store.Leaser.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	fault, err := c.begin(ctx, OpLease, "")
	if err != nil {
		return 0, err
	}
	defer fault.end()
	ttl := c.memory.KeepAlive(int64(id))
	if ttl == 0 {
		return 0, store.Error.Wrap(store.ErrLeaseGone)
	}
	return ttl, nil
}

// Revoke implements store.Leaser.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	fault, err := c.begin(ctx, OpLease, "")
	if err != nil {
		return err
	}
	defer fault.end()
	c.memory.Revoke(int64(id))
	return nil
}

// PutLeased implements store.Leaser.
func (c *Client) PutLeased(ctx context.Context, key string, value []byte, id store.LeaseID) error {
	fault, err := c.begin(ctx, OpPut, key)
	if err != nil {
		return err
	}
	defer fault.end()
	if fault.LoseRequest {
		return store.Error.Wrap(store.ErrUnknown)
	}
	_, _, err = c.memory.Txn(nil, []Write{{Key: key, Value: value, Lease: int64(id)}})
	if fault.LoseReply {
		return store.Error.Wrap(store.ErrUnknown)
	}
	if err != nil {
		return store.Error.Wrap(fmt.Errorf("%w: %w", store.ErrLeaseGone, err))
	}
	return nil
}

// Watch implements store.Watcher.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, handle func(store.Event)) error {
	if _, err := c.begin(ctx, OpWatch, prefix); err != nil {
		return err
	}
	end := store.PrefixEnd(prefix)
	for {
		changes, head, next, ok := c.memory.Since(prefix, end, revision)
		if !ok {
			return store.Error.Wrap(&store.CompactedError{Revision: head})
		}
		for _, kv := range changes {
			handle(store.Event{Entry: entryOf(kv), Deleted: kv.Deleted})
		}
		revision = head
		select {
		case <-next:
		case <-ctx.Done():
			return store.Error.Wrap(ctx.Err())
		}
	}
}

func entryOf(kv KV) store.Entry {
	return store.Entry{
		Key:      kv.Key,
		Value:    append([]byte(nil), kv.Value...),
		Revision: kv.ModRevision,
		Created:  kv.CreateRevision,
	}
}
