// Package balance decides which replica of a service serves a request.
//
// Use: keep one Balancer per service and node.
//
//	b := balance.New(balance.Config{Node: node, FailureDomain: domain, Seed: seed})
//	b.SetPeers(now, nodesOfOwnDomain)
//	b.SetReplicas(now, replicas)
//
//	choice, ok := b.Pick(now, balance.Query{Prefix: prefix, Cost: tokens})
//	b.Sent(now, choice.Replica, tokens)
//	... the request goes out, its first token comes back ...
//	b.Started(now, choice.Replica, firstToken)
//	b.Finished(now, choice.Replica, balance.Result{
//		Cost: tokens, FirstToken: firstToken, Total: total, Started: true,
//	})
//
// Every Sent needs one Finished with the same cost. Started and Progress are
// optional. Report takes the load that travels on answers or is polled. Log what
// Changes returns; Status shows the subset to operators. A Balancer is not safe for concurrent use;
// the caller locks. Time must not run backwards between calls.
//
// # The load patterns it answers, and what happens without it
//
//   - A slow endpoint: in turn alone, it gets as much as the others and its
//     share of the callers wait. A replica in turn is passed over for a random
//     one with less load, and package health ejects the slow one.
//   - Stale load reports: when every node sends to the least loaded, that one
//     is swamped before its report shows it (herding). A report is corrected by
//     the node's own requests since, fades at the rate at which requests end,
//     and differences that may be noise move nothing.
//   - A hot key: a prompt's prefix is cached by one replica, so affinity saves
//     work until that replica is swamped. Bounded load moves on the surplus.
//   - All replicas full: each request takes a slot that another has just left.
//     In turn it goes elsewhere, and the slot stands idle until reports tell of
//     it. The replica with the fewest of the node's own requests is taken.
//   - Endpoints joining in the rush: cold and idle, a newcomer would draw every
//     choice. Slow start lets its share grow.
//   - A third of the endpoints lost: those fail at once, look idle and draw
//     requests. Package health ejects them.
//   - Several failure domains: the nearest serves until it is full by measure,
//     and only the surplus spills.
//   - Many nodes and replicas: with all-to-all, 2,200 nodes hold 22 million
//     connections and spread a replica's load reports 2,200 ways. Each node
//     uses a subset.
//
// # The subset
//
// Every node computes it alone from the list of replicas and of its peers, the
// nodes of its own failure domain. Each replica takes, by rendezvous hashing,
// the same number of nodes of a domain; so every replica has the same number of
// nodes (even cover), and a node or replica that comes or goes moves only its
// own edges. Were the nodes to choose the replicas instead, a replica's nodes
// would be Poisson spread, some having none. A failure domain without nodes gets
// only what others spill to it. Lists that lag make the cover a little uneven
// and nothing else. Near replicas make up three quarters of the subset and the
// SpillDomains nearest other domains the rest.
//
// # Grounds for the figures
//
//   - DefaultSubsetSize 32: at 2,200 nodes before 10,000 replicas it gives each
//     replica about 7 nodes, and leaves a node enough near replicas (24) that
//     losing a third is a matter of load, not of service.
//   - DefaultSpillAt 0.9 of the slots: below it a near request finds a free
//     slot. DefaultSpillMargin 0.1 keeps two full domains from swapping load.
//   - DefaultAffinityBound 1.25 over the mean: the usual bound, at which hardly
//     any walk is longer than a few steps. A replica below AffinityFree, half
//     of its slots, takes its own prefixes whatever the mean.
//   - DefaultSlowStart 15 s from a tenth: newcomers stay cold for some twenty
//     seconds, and a longer start withholds capacity in the rush.
//   - DefaultBackoff 250 ms after a refusal for want of room: a replica
//     with 50 requests of 7 s frees about two slots in that time.
package balance
