package ledger

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// lingerTime is between two batches of one shard while any is underway. A
	// lone order goes at once; under load, orders gather into fewer messages while
	// the owner waits for its next write of the shard, 25 ms at 40 writes a second.
	lingerTime = 20 * time.Millisecond
	// sendsAtOnce is how many batches of one shard are underway to its owner:
	// enough that one can set out every lingerTime while others wait for a write.
	sendsAtOnce = 8
	// maxBatch bounds the operations of a batch. At MaxResultBytes each they are
	// well below what a peer takes as one message.
	maxBatch = 256
)

// Peers carries operations to other nodes. It is called by several goroutines.
type Peers interface {
	// Owner names the peer that a shard's operations should go to; empty: this
	// node should do them. It is a hint: nodes that differ contend for the
	// shard, which compare-and-swap settles.
	Owner(shard int) string
	// Forward has a peer do operations of a shard and returns a Reply to each,
	// in order. On an error it is unknown which of them were done.
	Forward(ctx context.Context, node string, shard int, operations []Operation) ([]Reply, error)
	// Routed is told by which way each operation went.
	Routed(way Way)
	// Refused is told of a peer that said it could not do an operation, which
	// this node has then done.
	Refused(node string)
}

// Way is how an operation reached its shard.
type Way string

// Ways of operations.
const (
	// WayOwn: this node is the shard's owner.
	WayOwn Way = "own"
	// WayForwarded: the owner did it.
	WayForwarded Way = "forwarded"
	// WayFallback: the owner did not do it in time, so this node did.
	WayFallback Way = "fallback"
	// WayHeld: this node is not the owner, and knows more of the shard than
	// the owner does.
	WayHeld Way = "held"
)

// alone is a node without peers.
type alone struct{}

func (alone) Owner(int) string { return "" }
func (alone) Routed(Way)       {}
func (alone) Refused(string)   {}
func (alone) Forward(context.Context, string, int, []Operation) ([]Reply, error) {
	return nil, Error.Wrap(ErrUnavailable)
}

// Kind of an operation.
type Kind = opKind

// Kinds of operations.
const (
	KindClaim   Kind = opClaim
	KindRecord  Kind = opRecord
	KindRelease Kind = opRelease
)

// Operation is one claim, result or release as it goes to another node.
type Operation struct {
	Kind Kind
	// ID is the digest of the order's key, in base64.
	ID string
	// Fingerprint of the order's body, for claims.
	Fingerprint string
	// Attempt was chosen by the node that the order came to.
	Attempt string
	// ClaimedMs is when the order came, in Unix milliseconds.
	ClaimedMs int64
	// UntilMs is when the sender stops waiting, in Unix milliseconds by its
	// clock. A claim not written by then is not to be written any more; if the
	// clocks differ by more than the sender waits, speed is lost (claims are
	// refused as late), or a claim that was given up may stay in doubt.
	UntilMs int64
	// Result is set for KindRecord.
	Result *Result
}

// Reply is what an owner did with an operation.
type Reply struct {
	Claim Claim
	// Err is nil, matches ErrNotHolder, or says that the owner did not do it.
	Err error
	// Untouched says of an error that the operation was in no write at all and
	// will be in none.
	Untouched bool
}

// ownerFor returns the peer that an operation goes to first; empty: none.
func (l *Ledger) ownerFor(shard int, op *operation) string {
	// The owner would take a claim that this node gave up for one underway, and
	// would not know a result that is only here yet. A claim that went astray
	// is given back by a write of this node's.
	if op.astray || l.lanes[shard].owes() {
		l.config.Peers.Routed(WayHeld)
		return ""
	}
	node := l.config.Peers.Owner(shard)
	if node == "" {
		l.config.Peers.Routed(WayOwn)
	}
	return node
}

// queue gathers the operations of one shard that go to its owner: while
// batches are underway, all that arrive go together into the next.
type queue struct {
	ledger *Ledger
	shard  int

	mu       sync.Mutex
	waiting  []*parcel
	underway int
	sentAt   time.Time
	// lingers says that a timer will start the next batch.
	lingers bool
	closed  bool
	sends   sync.WaitGroup
}

// close lets nothing more set out and waits for what is underway.
func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.sends.Wait()
}

// parcel is an operation on its way to another node.
type parcel struct {
	op    *operation
	node  string
	until time.Time
	reply chan parcelReply
	// sent says that the operation may have reached the other node.
	sent bool
}

type parcelReply struct {
	reply Reply
	err   error
}

// forward has a node do the operation. It returns false if the operation is to
// be done here, after a bounded time.
//
// Silence proves nothing: the other node may have written the claim, or may do
// so yet. So the claim is made here under the same attempt id. If the other's
// write came first, it is found by that id and the order is sent once, from
// here; if it comes later, it compares a revision that is gone, and the other
// node finds the claim made and nobody to tell.
func (q *queue) forward(ctx context.Context, node string, op *operation) (outcome, bool) {
	patience := q.ledger.patience(ctx)
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	p := &parcel{op: op, node: node, until: q.ledger.config.Now().Add(patience), reply: make(chan parcelReply, 1)}
	q.add(p)
	var got parcelReply
	select {
	case got = <-p.reply:
	case <-ctx.Done():
		got.err = ctx.Err()
	}
	result, ended := q.take(p, got)
	if !ended {
		q.ledger.config.Peers.Routed(WayFallback)
		return outcome{}, false
	}
	q.ledger.config.Peers.Routed(WayForwarded)
	return result, true
}

// patience leaves as much time for the operation here as for the other node.
func (l *Ledger) patience(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return l.config.ForwardTimeout
	}
	return min(l.config.ForwardTimeout, time.Until(deadline)/2)
}

// take turns the other node's answer, or its silence, into an outcome.
func (q *queue) take(p *parcel, got parcelReply) (outcome, bool) {
	sent := q.drop(p)
	if got.err != nil {
		p.op.astray = sent && p.op.kind == opClaim
		return outcome{}, false
	}
	if got.reply.settles(p.op) {
		got.reply.Claim.Attempt = p.op.attempt
		got.reply.Claim.Node = p.node
		return outcome{claim: got.reply.Claim, err: got.reply.Err}, true
	}
	p.op.astray = !got.reply.Untouched && p.op.kind == opClaim
	if got.reply.Untouched {
		p.op.refusedBy = p.node
	}
	return outcome{}, false
}

// settles says whether the operation needs nothing more. A claim without a
// state, as from a peer of another program version, settles nothing.
func (r Reply) settles(op *operation) bool {
	if errors.Is(r.Err, ErrNotHolder) {
		return op.kind != opClaim
	}
	if r.Err != nil || op.kind != opClaim {
		return r.Err == nil
	}
	known := r.Claim.State >= Fresh && r.Claim.State <= Mismatch
	return known && (r.Claim.State == Done) == (r.Claim.Result != nil)
}

// add queues a parcel and sends what waits unless enough is underway.
func (q *queue) add(p *parcel) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, p)
	q.start()
}

// drop takes a parcel out of the queue and says whether it was sent.
func (q *queue) drop(p *parcel) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, waiting := range q.waiting {
		if waiting == p {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	return p.sent
}

// start sends the next batch: what waits for one node, as the owner may have
// changed meanwhile. The caller holds the lock.
func (q *queue) start() {
	if q.underway == sendsAtOnce || len(q.waiting) == 0 || q.closed {
		return
	}
	if since := time.Since(q.sentAt); q.underway > 0 && since < lingerTime {
		q.linger(lingerTime - since)
		return
	}
	node, n := q.waiting[0].node, 0
	for n < min(len(q.waiting), maxBatch) && q.waiting[n].node == node {
		q.waiting[n].sent = true
		n++
	}
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	q.underway++
	q.sentAt = time.Now()
	q.sends.Go(func() { q.send(node, batch) })
}

// linger starts the next batch later. The caller holds the lock.
func (q *queue) linger(wait time.Duration) {
	if q.lingers {
		return
	}
	q.lingers = true
	time.AfterFunc(wait, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.lingers = false
		q.start()
	})
}

// send carries one batch. If that fails, what waits for the same node is not
// sent there either, but goes back to be done here.
func (q *queue) send(node string, batch []*parcel) {
	replies, err := q.call(node, batch)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.underway--
	if err != nil {
		q.waiting = slices.DeleteFunc(q.waiting, func(p *parcel) bool {
			if p.node == node {
				p.reply <- parcelReply{err: err}
			}
			return p.node == node
		})
	}
	for i, p := range batch {
		if err != nil {
			p.reply <- parcelReply{err: err}
			continue
		}
		p.reply <- parcelReply{reply: replies[i]}
	}
	q.start()
}

func (q *queue) call(node string, batch []*parcel) ([]Reply, error) {
	ctx, cancel := context.WithTimeout(q.ledger.ctx, q.ledger.config.ForwardTimeout)
	defer cancel()
	replies, err := q.ledger.config.Peers.Forward(ctx, node, q.shard, operationsOf(batch))
	if err == nil && len(replies) != len(batch) {
		err = Error.New("%d replies to %d operations", len(replies), len(batch))
	}
	return replies, err
}

func operationsOf(batch []*parcel) []Operation {
	operations := make([]Operation, len(batch))
	for i, p := range batch {
		operations[i] = Operation{
			Kind:        p.op.kind,
			ID:          base64.RawURLEncoding.EncodeToString([]byte(p.op.id)),
			Fingerprint: p.op.fingerprint,
			Attempt:     p.op.attempt,
			ClaimedMs:   p.op.at,
			UntilMs:     p.until.UnixMilli(),
			Result:      p.op.result,
		}
	}
	return operations
}

// Serve does operations for another node and returns a Reply to each, in
// order. It never passes them on, so nodes that each take another for the
// owner do not send an operation in a circle.
func (l *Ledger) Serve(ctx context.Context, shard int, operations []Operation) ([]Reply, error) {
	if shard < 0 || shard >= Shards {
		return nil, Error.New("shard %d is not one of %d", shard, Shards)
	}
	ops := make([]*operation, len(operations))
	for i, o := range operations {
		op, ok := o.foreign()
		if !ok {
			return nil, Error.New("operation %d is incomplete", i)
		}
		ops[i] = op
	}
	replies := make([]Reply, len(operations))
	for i, result := range l.lanes[shard].submitAll(ctx, ops) {
		replies[i] = Reply{Claim: result.claim, Err: result.err, Untouched: result.untouched}
	}
	return replies, nil
}

func (o Operation) complete() bool {
	known := o.Kind >= KindClaim && o.Kind <= KindRelease
	return known && o.ID != "" && o.Attempt != "" && (o.Kind == KindRecord) == (o.Result != nil)
}

// foreign returns the operation as this node does it; false if it is malformed.
func (o Operation) foreign() (*operation, bool) {
	id, err := base64.RawURLEncoding.DecodeString(o.ID)
	if err != nil || !o.complete() {
		return nil, false
	}
	return &operation{
		kind:        o.Kind,
		id:          string(id),
		fingerprint: o.Fingerprint,
		attempt:     o.Attempt,
		at:          o.ClaimedMs,
		result:      o.Result,
		foreign:     true,
		until:       o.UntilMs,
	}, true
}

// NotDone is the error of a Reply to an operation that the owner did not do,
// as it comes over the wire.
func NotDone(detail string) error {
	return Error.Wrap(fmt.Errorf("%w: %s", ErrUnavailable, detail))
}
