// Package drainmark remembers which replicas have said in an answer to this node that they are
// leaving.
//
// # Load pattern
//
// A replica that is about to exit says so in all its answers, and serves on for some seconds.
// The list of replicas shows the drain later, or never: a node may be cut off from the store,
// and some replicas remove their entry without a word.
//
// # Failure without this package
//
// A node goes by the list alone. It sends requests to a replica that has told it to send none,
// and these are lost when the replica exits.
//
// # Rules
//
//   - A mark holds for one incarnation of a replica. What the list says of that incarnation
//     does not end the mark, because the list lags.
//   - A mark outlasts the absence of the replica from the list by absentFor: after an outage of
//     the store, entries expire and return.
package drainmark
