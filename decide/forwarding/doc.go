// Package forwarding chooses the node that serves a request on behalf of a node that can't reach
// the replicas of the request's service.
//
// # Load pattern
//
// A node is cut off from all replicas of a service, or from those that a path needs. Callers keep
// the addresses of nodes for seconds and go on connecting to it. Other nodes reach the replicas.
// Several nodes can be cut off at once, also all nodes of a failure domain.
//
// # Failure without this package
//
// The cut-off node refuses its callers, although the fleet could serve them.
//
// # Rules
//
//   - Nodes that are known to serve come first: those that have served a request of this node, and
//     those that a node which declined has named. Otherwise a node of a large fleet, most of which
//     is cut off, asks in vain: it forgets the nodes that declined as fast as it learns of them.
//   - Of these, nodes of the own failure domain come first, because traffic between domains is
//     priced, unless most of the domain can't serve: the rest would carry its requests alone.
//   - While few serving nodes are known, some requests are offered to another node first. After a
//     decline one of another domain follows, because the links of a whole domain often fail
//     together. Nodes that have declined lately, or forward themselves, come last.
//   - Of two nodes chosen at random, the one with fewer requests of this node is taken.
//   - A node that can't serve a service or does not answer is left out for a time that doubles
//     at each further failure, from minPause to maxPause. The next request then finds out whether
//     it can serve again.
//   - A node that declined for lack of capacity is left out for capacityPause.
//   - A request is forwarded once. The node that serves it does not forward it again, so two
//     nodes that are both cut off can't pass it to each other.
package forwarding
