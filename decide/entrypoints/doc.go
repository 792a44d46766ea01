// Package entrypoints decides which entry VMs a caller should connect to.
//
// # Use
//
// Answer returns the addresses for a caller and how long they are valid. Homes
// returns the nodes that share a team's limit; HomeCount returns how many of them a
// team needs. All are pure functions of the member list, so every node gives the
// same answer from the same list.
//
// # Load pattern
//
// Callers of many teams connect without a load balancer in front of the entry VMs.
//
// # Failure without it
//
// Callers of every team reach every node. Each team's limit is then split over all
// nodes, and each share is too small to be useful. Callers also stay on nodes that
// are full or draining.
//
// # Draining
//
// A node that is going to shut down tells its peers and continues to serve,
// including new connections, for DrainDuration(propagation). In that time the news
// reaches the peers (propagation), and then the last answer that named the node
// expires (ValidFor). After that, no caller that respects its answer connects to the
// node. Streams in progress are finished in any case.
//
// # Reasons for the values
//
//   - ValidFor 20 s: with 2,200 nodes and 100,000 callers, for example, this is
//     5,000 queries a second, 2.3 per node, and a node can drain within half a minute.
//   - RetryAfter 2 s is the validity of an answer without addresses.
//   - MinHomes 2: the loss of one VM must not cut off a team. The homes, and the
//     addresses of an answer, are in at least two failure domains if the nodes are,
//     so the loss of a failure domain does not cut off a team either.
//   - HomeHeadroom 4: callers arrive unevenly, and a full home redirects them to
//     other homes.
//   - LocalPreference 8: entry VMs are close to each other and callers are farther
//     away, so a home in another failure domain is worth using when the local ones
//     are full.
package entrypoints
