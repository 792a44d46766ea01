// Package ledger places orders at most once. Before an order is sent it is
// claimed in the platform's store by compare-and-swap; its result is kept
// there for callers who ask again.
//
//	orders := ledger.New(store, "dawn", ledger.Config{})
//	defer orders.Close()
//	claim, err := orders.Claim(ctx, key, fingerprint)
//	// err: not run. claim.State: Fresh, Done, InDoubt or Mismatch.
//	// ... if Fresh: send once ...
//	err = orders.Record(ctx, key, claim, result)
//
// The failures that it answers: a node that dies, pauses or loses its
// connection between claiming and sending (the claim stands and no other node
// sends), a caller who asks two nodes at once (one write wins), a write whose
// reply is lost (it is found again by its unique attempt id) and an outage of
// the store (claims are refused as not run). No lease is involved: a claim
// belongs to its attempt until its result or release, so a holder that was
// paused has nothing to lose to another.
//
// Claims of one shard that arrive while its write is underway go together into
// the next write, and writes are paced, so that few writes carry many orders.
// An order that is done moves out of its shard into an archive (archive.go), so
// that what is written all the time stays small and a team has room for as many
// orders in a day as it places.
//
// Config.Peers sends them to the node that writes the shard, from wherever they
// come: nodes that write one shard each lose most of their writes to the others.
// Who that node is rests on a hint; a claim that it does not answer is made here
// under the same attempt id.
package ledger

import (
	"context"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/cicadatack/cicadatack/state/store"
	"github.com/cicadatack/cicadatack/state/wait"
)

// Defaults of Config.
const (
	DefaultRetention       = 24 * time.Hour
	DefaultWritesPerSecond = 40
	DefaultBurst           = 8
	DefaultCallTimeout     = 2 * time.Second
	DefaultMaxResultBytes  = 2048
	// DefaultForwardTimeout is five times the p99 of a claim at a node with 256
	// callers (docs/BENCH.md, 205 ms): a peer that takes longer is frozen, cut
	// off, or its store is slow.
	DefaultForwardTimeout = time.Second
)

// Config holds the settings of a ledger. Zero values take the defaults above.
type Config struct {
	// Retention is how long a claim and its result are kept. A caller who
	// repeats a key later places a new order. It must be far longer than any
	// request's deadline and than the clocks of nodes differ.
	Retention time.Duration
	// WritesPerSecond and Burst pace this node's writes over all shards. When
	// the node has more orders than that, they gather into larger batches.
	WritesPerSecond float64
	Burst           int
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration
	// MaxResultBytes is the longest body kept of a result.
	MaxResultBytes int
	// Peers carries operations to the nodes that write their shards; nil: this
	// node writes all that it is asked for.
	Peers Peers
	// ForwardTimeout bounds the wait for a peer; half of the time that the
	// caller has left, if that is less.
	ForwardTimeout time.Duration
	// Now reads the clock; time.Now if nil.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	if c.Retention == 0 {
		c.Retention = DefaultRetention
	}
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.Burst == 0 {
		c.Burst = DefaultBurst
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.MaxResultBytes == 0 {
		c.MaxResultBytes = DefaultMaxResultBytes
	}
	if c.ForwardTimeout == 0 {
		c.ForwardTimeout = DefaultForwardTimeout
	}
	if c.Peers == nil {
		c.Peers = alone{}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Stats counts what a ledger did since it was made.
type Stats struct {
	Reads, Writes      int64
	Conflicts, Unknown int64
	// Operations counts claims, results and releases that went through a
	// batch.
	Operations int64
}

// Store is what a ledger needs of the platform's store.
type Store interface {
	store.ReadSwapper
	store.Remover
}

// Ledger claims orders of one environment. It is safe for use by several
// goroutines.
type Ledger struct {
	store  Store
	config Config
	pace   *rate.Limiter
	ctx    context.Context
	cancel context.CancelFunc
	lanes  [Shards]*lane
	queues [Shards]*queue
	outage *outage

	reads, writes, conflicts, unknown, operations atomic.Int64
}

// New returns a ledger of an environment.
func New(s Store, env string, config Config) *Ledger {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{
		store:  s,
		config: config,
		pace:   rate.NewLimiter(rate.Limit(config.WritesPerSecond), config.Burst),
		ctx:    ctx,
		cancel: cancel,
	}
	l.outage = &outage{ledger: l, key: ShardKey(env, 0)}
	for i := range l.lanes {
		l.lanes[i] = newLane(l, ShardKey(env, i))
		l.queues[i] = &queue{ledger: l, shard: i}
	}
	return l
}

// Close refuses what waits and returns once nothing is underway. What is owed
// is lost; Flush before it.
func (l *Ledger) Close() {
	l.cancel()
	for i, lane := range l.lanes {
		lane.close()
		l.queues[i].close()
	}
	l.outage.probes.Wait()
}

// Claim asks for the right to send an order. fingerprint stands for the
// request's body; the same key with another one is a Mismatch.
//
// Every error matches ErrNotRun: the order was not claimed for this call. A
// claim that reached the store although the call failed is released later by
// this node; if the node dies first, the order stays in doubt.
func (l *Ledger) Claim(ctx context.Context, key Key, fingerprint string) (Claim, error) {
	if key.Key == "" || len(key.Key) > MaxKeyBytes {
		return Claim{}, Error.Wrap(fmt.Errorf("%w: %w: %d bytes", ErrNotRun, ErrBadKey, len(key.Key)))
	}
	op := &operation{
		kind:        opClaim,
		id:          key.id(),
		fingerprint: fingerprintOf(fingerprint),
		attempt:     newAttempt(),
		at:          l.config.Now().UnixMilli(),
	}
	result := l.submit(ctx, key, op)
	result.claim.astray = op.astray
	return result.claim, result.err
}

// Record keeps the result of an order that was claimed Fresh. On ErrNotKept
// the result is held in memory and written with the shard's next batch or
// Flush; the order is never sent again either way.
func (l *Ledger) Record(ctx context.Context, key Key, claim Claim, result Result) error {
	if len(result.Body) > l.config.MaxResultBytes {
		result.Body = nil
		result.Truncated = true
	}
	return l.finish(ctx, key, &operation{kind: opRecord, attempt: claim.Attempt, result: &result})
}

// Release gives a Fresh claim back, so that the key may be claimed anew. Only
// for an order that provably did not run: never sent, or refused before work.
func (l *Ledger) Release(ctx context.Context, key Key, claim Claim) error {
	return l.finish(ctx, key, &operation{kind: opRelease, attempt: claim.Attempt, astray: claim.astray})
}

func (l *Ledger) finish(ctx context.Context, key Key, op *operation) error {
	if op.attempt == "" {
		return Error.Wrap(ErrNotHolder)
	}
	op.id = key.id()
	return l.submit(ctx, key, op).err
}

// submit has the shard's owner do the operation, or does it here: if this node
// is the owner, if it knows more of the shard than others do, or if the owner
// did not do it.
func (l *Ledger) submit(ctx context.Context, key Key, op *operation) outcome {
	shard := key.Shard()
	lane := l.lanes[shard]
	if known, ok := lane.knows(op); ok {
		return known
	}
	if node := l.ownerFor(shard, op); node != "" {
		if result, ended := l.queues[shard].forward(ctx, node, op); ended {
			return result
		}
	}
	result := lane.submit(ctx, op)
	// Only what was done here shows that the fault is the other node's. If the
	// store is down for all, nobody is passed over, and after the outage each
	// shard has its owner at once.
	if op.refusedBy != "" && result.err == nil {
		l.config.Peers.Refused(op.refusedBy)
	}
	return result
}

// Flush tries to write what is owed and returns how much of it still is.
// A node calls it every few seconds and before Close.
func (l *Ledger) Flush(ctx context.Context) int {
	for _, lane := range l.lanes {
		lane.flush()
	}
	owed := 0
	for _, lane := range l.lanes {
		owed += lane.settle(ctx)
	}
	return owed
}

// Stats returns the counts so far.
func (l *Ledger) Stats() Stats {
	return Stats{
		Reads:      l.reads.Load(),
		Writes:     l.writes.Load(),
		Conflicts:  l.conflicts.Load(),
		Unknown:    l.unknown.Load(),
		Operations: l.operations.Load(),
	}
}

func (l *Ledger) countWrite(err error) {
	l.writes.Add(1)
	switch {
	case errors.Is(err, store.ErrConflict):
		l.conflicts.Add(1)
	case errors.Is(err, store.ErrUnknown):
		l.unknown.Add(1)
	}
}

// sleep pauses, jittered, and returns false if the ledger closes meanwhile.
func (l *Ledger) sleep(pause time.Duration) bool {
	return wait.For(l.ctx, pause/2+mathrand.N(pause))
}
