// Package pushback tracks which replicas have asked this node to send them nothing for a
// time.
//
// # Load pattern
//
// A replica in need refuses a request and states in the refusal how long it wants no further
// request from the node that sent it: server pushback, in HTTP the header Retry-After of a 503.
// Each node is asked by itself, and is bound by what it was told alone.
//
// # Failure without this package
//
// A node that does not read the time guesses how long the replica refuses requests. The guess
// is shorter, so requests go on arriving at a replica that sheds load. Each of them costs the
// replica work and the caller a retry.
//
// # Rules
//
//   - A replica that asked for no requests gets none until that time is over. A later request
//     for a shorter time does not shorten an earlier one.
//   - The time holds for the replica's ID, also while the replica is missing from the list of
//     replicas. During an outage of the store, entries of replicas expire and return.
package pushback
