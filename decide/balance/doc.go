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
//	b.Started(now, choice.Replica, firstToken)
//	b.Finished(now, choice.Replica, balance.Result{
//		Cost: tokens, FirstToken: firstToken, Total: total, Started: true,
//	})
//
// Every Sent needs one Finished with the same cost. Started and Progress are
// optional. Report takes load reports, which arrive with answers or from polls. Log
// what Changes returns; Status shows the subset to operators. A Balancer is not safe
// for concurrent use; the caller must lock. Time must not run backwards between
// calls.
//
// # Load patterns answered, and failure without it
//
//   - A slow endpoint: with plain round robin it gets as many requests as the
//     others, and its share of the callers waits. The balancer passes over a
//     replica in round-robin order for a random one with less load, and package
//     health ejects the slow one.
//   - Stale load reports: if every node sends to the least loaded replica, that
//     replica is overloaded before its report shows it (herding). The balancer
//     corrects a report by the node's own requests since, lets its weight decay at
//     the rate at which requests end, and does not act on differences that may be
//     noise.
//   - A hot key: the prefix of a prompt is cached by one replica, so affinity saves
//     work until that replica is overloaded. Bounded load moves the surplus to the
//     next replicas on the hash ring.
//   - All replicas full: a request can take only a slot that another has just left.
//     With round robin the request goes to a different replica, and the slot stays
//     idle until reports show it. The balancer picks the replica with the fewest of
//     the node's own requests.
//   - Endpoints joining during a load peak: a cold, idle endpoint would attract
//     every choice by load. Slow start lets its share grow.
//   - A third of the endpoints lost: endpoints that fail at once look idle and
//     attract requests. Package health ejects them.
//   - Several failure domains: the nearest one serves until its measured load shows
//     that it is full, and only the surplus spills to others.
//   - Many nodes and replicas: if every node used every replica, 2,200 nodes would
//     hold 22 million connections and each replica's load reports would be divided
//     among 2,200 nodes. Each node uses a subset.
//
// # The subset
//
// Each node computes its subset on its own, from the list of replicas and the list
// of its peers, the nodes of its failure domain. By rendezvous hashing, each replica
// selects the same number of nodes of a domain. So all replicas have the same number
// of nodes (an even cover), and adding or removing a node or replica changes only
// its own edges. If the nodes selected replicas instead, the number of nodes per
// replica would be Poisson distributed, and some replicas would have none. A failure
// domain without nodes receives only spilled requests. Outdated lists make the cover
// slightly uneven and have no other effect. Replicas of the nearest domain make up
// three quarters of the subset, and the SpillDomains nearest other domains the rest.
//
// # Reasons for the defaults
//
//   - DefaultSubsetSize 32: with 2,200 nodes and 10,000 replicas it gives each
//     replica about 7 nodes. It leaves a node enough near replicas (24) that losing a
//     third of them reduces capacity but does not interrupt service.
//   - DefaultSpillThreshold 0.9 of the slots: below it a request finds a free slot in
//     the nearest domain. DefaultSpillMargin 0.1 keeps two full domains from swapping
//     load.
//   - DefaultAffinityLoadFactor 1.25 times the mean: the usual bound, at which a
//     search on the ring rarely takes more than a few steps. A replica below
//     DefaultAffinityFloor, half of its slots, accepts its own prefixes whatever the
//     mean is.
//   - DefaultSlowStart 15 s, starting at a tenth: new replicas stay cold for about
//     twenty seconds, and a longer start would withhold capacity during a load peak.
//   - DefaultBackoff 250 ms after a refusal because the replica is full: a replica
//     with 50 requests of 7 s each frees about two slots in that time.
package balance
