// Package balance decides which replica of a service serves a request.
//
// # Use
//
// Keep one Balancer per service and node.
//
//	b := balance.New(balance.Config{Node: node, FailureDomain: domain, Seed: seed})
//	b.SetPeers(now, nodesOfOwnDomain)
//	b.SetReplicas(now, replicas)
//
//	choice, ok := b.Pick(now, balance.Query{Prefix: prefix, Cost: tokens})
//	b.Sent(now, choice.Replica, tokens)
//	... the request is sent, its first token arrives ...
//	b.Started(now, choice.Replica, timeToFirstToken)
//	b.Finished(now, choice.Replica, balance.Result{
//		Cost: tokens, TimeToFirstToken: timeToFirstToken, TotalTime: totalTime, Started: true,
//	})
//
// Every Sent needs one Finished with the same cost. Started and Progress are
// optional. Report takes load reports, which arrive with answers or from polls. The
// caller should log what Changes returns; Status shows the subset to operators. A
// Balancer is not safe for concurrent use; the caller must lock. Time must not run
// backwards between calls.
//
// # Terms
//
//   - Slot: room for one running request at a replica. A replica queues requests
//     beyond its slots. It is full when all its slots are taken.
//   - Capacity: the slots of a replica times its weight.
//   - Load: the running and waiting requests of all nodes at a replica. Utilization is
//     the load per unit of effective capacity. The score of a replica is its
//     utilization with one more request, multiplied by its slowness (package health).
//   - In flight: sent to a replica and not ended.
//   - Peers: the other nodes of the node's failure domain.
//   - Subset: the replicas that a node uses. Its nearest failure domain is the node's
//     own, or the next in order of nearness if the service has no replica there.
//   - Spill: to send a request to a replica outside the nearest failure domain.
//   - Prefix: the first part of a prompt, whose computed state replicas cache. A hash
//     ring maps each prefix to one replica, the owner of the prefix.
//   - Leaving: shutting down. A leaving replica refuses new requests.
//   - Ejected: taken out of use by package health as slow or failing, until a probe
//     succeeds. A replica is usable if it is neither ejected, probed nor leaving.
//   - Backoff: a time in which a replica is avoided because it refused a request while
//     it was full.
//   - Slow start: a time in which a new or returning replica may use only a growing
//     fraction of its capacity. Effective capacity is this fraction of the capacity.
//
// # Load patterns, and what fails without this package
//
//   - A slow replica: with plain round robin it gets as many requests as the others,
//     and the callers of these requests wait. The balancer prefers a random replica
//     with less load to the next replica in round-robin order, and package health
//     ejects the slow one.
//   - Stale load reports: if every node sends to the least loaded replica, that
//     replica is overloaded before its report shows the overload (herding). The
//     balancer corrects a report by the requests that the node itself has sent since.
//     The weight of a report decays at the rate at which requests end. Differences
//     between reports that may be noise are ignored.
//   - A hot key: the prefix of a prompt is cached by one replica, so prefix affinity
//     saves work until that replica is overloaded. Bounded load moves the surplus to
//     the next replicas on the hash ring.
//   - All replicas full: a request can take only a slot that another request has just
//     left. With round robin the request goes to a different replica, and the slot
//     stays idle until load reports show it. The balancer picks the replica with the
//     fewest of the node's own requests.
//   - Replicas joining during a load peak: a new replica has cold caches and no load,
//     so every choice by load would pick it. Slow start lets its part of the requests
//     grow.
//   - A third of the replicas lost: replicas that fail requests at once look idle and
//     attract more requests. Package health ejects them.
//   - Several failure domains: requests go to the nearest domain until its measured
//     load shows that it is full, and only the surplus spills.
//   - Many nodes and replicas: if every node used every replica, 2,200 nodes would
//     hold 22 million connections, and each replica's load reports would be divided
//     among 2,200 nodes. Each node uses a subset.
//
// # The subset
//
// Each node computes its subset on its own, from the list of replicas and the list of
// its peers. By rendezvous hashing, each replica selects the same number of nodes of
// a failure domain, and a node uses the replicas that selected it. Adding or removing
// a node or replica changes only its own node-replica pairs. If the nodes selected
// replicas instead, the number of nodes per replica would be Poisson distributed, and
// some replicas would have no node. A failure domain without nodes receives only
// spilled requests. Outdated lists make the numbers of nodes per replica slightly
// unequal and have no other effect. Replicas of the nearest domain make up three
// quarters of the subset, and replicas of the SpillDomains nearest other domains the
// rest.
//
// # Reasons for the defaults
//
//   - DefaultSubsetSize 32: with 2,200 nodes and 10,000 replicas, each replica has
//     about 7 nodes. A node has 24 replicas of the nearest domain. The loss of a third
//     of these reduces capacity but does not interrupt service.
//   - DefaultSpillThreshold 0.9: below this utilization a request finds a free slot in
//     the nearest domain. DefaultSpillMargin 0.1 keeps two full domains from
//     exchanging requests.
//   - DefaultAffinityLoadFactor 1.25 times the mean utilization: the usual bound, at
//     which a search on the hash ring rarely takes more than a few steps. A replica
//     with a utilization below DefaultAffinityFloor, 0.5, accepts requests by prefix
//     whatever the mean utilization is.
//   - DefaultSlowStart 15 s, beginning with a tenth of the capacity: new replicas have
//     cold caches for about 20 s, and a longer slow start would withhold capacity
//     during a load peak.
//   - DefaultBackoff 250 ms after a refusal because the replica is full: a replica
//     with 50 requests of 7 s each frees about two slots in that time.
package balance
