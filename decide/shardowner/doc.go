// Package shardowner picks the node that writes a shard: the shard's owner.
//
// # Load pattern
//
// An order is a request that must run at most once, so a node claims the order
// in the platform's store before the node sends the order on (state/ledger). The
// claims of a team are stored in a few values of the store, the shards. The orders
// of one team arrive at several nodes at once.
//
// # Failure without this package
//
// Each node writes these values itself, by compare-and-swap. Of all writes to a
// value that are in flight at one time, only one succeeds. The others find that
// the value has changed and start over, so three nodes together place fewer
// orders than one.
//
// # Rules
//
// A node forwards its operations on a shard, such as a claim, to the shard's
// owner and waits for the owner's answer. For each shard the live nodes are
// ranked by a hash of shard and node (rendezvous hashing). The first node in this
// order is the owner. The choice is only a hint, because nodes with different
// lists of live nodes pick different owners. Correctness depends on
// compare-and-swap alone; a wrong choice costs only speed.
//
// A node that did not answer is excluded for a backoff period, and the next
// node in the order takes its shards. After that period a single operation
// is forwarded to the node again, so a frozen node delays one operation and not
// all of them.
//
// # Reasons for the values
//
//   - One owner per shard, and 16 shards (state/ledger): each of 16 owners makes
//     40 writes a second. Together these are the several hundred writes a second
//     that the store sustains, however many nodes there are. Each write carries
//     all pending orders of its shard.
//   - MinBackoff 1 s: an operation that is forwarded to a frozen node waits up
//     to this time for the answer (DefaultForwardTimeout in state/ledger). So
//     even at the shortest backoff, each such wait delays one operation only.
//     MinBackoff is also about the time after which the other nodes suspect an
//     unresponsive node (fleet/membership).
//   - MaxBackoff 16 s: a node that only this node could not reach is used again
//     soon after the connection is back. Until then, one operation in 16 s is
//     delayed.
package shardowner
