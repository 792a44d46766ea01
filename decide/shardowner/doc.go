// Package shardowner picks the node to which the writes of a shard go.
//
// The load pattern it answers: the orders of one team come in at several nodes
// at once, and the team's claims stand in a few values of the store. Without it
// each node writes these values itself: all but one of the writes that are
// underway at a time fail their comparison and start over, so three nodes place
// fewer orders than one.
//
// The choice is a hint. Nodes with different views pick different nodes, and
// what must hold rests on compare-and-swap alone; wrong choices cost speed.
//
// A node that did not answer is left out for a while, and the next in rank takes
// its shards. When the while is over a single operation tries it again, so that
// a frozen node holds up one operation and not all of them.
//
// Grounds for the figures:
//   - One owner a shard, and 16 shards (platform/ledger): 16 owners at 40 writes
//     a second each are what the store takes (several hundred), however many
//     nodes there are, and each write carries all orders that its shard has.
//   - MinPause 1 s: what a trial of a frozen node may cost one operation at
//     most, and about what members need to suspect a node.
//   - MaxPause 16 s: a node that was cut off from only this one is used again
//     soon after; until then, one operation in 16 s is held up.
package shardowner
