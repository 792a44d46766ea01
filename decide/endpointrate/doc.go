// Package endpointrate keeps the requests that all nodes together send to a replica within
// the rate limit that the replica states in its answers.
//
// # Load pattern
//
// A replica in need states how many requests per second it takes from all nodes together,
// for as long as its answers say so. The limit is a fraction of its usual load, often a few
// requests per second, while thousands of nodes may send to it. Nodes join, leave, stall and
// lose contact with each other.
//
// # Failure without this package
//
// If nodes ignore the limit, the replica gets several times what it can take. If each node
// keeps to the limit on its own, the replica gets as many times its limit as there are
// nodes. If each node gets an even part with a burst of one request, a large fleet may send
// thousands of requests in the same second, one from each node.
//
// # Rules
//
//   - A few nodes are the senders of a limited replica: one for each request per second of
//     the limit, and one more. They divide senderShare of the limit evenly. Each saves one
//     request at most, or what it may send in burstTime. All nodes compute the same senders
//     by rendezvous hashing over the list of nodes. Nodes in the replica's failure domain
//     come first, because the others seldom send to it.
//   - Every other node sends a probe now and then, so that it learns when the limit ends. The
//     probes of all nodes take probeShare of the limit. A probe that is not used within
//     probeWindow of its time is lost, so that idle nodes don't save probes for the same
//     moment.
//   - A node that first hears of a limit, or becomes a sender, starts without saved requests.
//   - Nodes pass on what replicas stated, with its age; the newest statement counts. An
//     answer that the replica made and that states no limit ends the limit.
//
// # Grounds for the rules
//
// The split needs no message and no common clock, so it holds while nodes are cut off from
// each other. With a limit of r per second there are at most 1+r senders. In any t seconds
// they send at most 1+r requests that they have saved and senderShare*r*t requests beyond
// these, whatever the size of the fleet. Where the lists of two nodes differ by one node,
// their senders differ by at most one: a second sender in its place sends
// senderShare*r/(1+r) requests per second, which is less than one.
package endpointrate
