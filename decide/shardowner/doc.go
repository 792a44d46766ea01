// Package shardowner picks the node that writes a shard.
//
// # Load pattern
//
// The orders of one team arrive at several nodes at once, and the team's claims are
// stored in a few values of the store.
//
// # Failure without it
//
// Each node writes these values itself. Of the writes in flight at one time, all but
// one fail their comparison and start over, so three nodes place fewer orders than
// one.
//
// # Rules
//
// The choice is only a hint. Nodes with different views pick different nodes.
// Correctness depends on compare-and-swap alone; a wrong choice costs only speed.
//
// A node that did not answer is excluded for a backoff period, and the next node in
// rank takes its shards. After that period a single operation tries the node again,
// so a frozen node delays one operation and not all of them.
//
// # Reasons for the values
//
//   - One owner per shard, and 16 shards (platform/ledger): 16 owners at 40 writes a
//     second each are what the store sustains (several hundred), however many nodes
//     there are, and each write carries all pending orders of its shard.
//   - MinBackoff 1 s: the most that a retry at a frozen node may cost one operation,
//     and about the time in which members suspect a node.
//   - MaxBackoff 16 s: a node that was unreachable only from this one is used again
//     soon after its return; until then, one operation in 16 s is delayed.
package shardowner
