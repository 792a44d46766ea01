package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/cicadatack/cicadatack/state/wait"
)

// Defaults of Config.
const (
	DefaultCallTimeout   = 2 * time.Second
	DefaultReadAttempts  = 4
	DefaultBackoff       = 20 * time.Millisecond
	DefaultMaxBackoff    = time.Second
	DefaultCallsPerSec   = 100
	DefaultBurst         = 200
	DefaultInFlight      = 64
	DefaultWatchLifetime = 10 * time.Second
)

// Config holds the settings of a Client. Zero values take the defaults above.
type Config struct {
	// CallTimeout is the longest that one call may take, connecting included.
	CallTimeout time.Duration
	// ReadAttempts is how often a read is tried in all. Writes are sent once.
	ReadAttempts int
	// Backoff is the mean pause before a read's second attempt; it doubles up
	// to MaxBackoff and is jittered by half either way.
	Backoff, MaxBackoff time.Duration
	// CallsPerSecond and Burst are this node's share of what the store serves;
	// a call beyond it waits at most CallTimeout and then fails with ErrBudget.
	CallsPerSecond float64
	Burst          int
	// InFlight bounds the calls that wait for answers at once, watches
	// included.
	InFlight int
	// WatchLifetime is how long one call of a watch waits. A store that froze
	// without closing the connection keeps a call waiting forever, with changes
	// passing unseen; this bounds that time.
	WatchLifetime time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.ReadAttempts, DefaultReadAttempts)
	setDefault(&c.Backoff, DefaultBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.CallsPerSecond, DefaultCallsPerSec)
	setDefault(&c.Burst, DefaultBurst)
	setDefault(&c.InFlight, DefaultInFlight)
	setDefault(&c.WatchLifetime, DefaultWatchLifetime)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Client is a Store over a Wire: it keeps to this node's share of the store's calls,
// bounds each call's time and repeats reads. It is safe for use by several goroutines.
type Client struct {
	config Config
	wire   Wire
	budget *rate.Limiter
	shares shares
	slots  chan struct{}
	calls  atomic.Int64
}

var (
	_ Store        = (*Client)(nil)
	_ ChangeReader = (*Client)(nil)
	_ KeyReader    = (*Client)(nil)
	_ Remover      = (*Client)(nil)
	_ Changer      = (*Client)(nil)
)

// New returns a client.
func New(wire Wire, config Config) *Client {
	config = config.withDefaults()
	return &Client{
		config: config,
		wire:   wire,
		budget: rate.NewLimiter(rate.Limit(config.CallsPerSecond), config.Burst),
		shares: newShares(),
		slots:  make(chan struct{}, config.InFlight),
	}
}

// Close drops idle connections. Calls underway end by their own contexts.
func (c *Client) Close() { c.wire.Close() }

// Calls returns how many calls were sent to the store.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Get implements Reader.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, err error) {
	err = c.read(ctx, func(ctx context.Context) error {
		entry, err = c.wire.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements Reader. Long lists take several calls, and entries that
// change meanwhile may be of different ages.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	entries, _, err := c.list(ctx, prefix)
	return entries, err
}

// Keys implements KeyReader. The store has no call for keys alone.
func (c *Client) Keys(ctx context.Context, prefix string) ([]Entry, error) {
	entries, err := c.List(ctx, prefix)
	for i := range entries {
		entries[i].Value = nil
	}
	return entries, err
}

// list reads all pages. The revision is that of the first, so that what is written
// while later ones are read comes again.
func (c *Client) list(ctx context.Context, prefix string) (entries []Entry, revision int64, err error) {
	after := ""
	for {
		var page Page
		err := c.read(ctx, func(ctx context.Context) error {
			var err error
			page, err = c.wire.Page(ctx, prefix, after)
			return err
		})
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		entries = append(entries, page.Entries...)
		if !page.More {
			return entries, revision, nil
		}
		if len(page.Entries) == 0 {
			return nil, 0, Error.Wrap(fmt.Errorf("%w: an empty page below %q that is not the last", ErrProtocol, prefix))
		}
		last := page.Entries[len(page.Entries)-1].Key
		// A list that doesn't go on would be read until the process has no memory left.
		if last <= after {
			return nil, 0, Error.Wrap(fmt.Errorf("%w: a page below %q ends at %.200q, not after %.200q", ErrProtocol, prefix, last, after))
		}
		after = last
	}
}

// changedWait is how long the store is to wait for changes when those of the past
// are asked for: not at all, which it can't be told.
const changedWait = time.Millisecond

// Changed implements ChangeReader. Changes that the store no longer keeps are made
// up for by the whole list.
func (c *Client) Changed(ctx context.Context, prefix string, since int64) ([]Entry, int64, error) {
	if since <= 0 {
		return c.list(ctx, prefix)
	}
	var events []Event
	revision := since
	err := c.read(ctx, func(ctx context.Context) error {
		var err error
		events, revision, err = c.wire.Wait(ctx, prefix, since, changedWait)
		return err
	})
	if errors.Is(err, ErrCompacted) {
		return c.list(ctx, prefix)
	}
	return lastOfEach(events), revision, err
}

// lastOfEach keeps the last change of each key, in key order, without removals.
func lastOfEach(events []Event) []Entry {
	last := map[string]Event{}
	for _, e := range events {
		last[e.Entry.Key] = e
	}
	var entries []Entry
	for _, e := range last {
		if !e.Deleted {
			entries = append(entries, e.Entry)
		}
	}
	sortEntries(entries)
	return entries
}

// Apply implements Changer.
func (c *Client) Apply(ctx context.Context, change Change) (revision int64, err error) {
	for _, p := range change.Put {
		if len(p.Value) > MaxValueBytes {
			return 0, Error.Wrap(fmt.Errorf("%w: %s, %d bytes", ErrTooLarge, p.Key, len(p.Value)))
		}
	}
	err = c.write(ctx, func(ctx context.Context) error {
		revision, err = c.wire.Apply(ctx, change)
		return err
	})
	return revision, err
}

// CompareAndSwap implements Swapper.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (int64, error) {
	return c.Apply(ctx, Change{
		Expect: []Entry{{Key: key, Revision: revision}},
		Put:    []Put{{Key: key, Value: value}},
	})
}

// CompareAndRemove implements Remover.
func (c *Client) CompareAndRemove(ctx context.Context, key string, revision int64) error {
	_, err := c.Apply(ctx, Change{Expect: []Entry{{Key: key, Revision: revision}}, Remove: []string{key}})
	return err
}

// Grant implements Leaser.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	err = c.write(ctx, func(ctx context.Context) error {
		id, err = c.wire.Grant(ctx, ttl)
		return err
	})
	return id, err
}

// KeepAlive implements Leaser; it returns the time left.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (left time.Duration, err error) {
	err = c.read(ctx, func(ctx context.Context) error {
		left, err = c.wire.KeepAlive(ctx, id)
		return err
	})
	return left, err
}

// Revoke implements Leaser; revoking a lease that is gone succeeds.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	err := c.write(ctx, func(ctx context.Context) error { return c.wire.Revoke(ctx, id) })
	if errors.Is(err, ErrLeaseGone) {
		return nil
	}
	return err
}

// PutLeased implements Leaser.
func (c *Client) PutLeased(ctx context.Context, key string, value []byte, id LeaseID) error {
	_, err := c.Apply(ctx, Change{Put: []Put{{Key: key, Value: value, Lease: id}}})
	return err
}

// Watch implements Watcher by calls that each wait for a change.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, handle func(Event)) error {
	for {
		events, next, err := c.wait(ctx, prefix, revision)
		if ctx.Err() != nil {
			return Error.Wrap(ctx.Err())
		}
		if errors.Is(err, ErrCompacted) {
			return c.compacted(ctx, prefix, err)
		}
		if err != nil {
			return asRead(err)
		}
		for _, e := range events {
			handle(e)
		}
		revision = max(revision, next)
	}
}

// compacted completes the error of a watch that starts too far back: the store does
// not say up to where changes are gone, so it is asked for its present revision. A
// list read after that has all that was changed before.
func (c *Client) compacted(ctx context.Context, prefix string, err error) error {
	var known *CompactedError
	if errors.As(err, &known) && known.Revision > 0 {
		return err
	}
	var page Page
	readErr := c.read(ctx, func(ctx context.Context) error {
		var err error
		page, err = c.wire.Page(ctx, prefix, "")
		return err
	})
	if readErr != nil {
		return readErr
	}
	return Error.Wrap(&CompactedError{Revision: page.Revision})
}

// wait is one call of a watch. It may take as long as it waits beside the time that
// any call may take.
func (c *Client) wait(ctx context.Context, prefix string, revision int64) ([]Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.WatchLifetime+c.config.CallTimeout)
	defer cancel()
	release, err := c.admit(ctx, c.shares.reads)
	if err != nil {
		return nil, 0, err
	}
	defer release()
	return c.wire.Wait(ctx, prefix, revision, c.config.WatchLifetime)
}

// read tries a call that may be repeated, with growing jittered pauses.
func (c *Client) read(ctx context.Context, call func(context.Context) error) error {
	pause := c.config.Backoff
	for attempt := 1; ; attempt++ {
		err := c.call(ctx, c.shares.reads, call)
		if err == nil || !mayRead(err) || attempt >= c.config.ReadAttempts {
			return asRead(err)
		}
		if !wait.For(ctx, jitter(pause)) {
			return asRead(err)
		}
		pause = min(2*pause, c.config.MaxBackoff)
	}
}

// write sends a call once. A second sending could follow a first one that
// took effect; only the caller, who reads back, can tell.
func (c *Client) write(ctx context.Context, call func(context.Context) error) error {
	return c.call(ctx, c.shares.writes, call)
}

func mayRead(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
}

// asRead turns a lost reply into "unavailable": a read has no effect to be in
// doubt about.
func asRead(err error) error {
	if errors.Is(err, ErrUnknown) {
		detail := strings.Replace(err.Error(), ErrUnknown.Error(), "no answer came", 1)
		return Error.Wrap(fmt.Errorf("%w: %s", ErrUnavailable, detail))
	}
	return err
}

// call makes one call of a kind's share.
func (c *Client) call(ctx context.Context, share *rate.Limiter, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	release, err := c.admit(ctx, share)
	if err != nil {
		return err
	}
	defer release()
	return call(ctx)
}

// admit takes one call from its share and the budget, and a slot for its wait.
func (c *Client) admit(ctx context.Context, share *rate.Limiter) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: not sent: %w", ErrUnavailable, err))
	}
	if err := share.Wait(ctx); err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: this node's share: %w", ErrBudget, err))
	}
	if err := c.budget.Wait(ctx); err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrBudget, err))
	}
	select {
	case c.slots <- struct{}{}:
		c.calls.Add(1)
		return func() { <-c.slots }, nil
	case <-ctx.Done():
		return nil, Error.Wrap(fmt.Errorf("%w: %d calls wait for answers", ErrBudget, c.config.InFlight))
	}
}

// jitter spreads a pause over half to one and a half of it, so that nodes
// which failed together do not come back together.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause+1)
}
