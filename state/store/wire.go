package store

import (
	"context"
	"time"
)

// Page is a part of a list, in key order.
type Page struct {
	Entries []Entry
	// Revision is the store's when the page was read.
	Revision int64
	// More says that further pages follow.
	More bool
}

// Wire makes the platform's calls, each once. An adapter implements it; when to call
// and what to do when a call fails is Client's. Errors are of the class Error and
// match the errors of this package: ErrUnavailable proves that a write had no effect,
// ErrUnknown leaves it in doubt.
type Wire interface {
	// Get returns the entry at key, or one with revision zero.
	Get(ctx context.Context, key string) (Entry, error)
	// Page returns entries below prefix whose keys come after the given one.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Wait returns the changes below prefix after a revision, as soon as there are
	// any, or none after the given time, and the revision to go on from. It fails
	// with ErrCompacted if the store no longer keeps them.
	Wait(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Apply makes a change; see Changer.
	Apply(ctx context.Context, change Change) (int64, error)
	// Grant, KeepAlive and Revoke are those of Leaser, but Revoke fails with
	// ErrLeaseGone if the lease has ended.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id LeaseID) error
	// Close drops idle connections.
	Close()
}
