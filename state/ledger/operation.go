package ledger

import (
	"fmt"
	"time"
)

type opKind int

const (
	opClaim opKind = iota + 1
	opRecord
	opRelease
)

// operation is one claim, result or release on its way into the shard.
type operation struct {
	kind        opKind
	id          string
	fingerprint string
	attempt     string
	at          int64
	result      *Result

	// risked says that a write with this operation got no reply; riskedAt is
	// the revision that the write compared.
	risked   bool
	riskedAt int64
	// owed says that no caller waits for the operation any more.
	owed bool

	// foreign says that the operation is another node's, which alone knows
	// whether the order was sent and so alone may give its claim back.
	foreign bool
	// until is when the node that asked for a foreign claim stops waiting for
	// it, in Unix milliseconds; zero: no bound.
	until int64
	// astray says that another node was asked for this claim and did not
	// answer: the claim may stand in the store, or come to stand there.
	astray bool
	// refusedBy is the node that was asked for the operation and did nothing.
	refusedBy string
}

// outcome is what became of an operation. An error of a claim means that it is
// not, and will not be, used.
type outcome struct {
	claim Claim
	err   error
	// untouched says of an error that the operation was in no write at all.
	untouched bool
}

// settled pairs an operation with its outcome.
type settled struct {
	op      *operation
	outcome outcome
}

func unavailable(err error) error { return fmt.Errorf("%w: %w", ErrUnavailable, err) }

// unused says of a claim of this node that ended with the outcome given that it
// stands in the store, or may yet, and that its order will not be sent by it.
//
// A claim that went astray may yet stand although another claim was found in
// its place: the node that was asked for it may be writing the release of that
// one and this claim together. Without a release of its own the order would stay
// in doubt for a day though nobody sent it. A result is never replaced, so there
// nothing can come to stand.
func (op *operation) unused(result outcome) bool {
	switch {
	case op.kind != opClaim || op.foreign:
		return false
	case result.claim.State == Fresh:
		return op.owed
	}
	return op.astray && result.claim.State != Done
}

func refusal(op *operation, cause error) error {
	if op.kind == opClaim {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrNotRun, cause))
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrNotKept, cause))
}

// late says that nobody waits for a foreign claim any more. Its node has given
// the attempt up or claimed by itself; a claim written now would stay in doubt
// for a day without ever being sent.
func (op *operation) late(now time.Time) bool {
	return op.foreign && (op.owed || (op.until != 0 && now.UnixMilli() > op.until))
}

// claimOf is what a claim learns from the entry that stands.
func claimOf(e *entry, op *operation) outcome {
	claim := Claim{Attempt: op.attempt, ClaimedAt: e.claimedAt()}
	switch {
	case e.Fingerprint != op.fingerprint:
		claim.State = Mismatch
	case e.Result != nil:
		claim.State = Done
		result := *e.Result
		claim.Result = &result
	case e.Attempt == op.attempt:
		claim.State = Fresh
	default:
		claim.State = InDoubt
	}
	return outcome{claim: claim}
}
