package store

import (
	"time"

	"golang.org/x/time/rate"
)

// Calls a second of all nodes together. The service handles about two thousand
// reads and several hundred writes; the rest is for operators' commands and for
// the time in which nodes differ on the fleet's size.
const (
	totalReads  = 1600
	totalWrites = 400
	// ownerReads and ownerWrites of these are for the nodes that write the shards
	// of the order ledger, by the shards that each owns.
	ownerReads  = 400
	ownerWrites = 200
	// fewNodes share all of it evenly: their shards' owners get 44 writes a
	// second, the ledger asks for at most 40.
	fewNodes = 9
)

const (
	// readBurst takes in the pages of a list of 12,200 VMs (25) and a document's
	// parts at once.
	readBurst = 64
	// writeBurst is a second of the ledger's writes: a node that takes over the
	// shards of a silent one has so much until its share follows.
	writeBurst = 40
	// startReads is what a node may read at once before it knows the fleet's size:
	// document, list of entry VMs, plans.
	startReads = 16
	// minReads and minWrites a second are left to any node.
	minReads  = 0.25
	minWrites = 0.05
	// startNodes is the size that a node reckons with until it knows better. Taken
	// for small, a fleet of 2,200 that starts at once would call 132,000 times a
	// second.
	startNodes = 2200
)

// Share is a node's part, in calls a second, of what the service handles.
type Share struct{ Reads, Writes float64 }

// StartShare is that of a node that does not know the fleet's size yet.
func StartShare() Share { return ShareOf(startNodes, 0, 1) }

// ShareOf returns the share of one of so many nodes that owns some of the order
// ledger's shards. Those of all nodes add up to no more than the service
// handles, as long as the nodes agree on their number and on the owners.
func ShareOf(nodes, owned, shards int) Share {
	if nodes <= fewNodes {
		n := float64(max(nodes, 1))
		return Share{Reads: totalReads / n, Writes: totalWrites / n}
	}
	n, part := float64(nodes), float64(owned)/float64(shards)
	return Share{
		Reads:  max(minReads, (totalReads-ownerReads)/n+ownerReads*part),
		Writes: max(minWrites, (totalWrites-ownerWrites)/n+ownerWrites*part),
	}
}

// shares are the limiters of a node's share; without a share they let all through.
type shares struct{ reads, writes *rate.Limiter }

func newShares() shares {
	return shares{rate.NewLimiter(rate.Inf, readBurst), rate.NewLimiter(rate.Inf, writeBurst)}
}

// Start puts the share of a starting node in force, with fewer reads at once than
// later.
func (c *Client) Start() {
	c.SetShare(StartShare())
	c.shares.reads.AllowN(time.Now(), readBurst-startReads)
}

// Share returns the share in force.
func (c *Client) Share() Share {
	return Share{Reads: float64(c.shares.reads.Limit()), Writes: float64(c.shares.writes.Limit())}
}

// SetShare bounds reads and writes. A call beyond its bound waits as one beyond the
// whole budget does.
func (c *Client) SetShare(s Share) {
	c.shares.reads.SetLimit(rate.Limit(s.Reads))
	c.shares.writes.SetLimit(rate.Limit(s.Writes))
}
