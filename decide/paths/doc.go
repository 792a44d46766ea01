// Package paths chooses, for each request, the replicas that run its tokens through
// the layers of a model. Each replica holds a span of consecutive layers.
//
// Use: keep one Selector for each model and node. Pass it the listed replicas with
// Update, ask Choose for a path, reserve capacity on that path with Reserve and give
// it back with Release. Suspect, MarkAlive, MarkLayersMissing, RecordRefusal and
// Avoid record what answers and probes have shown. A Selector is not safe for
// concurrent use; the caller locks.
//
// # Terms
//
//   - A path is a list of stages. A stage is one replica with the layers that it runs
//     for the request. A hop leads from this node to the first stage, or from one stage
//     to the next.
//   - The capacity of a replica is its KV cache memory for requests, in tokens times
//     layers: a request of 100 tokens that runs 20 layers there takes 2,000.
//   - Utilization is the reserved fraction of a capacity.
//   - A node's share is the fraction of a failure domain's capacity that falls to it if
//     all nodes that send requests there get the same (SetShare).
//   - Peers are the other nodes that reserve capacity on the same replicas.
//   - Listed replicas are those that the last call of Update passed.
//   - A try is one attempt to send a request to the first replica of a path. A refusal is
//     the answer of a replica that doesn't accept the request; it ends the try.
//
// # Load pattern
//
// Some hundred concurrent streams, each of which takes KV cache memory in every layer
// for as long as it lasts, on cards that differ tenfold in speed and threefold in
// memory. Cards fail, fill up or give up layers at any time.
//
// # Failure without this package
//
// With fixed chains the loss of one card stops a whole chain, and the smallest card of
// a chain limits its capacity. Selection by speed alone fills the fast cards, which
// then preempt their newest request in the middle of its stream.
//
// # Method
//
// A stage of a path may run any part of the span that its replica holds. Choose
// computes a shortest path through the layers. The cost of a stage is the time of its
// layers on that card, a price that rises with the utilization of the replica, and a
// fixed cost for the hop. A hop to another failure domain costs far more. Capacity is
// reserved before the request is sent, because the replicas' reports of free capacity
// lag by some hundred requests.
//
// A replica that refuses a request although it has capacity does so for a reason that
// the list doesn't show yet: it is about to leave, gives up its layers, or waits for a
// lost replica. Choose skips it for a backoff period. Each further refusal doubles the
// period. A request whose layers have no other holder waits until the period ends: each
// refusal costs a try, and the number of tries of all nodes together is limited.
//
// # Grounds for the figures
//
//   - The price of capacity at utilization u is u/(1-u) times the step time of a slow
//     card. At a utilization of one half the price doubles the cost of a slow card. So
//     fast and slow cards fill at about the same rate, and speed decides only while
//     there is capacity. Latency objectives are met at the step time of the slowest
//     card, so a faster path gains nothing.
//   - A hop between failure domains in the middle of a path costs as much as ten paths
//     (crossDomainMillis). All requests share the links between domains, and a prompt
//     occupies a link for 16 ms. The prompts of one domain, each of which crosses twice,
//     fill the link. If the first stage is in another domain (remoteEntryMillis), only
//     the answer crosses.
//   - The slowdown of a replica enters its cost squared: a replica at twelve times its
//     usual step time can't keep up with the requests that run through it.
package paths
