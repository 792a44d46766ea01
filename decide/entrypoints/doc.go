// Package entrypoints decides which entry VMs a caller should use.
//
// Use: Answer gives the addresses for a caller and how long they hold. Homes
// gives the nodes that share a team's limit; HomeCount says how many a team
// needs. All are pure functions of the member list, so every node gives the
// same answer from the same list.
//
// The load pattern it answers: callers of many teams, with no balancer before
// the entry VMs. Without it callers of every team reach every node, so each
// team's limit has as many parties as there are nodes, each with a share too
// small to be of use; and callers stay on nodes that are full or leaving.
//
// # Leaving
//
// A node that is to leave says so to its peers and serves on, new connections
// included, for ServeOn(spread). In that time the word reaches the peers
// (spread), and then the last answer that named the node runs out (ValidFor).
// After it no caller that keeps to its answer comes to the node; streams
// underway are finished first in any case.
//
// Grounds for the figures:
//   - ValidFor 20 s: with 2,200 nodes and, say, 100,000 callers this is 5,000
//     questions a second, 2.3 a node; and a node can leave within half a minute.
//   - RetryAfter 2 s is the validity of an answer given from a doubtful list.
//   - MinHomes 2: the loss of one VM must not cut off a team. Homes, and the
//     addresses of an answer, are in at least two failure domains if the nodes
//     are: nor must the loss of a failure domain.
//   - HomeHeadroom 4: callers come unevenly, and a home that is full sends them on.
//   - NearPreference 8: entry VMs are near to each other and callers farther
//     off, so a home elsewhere is worth using when those at hand are full.
package entrypoints
