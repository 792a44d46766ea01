package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/state/store"
)

// Pauses between the attempts of one batch.
const (
	retryPause    = 5 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// lane drives the machine of one shard. At most one goroutine runs it.
type lane struct {
	ledger *Ledger
	key    string

	mu      sync.Mutex
	machine *machine
	waiters map[*operation]chan outcome
	idle    chan struct{}
	closed  bool
	// settledAt is when the last batch ended.
	settledAt time.Time
}

func newLane(l *Ledger, key string) *lane {
	idle := make(chan struct{})
	close(idle)
	return &lane{
		ledger:  l,
		key:     key,
		machine: newMachine(l.config.Retention),
		waiters: map[*operation]chan outcome{},
		idle:    idle,
	}
}

// submit queues an operation and waits for its outcome. If the caller leaves
// first, a claim counts as not run and is withdrawn.
func (n *lane) submit(ctx context.Context, op *operation) outcome {
	return n.submitAll(ctx, []*operation{op})[0]
}

// submitAll queues operations that came together. They go into one write: a
// sender waits for all of them, so one that came later would hold up the others.
func (n *lane) submitAll(ctx context.Context, ops []*operation) []outcome {
	outcomes := make([]outcome, len(ops))
	replies := n.enqueueAll(ops, outcomes)
	for i, reply := range replies {
		if reply == nil {
			continue
		}
		select {
		case outcomes[i] = <-reply:
		case <-ctx.Done():
			outcomes[i] = n.leave(ctx, ops[i], reply)
		}
	}
	return outcomes
}

func (n *lane) enqueueAll(ops []*operation, known []outcome) []chan outcome {
	n.mu.Lock()
	defer n.mu.Unlock()
	replies := make([]chan outcome, len(ops))
	for i, op := range ops {
		replies[i], known[i] = n.enqueue(op)
	}
	return replies
}

// knows answers a claim whose order this node knows to be done.
func (n *lane) knows(op *operation) (outcome, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if op.kind != opClaim {
		return outcome{}, false
	}
	return n.machine.peek(op)
}

// owes says whether this node knows more of the shard than others do.
func (n *lane) owes() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.owes()
}

// enqueue returns the channel of the outcome, or the outcome itself if it is
// known already. The caller holds the lock.
func (n *lane) enqueue(op *operation) (chan outcome, outcome) {
	if op.kind == opClaim {
		if known, ok := n.machine.peek(op); ok {
			return nil, known
		}
	}
	if n.closed || (op.kind == opClaim && n.ledger.outage.known()) {
		n.machine.orphan(op)
		return nil, outcome{err: refusal(op, ErrUnavailable), untouched: true}
	}
	reply := make(chan outcome, 1)
	n.waiters[op] = reply
	n.machine.add(op)
	n.start()
	return reply, outcome{}
}

// leave ends the wait of a caller whose context is over, unless the outcome
// has come in the same moment.
func (n *lane) leave(ctx context.Context, op *operation, reply chan outcome) outcome {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case result := <-reply:
		return result
	default:
	}
	delete(n.waiters, op)
	n.machine.withdraw(op)
	return outcome{err: refusal(op, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err()))}
}

// start runs the machine unless it runs already. The caller holds the lock.
func (n *lane) start() {
	select {
	case <-n.idle:
		n.idle = make(chan struct{})
		go n.run()
	default:
	}
}

// archivesKept is for how long after its last batch a lane keeps archives. A node
// that no longer owns a shard would hold a day of its orders for good; one that
// does reads them again in some tens of milliseconds, after a pause in which no
// caller came.
const archivesKept = 10 * time.Minute

func (n *lane) flush() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.settledAt) > archivesKept {
		n.machine.forget()
	}
	n.machine.flush()
	if n.machine.busy() && !n.closed {
		n.start()
	}
}

// settle waits until the lane is idle and returns how much it owes.
func (n *lane) settle(ctx context.Context) int {
	n.mu.Lock()
	idle := n.idle
	n.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.machine.owed)
}

func (n *lane) close() {
	n.mu.Lock()
	n.closed = true
	idle := n.idle
	n.mu.Unlock()
	<-idle
}

// run does what the machine asks for until it asks for nothing more.
func (n *lane) run() {
	pause := retryPause
	for {
		n.sweep()
		if !n.awaitTurn() {
			return
		}
		step := n.step()
		if step.kind == stepIdle {
			pause = retryPause
			continue
		}
		if n.perform(step) {
			pause = retryPause
			continue
		}
		n.rest(pause)
		pause = min(2*pause, maxRetryPause)
	}
}

// awaitTurn waits for the shard's gap and this node's pace before a new batch
// is gathered, so that what arrives during the wait goes with it. It returns
// false when there is nothing to do; the lane is idle from then on.
func (n *lane) awaitTurn() bool {
	n.mu.Lock()
	busy, gathered := n.machine.busy(), len(n.machine.flight) > 0
	gap := n.machine.gap - time.Since(n.settledAt)
	n.mu.Unlock()
	if busy && !gathered {
		n.rest(gap)
		// It fails only when the ledger closes, which the calls notice.
		_ = n.ledger.pace.Wait(n.ledger.ctx)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.machine.busy() {
		return true
	}
	// Closed under the lock, so that an operation added next starts a new run.
	close(n.idle)
	return false
}

// step asks the machine what to do and answers whom it has settled.
func (n *lane) step() step {
	n.mu.Lock()
	defer n.mu.Unlock()
	step := n.machine.next(n.ledger.config.Now())
	n.deliver(step.settled)
	return step
}

// perform makes the call that a step asks for and reports it to the machine.
// It returns false if a pause should come before the next.
func (n *lane) perform(step step) bool {
	ctx, cancel := context.WithTimeout(n.ledger.ctx, n.ledger.config.CallTimeout)
	defer cancel()
	switch step.kind {
	case stepRead:
		found, err := n.get(ctx, n.key)
		n.report(func() []settled { return n.machine.onRead(found, err) })
		return true
	case stepLoad:
		found, err := n.get(ctx, archiveKey(n.key, step.archive))
		n.report(func() []settled { return n.machine.onLoad(step.archive, found, err) })
		return true
	case stepArchive:
		_, err := n.swap(ctx, archiveKey(n.key, step.archive), 0, step.value)
		n.report(func() []settled { n.machine.onArchive(err); return nil })
		return true
	}
	revision, err := n.swap(ctx, n.key, step.revision, step.value)
	n.report(func() []settled { return n.machine.onWrite(revision, err) })
	return err == nil
}

func (n *lane) get(ctx context.Context, key string) (store.Entry, error) {
	found, err := n.ledger.store.Get(ctx, key)
	n.ledger.reads.Add(1)
	n.ledger.outage.note(err)
	return found, err
}

func (n *lane) swap(ctx context.Context, key string, revision int64, value []byte) (int64, error) {
	written, err := n.ledger.store.CompareAndSwap(ctx, key, revision, value)
	n.ledger.countWrite(err)
	return written, err
}

// sweep removes archives that nothing names any more. One that stays because the
// store does not answer, or this node ends, takes room and does no other harm.
func (n *lane) sweep() {
	n.mu.Lock()
	garbage := n.machine.takeGarbage()
	n.mu.Unlock()
	for _, name := range garbage {
		n.remove(archiveKey(n.key, name))
	}
}

func (n *lane) remove(key string) {
	ctx, cancel := context.WithTimeout(n.ledger.ctx, n.ledger.config.CallTimeout)
	defer cancel()
	found, err := n.get(ctx, key)
	if err == nil && found.Revision != 0 {
		_ = n.ledger.store.CompareAndRemove(ctx, key, found.Revision)
	}
}

func (n *lane) report(event func() []settled) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deliver(event())
}

// deliver answers those who still wait. The caller holds the lock.
func (n *lane) deliver(ended []settled) {
	if len(ended) == 0 {
		return
	}
	n.settledAt = time.Now()
	n.ledger.operations.Add(int64(len(ended)))
	for _, s := range ended {
		if reply, waits := n.waiters[s.op]; waits {
			reply <- s.outcome
			delete(n.waiters, s.op)
		}
	}
}

// rest pauses, jittered so that nodes at odds over a shard do not meet again.
func (n *lane) rest(pause time.Duration) {
	if pause > 0 {
		n.ledger.sleep(pause)
	}
}
