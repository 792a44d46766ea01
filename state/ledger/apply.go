package ledger

import (
	"time"
)

// decide works the flight into a change of the state, from the start each
// time: after a conflict or a lost reply the state is another.
func (m *machine) decide(now time.Time, oldestMs int64) {
	m.pending = newChange(m.state)
	m.pending.prune(oldestMs)
	if m.roll != nil && m.roll.from == m.revision {
		m.pending.move(m.roll)
	}
	m.outcomes = m.outcomes[:0]
	for _, op := range m.flight {
		e := m.pending.get(op.id)
		if e == nil {
			e = m.archived(op.id, oldestMs)
		}
		m.outcomes = append(m.outcomes, m.apply(op, e, now))
	}
}

// apply does an operation on the entry that stands for its order, if any.
func (m *machine) apply(op *operation, e *entry, now time.Time) outcome {
	switch op.kind {
	case opClaim:
		return m.applyClaim(op, e, now)
	case opRecord:
		return m.applyRecord(op, e)
	}
	return m.applyRelease(op, e)
}

func (m *machine) applyClaim(op *operation, e *entry, now time.Time) outcome {
	free := e == nil || m.disowned[e.Attempt] && e.Attempt != op.attempt
	switch {
	case free && op.late(now):
		return outcome{err: refusal(op, ErrLate), untouched: !op.risked}
	case free:
		return m.insert(op)
	default:
		return claimOf(e, op)
	}
}

// insert claims a key that is free, or held by a claim of this node that was
// never used.
func (m *machine) insert(op *operation) outcome {
	if m.pending.bytes >= claimLimit {
		m.pending.shed()
	}
	if m.pending.bytes >= claimLimit {
		return outcome{err: refusal(op, ErrFull)}
	}
	e := &entry{ID: op.id, Fingerprint: op.fingerprint, Attempt: op.attempt, ClaimedMs: op.at}
	m.pending.set(e.encoded())
	return claimOf(e, op)
}

func (m *machine) applyRecord(op *operation, e *entry) outcome {
	if e == nil || e.Attempt != op.attempt {
		return outcome{err: Error.Wrap(ErrNotHolder)}
	}
	if e.Result != nil {
		return outcome{}
	}
	done := *e
	done.Result = op.result
	done.encoded()
	if m.pending.bytes+len(done.raw)-len(e.raw) > resultLimit {
		m.pending.set(done.withoutBody())
		return outcome{}
	}
	m.pending.set(&done)
	return outcome{}
}

func (m *machine) applyRelease(op *operation, e *entry) outcome {
	switch {
	case e != nil && e.Attempt == op.attempt && e.Result == nil:
		m.pending.remove(op.id)
	case e != nil && e.Attempt == op.attempt:
		return outcome{err: Error.Wrap(ErrNotHolder)}
	case op.astray, op.risked && m.revision == op.riskedAt:
		// The write that carried the claim may still be on its way, from here or
		// from the node that was asked for it, and would leave the order in
		// doubt forever. Any write moves the revision that it compares and so
		// voids it.
		m.pending.dirty = true
	}
	return outcome{}
}
