// Package reach decides whether a node reaches any replica of a service.
//
// # Load pattern
//
// The links between some nodes and all replicas of a service fail for seconds, while callers,
// the store and the other nodes still reach these nodes. Connections to the replicas hang, are
// reset, or stay open while new ones are refused.
//
// # Failure without this package
//
// A node takes each failed connection for the failure of one replica. It tries the replicas one
// by one for each request, tells other nodes that the replicas are lost, and orders other
// replicas to take over their layers. Nothing says that the node's own links have failed.
//
// # Rules
//
//   - Evidence is the result of opening a connection. A connection that is already open says
//     nothing about new ones, and the result of a request says little about the link.
//   - A node is cut off from a service if it failed to connect to EvidenceReplicas replicas, or
//     to all of them if there are fewer, and has connected to none of the service's replicas
//     since the first of these failures.
//   - Two failures start a verification: the node probes other replicas until one accepts the
//     connection or there is enough evidence. Replicas that died therefore do not make a node
//     believe that it is cut off while it reaches others.
//   - A node that is cut off from one service verifies the others in the same way. Their
//     requests would find out more slowly: a connection that hangs takes a request longer than
//     a probe.
//   - While a node is cut off, it probes RecheckReplicas replicas at a time, chosen at random.
//     The first connection ends the state.
//   - A failure older than failureTTL does not count, because nothing shows that the link is
//     still broken.
package reach
