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
//   - Two failures start a verification: the node probes replicas chosen at random from the
//     others until one accepts the connection or there is enough evidence.
//   - A node is cut off from a service if it has connected to none of the service's replicas
//     since the first failure, and failed to connect to all of them, or to EvidenceReplicas of
//     them, three of which a verification chose. Replicas that die together are tried together,
//     so failures of replicas that are tried because they are in doubt are not enough.
//   - A replica to which connections failed while another accepted one is lost. Nodes keep
//     probing lost replicas. Their further failures start no verification, and count only if
//     all replicas of the service fail.
//   - The next verification comes VerifyInterval after one that reached a replica.
//   - A node that is cut off from one service verifies the others in the same way. Their
//     requests would find out more slowly: a connection that hangs takes a request longer than
//     a probe.
//   - While a node is cut off, it probes RecheckReplicas replicas at a time over all services,
//     chosen at random. The first connection to a service ends the state of the service, and the
//     other services are probed at once.
//   - A failure older than failureTTL does not count, because nothing shows that the link is
//     still broken.
package reach
