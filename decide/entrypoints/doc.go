// Package entrypoints decides which entry VMs a caller should connect to. Each
// entry VM runs one node of the router.
//
// # Use
//
// Answer returns a Result, below called an answer: the addresses for a caller
// and how long these are valid. Answers name only usable nodes, which are
// neither draining nor suspected of having failed. Homes returns the homes of a
// team: the nodes that share the team's limit. HomeCount returns how many homes
// a team needs. All three are pure functions of the member list, so every node
// gives the same answer from the same list.
//
// # Load pattern
//
// Callers of many teams connect without a load balancer in front of the entry VMs.
//
// # Failure without this package
//
// Callers of every team reach every node. Each team's limit is then split over all
// nodes, and each share is too small to be useful. Callers also stay on nodes that
// are full or draining.
//
// # Draining
//
// A node that is going to shut down tells its peers and continues to serve,
// including new connections, for DrainDuration(propagationTime). Within
// propagationTime, all peers learn that the node is draining, and their answers
// no longer name the node. ValidFor later, the last answer that named the node
// has expired. After that, no caller that respects its answer connects to the
// node. Streams in progress are finished in any case.
//
// # Reasons for the values
//
//   - ValidFor 20 s: with 2,200 nodes and 100,000 callers, for example, this is
//     5,000 queries a second, 2.3 per node, and a node can drain within half a minute.
//   - RetryAfter 2 s is the validity of an answer without addresses: the caller
//     asks again after this time.
//   - MinHomes 2: the loss of one VM must not cut off a team. The homes, and the
//     addresses of an answer, are in at least two failure domains if the nodes are,
//     so the loss of a failure domain does not cut off a team either.
//   - HomeHeadroom 4: a team has four times as many homes as its share of the
//     load needs. Callers arrive unevenly, and a full home redirects them to
//     other homes.
//   - LocalPreference 8: a home in the caller's failure domain is preferred
//     over one with the same free capacity in another domain by this factor.
//     Entry VMs are close to each other and callers are farther away, so a home
//     in another domain is worth using when the local homes are full.
package entrypoints
