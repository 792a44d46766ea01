package ledger

import (
	"errors"
	"fmt"
	"time"

	"github.com/cicadatack/cicadatack/state/store"
)

// flightAttempts bounds how often one batch is tried before its callers are
// refused. A conflict means that another node's batch went through, so the
// bound is for a store that keeps losing replies; the callers' own deadlines
// come first otherwise.
const flightAttempts = 50

// Bounds of the gap that a node leaves between its batches in a shard that
// other nodes write too.
//
// Nodes that write one shard as fast as they are allowed to overtake each
// other between read and write: most writes are refused and one slow node
// loses every time. So each leaves a gap
// after a batch that went through, twice as long after every batch that met a
// conflict and half as long after one that met none. A batch underway is not
// held back by it: whoever loses now is first while the others pause.
const (
	minGap = 20 * time.Millisecond
	maxGap = time.Second
)

// maxOwed bounds the results and releases that a shard keeps in memory during
// an outage of the store; of those beyond it the orders stay in doubt.
const maxOwed = 4096

type stepKind int

const (
	stepIdle stepKind = iota
	stepRead
	stepWrite
	// stepLoad reads an archive, stepArchive writes one if it does not exist.
	stepLoad
	stepArchive
)

// step is what the machine wants from the store next, and whom to answer now.
type step struct {
	kind stepKind
	// revision that a write of the shard compares.
	revision int64
	value    []byte
	// archive is the name of the one to be read or written.
	archive int64
	settled []settled
}

// machine decides for one shard what to read and write and how operations
// end. It does no I/O and reads no clock; its driver calls next, does what the
// step says and reports by onRead, onWrite, onLoad or onArchive, one step at a
// time. Between the steps operations gather in waiting: while one write is
// underway, all that arrive go together into the next.
type machine struct {
	retention time.Duration
	limits    archiveLimits

	state    *shard
	revision int64
	known    bool

	waiting []*operation
	owed    []*operation
	flight  []*operation
	// verified says that state was read after the flight was gathered.
	verified bool
	attempts int
	// contended says that another node has written the shard since this one
	// last did. The copy kept here is then old, and a write on it would be
	// refused: the next batch reads first.
	contended bool
	conflicts int
	gap       time.Duration
	pending   *change
	written   *shard
	outcomes  []outcome
	// disowned holds attempts whose claim may stand in the store though their
	// order was not and will not be sent by this node.
	disowned map[string]bool

	// archives are those of the shard that were read or written here, by name.
	archives map[int64]*archive
	// rolling is a move whose archive is being written; roll is one whose
	// archive stands, to be named by the shard's next write.
	rolling, roll *roll
	rollTried     bool
	// lost is the archive last found missing, and lostAt the shard's revision.
	lost, lostAt int64
	// orphans were written and are not named; garbage can be removed.
	orphans, garbage []int64
}

func newMachine(retention time.Duration) *machine {
	return &machine{
		retention: retention,
		limits:    defaultLimits,
		state:     newShard(),
		disowned:  map[string]bool{},
		archives:  map[int64]*archive{},
	}
}

// add queues an operation.
func (m *machine) add(op *operation) { m.waiting = append(m.waiting, op) }

// busy says whether anything is to be done. Owed operations alone do not make
// work; they go with the next batch or a flush.
func (m *machine) busy() bool { return len(m.waiting) > 0 || len(m.flight) > 0 }

// peek answers a claim whose order is known to be done, without the store: a
// result never changes.
func (m *machine) peek(op *operation) (outcome, bool) {
	e := m.state.index[op.id]
	if e == nil || e.Result == nil {
		return outcome{}, false
	}
	return claimOf(e, op), true
}

// withdraw forgets a claim whose caller has left. If the claim may be in the
// store, it is released there: its order was not sent.
func (m *machine) withdraw(op *operation) {
	for i, waiting := range m.waiting {
		if waiting == op {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			m.orphan(op)
			return
		}
	}
	op.owed = true
}

// orphan keeps what has to be done for an operation that no one waits for.
//
// Of another node's operation nothing is kept. Were its claim given back here,
// because its answer or its node's patience ran out, the order could be sent
// twice: the other node finds the claim in the store by its attempt id and
// sends, the release then frees the key, and a third node claims it anew.
func (m *machine) orphan(op *operation) {
	switch {
	case op.foreign:
	case op.kind == opClaim && (op.risked || op.astray):
		m.disown(op)
	case op.kind != opClaim:
		m.owe(op)
	}
}

// disown notes that a claim of this node will not be used, and owes its
// release.
func (m *machine) disown(op *operation) {
	if len(m.owed) >= maxOwed {
		return
	}
	m.disowned[op.attempt] = true
	m.owe(&operation{
		kind:     opRelease,
		id:       op.id,
		attempt:  op.attempt,
		risked:   op.risked,
		riskedAt: op.riskedAt,
		astray:   op.astray,
	})
}

func (m *machine) owe(op *operation) {
	if len(m.owed) >= maxOwed {
		return
	}
	op.owed = true
	m.owed = append(m.owed, op)
}

// next gathers a batch if none is underway and says what it needs.
func (m *machine) next(now time.Time) step {
	if len(m.flight) == 0 {
		m.gather()
	}
	if len(m.flight) == 0 {
		return step{}
	}
	if !m.known {
		// What has arrived since the batch was gathered goes with it; the read
		// that comes now is as recent for it as for the others.
		m.flight = append(m.flight, m.waiting...)
		m.waiting = nil
		return step{kind: stepRead}
	}
	oldestMs := now.Add(-m.retention).UnixMilli()
	if archives, needed := m.archiveStep(oldestMs); needed {
		return archives
	}
	m.decide(now, oldestMs)
	switch {
	case m.pending.dirty:
		m.written = m.pending.commit()
		return step{kind: stepWrite, revision: m.revision, value: m.written.encode()}
	case m.verified:
		return step{settled: m.settle()}
	}
	return step{kind: stepRead}
}

// owes says whether this node holds something of the shard that others don't
// know: results and releases not written yet, or claims that it gave up.
func (m *machine) owes() bool { return len(m.owed) > 0 || len(m.disowned) > 0 }

// flush makes what is owed be tried without waiting for another batch.
func (m *machine) flush() {
	m.waiting = append(m.owed, m.waiting...)
	m.owed = nil
}

// gather moves all that waits into one flight; what is owed goes first, so
// that a claim finds the result that this node still holds.
func (m *machine) gather() {
	m.flight = append(m.owed, m.waiting...)
	m.owed, m.waiting = nil, nil
	m.verified = false
	m.attempts = 0
	m.conflicts = 0
	m.rollTried = false
	m.known = m.known && !m.contended
}

// onRead takes the shard as read.
func (m *machine) onRead(found store.Entry, err error) []settled {
	if err != nil {
		return m.refuse(unavailable(err))
	}
	state, err := decodeShard(found.Value)
	if err != nil {
		return m.refuse(err)
	}
	m.contended = found.Revision != m.revision && m.revision != 0
	m.known = true
	m.verified = true
	m.stand(state, found.Revision)
	return nil
}

// stand takes a state of the shard for the one in the store. What the state
// before it named and it does not is garbage, unless the read was of an older
// one: that knows nothing of archives made since.
func (m *machine) stand(state *shard, revision int64) {
	newer, before := revision > m.revision, m.state.archives
	m.state = state
	m.revision = revision
	if newer {
		m.sweep(before)
	}
}

// onWrite takes the reply to the last write.
func (m *machine) onWrite(revision int64, err error) []settled {
	if err == nil {
		m.stand(m.written, revision)
		return m.settle()
	}
	m.attempts++
	m.known = false
	switch {
	case errors.Is(err, store.ErrUnknown):
		m.risk()
	case errors.Is(err, store.ErrConflict):
		m.conflicts++
	default:
		return m.refuse(unavailable(err))
	}
	if m.attempts >= flightAttempts {
		return m.refuse(fmt.Errorf("%w: %d attempts: %w", ErrUnavailable, m.attempts, err))
	}
	return nil
}

// risk marks the flight as possibly written. The read that follows finds the
// claims by their attempt ids if it was.
func (m *machine) risk() {
	for _, op := range m.flight {
		op.risked = true
		op.riskedAt = m.revision
	}
}

// settle ends the flight with the outcomes decided on.
func (m *machine) settle() []settled {
	var ended []settled
	for i, op := range m.flight {
		result := m.outcomes[i]
		if op.kind == opRelease {
			delete(m.disowned, op.attempt)
		}
		if op.unused(result) {
			m.disown(op)
		}
		ended = append(ended, settled{op, result})
	}
	m.flight, m.outcomes, m.pending = nil, nil, nil
	m.adjustGap()
	return ended
}

func (m *machine) adjustGap() {
	if m.conflicts > 0 {
		m.gap = min(max(2*m.gap, minGap), maxGap)
		return
	}
	m.gap /= 2
	if m.gap < minGap {
		m.gap = 0
	}
}

// refuse ends the flight without effect. Claims that may stand in the store
// are disowned; results and releases stay owed.
func (m *machine) refuse(cause error) []settled {
	flight := m.flight
	m.flight, m.outcomes, m.pending = nil, nil, nil
	m.known = false
	if m.rolling != nil {
		m.orphans = append(m.orphans, m.rolling.from)
		m.rolling = nil
	}
	var ended []settled
	for _, op := range flight {
		m.orphan(op)
		ended = append(ended, settled{op, outcome{err: refusal(op, cause), untouched: !op.risked}})
	}
	return ended
}
