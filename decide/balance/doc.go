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
//   - Replica: an endpoint of the service.
//   - Attempt: one sending of a request to one replica. A request whose attempt fails
//     may be sent again in another attempt.
//   - Slot: room for one running request at a replica. A replica queues requests
//     beyond its slots. It is full when all its slots are taken.
//   - Weight: the speed of one slot of a replica relative to one slot of a replica of
//     weight 1. A replica of weight 2 takes half as long for the same work.
//   - Capacity: the slots of a replica times its weight.
//   - Cost: the work for a request, in tokens.
//   - Load: the number of running and waiting requests of all nodes at a replica.
//   - Utilization: the load of a replica per unit of its effective capacity.
//   - Mean utilization, of a tier or of the subset: the load of all its usable members
//     divided by their capacity. Slow start does not reduce this capacity.
//   - Slowness: the delay of a replica relative to the median delay of the subset,
//     limited to the range from 1 to 4 (package health).
//   - Score: the utilization that a replica would have with one more request,
//     multiplied by its slowness. Lower scores are better. The scores of package
//     rendezvous are different: there the highest score wins.
//   - In flight: sent to a replica and not ended.
//   - Peers: the other nodes of the node's failure domain.
//   - Nearest failure domain: the node's own. If the service has no replica there, it is
//     the next domain in order of nearness that has one.
//   - Subset: the replicas that a node uses. Each of them is a member of the subset.
//   - Tier: one of the two parts of the subset. The near tier holds the members in the
//     nearest failure domain, the spill tier holds all other members.
//   - Spill: to send a request to a replica outside the nearest failure domain.
//   - Prefix: the first part of a prompt. A replica caches the state that it computes
//     from a prefix. A hash ring maps each prefix to one replica, the owner of the
//     prefix.
//   - Affinity: the choice of a replica by the prefix of a request, so that the replica
//     probably has the prefix cached.
//   - Leaving: shutting down. A leaving replica refuses new requests.
//   - Ejected: taken out of use for some time by package health, because the replica is
//     slow or failing.
//   - Probed: the state of a replica after its ejection. The replica receives one
//     request at a time, a probe, until a probe succeeds or the replica is ejected
//     again.
//   - Usable: neither ejected, probed nor leaving.
//   - Excluded: named in Query.Exclude, because the request has already been tried at
//     the replica.
//   - Eligible: able to receive requests other than probes. The usable members are
//     eligible. If no member is usable, all members that are not leaving are eligible.
//   - Backoff: a time in which the node avoids a replica. It begins when the replica
//     refuses a request because it is full.
//   - Slow start: a time in which a new or returning replica may use only a growing
//     fraction of its capacity. Effective capacity is this fraction of the capacity.
//   - Noise: random variation of the number of requests.
//   - Environment document: the configuration of services, endpoints and teams that
//     operators deploy.
//
// # Load patterns, and what fails without this package
//
//   - A slow replica: with plain round robin it gets as many requests as the others,
//     and the callers of these requests wait. The balancer compares the next replica
//     in round-robin order with a random one and picks the random one if it has less
//     load. Package health ejects the slow replica.
//   - Stale load reports: if every node sends to the least loaded replica, that
//     replica is overloaded before its report shows the overload (herding). The
//     balancer adds the requests that the node itself has sent since the report was
//     made. The weight of a report decays at the rate at which requests end. A
//     difference in load that noise can explain is ignored.
//   - A hot key: the prefix of many prompts is cached by one replica. Sending these
//     prompts to that replica saves work until the replica is overloaded. Consistent
//     hashing with bounded loads moves the surplus requests to the next replicas on the
//     hash ring.
//   - All replicas full: a request can take only a slot that another request has just
//     freed. With round robin the request goes to a different replica, and the freed
//     slot stays idle until load reports show the free slot. The balancer picks the
//     replica that has the fewest of the node's own requests relative to its capacity.
//   - Replicas joining during a load peak: a new replica has cold caches and no load,
//     so every choice by load would pick it. With slow start, the replica's share of
//     the requests grows gradually.
//   - A third of the replicas lost: replicas that fail requests at once look idle and
//     attract more requests. Package health ejects them.
//   - Several failure domains: requests go to the nearest domain until the measured
//     load of that domain shows that it is full. Only the surplus requests spill.
//   - Many nodes and replicas: if each of 2,200 nodes used each of 10,000 replicas, the
//     nodes would hold 22 million connections. The load reports of each replica would
//     be divided among 2,200 nodes, and each node would receive few of them. Each node
//     therefore uses a subset of the replicas.
//
// # The subset
//
// Each node computes its subset on its own, from the list of replicas and the list of
// its peers. By rendezvous hashing, each replica selects the same number of nodes of
// a failure domain. A node uses the replicas that selected it. If a node or replica is
// removed, only the node-replica pairs to which it belongs disappear. The pairs of a
// removed node move to its peers. If the nodes selected replicas instead, the number
// of nodes per replica would be Poisson distributed, and some replicas would have no
// node.
//
// A failure domain without nodes receives only spilled requests. If a node's list of
// replicas or peers is outdated, the numbers of nodes per replica become slightly
// unequal; there is no other effect. Replicas of the nearest domain make up three
// quarters of the subset. Replicas of the next SpillDomains domains, in order of
// nearness, make up the rest.
//
// # Reasons for the defaults
//
//   - DefaultSubsetSize 32: with 2,200 nodes and 10,000 replicas, each replica has
//     about 7 nodes. A node has 24 replicas of the nearest domain. The loss of a third
//     of these replicas reduces capacity but does not interrupt service.
//   - DefaultSpillThreshold 0.9: below this utilization a request finds a free slot in
//     the nearest domain. DefaultSpillMargin 0.1 keeps two full domains from
//     exchanging requests.
//   - DefaultAffinityLoadFactor 1.25 times the mean utilization: this is the usual
//     bound on the load of a replica that is picked by prefix. With this bound, a
//     search on the hash ring rarely takes more than a few steps. A replica with a
//     utilization below DefaultAffinityFloor, 0.5, accepts requests by prefix whatever
//     the mean utilization is.
//   - DefaultSlowStart 15 s, beginning with a tenth of the capacity: new replicas have
//     cold caches for about 20 s. A longer slow start would withhold capacity during a
//     load peak.
//   - DefaultBackoff 250 ms: a replica with 50 running requests of 7 s each frees about
//     two slots in that time.
package balance
