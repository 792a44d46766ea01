package retryloans

import (
	"math"
	"time"

	"github.com/cicadatack/cicadatack/decide/retry"
)

const (
	// Lifetime is how long after their withdrawal lent retries may be used. It covers the
	// age of an invitation (one exchange of 0.3 s), the time in the pool until an asker's
	// next exchange or until another hub's, and UseTime. A longer one would cost more: the
	// lender counts them as spent for this time and a window.
	Lifetime = 4 * time.Second
	// HoldTime is how long a hub may use retries that another hub granted, from its ask.
	HoldTime = 2800 * time.Millisecond
	// UseTime is how long a borrower may use a grant, from its ask. With 1 s, a sixth of
	// what was borrowed in TestUnevenLoadUsesTheSum ended unused.
	UseTime = 2 * time.Second
	// ValidFor is how long an ask and an invitation count: two exchanges and a margin.
	ValidFor = 700 * time.Millisecond

	// MaxTransfer bounds the retries of one service in one message. It is several times
	// what a node may make in a window, and keeps a faulty message from taking all.
	MaxTransfer = 256
	// MaxEntries bounds the entries of a message that are read, MaxAskers the nodes whose
	// asks a hub keeps. A failure domain of the target size has 96 nodes.
	MaxEntries = 64
	MaxAskers  = 512

	// quantum divides all amounts, so that they are exact in the 32 bits of a message.
	quantum = 1.0 / 64
	// reserveFactor times the retries of the last retry.DemandTime, and one, are kept by the
	// node that lends. If it needs more, it borrows.
	reserveFactor = 2
	// expectedShare of the retries of the last retry.DemandTime are expected before a loan can
	// arrive. It is two exchanges of 0.3 s, divided by that time.
	expectedShare = 0.4
	// invitedShare of what a hub lacks is asked of one node, because most nodes can spare
	// only one or two.
	invitedShare = 0.25
	// invitedFactor times what a hub lacks is asked of all nodes together, because half of them
	// have nothing to spare.
	invitedFactor = 2
)

// Surplus returns how many retries a node can lend now.
func Surplus(b retry.Balance) float64 {
	if b.Waiting > 0 || b.Refused {
		return 0
	}
	return roundDown(max(0, b.Own-1-reserveFactor*b.Recent))
}

// Want returns how many retries a node lacks, a whole number.
func Want(b retry.Balance) float64 {
	need := float64(b.Waiting) + expectedShare*b.Recent
	if b.Refused {
		need = max(need, 1)
	}
	if need == 0 {
		return 0
	}
	have := max(0, b.Own) + b.Borrowed
	return min(MaxTransfer, math.Ceil(max(0, need-have)))
}

// roundDown returns the amount in whole quanta.
func roundDown(amount float64) float64 { return math.Floor(amount/quantum) * quantum }

// valid reports whether an amount is one that a node may send.
func valid(amount float64) bool { return amount >= 0 && amount <= MaxTransfer }
