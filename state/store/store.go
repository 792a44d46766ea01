// Package store is the client of the platform's key-value service: reads,
// compare-and-swap, leases and watches. What the service's calls look like is an
// adapter's to know (Wire); this package decides when they are made.
//
// Everything that must be agreed or kept rests on CompareAndSwap. Leases and
// watches are hints: a lease can lapse while its holder is paused, a watch can
// lag, and neither is ever the reason that something is safe.
package store

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// MaxValueBytes is the largest value the platform's service holds.
const MaxValueBytes = 1 << 20

// Entry is one key as last written. Revision is the revision of the write
// that produced it, and zero means that the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
	// Created is the revision at which the key was created; later writes leave it
	// unchanged. It is 0 if the store did not tell.
	Created int64
}

// LeaseID names a lease; zero is no lease.
type LeaseID int64

// Event is one change seen by a watch. Deleted entries carry no value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Reader reads single keys and prefixes.
type Reader interface {
	// Get returns the entry at key, or an entry with revision zero.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns every entry whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
}

// ChangeReader reads what has changed below a prefix, so that a long list which
// seldom changes need not be fetched whole again and again.
type ChangeReader interface {
	// Changed returns the entries below prefix that were written after since, in
	// key order, and the store's revision to ask from next time. Since zero
	// returns all. Removed keys are not told: whoever keeps a list has to read it
	// whole now and then.
	Changed(ctx context.Context, prefix string, since int64) ([]Entry, int64, error)
}

// KeyReader lists keys without their values.
type KeyReader interface {
	// Keys returns every entry whose key starts with prefix, in key order,
	// without values.
	Keys(ctx context.Context, prefix string) ([]Entry, error)
}

// Remover removes a key only if it has not changed since it was read.
type Remover interface {
	// CompareAndRemove removes key if it is still at revision. It fails with
	// ErrConflict if the key moved on or is gone, and with ErrUnknown if no reply
	// came; removing again is then harmless.
	CompareAndRemove(ctx context.Context, key string, revision int64) error
}

// Swapper writes a key only if it has not changed since it was read.
type Swapper interface {
	// CompareAndSwap writes value at key if the key is still at revision (zero:
	// does not exist) and returns the new revision. It fails with ErrConflict if
	// the key moved on, and with ErrUnknown if the write may have taken effect
	// although no reply came; the caller must then read back before it acts.
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (int64, error)
}

// Leaser keeps keys that vanish when their holder stops renewing them.
type Leaser interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, id LeaseID) error
	// PutLeased writes key under a lease, whatever stood there.
	PutLeased(ctx context.Context, key string, value []byte, id LeaseID) error
}

// Watcher follows the changes below a prefix.
type Watcher interface {
	// Watch calls handle for each change after revision, in order, until ctx
	// ends or the connection fails; it then returns the error. The store counts
	// a waiting watch as one call.
	Watch(ctx context.Context, prefix string, revision int64, handle func(Event)) error
}

// Store is all of the above; most callers need only one of its parts.
type Store interface {
	Reader
	Swapper
	Leaser
	Watcher
}

// Put is one write of a Change; a zero Lease is none.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Change is a change under conditions, all or nothing: it is made if each entry of
// Expect still has its revision, zero meaning that the key does not exist.
type Change struct {
	Expect []Entry
	Put    []Put
	Remove []string
}

// Changer makes changes under conditions.
type Changer interface {
	// Apply returns the revision of the change. It fails with ErrConflict if a
	// condition does not hold, with ErrLeaseGone if a lease has ended, and with
	// ErrUnknown if the change may have been made although no reply came.
	Apply(ctx context.Context, change Change) (int64, error)
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
}

// PrefixEnd returns the first key after all keys that start with prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return "\x00"
}
